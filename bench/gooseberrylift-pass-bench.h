// Discrete-event simulation of a site under load: callers, hosts that place
// requests and know each other's load only through delayed messages, and
// engines that process batches in passes.

#ifndef GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_PASS_BENCH_H_
#define GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_PASS_BENCH_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gooseberrylift-pass-limits.h"
#include "gooseberrylift/limits/gooseberrylift-long-prompt-hold.h"
#include "gooseberrylift/routing/gooseberrylift-fleet-order.h"
#include "gooseberrylift/routing/gooseberrylift-fleet-placement.h"

namespace gooseberrylift::bench {

// A request class: its arrival rate, size distribution and objectives.
struct PassClass
{
  std::string name_;
  double perSecond_ = 1;
  double promptMean_ = 1000;
  double promptSpread_ = 0.5; // standard deviation of the logarithm
  double maxPrompt_ = 1e6;
  double eventsMean_ = 20;
  double eventsSpread_ = 0.5;
  std::chrono::milliseconds objective_{ 1000 };
  std::chrono::milliseconds maxGap_{ 200 };
  std::chrono::milliseconds deadline_{ 10'000 };
  double worth_ = 1;
  double lateWorth_ = 0.25;
};

// An interval in which the arrival rate of each class is scaled by a factor.
struct PassPhase
{
  double fromSeconds_ = 0;
  double toSeconds_ = 0;
  std::vector<double> factors_; // in the order of the classes
};

struct PassSite
{
  int hosts_ = 6;
  int zones_ = 1;
  int engines_ = 20;
  EngineProfile profile_;
  std::vector<PassClass> classes_;
  std::vector<PassPhase> phases_;
  double seconds_ = 34;
};

// Engines that take longer than their profile says.
struct PassSlowdown
{
  std::size_t every_ = 0; // every nth engine; 0: none
  double factor_ = 1;
  double fromSeconds_ = 0;
  double toSeconds_ = 1e6;
};

// What hosts know of the engines' pace.
enum class PassPace
{
  kUnknown,
  kObserved, // what they observe and tell each other
  kKnown     // the pace itself, at any time
};

enum class PassStrategy
{
  kPlaced,           // EnginePlacement
  kLeastOutstanding, // by the load known to the host
  kRoundRobin
};

// How hosts learn the load of hosts in other availability zones.
enum class PassRemoteLoad
{
  kAll,        // from all of them, as within their own zone
  kSample,     // from a fixed sample of them, as within their own zone
  kAggregates, // from periodic per-zone aggregates
  kNone        // not at all
};

struct PassOptions
{
  PassStrategy strategy_ = PassStrategy::kPlaced;
  EnginePlacement::Options placement_{};
  std::size_t block_ = FleetOrderOptions{}.block_;
  std::chrono::milliseconds round_{ 40 }; // interval between load messages
  std::size_t partners_ = 4;              // per round
  bool announcesLong_ = true;  // announces placed long prompts immediately
  bool announcesShort_ = true; // announces placed short prompts too
  PassRemoteLoad remoteLoad_ = PassRemoteLoad::kAll;
  std::size_t remoteSampleSize_ = 64; // sample size for kSample
  std::chrono::milliseconds aggregateInterval_{ 100 }; // between aggregates
  // Interval between a host's messages with its complete load, for fleets where
  // it can't announce each change; zero leaves it to the rounds.
  std::chrono::milliseconds snapshotInterval_{ 0 };
  bool holds_ = true; // holds long prompts back while engines are busy
  HoldOptions hold_{};
  bool defers_ = true; // late requests yield to those still in time
  bool knowsQueues_ =
    true; // no stall timeout while a queue explains the silence
  PassLimitOptions limits_{};
  PassSlowdown slowdown_{};
  PassPace pace_ = PassPace::kObserved;
  double passJitter_ = 0; // standard deviation of a pass, relative
  // Engines have limited memory, queue length and number of helper parts.
  bool bounded_ = false;
  // Mean extra delay of a host's load messages beyond the network delay, and
  // the fraction of messages that is lost.
  std::chrono::milliseconds messageDelay_{ 0 };
  double messageLoss_ = 0;
  std::uint64_t seed_ = 1;
};

// Results of one request class.
struct PassResult
{
  std::string name_;
  int asked_ = 0;
  int inTime_ = 0;
  int late_ = 0;
  int lateFirst_ = 0;   // late requests whose first event was late
  int lost_ = 0;        // refused, or abandoned by the caller
  double worth_ = 0;    // value earned
  double maxWorth_ = 0; // value if all had been in time
  double firstP50Ms_ = 0;
  double firstP99Ms_ = 0;
  int retries_ = 0;
  int refused_ = 0;            // returned to the caller for a retry
  int engineRejections_ = 0;   // arrivals rejected by an engine
  int failedReservations_ = 0; // failed memory reservations
  // Counts for the largest tenth of the prompts.
  int largestAsked_ = 0;
  int largestServed_ = 0;
};

/// Simulates a site; the result is deterministic for the same options.
/// @param aLimited receives the counts of rate-limited engines
std::vector<PassResult> SimulateSite(const PassSite& aSite,
                                     const PassOptions& aOptions,
                                     PassLimitCount* aLimited = nullptr);

/// Returns a deployment by name: "notes" has 23 engines, "checks" has 18, and
/// the engines of "contracts" hold hardly more than one long prompt.
/// "contracts-large" is "contracts" with 91 hosts. "notes-large" is "notes"
/// with 295 hosts in five zones and 195 engines. "notes-fleet" is the same with
/// 985 hosts, 970 engines and a constant load. All mix short prompts with
/// prompts forty times as long, which alternate every ten seconds except on
/// "notes-fleet".
PassSite SiteByName(const std::string& aName);

} // namespace gooseberrylift::bench

#endif // GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_PASS_BENCH_H_
