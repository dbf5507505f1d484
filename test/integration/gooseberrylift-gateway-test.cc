// Tests of gateway hosts with fakes of the fleet platform's store and
// endpoints.

#include "harness-gateway.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <map>
#include <thread>

#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;
namespace names = gooseberrylift::platform;

namespace {

std::string EventsText(int aFrom, int aTo)
{
  std::string text;
  for (int event = aFrom; event <= aTo; ++event) {
    text += "id: " + std::to_string(event) + "\ndata: piece\n\n";
  }
  return text;
}

std::string TextOf(std::string_view aView)
{
  return std::string(aView);
}

} // namespace

TEST_GROUP(GatewayTest){};

TEST(GatewayTest, ServesEveryKindOfRouteUnchanged)
{
  GatewayDeployment deployment({});
  const auto safe =
    deployment.SendToFirstHost(RouteRequest("GET", "/safe/a?b=c", "at-1"));
  LONGS_EQUAL(200, safe.value().status_);
  CHECK_TRUE(safe.value().body_.starts_with("GET /safe/a?b=c"));
  CHECK_TRUE(safe.value().Field(names::kResponseStamp).starts_with("stamp-"));
  HttpRequest post = RouteRequest("POST", "/unsafe/x", "at-2");
  post.body_ = "once";
  CHECK_TRUE(deployment.SendToFirstHost(post).value().body_.find("once") !=
             std::string::npos);
  const auto stream = deployment.SendToFirstHost(StreamRequest("at-3"));
  STRCMP_EQUAL(EventsText(1, 5).c_str(), stream.value().body_.c_str());
  STRCMP_EQUAL("at-3", TextOf(stream.value().Field(names::kAttemptId)).c_str());
}

TEST(GatewayTest, KeepsTheKeyAndNamesTheTeamWhateverTheCallerSets)
{
  GatewayDeployment deployment({ .boards_ = 1 });
  HttpRequest request = RouteRequest("GET", "/safe/a", "at-1");
  request.fields_.push_back({ names::kTenant, "someone-else" });
  request.fields_.push_back({ names::kHelpers, "10.0.0.1:1/stolen" });
  LONGS_EQUAL(200, deployment.SendToFirstHost(request).value().status_);
  const json fields = deployment.Board(0).Stats().at("fields");
  CHECK_FALSE(fields.contains(names::kAuthorization));
  CHECK_FALSE(fields.contains(names::kHelpers));
  STRCMP_EQUAL("porters", fields.value(names::kTenant, "").c_str());
  STRCMP_EQUAL("board-0", fields.value(names::kExpectInstance, "").c_str());
  CHECK_TRUE(std::stoi(fields.value(names::kDeadlineMs, "0")) <= 2500);
}

// Guards against an empty field of a caller that goes on beside the host's own.
TEST(GatewayTest, RemovesTheFieldsThatItSetsItselfHoweverTheyAreSpelled)
{
  GatewayDeployment deployment({ .boards_ = 1 });
  HttpRequest request = RouteRequest("GET", "/safe/a", "at-1");
  request.fields_.push_back({ "gooseberrylift-tenant", "" });
  request.fields_.push_back({ "gooseberrylift-helpers", "" });
  request.fields_.push_back({ "GOOSEBERRYLIFT-EXPECT-INSTANCE", "" });
  LONGS_EQUAL(200, deployment.SendToFirstHost(request).value().status_);
  const json fields = deployment.Board(0).Stats().at("fields");
  CHECK_FALSE(fields.contains("gooseberrylift-tenant"));
  CHECK_FALSE(fields.contains("gooseberrylift-helpers"));
  CHECK_FALSE(fields.contains("GOOSEBERRYLIFT-EXPECT-INSTANCE"));
  STRCMP_EQUAL("porters", fields.value(names::kTenant, "").c_str());
}

TEST(GatewayTest, TellsEnginesHowUrgentARequestIs)
{
  GatewayDeployment deployment({ .engines_ = 1 });
  json document = deployment.Document();
  document["version"] = 2;
  for (json& route : document["routes"]) {
    route["priority"] = 3;
  }
  deployment.PutDocument(document);
  deployment.At(0).Handle().WaitForLine("\"generation\":2", 5s);
  LONGS_EQUAL(
    200, deployment.SendToFirstHost(StreamRequest("at-1")).value().status_);
  const json fields = deployment.Engine(0).Stats().at("fields");
  STRCMP_EQUAL("3", fields.value(names::kPriorityClass, "").c_str());
}

TEST(GatewayTest, AnswersUnknownRoutesAndKeysItself)
{
  GatewayDeployment deployment({});
  const auto status = [&](const std::string& aPath, const std::string& aKey) {
    return deployment.SendToFirstHost(RouteRequest("GET", aPath, "at", aKey))
      .value()
      .status_;
  };
  LONGS_EQUAL(404, status("/none/a", "team-key"));
  LONGS_EQUAL(401, status("/safe/a", "wrong"));
  LONGS_EQUAL(401, status("/safe/a", ""));
  LONGS_EQUAL(200, status("/open/a", ""));
}

// Guards against a broken stream at the caller. One engine closes its
// connection in the middle of the third event and the other one continues after
// the second, because only complete events are forwarded. The caller receives
// one complete stream with the response header of the first engine.
TEST(GatewayTest, ContinuesABrokenStreamAtAnotherEngine)
{
  GatewayDeployment deployment({});
  for (std::size_t engine : { 0, 1 }) {
    deployment.Engine(engine).Control(
      { { "fault", "cut" }, { "times", engine == 0 ? 1 : 0 } });
  }
  for (int round = 0; round < 4; ++round) {
    const std::string attempt = "at-" + std::to_string(round);
    const auto stream = deployment.SendToFirstHost(StreamRequest(attempt));
    LONGS_EQUAL(200, stream.value().status_);
    STRCMP_EQUAL(EventsText(1, 5).c_str(), stream.value().body_.c_str());
  }
}

// Guards against waiting for an engine that accepts requests and never answers
// any. A hang shows only as silence, so the request goes to the other engine
// after half of the time that the caller waits.
TEST(GatewayTest, TakesAStreamFromAnEngineThatHangs)
{
  GatewayDeployment deployment({});
  deployment.Engine(0).Control({ { "fault", "hang" }, { "times", 9 } });
  for (const std::string attempt : { "at-1", "at-2" }) {
    const auto stream = deployment.SendToFirstHost(StreamRequest(attempt));
    LONGS_EQUAL(200, stream.value().status_);
    STRCMP_EQUAL(EventsText(1, 5).c_str(), stream.value().body_.c_str());
  }
  CHECK_FALSE(deployment.Engine(0).Stats().at("arrived").empty());
}

// A stream that cannot be continued must not look complete. Each engine leaves
// out an event, so none can supply the rest, and the caller's connection is
// closed in mid-stream.
TEST(GatewayTest, CutsAStreamThatLacksAnEvent)
{
  GatewayDeployment deployment({});
  for (std::size_t engine : { 0, 1 }) {
    deployment.Engine(engine).Control({ { "fault", "gap" }, { "times", 9 } });
  }
  const auto stream = deployment.SendToFirstHost(StreamRequest("at-1"));
  CHECK_FALSE(stream.has_value());
}

// Guards against repeating an unsafe request. The endpoint runs it and its
// response is lost: a retry would run it again, and a 503 would say that it had
// not run, so the caller gets 502, which says neither.
TEST(GatewayTest, NeverRepeatsAnUnsafeRequestThatMayHaveRun)
{
  GatewayDeployment deployment({});
  for (std::size_t board : { 0, 1 }) {
    deployment.Board(board).Control({ { "fault", "drop" }, { "times", 9 } });
  }
  const auto answer =
    deployment.SendToFirstHost(RouteRequest("POST", "/unsafe/x", "at-1"));
  LONGS_EQUAL(502, answer.value().status_);
  LONGS_EQUAL(1, deployment.Count("ran", "at-1"));
  LONGS_EQUAL(1, deployment.Count("arrived", "at-1"));
}

TEST(GatewayTest, PassesATrueRefusalOnAndSaysWhenToReturn)
{
  GatewayDeployment deployment({});
  for (std::size_t board : { 0, 1 }) {
    deployment.Board(board).Control({ { "fault", "full" }, { "times", 9 } });
  }
  const auto answer =
    deployment.SendToFirstHost(RouteRequest("POST", "/unsafe/x", "at-1"));
  LONGS_EQUAL(503, answer.value().status_);
  const double wait =
    std::stod(TextOf(answer.value().Field(names::kRetryAfter)));
  CHECK_TRUE(wait > 0 && wait < 2);
  LONGS_EQUAL(0, deployment.Count("ran", "at-1"));
}

// Guards against failed requests when most endpoints of a service die at once.
// Ten of eleven listed endpoints refuse connections, which costs a few ms and
// proves that nothing ran, so the eleventh must serve every request. When it
// dies as well, callers get an error with Retry-After.
TEST(GatewayTest, FindsTheOneEndpointThatIsLeft)
{
  GatewayDeployment deployment({ .boards_ = 1 });
  json dead = json::object();
  for (int index = 0; index < 10; ++index) {
    dead["servers/dead-" + std::to_string(index)] = {
      { "service", "board" }, { "address", "127.0.0.1:9" },
      { "zone", "zone-a" },   { "version", "v1" },
      { "slots", 16 },        { "sequence", 1 },
      { "state", "ready" }
    };
  }
  deployment.Store().Control({ { "put", dead } });
  deployment.At(0).Handle().WaitForLine("\"endpoint\":\"dead-9\"", 5s);
  for (int call = 0; call < 4; ++call) {
    const std::string attempt = "at-" + std::to_string(call);
    const auto answer =
      deployment.SendToFirstHost(RouteRequest("POST", "/unsafe/x", attempt));
    LONGS_EQUAL(200, answer.value().status_);
    LONGS_EQUAL(1, deployment.Count("ran", attempt));
  }
  deployment.Board(0).Handle().Signal(SIGKILL);
  std::this_thread::sleep_for(700ms);
  const auto refused =
    deployment.SendToFirstHost(RouteRequest("GET", "/safe/a", "at-9"));
  CHECK_TRUE(refused.value().status_ >= 500);
  CHECK_FALSE(refused.value().Field(names::kRetryAfter).empty());
}

// Guards against delivering the late response to another request. It is
// discarded: a safe request is retried, an unsafe one fails.
TEST(GatewayTest, GivesNobodyAnotherRequestsAnswer)
{
  GatewayDeployment deployment({ .boards_ = 2 });
  deployment.Board(0).Control({ { "fault", "crossed" }, { "times", 50 } });
  for (int round = 0; round < 6; ++round) {
    const std::string attempt = "safe-" + std::to_string(round);
    const auto safe =
      deployment.SendToFirstHost(RouteRequest("GET", "/safe/a", attempt));
    LONGS_EQUAL(200, safe.value().status_);
    CHECK_TRUE(safe.value().body_.ends_with("by board-1"));
    const std::string once = "once-" + std::to_string(round);
    const auto unsafe =
      deployment.SendToFirstHost(RouteRequest("POST", "/unsafe/a", once));
    CHECK_TRUE(unsafe.value().status_ == 502 ||
               unsafe.value().body_.ends_with("by board-1"));
    LONGS_EQUAL(1, deployment.Count("ran", once));
  }
}

TEST(GatewayTest, AsksASafeRequestAgainWhenAnEndpointFailsIt)
{
  GatewayDeployment deployment({});
  for (const char* fault : { "status", "drop", "unsigned" }) {
    deployment.Board(0).Control({ { "fault", fault }, { "times", 50 } });
    for (int round = 0; round < 4; ++round) {
      const std::string attempt = fault + std::to_string(round);
      LONGS_EQUAL(
        200,
        deployment.SendToFirstHost(RouteRequest("GET", "/safe/a", attempt))
          .value()
          .status_);
    }
  }
}

TEST(GatewayTest, HoldsCallersToTheLimitsOfTheRoutesInForce)
{
  GatewayDeployment deployment({});
  HttpRequest request = RouteRequest("POST", "/unsafe/x", "at-1");
  request.body_ = std::string(4'000, 'b');
  LONGS_EQUAL(200, deployment.SendToFirstHost(request).value().status_);
  json document = deployment.Document();
  document["version"] = 2;
  document["limits"] = { { "maxBodyBytes", 1'000 },
                         { "maxHeaderBytes", 2'000 } };
  deployment.PutDocument(document);
  deployment.At(0).Handle().WaitForLine("\"generation\":2", 5s);
  LONGS_EQUAL(413, deployment.SendToFirstHost(request).value().status_);
  HttpRequest wide = RouteRequest("GET", "/safe/a", "at-2");
  wide.fields_.push_back({ "X-Wide", std::string(4'000, 'h') });
  LONGS_EQUAL(431, deployment.SendToFirstHost(wide).value().status_);
}

// A prompt that exceeds the memory of one engine is processed by two, with
// memory reserved at one of them and released when the response is complete.
TEST(GatewayTest, SetsMemoryAsideForAPromptBeyondOneEngineAndFreesIt)
{
  GatewayDeployment deployment({ .engines_ = 3 });
  const auto stream =
    deployment.SendToFirstHost(StreamRequest("at-1", 600'000));
  STRCMP_EQUAL(EventsText(1, 5).c_str(), stream.value().body_.c_str());
  int reserved = 0;
  std::string helpers;
  for (std::size_t engine = 0; engine < 3; ++engine) {
    const json stats = deployment.Engine(engine).Stats();
    reserved += stats.at("orders").value("reserve", 0);
    helpers += stats.at("helpers").value("at-1", "");
  }
  CHECK_TRUE(reserved >= 1);
  CHECK_TRUE(helpers.find("/at-1-host-0-1-1") != std::string::npos);
  CHECK_TRUE(WaitUntil(3s, [&] {
    for (std::size_t engine = 0; engine < 3; ++engine) {
      if (!deployment.Engine(engine).Stats().at("tickets").empty()) {
        return false;
      }
    }
    return true;
  }));
}

// Guards against a host that ends, or names other helpers, because of what a
// caller puts into the attempt ID.
TEST(GatewayTest, ReservesMemoryForAnAttemptIdOfAnyCharacters)
{
  GatewayDeployment deployment({ .engines_ = 3 });
  const auto stream =
    deployment.SendToFirstHost(StreamRequest("\xff\xfe,/at", 600'000));
  CHECK_TRUE(stream.has_value());
  STRCMP_EQUAL(EventsText(1, 5).c_str(), stream.value().body_.c_str());
  std::string helpers;
  for (std::size_t engine = 0; engine < 3; ++engine) {
    const json stats = deployment.Engine(engine).Stats();
    for (const json& named : stats.at("helpers")) {
      helpers += named.get<std::string>();
    }
  }
  CHECK_TRUE(helpers.ends_with("/%FF%FE%2C%2Fat-host-0-1-1"));
  LONGS_EQUAL(1, std::count(helpers.begin(), helpers.end(), '/'));
  LONGS_EQUAL(
    200, deployment.SendToFirstHost(StreamRequest("at-2")).value().status_);
}

// Guards against sound engines that are taken for replaced because of a version
// that a caller expects.
TEST(GatewayTest, UsesEnginesThatRefusedTheVersionThatACallerExpects)
{
  GatewayDeployment deployment({ .engines_ = 2 });
  for (const bool namesItself : { true, false }) {
    for (std::size_t engine = 0; engine < 2; ++engine) {
      deployment.Engine(engine).Control({ { "names_itself", namesItself } });
    }
    for (const char* attempt : { "at-1", "at-2" }) {
      HttpRequest request = StreamRequest(attempt);
      request.fields_.push_back({ names::kExpectVersion, "2" });
      LONGS_EQUAL(503, deployment.SendToFirstHost(request).value().status_);
    }
    LONGS_EQUAL(
      200, deployment.SendToFirstHost(StreamRequest("at-3")).value().status_);
  }
}

// An engine refuses a prompt because one of its helpers failed. The second
// attempt must use other engines and leave that helper out.
TEST(GatewayTest, AsksNoHelperAgainThatWasAtFault)
{
  constexpr int kEngines = 6;
  GatewayDeployment deployment({ .engines_ = kEngines });
  for (std::size_t engine = 0; engine < kEngines; ++engine) {
    deployment.Engine(engine).Control({ { "fault", "helper" } });
  }
  HttpRequest request = StreamRequest("at-1", 400'000);
  (void)deployment.SendToFirstHost(request);
  // Each engine that got the request, with its helpers, by time. The helper
  // that the first engine reported must have no part in the second attempt.
  std::map<std::int64_t, std::vector<std::string>> attempts;
  for (std::size_t engine = 0; engine < kEngines; ++engine) {
    const json stats = deployment.Engine(engine).Stats();
    const std::string list = stats.at("fields").value(names::kHelpers, "");
    if (!list.empty()) {
      attempts[stats.at("last_us")] = { deployment.Engine(engine).Address(),
                                        list };
    }
  }
  LONGS_EQUAL(2, attempts.size());
  const std::string& firstHelpers = attempts.begin()->second.at(1);
  const std::string failedHelper =
    firstHelpers.substr(0, firstHelpers.find(','));
  for (const std::string& participant : attempts.rbegin()->second) {
    CHECK_TRUE(participant.find(failedHelper) == std::string::npos);
  }
}

// Two prompts each fill the memory of all engines. The second one waits until
// the first has ended, half a second later, and must not be refused.
TEST(GatewayTest, LetsAPromptWaitUntilEnginesHaveRoom)
{
  GatewayDeployment deployment(
    { .engines_ = 3, .engine_ = { { "event_ms", 60 } } });
  std::optional<Outcome<HttpResponse>> first;
  std::thread caller([&] {
    first = deployment.SendToFirstHost(StreamRequest("at-1", 900'000));
  });
  CHECK_TRUE(
    WaitUntil(5s, [&] { return deployment.Count("ran", "at-1") == 1; }));
  const auto second =
    deployment.SendToFirstHost(StreamRequest("at-2", 900'000));
  caller.join();
  LONGS_EQUAL(200, first->value().status_);
  LONGS_EQUAL(200, second.value().status_);
}

// Guards against truncated streams at shutdown. The host gets SIGTERM during a
// stream, reports that it is not ready, and exits after the stream is complete.
TEST(GatewayTest, EndsAfterItsStreamsWhenStopped)
{
  GatewayDeployment deployment({ .engine_ = { { "event_ms", 200 } } });
  std::optional<Outcome<HttpResponse>> answer;
  std::thread caller(
    [&] { answer = deployment.SendToFirstHost(StreamRequest("at-1")); });
  CHECK_TRUE(
    WaitUntil(5s, [&] { return deployment.Count("ran", "at-1") == 1; }));
  deployment.At(0).Handle().Signal(SIGTERM);
  caller.join();
  STRCMP_EQUAL(EventsText(1, 5).c_str(), answer->value().body_.c_str());
  LONGS_EQUAL(0, deployment.At(0).Handle().WaitForExit(5s));
}

TEST(GatewayTest, PutsChangedSettingsInForceAndRefusesWrongOnes)
{
  const std::string path =
    "/tmp/gateway-test-" + std::to_string(::getpid()) + ".json";
  GatewayDeployment deployment({ .settingsPath_ = path });
  Process& host = deployment.At(0).Handle();
  std::ofstream(path) << "{ wrong";
  host.Signal(SIGHUP);
  CHECK_FALSE(host.WaitForLine("\"event\":1004", 5s).empty());
  std::ofstream(path) << deployment.HostSettings("host-0").dump();
  host.Signal(SIGHUP);
  CHECK_FALSE(host.WaitForLine("\"event\":1003", 5s).empty());
  std::remove(path.c_str());
  LONGS_EQUAL(200,
              deployment.SendToFirstHost(RouteRequest("GET", "/safe/a", "at"))
                .value()
                .status_);
}
