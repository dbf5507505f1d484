// Tests that every host stops sending requests to a draining endpoint in time,
// whatever part of the list of endpoints it could get from the store and from
// other hosts.

#include "harness-gateway.h"

#include <memory>
#include <random>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;
namespace names = gooseberrylift::platform;

namespace {

// How long after the store accepted that an endpoint drains a host may still
// send requests to it, in the smallest fleets.
constexpr auto kDrainTime = 2s;

constexpr int kRequests = 30;

// Sends requests for the plain service to a host.
// @return how many of them an endpoint served
int CountServedBy(const std::string& aEndpoint, std::uint16_t aPort)
{
  int served = 0;
  for (int index = 0; index < kRequests; ++index) {
    const auto response = Send(
      aPort,
      RouteRequest("GET", "/safe/a", aEndpoint + "-" + std::to_string(index)));
    LONGS_EQUAL(200, response.value().status_);
    served += response.value().body_.ends_with("by " + aEndpoint) ? 1 : 0;
  }
  return served;
}

json PeerSettings(GatewayDeployment& aDeployment)
{
  return { { "port", 0 },
           { "seeds",
             { "127.0.0.1:" +
               std::to_string(aDeployment.At(0).AdminPort()) } } };
}

// A text that doesn't become shorter by compression.
std::string RandomText(std::size_t aSize)
{
  static constexpr std::string_view kLetters =
    "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_";
  std::mt19937 random(1);
  std::string text(aSize, ' ');
  for (char& letter : text) {
    letter = kLetters[random() % kLetters.size()];
  }
  return text;
}

} // namespace

TEST_GROUP(EndpointListTest){};

// Guards against taking a list whose pages differ in age to be as recent as its
// most recent page.
TEST(EndpointListTest, LearnsOfADrainThatOnlyTheOldestPageOfAListLacks)
{
  GatewayDeployment deployment({ .boards_ = 4 });
  deployment.List("board-0", deployment.Board(0), "board", "draining");
  deployment.List("board-3", deployment.Board(3), "board", "ready", "zone-b");
  deployment.Store().Control(
    { { "page", 2 }, { "any_age_lags", { 2, 0, 0, 0 } } });
  json settings = deployment.HostSettings("host-late");
  settings["peer"] = PeerSettings(deployment);
  Host late(settings);
  CHECK_TRUE(late.WaitReady(5s));
  std::this_thread::sleep_for(kDrainTime);
  LONGS_EQUAL(0, CountServedBy("board-0", late.Port()));
}

// Guards against an endpoint that a list of any age still has and that no
// later change names again.
TEST(EndpointListTest, LearnsOfARemovalThatOnlyTheOldestPageOfAListLacks)
{
  GatewayDeployment deployment({ .boards_ = 4 });
  deployment.Remove(std::string(names::kEndpointsKind) + "/board-0");
  deployment.List("board-3", deployment.Board(3), "board", "ready", "zone-b");
  deployment.Store().Control(
    { { "page", 2 }, { "any_age_lags", { 2, 0, 0, 0 } } });
  json settings = deployment.HostSettings("host-late");
  settings["peer"] = PeerSettings(deployment);
  Host late(settings);
  CHECK_TRUE(late.WaitReady(5s));
  std::this_thread::sleep_for(kDrainTime);
  LONGS_EQUAL(0, CountServedBy("board-0", late.Port()));
}

// Guards against a host that keeps a list of endpoints of unlimited age, since
// other hosts prove its routes but can't send it the endpoints.
TEST(EndpointListTest, LearnsOfADrainThatNoOtherHostCanSend)
{
  constexpr int kHosts = 6;
  GatewayDeployment deployment({ .hosts_ = kHosts });
  // Until one host reads the store for all.
  std::this_thread::sleep_for(2 * kDrainTime);
  // Too large for an answer to another host.
  deployment.Put(std::string(names::kEndpointsKind) + "/large",
                 { { "state", RandomText(600'000) } });
  std::this_thread::sleep_for(kDrainTime);
  deployment.List("board-0", deployment.Board(0), "board", "draining");
  std::this_thread::sleep_for(kDrainTime);
  for (int host = 0; host < kHosts; ++host) {
    LONGS_EQUAL(0, CountServedBy("board-0", deployment.At(host).Port()));
  }
}
