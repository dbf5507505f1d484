// Tests of endpoints that are cold, and of routes and teams that allow some
// regions only.

#include "harness-callers.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;
namespace names = gooseberrylift::platform;

namespace {

constexpr std::size_t kHosts = 3;
constexpr std::int64_t kColdMs = 5'000;
constexpr double kMaxInSecond = 1.5 * 4 + 5; // with the terms below

GatewayDeployment::Options ColdOptions(int aEngines)
{
  return { .hosts_ = kHosts,
           .engines_ = aEngines,
           .engine_ = { { "event_ms", 2 } },
           .gateway_ = { { "cold_overshoot", 1.5 }, { "cold_slack", 5 } } };
}

// Declares how many requests per second cold engines tolerate, and waits until
// those that are listed, whose entries don't tell, count as warm.
void DeclareCold(GatewayDeployment& aDeployment)
{
  json document = aDeployment.Document();
  document["version"] = 2;
  document["services"][0]["coldStartS"] = 2;
  document["services"][0]["coldPerS"] = 4;
  aDeployment.PutDocument(document);
  std::this_thread::sleep_for(3s);
}

// Lists an engine as cold for kColdMs.
void ListCold(GatewayDeployment& aDeployment,
              const std::string& aId,
              const Fake& aFake)
{
  const json entry = {
    { "service", "engines" }, { "address", aFake.Address() },
    { "zone", "zone-a" },     { "version", "v1" },
    { "slots", 16 },          { "sequence", 2 },
    { "state", "ready" },     { "coldRemainingMs", kColdMs }
  };
  aDeployment.Put(std::string(names::kEndpointsKind) + "/" + aId, entry);
}

std::vector<std::int64_t> ArrivalsSince(Fake& aEndpoint, std::int64_t aFromMs)
{
  auto times =
    aEndpoint.Stats().at("times_ms").get<std::vector<std::int64_t>>();
  std::erase_if(times, [aFromMs](std::int64_t aAt) { return aAt < aFromMs; });
  return times;
}

std::size_t MaxInAnySecond(const std::vector<std::int64_t>& aTimes)
{
  std::size_t most = 0;
  for (auto begin = aTimes.begin(); begin != aTimes.end(); ++begin) {
    const auto end = std::upper_bound(begin, aTimes.end(), *begin + 1'000);
    most = std::max(most, static_cast<std::size_t>(end - begin));
  }
  return most;
}

// Adds an engine that is cold beside one that serves, under load of all hosts,
// and returns the most requests that it gets in any second while it is.
std::size_t MaxAtColdEngine(GatewayDeployment& aDeployment, Fake& aEngine)
{
  Callers callers(HostsOf(aDeployment, kHosts), MakeShortPrompt, 15ms);
  std::this_thread::sleep_for(1s);
  const std::int64_t from = NowMs();
  ListCold(aDeployment, "engines-9", aEngine);
  std::this_thread::sleep_for(std::chrono::milliseconds(kColdMs));
  const auto arrivals = ArrivalsSince(aEngine, from);
  // Warm engines get requests as before.
  CHECK_TRUE(WaitUntil(
    5s, [&] { return ArrivalsSince(aEngine, from + kColdMs).size() > 20; }));
  callers.Stop();
  LONGS_EQUAL(callers.Asked(), callers.Served());
  return MaxInAnySecond(arrivals);
}

std::size_t ArrivalsAt(Fake& aEndpoint)
{
  return aEndpoint.Stats().at("times_ms").size();
}

// Board-1 and engine-2 are in another region than the other endpoints.
GatewayDeployment::Options TwoRegions()
{
  return { .engines_ = 3,
           .gateway_ = { { "zone_regions",
                           { { "zone-a", "here" }, { "zone-b", "there" } } } },
           .host_ = { { "host", { { "region", "here" } } } } };
}

void AllowRegions(GatewayDeployment& aDeployment,
                  const json& aOfRoutes,
                  const json& aOfTeam)
{
  aDeployment.List("board-1", aDeployment.Board(1), "board", "ready", "zone-b");
  aDeployment.List(
    "engines-2", aDeployment.Engine(2), "engines", "ready", "zone-b");
  json document = aDeployment.Document();
  document["version"] = 2;
  for (json& route : document["routes"]) {
    route["allowedRegions"] = aOfRoutes;
  }
  document["tenants"][0]["allowedRegions"] = aOfTeam;
  aDeployment.PutDocument(document);
  std::this_thread::sleep_for(3s);
}

} // namespace

TEST_GROUP(ColdEndpointTest){};

TEST(ColdEndpointTest, GetsFewRequestsFromAllHostsTogether)
{
  GatewayDeployment deployment(ColdOptions(1));
  DeclareCold(deployment);
  Fake engine("fleet-engine", { { "id", "engines-9" }, { "event_ms", 2 } });
  CHECK_TRUE(static_cast<double>(MaxAtColdEngine(deployment, engine)) <=
             kMaxInSecond);
}

// Shows that the load of the test above passes the bound.
TEST(ColdEndpointTest, GetsAsManyAsOthersWithoutABound)
{
  GatewayDeployment::Options options = ColdOptions(1);
  options.gateway_ = json::object();
  GatewayDeployment deployment(options);
  DeclareCold(deployment);
  Fake engine("fleet-engine", { { "id", "engines-9" }, { "event_ms", 2 } });
  CHECK_TRUE(static_cast<double>(MaxAtColdEngine(deployment, engine)) >
             kMaxInSecond);
}

TEST(ColdEndpointTest, ServesWithinTheBoundIfNoOtherIsLeft)
{
  GatewayDeployment deployment(ColdOptions(1));
  DeclareCold(deployment);
  Fake& engine = deployment.Engine(0);
  ListCold(deployment, "engines-0", engine);
  std::this_thread::sleep_for(1s);
  const std::int64_t from = NowMs();
  Callers callers(HostsOf(deployment, kHosts), MakeShortPrompt, 15ms);
  std::this_thread::sleep_for(3500ms);
  const auto arrivals = ArrivalsSince(engine, from);
  callers.Stop();
  CHECK_TRUE(static_cast<double>(MaxInAnySecond(arrivals)) <= kMaxInSecond);
  CHECK_TRUE(arrivals.size() >= 3);
}

TEST_GROUP(AllowedRegionsTest){};

TEST(AllowedRegionsTest, ReachesNoOtherRegionWithRequestsHelpersAndRetries)
{
  GatewayDeployment deployment(TwoRegions());
  AllowRegions(deployment, json::array(), { "here" });
  const std::size_t board = ArrivalsAt(deployment.Board(1));
  const std::size_t engine = ArrivalsAt(deployment.Engine(2));
  for (int number = 0; number < 30; ++number) {
    const std::string id = "at-" + std::to_string(number);
    LONGS_EQUAL(
      200, deployment.SendToFirstHost(MakeSafeRequest(id)).value().status_);
    deployment.Engine(0).Control({ { "fault", "cut" }, { "times", 1 } });
    deployment.SendToFirstHost(StreamRequest("s" + id));
  }
  for (int number = 0; number < 5; ++number) {
    const std::string id = "long-" + std::to_string(number);
    deployment.Engine(0).Control({ { "fault", "" } });
    deployment.SendToFirstHost(StreamRequest(id, 300'000));
    for (const std::size_t index : { 0U, 1U }) {
      const std::string helpers =
        deployment.Engine(index).Stats().at("helpers").value(id, "");
      CHECK_TRUE(helpers.find(deployment.Engine(2).Address()) ==
                 std::string::npos);
    }
  }
  LONGS_EQUAL(board, ArrivalsAt(deployment.Board(1)));
  LONGS_EQUAL(engine, ArrivalsAt(deployment.Engine(2)));
}

TEST(AllowedRegionsTest, RejectsAtOnceIfRouteAndTeamAllowNoRegionTogether)
{
  GatewayDeployment deployment(TwoRegions());
  AllowRegions(deployment, { "there" }, { "here" });
  const std::int64_t asked = NowMs();
  const HttpResponse refused =
    deployment.SendToFirstHost(MakeSafeRequest("at-0")).value();
  LONGS_EQUAL(503, refused.status_);
  CHECK_TRUE(NowMs() - asked < 300);
  CHECK_TRUE(refused.body_.find("72") != std::string::npos);
  LONGS_EQUAL(0, deployment.Count("arrived", "at-0"));
  // The public route has no team, so that only its own regions count.
  LONGS_EQUAL(
    200,
    deployment.SendToFirstHost(RouteRequest("GET", "/open/x", "at-1", ""))
      .value()
      .status_);
  LONGS_EQUAL(1, deployment.Board(1).Stats().at("arrived").value("at-1", 0));
}
