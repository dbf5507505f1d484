// Tests of a host that gets most of the new connections of all callers for some
// seconds, while callers open new ones more often than usual.

#include "harness-callers.h"

#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kHosts = 3;
constexpr std::size_t kCallersPerHost = 4;
// Callers of the one host, twice as many as those of all hosts before.
constexpr std::size_t kCallersOfOneHost = 2 * kHosts * kCallersPerHost;
constexpr double kMinShareOfBefore = 0.75;

double ServedShare(const Callers& aCallers)
{
  return static_cast<double>(aCallers.Served()) /
         static_cast<double>(aCallers.Asked());
}

// Each request opens a new connection and is sent once, so that all that is
// served is served at the first attempt.
void CheckServesWhatItReads(GatewayDeployment& aDeployment,
                            MakeCallerRequest aMake)
{
  std::vector<Host*> spread;
  for (std::size_t caller = 0; caller < kHosts * kCallersPerHost; ++caller) {
    spread.push_back(&aDeployment.At(caller % kHosts));
  }
  // Hosts that have just started grant no permits yet.
  Callers starting(spread, aMake, 20ms);
  std::this_thread::sleep_for(4s);
  starting.Stop();
  Callers before(spread, aMake, 20ms);
  std::this_thread::sleep_for(3s);
  before.Stop();

  const std::vector<Host*> one(kCallersOfOneHost, &aDeployment.At(0));
  Callers early(one, aMake, 20ms);
  std::this_thread::sleep_for(3s);
  early.Stop();
  Callers during(one, aMake, 20ms);
  std::this_thread::sleep_for(4s);
  during.Stop();
  std::printf("served %d of %d spread, %d of %d early, %d of %d after 3 s\n",
              before.Served(),
              before.Asked(),
              early.Served(),
              early.Asked(),
              during.Served(),
              during.Asked());
  CHECK_TRUE(before.Served() > 0);
  CHECK_TRUE(ServedShare(during) >= kMinShareOfBefore * ServedShare(before));
}

} // namespace

TEST_GROUP(NewConnectionsTest){};

TEST(NewConnectionsTest, OneHostServesPromptsOfAllCallers)
{
  GatewayDeployment deployment(
    { .hosts_ = kHosts,
      .engines_ = 6,
      .engine_ = { { "event_ms", 20 }, { "events", 5 } } });
  CheckServesWhatItReads(deployment, MakeShortPrompt);
}

TEST(NewConnectionsTest, OneHostServesCallsOfAllCallers)
{
  GatewayDeployment deployment(
    { .hosts_ = kHosts, .boards_ = 4, .engine_ = { { "work_ms", 20 } } });
  CheckServesWhatItReads(deployment, MakeSafeRequest);
}

// Guards against permits that stay with hosts without callers.
TEST(NewConnectionsTest, OneHostGetsThePermitsOfAllCallers)
{
  GatewayDeployment deployment(
    { .hosts_ = kHosts, .boards_ = 4, .engine_ = { { "work_ms", 20 } } });
  for (std::size_t board = 0; board < 4; ++board) {
    deployment.Board(board).Control({ { "limit", "150" } });
  }
  CheckServesWhatItReads(deployment, MakeSafeRequest);
}
