// Tests of what gateway hosts exchange with their peers: requests in progress,
// and requests that crash endpoints.

#include "harness-gateway.h"

#include <csignal>
#include <cstdlib>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;
namespace names = gooseberrylift::platform;

namespace {

// Returns how many load messages a host has received.
int LoadMessagesReceived(GatewayDeployment& aDeployment, std::size_t aHost)
{
  const auto answer =
    Send(aDeployment.At(aHost).AdminPort(), MakeRequest("GET", "/metrics", ""));
  const std::string& text = answer.value().body_;
  const std::string name = "\ngooseberrylift_load_words_total ";
  const std::size_t at = text.find(name);
  return at == std::string::npos ? 0
                                 : std::atoi(text.c_str() + at + name.size());
}

} // namespace

TEST_GROUP(GatewayTest){};

// Guards against a request that crashes one endpoint after another. One host
// sends it to two endpoints, both of which crash; the other host is told of it
// and refuses it with a result code that says so, and the third endpoint
// survives.
TEST(GatewayTest, TellsOtherHostsOfARequestThatEndsEndpoints)
{
  GatewayDeployment deployment({ .hosts_ = 2, .boards_ = 3 });
  for (std::size_t board : { 0, 1, 2 }) {
    deployment.Board(board).Control({ { "fault", "crash" }, { "times", 99 } });
  }
  const auto ask = [&](std::size_t aHost, const std::string& aAttempt) {
    return Send(deployment.At(aHost).Port(),
                RouteRequest("GET", "/safe/poison", aAttempt));
  };
  LONGS_EQUAL(502, ask(0, "at-1").value().status_);
  CHECK_FALSE(
    deployment.At(0).Handle().WaitForLine("request-suspected", 5s).empty());
  // The other host learns of it within one round of peer messages.
  std::this_thread::sleep_for(2s);
  const auto refused = ask(1, "at-2");
  LONGS_EQUAL(503, refused.value().status_);
  LONGS_EQUAL(69, ErrorResponseCode(refused.value()));
  // It reached no endpoint: the only remaining one has not received it.
  int remainingBoards = 0;
  for (std::size_t board : { 0, 1, 2 }) {
    if (deployment.Board(board).Handle().WaitForExit(100ms) == -1) {
      ++remainingBoards;
      LONGS_EQUAL(
        0, deployment.Board(board).Stats().at("arrived").value("at-2", 0));
    }
  }
  LONGS_EQUAL(1, remainingBoards);
}

// Guards against refusing a harmless request as one that crashes endpoints. Two
// endpoints run it and drop the connection before the response, but keep
// running; the caller repeats it. A broken connection does not prove that the
// endpoint crashed.
TEST(GatewayTest, RefusesNoRequestForAnswersThatLivingEndpointsLost)
{
  GatewayDeployment deployment({});
  for (std::size_t board : { 0, 1 }) {
    deployment.Board(board).Control({ { "fault", "drop" }, { "times", 2 } });
  }
  const auto ask = [&](const std::string& aAttempt) {
    return deployment
      .SendToFirstHost(RouteRequest("GET", "/safe/good", aAttempt))
      .value()
      .status_;
  };
  LONGS_EQUAL(502, ask("at-1"));
  std::this_thread::sleep_for(500ms);
  LONGS_EQUAL(502, ask("at-2"));
  std::this_thread::sleep_for(500ms);
  LONGS_EQUAL(200, ask("at-3"));
}

// Guards against load on the store when hosts start: a host with a seed address
// reads its routes and endpoints once and leaves the list of members to its
// peers. Each new host must serve as soon as it is ready.
TEST(GatewayTest, ReadsTheStoreOnceWhereItStartsBesideOthers)
{
  GatewayDeployment deployment({});
  const auto lists = [&](const char* aKind) {
    return deployment.Store().Stats().value("list " + std::string(aKind), 0);
  };
  const std::string first =
    "127.0.0.1:" + std::to_string(deployment.At(0).AdminPort());
  const int members = lists("members");
  const int endpoints = lists(names::kEndpointsKind);
  std::vector<std::unique_ptr<Host>> hosts;
  for (int index = 1; index <= 4; ++index) {
    json settings = deployment.HostSettings("host-" + std::to_string(index));
    settings["peer"] = { { "port", 0 }, { "seeds", { first } } };
    hosts.push_back(std::make_unique<Host>(settings));
  }
  for (const auto& host : hosts) {
    host->WaitReady();
    const auto answer =
      Send(host->Port(), RouteRequest("GET", "/safe/a", "at"));
    LONGS_EQUAL(200, answer.value().status_);
  }
  std::this_thread::sleep_for(2s);
  // One of the new hosts may become the reader for all, and be listed as a
  // member for hosts that find no peer.
  CHECK_TRUE(lists("members") - members <= 4);
  CHECK_TRUE(lists(names::kEndpointsKind) - endpoints <= 4 + 2);
}

// Guards against a host that takes a busy engine for idle at its first request.
// One host reports a request in progress, and only then does another host
// receive its first one. Load that peers reported earlier counts as well.
TEST(GatewayTest, CountsTheRequestsOfOthersFromItsFirstOneOn)
{
  GatewayDeployment deployment(
    { .hosts_ = 2,
      .engines_ = 1,
      .engine_ = { { "event_ms", 200 }, { "events", 60 } } });
  std::thread caller(
    [&] { Send(deployment.At(0).Port(), StreamRequest("at-1")); });
  CHECK_TRUE(
    WaitUntil(10s, [&] { return LoadMessagesReceived(deployment, 1) > 1; }));
  Send(deployment.At(1).Port(), StreamRequest("at-2"), 500ms);
  const std::string placed =
    deployment.At(1).Handle().WaitForLine("request-placed", 2s);
  CHECK_TRUE(placed.find("\"running\":1") != std::string::npos);
  caller.join();
}

// Guards against sending requests to an engine that another zone has filled.
// With 34 hosts in two zones, too many for each to report to all others, one
// host per zone sums up its load. A host of one zone has a request in progress
// while a host of the other zone places one. The summing host of the first zone
// is then killed, the next host by rank takes its place, and the check is
// repeated.
TEST(GatewayTest, TellsTheOtherZonesOfALargeFleetWhatAZoneHasInWork)
{
  constexpr int kHosts = 34;
  GatewayDeployment deployment(
    { .engines_ = 1,
      .boards_ = 1,
      .engine_ = { { "event_ms", 100 }, { "events", 30 } } });
  const std::string first =
    "127.0.0.1:" + std::to_string(deployment.At(0).AdminPort());
  std::vector<std::unique_ptr<Host>> hosts;
  for (int index = 1; index < kHosts; ++index) {
    json settings = deployment.HostSettings("host-" + std::to_string(index));
    settings["host"]["zone"] = index % 2 == 0 ? "zone-a" : "zone-b";
    settings["peer"] = { { "port", 0 }, { "seeds", { first } } };
    hosts.push_back(std::make_unique<Host>(settings));
  }
  std::set<const Host*> killed;
  // Hosts of zone-b: host-1, host-3 and so on.
  const auto summingHost = [&]() -> Host* {
    for (std::size_t index = 0; index < hosts.size(); index += 2) {
      Host* host = hosts[index].get();
      const std::string output = host->Handle().Output();
      const std::size_t lastStart = output.rfind("\"sums\":true");
      const std::size_t lastEnd = output.rfind("\"sums\":false");
      const bool sums = lastStart != std::string::npos &&
                        (lastEnd == std::string::npos || lastEnd < lastStart);
      if (sums && !killed.contains(host)) {
        return host;
      }
    }
    return nullptr;
  };
  const auto seesOtherZonesLoad = [&] {
    const std::size_t before = deployment.At(0).Handle().Output().size();
    Host* busy = hosts[summingHost() == hosts[0].get() ? 2 : 0].get();
    std::thread caller(
      [&] { (void)Send(busy->Port(), StreamRequest("at-1")); });
    std::this_thread::sleep_for(1s);
    (void)Send(deployment.At(0).Port(), StreamRequest("at-2"), 500ms);
    caller.join();
    return deployment.At(0).Handle().Output().find("\"running\":1", before) !=
           std::string::npos;
  };
  CHECK_TRUE(WaitUntil(20s, [&] { return summingHost() != nullptr; }));
  CHECK_TRUE(WaitUntil(20s, seesOtherZonesLoad));
  Host* killedHost = summingHost();
  killed.insert(killedHost);
  killedHost->Handle().Signal(SIGKILL);
  CHECK_TRUE(WaitUntil(10s, [&] { return summingHost() != nullptr; }));
  CHECK_TRUE(WaitUntil(20s, seesOtherZonesLoad));
}

// Hosts learn of each other's requests while these run, by load messages.
TEST(GatewayTest, TellsOtherHostsWhatItHasInWork)
{
  GatewayDeployment deployment(
    { .hosts_ = 2,
      .engines_ = 1,
      .engine_ = { { "event_ms", 100 }, { "events", 30 } } });
  CHECK_TRUE(WaitUntil(20s, [&] {
    std::thread caller(
      [&] { Send(deployment.At(0).Port(), StreamRequest("at-1")); });
    std::this_thread::sleep_for(1s);
    Send(deployment.At(1).Port(), StreamRequest("at-2"));
    caller.join();
    return !deployment.At(1)
              .Handle()
              .WaitForLine("\"running\":1", 100ms)
              .empty();
  }));
  CHECK_TRUE(LoadMessagesReceived(deployment, 1) > 0);
}
