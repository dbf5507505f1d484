// Tests of gateway hosts while operators evacuate availability zones.

#include "harness-gateway.h"

#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;
namespace names = gooseberrylift::platform;

namespace {

std::string EvacuationOf(const std::string& aZone)
{
  return std::string(names::kEvacuationsKind) + "/" + aZone;
}

GatewayDeployment::Options WithEvacuations(int aHosts)
{
  GatewayDeployment::Options options;
  options.hosts_ = aHosts;
  options.gateway_ = { { "evacuations", true } };
  return options;
}

std::size_t ArrivalsAt(Fake& aEndpoint)
{
  return aEndpoint.Stats().at("times_ms").size();
}

} // namespace

TEST_GROUP(EvacuationTest)
{
  int calls_ = 0;

  // Sends plain requests.
  // @return how many were answered with status 200
  int AskPlain(Host & aHost, int aCount)
  {
    int served = 0;
    for (int call = 0; call < aCount; ++call) {
      const std::string id = "plain-" + std::to_string(++calls_);
      const auto plain = Send(aHost.Port(), RouteRequest("GET", "/safe/a", id));
      served += plain && plain.value().status_ == 200 ? 1 : 0;
    }
    return served;
  }

  // Sends aCount plain requests and aCount prompts.
  // @return how many were answered with status 200
  int Ask(Host & aHost, int aCount)
  {
    int served = 0;
    for (int call = 0; call < aCount; ++call) {
      const std::string id = "at-" + std::to_string(++calls_);
      const auto plain = Send(aHost.Port(), RouteRequest("GET", "/safe/a", id));
      const auto prompt = Send(aHost.Port(), StreamRequest(id + "-p"));
      served += plain && plain.value().status_ == 200 ? 1 : 0;
      served += prompt && prompt.value().status_ == 200 ? 1 : 0;
    }
    return served;
  }

  static void WaitForEvacuationState(Host & aHost, bool aEvacuated)
  {
    const std::string value = aEvacuated ? "true" : "false";
    CHECK_FALSE(
      aHost.Handle().WaitForLine("\"evacuated\":" + value, 5s).empty());
  }
};

// Guards against requests to an evacuated zone.
TEST(EvacuationTest, SendsNothingToAZoneUntilItsEvacuationEnds)
{
  GatewayDeployment deployment(WithEvacuations(2));
  deployment.List("board-0", deployment.Board(0), "board", "ready", "zone-b");
  deployment.List(
    "engines-0", deployment.Engine(0), "engines", "ready", "zone-b");
  deployment.Put(EvacuationOf("zone-b"), json::object());
  for (std::size_t host = 0; host < 2; ++host) {
    WaitForEvacuationState(deployment.At(host), true);
  }
  LONGS_EQUAL(40, Ask(deployment.At(0), 20));
  LONGS_EQUAL(40, Ask(deployment.At(1), 20));
  LONGS_EQUAL(0, ArrivalsAt(deployment.Board(0)));
  LONGS_EQUAL(0, ArrivalsAt(deployment.Engine(0)));
  deployment.Remove(EvacuationOf("zone-b"));
  for (std::size_t host = 0; host < 2; ++host) {
    WaitForEvacuationState(deployment.At(host), false);
  }
  // Each request is drawn to a zone that returns with a chance of at least one
  // in eight. Chance alone doesn't leave it less than two thirds of that.
  constexpr int kCalls = 400;
  LONGS_EQUAL(kCalls, AskPlain(deployment.At(0), kCalls));
  CHECK_TRUE(ArrivalsAt(deployment.Board(0)) >= kCalls / 12);
}

TEST(EvacuationTest, SendsNothingToAnEvacuatedZoneFromAHostThatStartsLater)
{
  GatewayDeployment deployment(WithEvacuations(1));
  deployment.List("board-0", deployment.Board(0), "board", "ready", "zone-b");
  deployment.Put(EvacuationOf("zone-b"), json::object());
  Host late(deployment.HostSettings("host-late"));
  CHECK_TRUE(late.WaitReady(10s));
  const std::size_t before = ArrivalsAt(deployment.Board(0));
  (void)Ask(late, 10);
  LONGS_EQUAL(before, ArrivalsAt(deployment.Board(0)));
}

// Guards against requests that wait until their deadline although no endpoint
// is usable.
TEST(EvacuationTest, RefusesAtOnceWhereAllZonesAreEvacuated)
{
  GatewayDeployment deployment(WithEvacuations(1));
  deployment.Put(EvacuationOf("zone-a"), json::object());
  WaitForEvacuationState(deployment.At(0), true);
  const auto asked = std::chrono::steady_clock::now();
  const HttpResponse refused =
    deployment.SendToFirstHost(StreamRequest("at-1")).value();
  LONGS_EQUAL(503, refused.status_);
  CHECK_TRUE(std::chrono::steady_clock::now() - asked < 500ms);
  CHECK_TRUE(std::stod(std::string(refused.Field("Retry-After"))) > 0);
}

TEST(EvacuationTest, CompletesAStreamThatRunsInAnEvacuatedZone)
{
  GatewayDeployment::Options options = WithEvacuations(1);
  options.engine_ = { { "event_ms", 300 } };
  GatewayDeployment deployment(options);
  std::thread operatorThread([&] {
    std::this_thread::sleep_for(200ms);
    deployment.Put(EvacuationOf("zone-a"), json::object());
  });
  const auto stream = deployment.SendToFirstHost(StreamRequest("at-1"));
  operatorThread.join();
  LONGS_EQUAL(200, stream.value().status_);
  CHECK_TRUE(stream.value().body_.find("id: 5") != std::string::npos);
}

// Guards against hosts that learn of no endpoint that joins or leaves, from
// their start on too, while the list of evacuations fails.
TEST(EvacuationTest, FollowsTheEndpointsAlthoughTheListOfEvacuationsFails)
{
  GatewayDeployment deployment(WithEvacuations(1));
  LONGS_EQUAL(6, AskPlain(deployment.At(0), 6));
  deployment.Store().Control(
    { { "outage_kinds", { names::kEvacuationsKind } } });
  Host late(deployment.LoneHostSettings("host-late"));
  CHECK_TRUE(late.WaitReady(10s));
  LONGS_EQUAL(6, AskPlain(late, 6));
  deployment.List("board-0", deployment.Board(0), "board", "draining");
  for (Host* host : { &deployment.At(0), &late }) {
    CHECK_FALSE(
      host->Handle().WaitForLine("\"state\":\"leaving\"", 5s).empty());
    LONGS_EQUAL(6, AskPlain(*host, 6));
  }
  const std::size_t before = ArrivalsAt(deployment.Board(0));
  LONGS_EQUAL(6, AskPlain(late, 6));
  LONGS_EQUAL(before, ArrivalsAt(deployment.Board(0)));
}
