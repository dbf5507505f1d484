// Simulated engines with a rate limit, and strategies of hosts to respect it.

#ifndef GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_PASS_LIMITS_H_
#define GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_PASS_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "gooseberrylift-pass-engine.h"
#include "gooseberrylift/limits/gooseberrylift-rate-granter.h"
#include "gooseberrylift/limits/gooseberrylift-rate-permits.h"

namespace gooseberrylift::bench {

enum class PassLimitMode
{
  kIgnored,   // hosts ignore the limit
  kAvoided,   // hosts avoid engines with a limit
  kEvenParts, // each host uses an equal share of the rate
  kPermits    // one host grants permits
};

struct PassLimitOptions
{
  int engines_ = 0;        // number of engines with a limit
  double perSecond_ = 1.5; // over all hosts
  double fromSeconds_ = 6;
  double toSeconds_ = 26;
  PassLimitMode mode_ = PassLimitMode::kPermits;
};

// Requests sent to limited engines while their limits were in force.
struct PassLimitCount
{
  std::size_t sent_ = 0;        // requests, and parts of prompts
  std::size_t maxInWindow_ = 0; // maximum at one engine within 4 s
};

class PassLimits
{
public:
  PassLimits(VirtualClock& aClock, PassLimitOptions aOptions, int aHosts);

  bool IsLimited(const std::string& aEngine) const;

  /// Returns whether a host may send to an engine now, and requests a permit if
  /// it may not.
  bool MayUse(std::size_t aHost, const std::string& aEngine);

  /// Records that a host sends a request or a part of one.
  void OnSent(std::size_t aHost, const std::string& aEngine);

  const PassLimitCount& Count() const { return count_; }

private:
  void RequestPermits(std::size_t aHost, const Incarnation& aEngine);

  VirtualClock& clock_;
  PassLimitOptions options_;
  std::vector<RatePermits> permits_;  // by host
  std::vector<RateGranter> granters_; // by host; kPermits uses only the first
  std::map<std::string, std::deque<std::int64_t>> window_;
  PassLimitCount count_;
};

} // namespace gooseberrylift::bench

#endif // GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_PASS_LIMITS_H_
