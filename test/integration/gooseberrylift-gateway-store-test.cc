// Hosts that serve routes, and what they read from the fleet platform's store:
// routes, keys, endpoints, their outages and odd entries, and hosts that read
// for others.

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

constexpr std::size_t kFleet = 6; // hosts

// Says whether a host reads the store, by its last word on it.
bool Reads(GatewayDeployment& aDeployment, std::size_t aHost)
{
  const std::string output = aDeployment.At(aHost).Handle().Output();
  const std::size_t yes = output.rfind("\"reads_itself\":true");
  const std::size_t no = output.rfind("\"reads_itself\":false");
  return yes != std::string::npos && (no == std::string::npos || no < yes);
}

// Waits until all but one have left the store to that one, and gives it.
std::size_t WaitForReader(GatewayDeployment& aDeployment)
{
  std::size_t reader = kFleet;
  CHECK_TRUE(WaitUntil(20s, [&] {
    int reading = 0;
    for (std::size_t host = 0; host < kFleet; ++host) {
      if (Reads(aDeployment, host)) {
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

// Callers of an endpoint that leaves are served by the others, from the moment
// at which the store lists it as leaving; also when its address has already
// gone to another endpoint, which says so.
TEST(GatewayTest, SendsNothingToEndpointsThatLeaveOrWereReplaced)
{
  GatewayDeployment deployment({});
  deployment.List("board-0", deployment.Board(0), "board", "draining");
  deployment.At(0).Handle().WaitForLine("\"state\":\"leaving\"", 5s);
  for (int round = 0; round < 6; ++round) {
    const std::string attempt = "at-" + std::to_string(round);
    const auto answer = deployment.Ask(RouteRequest("GET", "/safe/a", attempt));
    CHECK_TRUE(answer.value().body_.ends_with("by board-1"));
  }
  deployment.Engine(0).Control({ { "id", "newcomer" } });
  for (int round = 0; round < 6; ++round) {
    const std::string attempt = "st-" + std::to_string(round);
    LONGS_EQUAL(200, deployment.Ask(StreamRequest(attempt)).value().status_);
  }
}

// Callers with keys are refused truthfully once nothing proves their keys any
// more; public routes go on. The order: the store falls silent, the last proof
// grows older than the revocation time, the store returns.
TEST(GatewayTest, RefusesKeysWhenTheStoreIsAwayForTooLong)
{
  GatewayDeployment deployment({ .gateway_ = { { "revoke_ms", 2500 } } });
  const auto status = [&](const std::string& aPath) {
    return deployment.Ask(RouteRequest("GET", aPath, "at")).value().status_;
  };
  deployment.Store().Control({ { "outage", true } });
  CHECK_TRUE(WaitUntil(6s, [&] { return status("/safe/a") == 503; }));
  LONGS_EQUAL(200, status("/open/a"));
  deployment.Store().Control({ { "outage", false } });
  CHECK_TRUE(WaitUntil(5s, [&] { return status("/safe/a") == 200; }));
}

// A key that is taken away while watches are mute is refused within the
// revocation time, because the host reads as well as watches.
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
    return deployment.Ask(RouteRequest("GET", "/safe/a", "at"))
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
  LONGS_EQUAL(
    200, deployment.Ask(RouteRequest("GET", "/safe/a", "at")).value().status_);
}

// A host that starts while the store is away serves nobody, and says so: it is
// not ready, and a caller that comes all the same is told when to return. A 404
// would tell the caller that its route is gone.
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
  // The address answers as board-0, so each of the seven is found out.
  CHECK_TRUE(WaitUntil(5s, [&] {
    return deployment.Ask(RouteRequest("GET", "/safe/a", "at"))
             .value()
             .status_ == 503;
  }));
}

// Callers must go on being served whatever some other writer puts beside the
// engines' entries. The order: odd entries of every kind lie in the store when
// the host starts, and more come while it runs. Why: one that can't be read
// names no endpoint, and must not hide the others either.
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
  json odd = json::object();
  odd["servers/text"] = "not an object";
  odd["servers/empty"] = json::object();
  odd["servers/state"] = with("state", "resting");
  odd["servers/state-type"] = with("state", 7);
  odd["servers/slots"] = with("slots", "16");
  odd["servers/fraction"] = with("slots", 2.5);
  odd["servers/address"] = with("address", "somewhere");
  odd["servers/born"] = with("born", "yesterday");
  odd["servers/bytes"] = with("zone", "ODD-BYTES");
  odd["servers/ODD-BYTES"] = with("state", json::array());
  odd["servers/large"] = with("state", std::string(1'000'000, 'x'));
  json without = good;
  without.erase("sequence");
  odd["servers/without"] = without;
  GatewayDeployment deployment({ .boards_ = 1 });
  const auto serves = [&] {
    for (int call = 0; call < 10; ++call) {
      const auto answer = deployment.Ask(
        RouteRequest("GET", "/safe/a", "at-" + std::to_string(call)));
      LONGS_EQUAL(200, answer.value().status_);
    }
  };
  deployment.Store().Control({ { "put", odd } }); // seen by the watch
  CHECK_FALSE(deployment.At(0)
                .Handle()
                .WaitForLine("\"endpoint\":\"without\"", 5s)
                .empty());
  serves();
  deployment.Store().Control({ { "forget_history", true } }); // a list follows
  std::this_thread::sleep_for(2500ms);
  serves();
  // One line a version, however often the entry is read.
  std::istringstream output(deployment.At(0).Handle().Output());
  int refusals = 0;
  for (std::string line; std::getline(output, line);) {
    const bool ofIt =
      line.find("\"endpoint\":\"state-type\"") != std::string::npos;
    refusals += ofIt && line.find("entry-refused") != std::string::npos ? 1 : 0;
  }
  LONGS_EQUAL(1, refusals);
}

// Callers must reach an engine that is back under its id. The order: it is
// leaving, crashes, and its new life lists itself, younger, under the same id.
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
    return deployment.Ask(RouteRequest("GET", "/safe/a", "at")).value().status_;
  };
  list(1000, "draining");
  CHECK_TRUE(WaitUntil(5s, [&] { return ask() == 503; }));
  list(1000, "ready"); // the same life: leaving is for good
  std::this_thread::sleep_for(500ms);
  LONGS_EQUAL(503, ask());
  list(2000, "ready");
  CHECK_TRUE(WaitUntil(5s, [&] { return ask() == 200; }));
}

// Callers see every change in time on each host, though all but one hear of the
// store from others. The order: a key is taken away and another added; an
// endpoint is listed as leaving; the reader is killed, and the keys change
// again.
TEST(GatewayTest, KeepsAllHostsAtWhatOneOfThemReads)
{
  GatewayDeployment deployment(
    { .hosts_ = static_cast<int>(kFleet), .boards_ = 2 });
  const std::size_t reader = WaitForReader(deployment);
  const auto rekey = [&](int aVersion, const char* aKey) {
    json document = deployment.Document();
    document["version"] = aVersion;
    document["tenants"][0]["apiKeys"] = { aKey };
    deployment.PutDocument(document);
  };
  const auto allAnswer = [&](const char* aKey, int aStatus) {
    return WaitUntil(10s, [&] {
      for (std::size_t host = 0; host < kFleet; ++host) {
        if (StatusAt(deployment, host, aKey) != aStatus) {
          return false;
        }
      }
      return true;
    });
  };
  rekey(2, "second-key");
  CHECK_TRUE(allAnswer("second-key", 200));
  CHECK_TRUE(allAnswer("team-key", 401));
  deployment.List("board-0", deployment.Board(0), "board", "draining");
  for (std::size_t host = 0; host < kFleet; ++host) {
    CHECK_FALSE(
      deployment.At(host).Handle().WaitForLine("\"leaving\"", 5s).empty());
  }
  deployment.At(reader).Handle().Signal(SIGKILL);
  rekey(3, "third-key");
  for (std::size_t host = 0; host < kFleet; ++host) {
    if (host != reader) {
      CHECK_TRUE(WaitUntil(10s, [&] {
        return StatusAt(deployment, host, "third-key") == 200 &&
               StatusAt(deployment, host, "second-key") == 401;
      }));
    }
  }
}

// What the operators of the store see: six hosts cost it the calls of one. What
// callers see while it is away: keys are honoured until the bound has passed,
// then refused on all hosts, and honoured again soon after it is back.
TEST(GatewayTest, LosesAndRegainsTheStoreAsOneHostDoes)
{
  GatewayDeployment deployment({ .hosts_ = static_cast<int>(kFleet),
                                 .gateway_ = { { "revoke_ms", 4'000 } } });
  (void)WaitForReader(deployment);
  const auto calls = [&] { return deployment.Store().Stats().value("GET", 0); };
  const int before = calls();
  std::this_thread::sleep_for(4s);
  // One reader makes a call a second, and the first host by rank looks at the
  // list of members now and then; six that read for themselves make 24.
  CHECK_TRUE(calls() - before < 12);
  const auto allAnswer = [&](int aStatus) {
    return WaitUntil(15s, [&] {
      for (std::size_t host = 0; host < kFleet; ++host) {
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
  deployment.Store().Control({ { "keep_for_any_age", true } });
  json document = deployment.Document();
  document["version"] = 2;
  document["tenants"][0]["apiKeys"] = { "new-key" };
  deployment.PutDocument(document);
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
