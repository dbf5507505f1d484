// The load patterns of the decision bench, made from a seed.

#ifndef GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_BENCH_LOAD_H_
#define GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_BENCH_LOAD_H_

#include <string>
#include <vector>

#include "bench/gooseberrylift-bench-fleet.h"

namespace gooseberrylift::bench {

// A stream of requests: room state and gate checks are short and urgent,
// summaries and evidence are of mixed length, reviews are long and may wait.
struct LoadOptions
{
  seconds length_{ 20 };
  double load_ = 0.5; // of the engines' prefill capacity
  int engines_ = 25;
  int teams_ = 10;          // the first two are large
  bool longPrompts_ = true; // 100k and above
  std::uint64_t seed_ = 1;
  int resends_ = 0;
};

/// Gives the engine time of one prompt by the fake engine's formula.
microseconds PrefillTime(std::uint64_t aTokens);

/// Makes the usual mix: lengths log-spread from 1k to 100k, and one in fifty
/// from 100k to 1M.
std::vector<Arrival> Mix(const LoadOptions& aOptions);

/// Makes requests of one kind at a steady mean rate.
/// @param aRate requests a second
std::vector<Arrival> Stream(const LoadOptions& aOptions,
                            double aRate,
                            ServiceClass aClass,
                            std::uint64_t aLeast,
                            std::uint64_t aMost,
                            const std::string& aTeam = {});

// One pattern of load, ready to run.
struct Pattern
{
  std::string name_;
  std::vector<Arrival> arrivals_;
  std::function<void(Fleet&)> changes_; // faults on the way; may be empty
  FleetOptions fleet_;
};

// Which of today's two fleets a pattern runs on.
struct FleetSize
{
  std::string name_;
  int engines_;
  int hosts_;
  microseconds zoneDelay_;
  microseconds callerDelay_;
};

extern const FleetSize kHuonetila;
extern const FleetSize kVatuvola;

/// Makes a pattern by its letter, a to j; f3 is overload at 3x, e0 is e
/// without the long prompts.
Pattern MakePattern(const std::string& aName,
                    const FleetSize& aSize,
                    std::uint64_t aSeed);

/// Lists the names that MakePattern knows.
const std::vector<std::string>& PatternNames();

} // namespace gooseberrylift::bench

#endif // GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_BENCH_LOAD_H_
