// Plays seeded random pauses beside configuration changes, planned stops and
// drains while callers read streams. SOAK_SEED is the first seed, SOAK_SEEDS
// the number of seeds.

#include "soak-run.h"

#include <cstdlib>
#include <iostream>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift::test;

namespace {

std::uint64_t ReadEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

} // namespace

TEST_GROUP(PauseSoakTest){};

// Guards against streams that end although their engines go on to the last
// event, because parts of the deployment stood still for a while.
TEST(PauseSoakTest, CutsNoStreamWhosePartsPause)
{
  const std::uint64_t first = ReadEnvironment("SOAK_SEED", 1);
  const std::uint64_t seeds = ReadEnvironment("SOAK_SEEDS", 4);
  std::size_t cut = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    SoakRun run(seed);
    run.Play();
    run.PrintFigures();
    const auto streams = run.CutStreams();
    cut += streams.size();
    if (!streams.empty()) {
      run.PrintTrace(streams);
    }
    CHECK_TRUE(run.AllStopsEnded());
    LONGS_EQUAL(0, run.CountEndedStandIns());
    CHECK_TRUE(run.CountWhole() > 0);
  }
  LONGS_EQUAL(0, cut);
}
