// Tests of what gateway hosts read from the fleet platform's store: routes,
// keys and endpoints, store outages, malformed entries, and hosts that read the
// store for their peers.

#include "harness-gateway.h"

#include <csignal>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;
namespace names = gooseberrylift::platform;

namespace {

constexpr std::size_t kHosts = 6;

// Returns whether a host reads the store itself, by its last log line on that.
bool ReadsStore(GatewayDeployment& aDeployment, std::size_t aHost)
{
  const std::string output = aDeployment.At(aHost).Handle().Output();
  const std::size_t yes = output.rfind("\"reads_itself\":true");
  const std::size_t no = output.rfind("\"reads_itself\":false");
  return yes != std::string::npos && (no == std::string::npos || no < yes);
}

// Waits until only one host reads the store.
// @return the index of that host
std::size_t WaitForReader(GatewayDeployment& aDeployment)
{
  std::size_t reader = kHosts;
  CHECK_TRUE(WaitUntil(20s, [&] {
    int reading = 0;
    for (std::size_t host = 0; host < kHosts; ++host) {
      if (ReadsStore(aDeployment, host)) {
        ++reading;
        reader = host;
      }
    }
    return reading == 1;
  }));
  return reader;
}

int StatusAt(GatewayDeployment& aDeployment,
             std::size_t aHost,
             const std::string& aKey = "team-key")
{
  return Send(aDeployment.At(aHost).Port(),
              RouteRequest("GET", "/safe/a", "at", aKey))
    .value()
    .status_;
}

} // namespace

TEST_GROUP(GatewayTest){};

// An endpoint gets no more requests once the store lists it as draining.
// Neither does one whose address another endpoint has taken over, which shows
// in the identity that it reports. The other endpoints serve the callers.
TEST(GatewayTest, SendsNothingToEndpointsThatLeaveOrWereReplaced)
{
  GatewayDeployment deployment({});
  deployment.List("board-0", deployment.Board(0), "board", "draining");
  deployment.At(0).Handle().WaitForLine("\"state\":\"leaving\"", 5s);
  for (int round = 0; round < 6; ++round) {
    const std::string attempt = "at-" + std::to_string(round);
    const auto answer =
      deployment.SendToFirstHost(RouteRequest("GET", "/safe/a", attempt));
    CHECK_TRUE(answer.value().body_.ends_with("by board-1"));
  }
  deployment.Engine(0).Control({ { "id", "newcomer" } });
  for (int round = 0; round < 6; ++round) {
    const std::string attempt = "st-" + std::to_string(round);
    LONGS_EQUAL(
      200, deployment.SendToFirstHost(StreamRequest(attempt)).value().status_);
  }
}

// Requests with keys are refused with 503 once the last proof of the keys is
// older than the revocation time because the store is down; public routes are
// still served. Keys are accepted again after the store has recovered.
TEST(GatewayTest, RefusesKeysWhenTheStoreIsAwayForTooLong)
{
  GatewayDeployment deployment({ .gateway_ = { { "revoke_ms", 2500 } } });
  const auto status = [&](const std::string& aPath) {
    return deployment.SendToFirstHost(RouteRequest("GET", aPath, "at"))
      .value()
      .status_;
  };
  deployment.Store().Control({ { "outage", true } });
  CHECK_TRUE(WaitUntil(6s, [&] { return status("/safe/a") == 503; }));
  LONGS_EQUAL(200, status("/open/a"));
  deployment.Store().Control({ { "outage", false } });
  CHECK_TRUE(WaitUntil(5s, [&] { return status("/safe/a") == 200; }));
}

// A key that is revoked while watches deliver nothing is refused within the
// revocation time, because the host reads the store as well as watching it.
TEST(GatewayTest, LearnsOfARevokedKeyThroughAMuteWatch)
{
  GatewayDeployment deployment({});
  deployment.Store().Control({ { "mute_ms", 1000 } });
  json document = deployment.Document();
  document["version"] = 2;
  document["tenants"][0]["apiKeys"] = { "other-key" };
  deployment.PutDocument(document);
  deployment.Store().Control({ { "forget_history", true } });
  CHECK_TRUE(WaitUntil(5s, [&] {
    return deployment.SendToFirstHost(RouteRequest("GET", "/safe/a", "at"))
             .value()
             .status_ == 401;
  }));
}

TEST(GatewayTest, KeepsTheRoutesInForceThroughWrongAndOlderDocuments)
{
  GatewayDeployment deployment({});
  json document = deployment.Document();
  document["version"] = 7;
  deployment.PutDocument(document);
  deployment.At(0).Handle().WaitForLine("\"generation\":7", 5s);
  deployment.PutDocument({ { "version", 8 }, { "routes", "none" } });
  const std::string refused =
    deployment.At(0).Handle().WaitForLine("\"event\":1101", 5s);
  CHECK_TRUE(refused.find("spec.routes") != std::string::npos);
  document["version"] = 3;
  deployment.PutDocument(document);
  CHECK_FALSE(
    deployment.At(0).Handle().WaitForLine("\"event\":1104", 5s).empty());
  LONGS_EQUAL(200,
              deployment.SendToFirstHost(RouteRequest("GET", "/safe/a", "at"))
                .value()
                .status_);
}

// A host that starts while the store is unreachable reports that it is not
// ready and answers requests with 503 and Retry-After. A 404 would tell the
// caller that its route no longer exists.
TEST(GatewayTest, IsNotReadyBeforeItKnowsRoutes)
{
  GatewayDeployment deployment({});
  json settings = deployment.HostSettings("host-alone");
  settings["store"]["addresses"] = { "127.0.0.1:1" };
  Host alone(settings);
  const auto ready = Send(alone.AdminPort(), MakeRequest("/readyz"));
  LONGS_EQUAL(503, ready.value().status_);
  const auto answer =
    Send(alone.Port(), RouteRequest("GET", "/safe/a", "at-1"));
  LONGS_EQUAL(503, answer.value().status_);
  CHECK_FALSE(answer.value().Field(names::kRetryAfter).empty());
}

TEST(GatewayTest, ReadsALongListOfEndpointsPageByPage)
{
  GatewayDeployment deployment({ .boards_ = 1 });
  deployment.Store().Control({ { "page", 2 } });
  for (int index = 0; index < 7; ++index) {
    deployment.List(
      "zz-" + std::to_string(index), deployment.Board(0), "other");
  }
  deployment.Store().Control({ { "forget_history", true } });
  json document = deployment.Document();
  document["version"] = 2;
  document["routes"][1]["service"] = "other";
  deployment.PutDocument(document);
  // The address answers as board-0, so each of the seven entries is recognized
  // as wrong.
  CHECK_TRUE(WaitUntil(5s, [&] {
    return deployment.SendToFirstHost(RouteRequest("GET", "/safe/a", "at"))
             .value()
             .status_ == 503;
  }));
}

// Guards against malformed endpoint entries of another writer that stop the
// host from serving. Such entries of many kinds reach the host first by the
// watch and then by a list. An entry that cannot be read names no endpoint and
// must not hide the valid ones.
TEST(GatewayTest, ServesOnBesideEntriesOfAnotherWriter)
{
  const json good = { { "service", "board" }, { "address", "127.0.0.1:9" },
                      { "zone", "zone-a" },   { "version", "v1" },
                      { "slots", 16 },        { "sequence", 1 },
                      { "state", "ready" } };
  const auto with = [&good](const char* aName, const json& aValue) {
    json entry = good;
    entry[aName] = aValue;
    return entry;
  };
  json malformedEntries = json::object();
  malformedEntries["servers/text"] = "not an object";
  malformedEntries["servers/empty"] = json::object();
  malformedEntries["servers/state"] = with("state", "resting");
  malformedEntries["servers/state-type"] = with("state", 7);
  malformedEntries["servers/slots"] = with("slots", "16");
  malformedEntries["servers/fraction"] = with("slots", 2.5);
  malformedEntries["servers/address"] = with("address", "somewhere");
  malformedEntries["servers/born"] = with("born", "yesterday");
  malformedEntries["servers/bytes"] = with("zone", "ODD-BYTES");
  malformedEntries["servers/ODD-BYTES"] = with("state", json::array());
  malformedEntries["servers/large"] =
    with("state", std::string(1'000'000, 'x'));
  json without = good;
  without.erase("sequence");
  malformedEntries["servers/without"] = without;
  GatewayDeployment deployment({ .boards_ = 1 });
  const auto checkServes = [&] {
    for (int call = 0; call < 10; ++call) {
      const auto answer = deployment.SendToFirstHost(
        RouteRequest("GET", "/safe/a", "at-" + std::to_string(call)));
      LONGS_EQUAL(200, answer.value().status_);
    }
  };
  deployment.Store().Control(
    { { "put", malformedEntries } }); // delivered by the watch
  CHECK_FALSE(deployment.At(0)
                .Handle()
                .WaitForLine("\"endpoint\":\"without\"", 5s)
                .empty());
  checkServes();
  deployment.Store().Control({ { "forget_history", true } }); // a list follows
  std::this_thread::sleep_for(2500ms);
  checkServes();
  // One log line per version, however often the entry is read.
  std::istringstream output(deployment.At(0).Handle().Output());
  int refusals = 0;
  for (std::string line; std::getline(output, line);) {
    const bool isOfEntry =
      line.find("\"endpoint\":\"state-type\"") != std::string::npos;
    refusals +=
      isOfEntry && line.find("entry-refused") != std::string::npos ? 1 : 0;
  }
  LONGS_EQUAL(1, refusals);
}

// Guards against ignoring an endpoint that restarted under its id: it is
// draining, crashes, and its new incarnation is listed under the same id with a
// later start time.
TEST(GatewayTest, UsesAnEngineThatStartedAgainUnderItsId)
{
  GatewayDeployment deployment({ .boards_ = 1 });
  const auto list = [&](std::int64_t aBorn, const char* aState) {
    const json entry = {
      { "service", "board" }, { "address", deployment.Board(0).Address() },
      { "zone", "zone-a" },   { "version", "v1" },
      { "slots", 16 },        { "sequence", 1 },
      { "born", aBorn },      { "state", aState }
    };
    deployment.Store().Control({ { "put", { { "servers/board-0", entry } } } });
  };
  const auto ask = [&] {
    return deployment.SendToFirstHost(RouteRequest("GET", "/safe/a", "at"))
      .value()
      .status_;
  };
  list(1000, "draining");
  CHECK_TRUE(WaitUntil(5s, [&] { return ask() == 503; }));
  list(1000, "ready"); // the same incarnation: draining is final
  std::this_thread::sleep_for(500ms);
  LONGS_EQUAL(503, ask());
  list(2000, "ready");
  CHECK_TRUE(WaitUntil(5s, [&] { return ask() == 200; }));
}

// Every change in the store takes effect on each host in time, although only
// one host reads the store and the others learn from it. A key is replaced, an
// endpoint is listed as draining, then the reader is killed and the key is
// replaced again.
TEST(GatewayTest, KeepsAllHostsAtWhatOneOfThemReads)
{
  GatewayDeployment deployment(
    { .hosts_ = static_cast<int>(kHosts), .boards_ = 2 });
  const std::size_t reader = WaitForReader(deployment);
  const auto replaceKey = [&](int aVersion, const char* aKey) {
    json document = deployment.Document();
    document["version"] = aVersion;
    document["tenants"][0]["apiKeys"] = { aKey };
    deployment.PutDocument(document);
  };
  const auto allAnswer = [&](const char* aKey, int aStatus) {
    return WaitUntil(10s, [&] {
      for (std::size_t host = 0; host < kHosts; ++host) {
        if (StatusAt(deployment, host, aKey) != aStatus) {
          return false;
        }
      }
      return true;
    });
  };
  replaceKey(2, "second-key");
  CHECK_TRUE(allAnswer("second-key", 200));
  CHECK_TRUE(allAnswer("team-key", 401));
  deployment.List("board-0", deployment.Board(0), "board", "draining");
  for (std::size_t host = 0; host < kHosts; ++host) {
    CHECK_FALSE(
      deployment.At(host).Handle().WaitForLine("\"leaving\"", 5s).empty());
  }
  deployment.At(reader).Handle().Signal(SIGKILL);
  replaceKey(3, "third-key");
  for (std::size_t host = 0; host < kHosts; ++host) {
    if (host != reader) {
      CHECK_TRUE(WaitUntil(10s, [&] {
        return StatusAt(deployment, host, "third-key") == 200 &&
               StatusAt(deployment, host, "second-key") == 401;
      }));
    }
  }
}

// Six hosts put the load of one on the store. During an outage of the store,
// keys are accepted until the revocation time has passed, then refused on all
// hosts, and accepted again soon after the outage ends.
TEST(GatewayTest, LosesAndRegainsTheStoreAsOneHostDoes)
{
  GatewayDeployment deployment({ .hosts_ = static_cast<int>(kHosts),
                                 .gateway_ = { { "revoke_ms", 4'000 } } });
  (void)WaitForReader(deployment);
  const auto calls = [&] { return deployment.Store().Stats().value("GET", 0); };
  const int before = calls();
  std::this_thread::sleep_for(4s);
  // One reader makes one call per second, and the first host by rank reads the
  // list of members occasionally; six hosts that read for themselves make 24.
  CHECK_TRUE(calls() - before < 12);
  const auto allAnswer = [&](int aStatus) {
    return WaitUntil(15s, [&] {
      for (std::size_t host = 0; host < kHosts; ++host) {
        if (StatusAt(deployment, host) != aStatus) {
          return false;
        }
      }
      return true;
    });
  };
  CHECK_TRUE(allAnswer(200));
  deployment.Store().Control({ { "outage", true } });
  CHECK_TRUE(allAnswer(503));
  deployment.Store().Control({ { "outage", false } });
  CHECK_TRUE(allAnswer(200));
}

// Guards against a full list of the endpoints by every host that starts.
TEST(GatewayTest, StartsFromListsOfAnyAgeAndLearnsChangesFromOtherHosts)
{
  GatewayDeployment deployment({});
  const json before = deployment.Store().Stats();
  std::vector<std::unique_ptr<Host>> hosts;
  for (int index = 1; index < 5; ++index) {
    json settings = deployment.HostSettings("host-" + std::to_string(index));
    settings["peer"] = { { "port", 0 },
                         { "seeds",
                           { "127.0.0.1:" +
                             std::to_string(deployment.At(0).AdminPort()) } } };
    hosts.push_back(std::make_unique<Host>(settings));
  }
  for (const auto& host : hosts) {
    CHECK_TRUE(host->WaitReady(5s));
    LONGS_EQUAL(
      200,
      Send(host->Port(), RouteRequest("GET", "/safe/a", "at")).value().status_);
  }
  const json after = deployment.Store().Stats();
  const std::string kind = std::string(" ") + names::kEndpointsKind;
  LONGS_EQUAL(4, after.value("list-any-age" + kind, 0));
  LONGS_EQUAL(before.value("list" + kind, 0), after.value("list" + kind, 0));
}

// Guards against accepting a revoked key that a list of any age still contains.
TEST(GatewayTest, RejectsRevokedKeyFromListOfAnyAge)
{
  GatewayDeployment deployment({});
  json document = deployment.Document();
  document["version"] = 2;
  document["tenants"][0]["apiKeys"] = { "new-key" };
  deployment.PutDocument(document);
  deployment.Store().Control({ { "any_age_lags", { 1 } } });
  json settings = deployment.HostSettings("host-late");
  // No host listens on the seed address, so this host must prove its own
  // routes.
  settings["peer"] = { { "port", 0 }, { "seeds", { "127.0.0.1:1" } } };
  Host late(settings);
  const auto old =
    Send(late.Port(), RouteRequest("GET", "/safe/a", "at-1", "team-key"));
  LONGS_EQUAL(401, old.value().status_);
  const auto served =
    Send(late.Port(), RouteRequest("GET", "/safe/a", "at-2", "new-key"));
  LONGS_EQUAL(200, served.value().status_);
}
