// Tests hosts that stand still while they probe their links.

#include "harness-callers.h"
#include "harness-links.h"
#include "harness-streams.h"

#include <csignal>

#include <CppUTest/TestHarness.h>

#include "gooseberrylift-fleet-names.h"

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kEngines = 3;

// Longer than a probe may take, and than its deadline allows for late timers.
constexpr milliseconds kPause{ 800 };

// Makes engines that never respond to a stream but respond to each probe, with
// a delay in which the host can be stopped.
void MuteStreams(GatewayDeployment& aDeployment)
{
  const json rules = {
    { { "fault", "black_hole" }, { "match", "/stream/" } },
    { { "fault", "delay" },
      { "match", platform::kReportPath },
      { "delay_ms", 100 } },
  };
  for (std::size_t link = 0; link < kEngines; ++link) {
    aDeployment.Link(link).Script(rules);
  }
}

int CountProbesReceived(GatewayDeployment& aDeployment)
{
  int received = 0;
  for (std::size_t link = 0; link < kEngines; ++link) {
    received += aDeployment.Link(link).Hits("delay");
  }
  return received;
}

// Waits until a host whose streams stall probes its links, and stops it until
// after the time at which the probes must be answered.
void PauseWithinRoundOfProbes(GatewayDeployment& aDeployment)
{
  Host& host = aDeployment.At(0);
  const int received = CountProbesReceived(aDeployment);
  const int ended = SumMetric(host, "gooseberrylift_link_probes_total");
  CHECK_TRUE(WaitUntil(seconds(20), [&] {
    return CountProbesReceived(aDeployment) >= received + kEngines;
  }));
  host.Handle().Signal(SIGSTOP);
  std::this_thread::sleep_for(kPause);
  host.Handle().Signal(SIGCONT);
  CHECK_TRUE(WaitUntil(seconds(10), [&] {
    return SumMetric(host, "gooseberrylift_link_probes_total") >=
           ended + kEngines;
  }));
}

} // namespace

TEST_GROUP(HostPauseTest){};

// Guards against a host that takes its own pause for lost links.
TEST(HostPauseTest, KeepsItsLinksWhenItStandsStillWithinRoundsOfProbes)
{
  constexpr int kPauses = 3;
  GatewayDeployment deployment(
    { .engines_ = kEngines, .boards_ = 0, .linkedHosts_ = 1 });
  MuteStreams(deployment);
  Callers callers(
    std::vector<Host*>(6, &deployment.At(0)), MakeShortPrompt, 20ms);
  for (int pause = 0; pause < kPauses; ++pause) {
    PauseWithinRoundOfProbes(deployment);
  }
  callers.Stop();
  CHECK_TRUE(
    deployment.At(0).Handle().WaitForLine("\"links\":\"lost\"", 0ms).empty());
  LONGS_EQUAL(0,
              SumMetric(deployment.At(0),
                        "gooseberrylift_link_probes_total{answered=\"no\""));
}
