// Tests of requests whose first attempt fails, stalls or loses its host.

#include "harness-streams.h"

#include "harness-callers.h"
#include "harness-links.h"
#include "harness-raw-connection.h"

#include <csignal>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds kEventInterval{ 100 };

std::unique_ptr<Fake> AddEngine(GatewayDeployment& aDeployment,
                                const std::string& aId,
                                int aEvents)
{
  json settings = LongStreamEngine(aEvents, kEventInterval);
  settings["id"] = aId;
  auto engine = std::make_unique<Fake>("fleet-engine", settings);
  aDeployment.List(aId, *engine, "engines");
  return engine;
}

// Returns whether two lists of helpers have the same reservation at the same
// helper.
bool ShareAnEntry(const std::string& aLeft, const std::string& aRight)
{
  std::istringstream entries(aLeft);
  for (std::string entry; std::getline(entries, entry, ',');) {
    if (entry.find('/') != std::string::npos &&
        ("," + aRight + ",").find("," + entry + ",") != std::string::npos) {
      return true;
    }
  }
  return false;
}

} // namespace

TEST_GROUP(SecondAttemptTest){};

// Guards against a second response head within a stream that was cut.
TEST(SecondAttemptTest, SendsNoSavedFailureWithinAStream)
{
  constexpr int kEvents = 40;
  GatewayDeployment deployment(
    { .engines_ = 1, .engine_ = LongStreamEngine(kEvents, kEventInterval) });
  ApplyLongTimeouts(deployment);
  deployment.Engine(0).Control({ { "fault", "status" }, { "times", 1 } });
  const HttpRequest request = StreamRequest("stream-raw");
  std::string text = "POST /stream/x HTTP/1.1\r\n";
  for (const HttpField& field : request.fields_) {
    text += field.name_ + ": " + field.value_ + "\r\n";
  }
  text += "Content-Length: " + std::to_string(request.body_.Text().size()) +
          "\r\n\r\n" + request.body_.Text();
  RawConnection caller(deployment.At(0).Port());
  CHECK_TRUE(caller.Write(text));
  CHECK_TRUE(caller.ReadUntil("id: 3"));
  deployment.Engine(0).Handle().Signal(SIGKILL);
  (void)caller.ReadUntil("no such text", seconds(5));
  LONGS_EQUAL(0, caller.Received().rfind("HTTP/1.1"));
}

// Guards against streams that are cut because an engine that refused them
// counts as one that has received them.
TEST(SecondAttemptTest, MovesStreamsThatAnEngineRefused)
{
  constexpr int kEvents = 40;
  GatewayDeployment deployment(
    { .engines_ = 1, .engine_ = LongStreamEngine(kEvents, kEventInterval) });
  ApplyLongTimeouts(deployment);
  LongStreams streams({ .ports_ = { deployment.At(0).Port() },
                        .count_ = 12,
                        .events_ = kEvents,
                        .deadline_ = seconds(20) });
  std::this_thread::sleep_for(milliseconds(500));
  const auto full = AddEngine(deployment, "engines-full", kEvents);
  full->Control({ { "fault", "full" }, { "times", 1000 } });
  const auto sound = AddEngine(deployment, "engines-sound", kEvents);
  std::this_thread::sleep_for(milliseconds(500));
  deployment.Engine(0).Handle().Signal(SIGSTOP);
  LONGS_EQUAL(0, streams.CountCut());
}

// Guards against streams that end because a host that does not reach the only
// endpoint left reports that endpoint as one that failed the stream.
TEST(SecondAttemptTest, AwaitsLinksIfAnotherHostDoesNotReachTheOnlyEndpoint)
{
  constexpr int kEvents = 60;
  GatewayDeployment::Options options = ThreeHosts(1);
  options.engines_ = 3;
  options.engine_ = LongStreamEngine(kEvents, kEventInterval);
  GatewayDeployment deployment(options);
  Proxy proxy(deployment.Engine(0).Address(), json::object());
  const json entry = { { "service", "engines" }, { "address", proxy.Address() },
                       { "zone", "zone-a" },     { "version", "v1" },
                       { "slots", 16 },          { "sequence", 1 },
                       { "state", "ready" } };
  const std::string key =
    std::string(gooseberrylift::platform::kEndpointsKind) + "/engines-0";
  deployment.Store().Control({ { "put", { { key, entry } } } });
  json document = LongStreamDocument(deployment);
  for (json& route : document["routes"]) {
    route["maxAttempts"] = 1;
  }
  ApplyDocument(deployment, document, 3);
  CutOff(deployment, 1);
  LongStreams streams({ .ports_ = { deployment.At(0).Port() },
                        .count_ = 24,
                        .events_ = kEvents,
                        .deadline_ = seconds(20) });
  std::this_thread::sleep_for(milliseconds(1'000));
  proxy.Script(json::parse(R"([{"fault":"refuse"}])"));
  RestoreLinks(deployment);
  std::this_thread::sleep_for(milliseconds(100));
  deployment.At(1).Handle().Signal(SIGKILL);
  LONGS_EQUAL(0, streams.CountCut());
}

// Guards against two attempts of one request, at different hosts, that use the
// same reservation at a helper.
TEST(SecondAttemptTest, ReservesMemoryForEachOfTwoAttempts)
{
  constexpr int kEvents = 40;
  constexpr std::size_t kEngines = 4;
  GatewayDeployment::Options options = ThreeHosts(1);
  options.engines_ = kEngines;
  options.engine_ = LongStreamEngine(kEvents, kEventInterval);
  GatewayDeployment deployment(options);
  ApplyLongTimeouts(deployment);
  CutOff(deployment, 1);
  const auto helpersOf = [&](std::size_t aEngine) {
    return deployment.Engine(aEngine).Stats().at("helpers").value("long", "");
  };
  std::thread caller([&] {
    HttpRequest send = StreamRequest("long", 600'000);
    for (HttpField& field : send.fields_) {
      if (field.name_ == gooseberrylift::platform::kDeadlineMs) {
        field.value_ = "20000";
      }
    }
    (void)Send(deployment.At(0).Port(), std::move(send), seconds(30));
  });
  std::this_thread::sleep_for(milliseconds(1'000));
  std::size_t first = 0;
  while (first < kEngines && helpersOf(first).empty()) {
    ++first;
  }
  std::string before;
  bool shared = false;
  if (first < kEngines) {
    before = helpersOf(first);
    deployment.Engine(first).Handle().Signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds(1'900));
    for (std::size_t engine = 0; engine < kEngines; ++engine) {
      if (engine != first) {
        shared = shared || ShareAnEntry(before, helpersOf(engine));
      }
    }
  }
  caller.join();
  CHECK_TRUE(first < kEngines);
  CHECK_FALSE(shared);
}

// Guards against relayed requests that are sent again to the endpoint that has
// responded with an error.
TEST(SecondAttemptTest, MovesRelayedRequestsAwayFromAnEndpointThatFails)
{
  constexpr int kRequests = 100;
  GatewayDeployment deployment(ThreeHosts(1));
  ApplyLongTimeouts(deployment);
  CutOff(deployment, 1);
  deployment.Board(0).Control({ { "fault", "status" }, { "times", 1000 } });
  int failed = 0;
  for (int request = 0; request < kRequests; ++request) {
    const auto response =
      Send(deployment.At(0).Port(),
           MakeSafeRequest("failing-" + std::to_string(request)));
    failed += response && response.value().status_ == 200 ? 0 : 1;
  }
  LONGS_EQUAL(0, failed);
}

// Guards against streams that run at more endpoints than their route allows,
// since an endpoint that has run a stream refuses the rest of it.
TEST(SecondAttemptTest, CountsAnEndpointThatRefusesTheRestOfAStream)
{
  constexpr int kEvents = 80;
  GatewayDeployment::Options options = ThreeHosts(1);
  options.engines_ = 3;
  options.engine_ = LongStreamEngine(kEvents, kEventInterval);
  GatewayDeployment deployment(options);
  json document = LongStreamDocument(deployment);
  for (json& route : document["routes"]) {
    route["maxAttempts"] = 1;
  }
  ApplyDocument(deployment, document, 3);
  CutOff(deployment, 1);
  LongStreams streams({ .ports_ = { deployment.At(0).Port() },
                        .count_ = 24,
                        .events_ = kEvents,
                        .deadline_ = seconds(20) });
  std::this_thread::sleep_for(milliseconds(1'000));
  for (std::size_t engine = 0; engine < 3; ++engine) {
    deployment.Engine(engine).Control(
      { { "fault", "full" }, { "times", 1000 } });
  }
  const auto further = AddEngine(deployment, "engines-further", kEvents);
  RestoreLinks(deployment);
  std::this_thread::sleep_for(milliseconds(2'500));
  deployment.At(1).Handle().Signal(SIGKILL);
  (void)streams.CountCut(); // those may end
  LONGS_EQUAL(0, further->Stats().at("ran").size());
}

// Guards against streams that end at the refusal of one endpoint although
// another one has room.
TEST(SecondAttemptTest, MovesStreamsThatWereRefusedAfterALongPause)
{
  constexpr int kEvents = 60;
  GatewayDeployment deployment(
    { .engines_ = 1, .engine_ = LongStreamEngine(kEvents, kEventInterval) });
  json document = LongStreamDocument(deployment);
  for (json& route : document["routes"]) {
    route["maxAttempts"] = 4;
  }
  ApplyDocument(deployment, document, 1);
  LongStreams streams({ .ports_ = { deployment.At(0).Port() },
                        .count_ = 12,
                        .events_ = kEvents,
                        .deadline_ = seconds(20) });
  std::this_thread::sleep_for(milliseconds(500));
  deployment.Engine(0).Handle().Signal(SIGSTOP);
  std::this_thread::sleep_for(milliseconds(2'500));
  const auto full = AddEngine(deployment, "engines-full", kEvents);
  full->Control({ { "fault", "full" }, { "times", 1000 } });
  const auto sound = AddEngine(deployment, "engines-sound", kEvents);
  std::this_thread::sleep_for(milliseconds(2'500));
  deployment.Engine(0).Handle().Signal(SIGKILL);
  LONGS_EQUAL(0, streams.CountCut());
}
