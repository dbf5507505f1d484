// Load patterns of the decision benchmark, generated from a seed.

#ifndef GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_BENCH_LOAD_H_
#define GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_BENCH_LOAD_H_

#include <string>
#include <vector>

#include "bench/gooseberrylift-bench-fleet.h"

namespace gooseberrylift::bench {

// Parameters of a request stream. Room state and gate checks are short and
// urgent, summaries and evidence vary in length, and reviews are long and
// tolerate delay.
struct LoadOptions
{
  seconds length_{ 20 };
  double load_ = 0.5; // fraction of the engines' prefill capacity
  int engines_ = 25;
  int teams_ = 10;          // the first two are large
  bool longPrompts_ = true; // includes prompts of 100k tokens and more
  std::uint64_t seed_ = 1;
  int resends_ = 0;
};

/// Returns the prefill time of a prompt according to the fake engine's formula.
microseconds PrefillTime(std::uint64_t aTokens);

/// Generates the default mix: prompt lengths spread log-uniformly from 1k to
/// 100k tokens, and one in fifty from 100k to 1M.
std::vector<Arrival> Mix(const LoadOptions& aOptions);

/// Generates requests of one service class at a constant mean rate.
/// @param aRate requests per second
std::vector<Arrival> Stream(const LoadOptions& aOptions,
                            double aRate,
                            ServiceClass aClass,
                            std::uint64_t aMin,
                            std::uint64_t aMax,
                            const std::string& aTeam = {});

// A load pattern with its arrivals, fleet and scheduled faults.
struct Pattern
{
  std::string name_;
  std::vector<Arrival> arrivals_;
  std::function<void(Fleet&)> changes_; // schedules faults; may be empty
  FleetOptions fleet_;
};

// The dimensions and network delays of a fleet that a pattern runs on.
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

/// Creates a pattern by name: a letter from a to j, f3 (overload at 3x) or e0
/// (e without long prompts).
Pattern MakePattern(const std::string& aName,
                    const FleetSize& aSize,
                    std::uint64_t aSeed);

/// Returns the names that MakePattern accepts.
const std::vector<std::string>& PatternNames();

} // namespace gooseberrylift::bench

#endif // GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_BENCH_LOAD_H_
