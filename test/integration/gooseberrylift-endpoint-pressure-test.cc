// Tests of endpoints that reject requests without asking for a backoff.

#include "harness-callers.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kHosts = 3;

// Makes two of four endpoints reject all requests under load, and then serve.
void CheckUsesTheOthers(GatewayDeployment& aDeployment,
                        const std::vector<Fake*>& aRejecting,
                        MakeCallerRequest aMake)
{
  Callers callers(HostsOf(aDeployment, kHosts), aMake, 10ms);
  std::this_thread::sleep_for(1s); // the hosts know all endpoints
  for (Fake* endpoint : aRejecting) {
    endpoint->Control({ { "fault", "full" }, { "times", 1'000'000 } });
  }
  const auto arrivals = [&aRejecting] {
    std::size_t count = 0;
    for (Fake* endpoint : aRejecting) {
      count += endpoint->Stats().at("arrivals").size();
    }
    return count;
  };
  const std::size_t before = arrivals();
  const int askedBefore = callers.Asked();
  std::this_thread::sleep_for(4s);
  const std::size_t rejected = arrivals() - before;
  const int asked = callers.Asked() - askedBefore;
  for (Fake* endpoint : aRejecting) {
    endpoint->Control({ { "fault", "" } });
  }
  CHECK_TRUE(WaitUntil(5s, [&] { return arrivals() > before + rejected + 5; }));
  callers.Stop();
  CHECK_TRUE(asked > 200);
  CHECK_TRUE(rejected * 10 < static_cast<std::size_t>(asked));
  CHECK_TRUE(callers.Asked() - callers.Served() <= callers.Asked() / 100);
}

} // namespace

TEST_GROUP(EndpointPressureTest){};

TEST(EndpointPressureTest, UsesOtherEnginesWhileSomeReject)
{
  GatewayDeployment deployment(
    { .hosts_ = kHosts, .engines_ = 4, .engine_ = { { "event_ms", 2 } } });
  CheckUsesTheOthers(deployment,
                     { &deployment.Engine(0), &deployment.Engine(1) },
                     MakeShortPrompt);
}

TEST(EndpointPressureTest, UsesOtherPlainEndpointsWhileSomeReject)
{
  GatewayDeployment deployment({ .hosts_ = kHosts, .boards_ = 4 });
  CheckUsesTheOthers(deployment,
                     { &deployment.Board(0), &deployment.Board(1) },
                     MakeSafeRequest);
}
