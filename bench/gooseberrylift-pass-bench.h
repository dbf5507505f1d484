// Plays a site's load on virtual time: callers, several deciding hosts that see
// each other only by words that come late, and engines that work in passes.

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

// One kind of request.
struct PassClass
{
  std::string name_;
  double perSecond_ = 1;
  double promptMean_ = 1000;
  double promptSpread_ = 0.5; // of the logarithm
  double promptMost_ = 1e6;
  double eventsMean_ = 20;
  double eventsSpread_ = 0.5;
  std::chrono::milliseconds objective_{ 1000 };
  std::chrono::milliseconds maxGap_{ 200 };
  std::chrono::milliseconds deadline_{ 10'000 };
  double worth_ = 1;
  double lateWorth_ = 0.25;
};

// A time in which each kind comes so many times as often.
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
  EngineProfile figures_;
  std::vector<PassClass> classes_;
  std::vector<PassPhase> phases_;
  double seconds_ = 34;
};

enum class PassStrategy
{
  kPlaced,           // EnginePlacement
  kLeastOutstanding, // by what a host knows
  kRoundRobin
};

// How hosts hear of those of other availability zones.
enum class PassFar
{
  kAll,    // as of those of their own
  kSample, // of a fixed part of them, as of those of their own
  kSums,   // in sums of each zone, at an interval
  kNone    // not at all
};

struct PassOptions
{
  PassStrategy strategy_ = PassStrategy::kPlaced;
  EnginePlacement::Options placement_{};
  std::size_t block_ = FleetOrderOptions{}.block_;
  std::chrono::milliseconds round_{ 40 }; // between words of load
  std::size_t partners_ = 4;              // a round
  bool tells_ = true;                     // of long prompts at once
  bool tellsShort_ = true;                // of short ones too
  PassFar far_ = PassFar::kAll;
  std::size_t farKnown_ = 64;             // with kSample
  std::chrono::milliseconds sums_{ 100 }; // between two, with kSums
  // Between two words of a host with all that it has in work, in fleets where
  // it can't tell each change; zero: as the rounds say.
  std::chrono::milliseconds whole_{ 0 };
  bool holds_ = true; // long prompts while engines are busy
  HoldOptions hold_{};
  bool defers_ = true;      // those late already let the others go first
  bool knowsQueues_ = true; // a silence that a queue explains is borne
  PassLimitOptions limits_{};
  // Engines run out of memory, places in their queue and parts of others.
  bool bounded_ = false;
  // How much later than by the way alone a host's words come, in the mean over
  // hosts, and the part of them that is lost.
  std::chrono::milliseconds wordDelay_{ 0 };
  double wordLoss_ = 0;
  std::uint64_t seed_ = 1;
};

// What the callers of one kind got.
struct PassResult
{
  std::string name_;
  int asked_ = 0;
  int inTime_ = 0;
  int late_ = 0;
  int lateFirst_ = 0; // of the late, that began late
  int lost_ = 0;      // refused, or the caller left
  double worth_ = 0;  // earned
  double owed_ = 0;   // had all been in time
  double firstP50Ms_ = 0;
  double firstP99Ms_ = 0;
  int repeats_ = 0;
  int refused_ = 0;    // sent back, to come again
  int turnedAway_ = 0; // arrivals that an engine refused
  int noMemory_ = 0;   // times that memory could not be set aside
  // Of the largest tenth of the prompts.
  int largestAsked_ = 0;
  int largestServed_ = 0;
};

/// Plays a load; the same figures for the same options every time.
/// @param aLimited gets what engines with a limit were sent
std::vector<PassResult> PlayPasses(const PassSite& aSite,
                                   const PassOptions& aOptions,
                                   PassLimitCount* aLimited = nullptr);

/// Gives deployments by name: "notes", with 23 engines, "checks", with 18,
/// "contracts", whose engines hold hardly more than one long prompt, and
/// "contracts-large", the same with 91 hosts, and "notes-large", the first with
/// 295 hosts in five zones before 195 engines, and "notes-fleet", the same with
/// 985 hosts, 970 engines and a constant load. All mix short prompts with ones
/// forty times as long, which come in turns of ten seconds, except on
/// "notes-fleet".
PassSite SiteByName(const std::string& aName);

} // namespace gooseberrylift::bench

#endif // GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_PASS_BENCH_H_
