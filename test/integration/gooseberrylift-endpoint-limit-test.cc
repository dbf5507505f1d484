// Tests of endpoints that advertise a rate limit shared by all hosts.

#include "harness-callers.h"

#include "gooseberrylift/limits/gooseberrylift-rate-granter.h"

#include <algorithm>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kHosts = 4;
constexpr double kPerSecond = 1.5;
constexpr std::int64_t kWindowMs = 4000;
constexpr double kMaxInWindow = 1.5 * kPerSecond * 4 + 5;

// Returns the arrival times of requests at an endpoint since aFromMs.
std::vector<std::int64_t> ArrivalsSince(Fake& aEndpoint, std::int64_t aFromMs)
{
  const auto all =
    aEndpoint.Stats().at("times_ms").get<std::vector<std::int64_t>>();
  std::vector<std::int64_t> since;
  std::copy_if(all.begin(),
               all.end(),
               std::back_inserter(since),
               [aFromMs](std::int64_t aAt) { return aAt >= aFromMs; });
  return since;
}

// Returns the highest number of arrivals in any window of kWindowMs.
std::size_t MaxArrivalsInWindow(const std::vector<std::int64_t>& aArrivals)
{
  std::size_t most = 0;
  std::size_t begin = 0;
  for (std::size_t end = 0; end < aArrivals.size(); ++end) {
    while (aArrivals[end] - aArrivals[begin] > kWindowMs) {
      ++begin;
    }
    most = std::max(most, end - begin + 1);
  }
  return most;
}

// Makes an endpoint advertise its limit under load and checks the rate that it
// receives, from 3 s after that on, when the hosts must keep to the limit.
void CheckKeepsLimit(GatewayDeployment& aDeployment,
                     Fake& aEndpoint,
                     HttpRequest (*aMake)(const std::string& aAttempt))
{
  Callers callers(HostsOf(aDeployment, kHosts), aMake, 80ms);
  std::this_thread::sleep_for(1s);
  aEndpoint.Control({ { "limit", std::to_string(kPerSecond) } });
  std::this_thread::sleep_for(3s);
  const std::int64_t from = NowMs();
  std::this_thread::sleep_for(9s);
  callers.Stop();
  const std::vector<std::int64_t> arrivals = ArrivalsSince(aEndpoint, from);
  CHECK_TRUE(MaxArrivalsInWindow(arrivals) <= kMaxInWindow);
  // A limited endpoint must still receive requests.
  CHECK_TRUE(arrivals.size() >= 5);
  LONGS_EQUAL(callers.Asked(), callers.Served());
}

} // namespace

TEST_GROUP(EndpointLimitTest){};

TEST(EndpointLimitTest, FloodsNoPlainEndpointThatNamesALimitToSeveralHosts)
{
  GatewayDeployment deployment({ .hosts_ = kHosts });
  CheckKeepsLimit(deployment, deployment.Board(0), MakeSafeRequest);
}

TEST(EndpointLimitTest, FloodsNoEngineThatNamesALimitToSeveralHosts)
{
  GatewayDeployment deployment(
    { .hosts_ = kHosts, .engine_ = { { "event_ms", 2 } } });
  CheckKeepsLimit(deployment, deployment.Engine(0), MakeShortPrompt);
}

TEST(EndpointLimitTest, GoesOnWhenTheHostThatGrantsDies)
{
  GatewayDeployment deployment({ .hosts_ = kHosts });
  Fake& board = deployment.Board(0);
  std::vector<Host*> hosts = HostsOf(deployment, kHosts);
  std::vector<std::string> names;
  for (std::size_t host = 0; host < kHosts; ++host) {
    names.push_back("host-" + std::to_string(host));
  }
  const std::string granterName = ChooseGranter({ .id_ = "board-0" }, names);
  const auto found = std::find(names.begin(), names.end(), granterName);
  Host* lost = hosts[static_cast<std::size_t>(found - names.begin())];
  std::erase(hosts, lost);
  Callers callers(hosts, MakeSafeRequest, 80ms);
  board.Control({ { "limit", std::to_string(kPerSecond) } });
  std::this_thread::sleep_for(4s);
  const std::int64_t from = NowMs();
  lost->Handle().Signal(SIGKILL);
  std::this_thread::sleep_for(6s);
  const std::int64_t later = NowMs();
  std::this_thread::sleep_for(6s);
  callers.Stop();
  CHECK_TRUE(MaxArrivalsInWindow(ArrivalsSince(board, from)) <= kMaxInWindow);
  CHECK_TRUE(ArrivalsSince(board, later).size() >= 3);
  LONGS_EQUAL(callers.Asked(), callers.Served());
}

TEST(EndpointLimitTest, FloodsNoEndpointInALargeFleetOfTwoZones)
{
  constexpr int kLargeFleet = 34;
  GatewayDeployment deployment({});
  Fake& board = deployment.Board(0);
  const std::string first =
    "127.0.0.1:" + std::to_string(deployment.At(0).AdminPort());
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<Host*> all{ &deployment.At(0) };
  for (int index = 1; index < kLargeFleet; ++index) {
    json settings = deployment.HostSettings("host-" + std::to_string(index));
    settings["host"]["zone"] = index % 2 == 0 ? "zone-a" : "zone-b";
    settings["peer"] = { { "port", 0 }, { "seeds", { first } } };
    hosts.push_back(std::make_unique<Host>(settings));
    all.push_back(hosts.back().get());
  }
  for (Host* host : all) {
    host->WaitReady();
  }
  // Until all hosts know that the fleet is large.
  std::this_thread::sleep_for(5s);
  Callers callers(all, MakeSafeRequest, 400ms);
  board.Control({ { "limit", std::to_string(kPerSecond) } });
  std::this_thread::sleep_for(5s);
  const std::int64_t from = NowMs();
  std::this_thread::sleep_for(10s);
  callers.Stop();
  const std::vector<std::int64_t> arrivals = ArrivalsSince(board, from);
  CHECK_TRUE(MaxArrivalsInWindow(arrivals) <= kMaxInWindow);
  CHECK_TRUE(arrivals.size() >= 5);
  LONGS_EQUAL(callers.Asked(), callers.Served());
}

TEST(EndpointLimitTest, SendsAsBeforeToAnEndpointWhoseLimitHasEnded)
{
  GatewayDeployment deployment({ .hosts_ = kHosts });
  Fake& board = deployment.Board(0);
  Callers callers(HostsOf(deployment, kHosts), MakeSafeRequest, 80ms);
  board.Control({ { "limit", std::to_string(kPerSecond) } });
  std::this_thread::sleep_for(4s);
  board.Control({ { "limit", "" } });
  const std::int64_t ended = NowMs();
  CHECK_TRUE(
    WaitUntil(10s, [&] { return ArrivalsSince(board, ended).size() > 100; }));
}

TEST(EndpointLimitTest, RefusesAtOnceWhatNoLimitedEndpointTakes)
{
  GatewayDeployment deployment({ .hosts_ = 1, .boards_ = 1 });
  deployment.Board(0).Control({ { "limit", "0" } });
  LONGS_EQUAL(
    200, deployment.SendToFirstHost(MakeSafeRequest("at-0")).value().status_);
  const std::int64_t asked = NowMs();
  const HttpResponse refused =
    deployment.SendToFirstHost(MakeSafeRequest("at-1")).value();
  LONGS_EQUAL(503, refused.status_);
  CHECK_TRUE(NowMs() - asked < 500);
  CHECK_TRUE(std::stod(std::string(refused.Field("Retry-After"))) > 0);
  LONGS_EQUAL(0, deployment.Count("arrived", "at-1"));
}
