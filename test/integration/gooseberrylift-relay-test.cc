// Tests of requests that a host without links to endpoints relays to another
// host.

#include "harness-callers.h"
#include "harness-links.h"

#include <csignal>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;
namespace names = gooseberrylift::platform;

namespace {

constexpr int kLinksLostCode = 73;

} // namespace

TEST_GROUP(RelayTest){};

// Guards against changing a request on its way over a second host.
TEST(RelayTest, PassesRequestsOnUnchanged)
{
  GatewayDeployment deployment(ThreeHosts(1));
  CutOff(deployment, 1);
  HttpRequest request = MakeUnsafeRequest("at-1");
  request.fields_.push_back({ "X-Caller", "kept" });
  request.fields_.push_back({ names::kTenant, "forged" });
  request.fields_.push_back({ "X-Peer-Relay", "forged" });
  const auto answer = deployment.SendToFirstHost(std::move(request));
  LONGS_EQUAL(200, answer.value().status_);
  CHECK_TRUE(answer.value().body_.starts_with(
    "POST /unsafe/stamp?now=1 a stamp by board-"));
  CHECK_FALSE(answer.value().Field(names::kResponseStamp).empty());
  LONGS_EQUAL(1, deployment.Count("ran", "at-1"));
  for (std::size_t board : { 0, 1, 2 }) {
    const json stats = deployment.Board(board).Stats();
    if (stats.at("ran").contains("at-1")) {
      const json& fields = stats.at("fields");
      STRCMP_EQUAL("kept", fields.value("X-Caller", "").c_str());
      STRCMP_EQUAL("porters", fields.value(names::kTenant, "").c_str());
      CHECK_FALSE(fields.contains("X-Peer-Relay"));
      CHECK_FALSE(fields.contains("X-Peer-Signature"));
      CHECK_FALSE(fields.contains(names::kAuthorization));
      const int left = std::atoi(fields.value(names::kDeadlineMs, "").c_str());
      CHECK_TRUE(left > 0 && left <= 2500);
    }
  }
}

// Guards against requests that go round among hosts when no host reaches an
// endpoint, and against callers that wait for that to be found out each time.
TEST(RelayTest, RejectsAtOnceWhenNoHostReachesAnEndpoint)
{
  GatewayDeployment deployment(ThreeHosts(3));
  CutOff(deployment, 3);
  CHECK_TRUE(WaitUntil(5s, [&] {
    const auto answer = deployment.SendToFirstHost(MakeSafeRequest("at-0"));
    return ErrorResponseCode(answer.value()) == kLinksLostCode;
  }));
  const std::int64_t begin = NowMs();
  const auto answer = deployment.SendToFirstHost(MakeSafeRequest("at-1"));
  CHECK_TRUE(NowMs() - begin < 200);
  LONGS_EQUAL(503, answer.value().status_);
  LONGS_EQUAL(kLinksLostCode, ErrorResponseCode(answer.value()));
  CHECK_FALSE(answer.value().Field(names::kRetryAfter).empty());
}

// Guards against a caller that gives itself the rights of a host.
TEST(RelayTest, RefusesRelayedRequestsThatNoHostSigned)
{
  GatewayDeployment deployment(ThreeHosts(1));
  HttpRequest request = MakeSafeRequest("at-1");
  request.fields_.push_back(
    { "X-Peer-Relay",
      R"({"to":"host-1","at":1,"nonce":"n","p":{"from":"host-0",)"
      R"("generation":1,"waited_ms":0,"may_move":true,"tried":[]}})" });
  request.fields_.push_back({ "X-Peer-Signature", "00" });
  const std::string line =
    deployment.At(1).Handle().WaitForLine("\"event\":1000", 1s);
  const auto port = json::parse(line).at("peer_port").get<std::uint16_t>();
  const auto answer = Send(port, std::move(request));
  LONGS_EQUAL(101, ErrorResponseCode(answer.value()));
  LONGS_EQUAL(0, deployment.Count("ran", "at-1"));
}

// Guards against a request with a wrong key that gets through by way of a
// second host, and against rejecting a good one there.
TEST(RelayTest, ChecksKeysOfRelayedRequests)
{
  GatewayDeployment deployment(ThreeHosts(1));
  CutOff(deployment, 1);
  const auto wrong = deployment.SendToFirstHost(
    RouteRequest("GET", "/safe/a", "at-1", "no such key"));
  LONGS_EQUAL(401, wrong.value().status_);
  LONGS_EQUAL(0, deployment.Count("arrived", "at-1"));
  const auto good = deployment.SendToFirstHost(MakeSafeRequest("at-2"));
  LONGS_EQUAL(200, good.value().status_);
}

// Guards against running a request twice, or saying that it did not run, when
// the host that it was relayed to dies with it.
TEST(RelayTest, RunsRequestsOnceThoughHostsDieWithThem)
{
  GatewayDeployment deployment({ .hosts_ = 3,
                                 .engines_ = 3,
                                 .boards_ = 3,
                                 .engine_ = { { "work_ms", 300 } },
                                 .linkedHosts_ = 1 });
  CutOff(deployment, 1);
  std::vector<std::thread> callers;
  std::atomic<int> broken = 0;
  for (int number = 0; number < 40; ++number) {
    callers.emplace_back([&, number] {
      const std::string attempt = AttemptIdOf(0, number);
      const auto answer =
        deployment.SendToFirstHost(MakeUnsafeRequest(attempt));
      const int ran = deployment.Count("ran", attempt);
      const int status = answer ? answer.value().status_ : 0;
      const bool notRun = status == 503 || status == 429 || status == 408;
      broken += ran > 1 || (notRun && ran > 0) || (status == 200 && ran != 1);
    });
    std::this_thread::sleep_for(20ms);
    if (number == 15) {
      deployment.At(1).Handle().Signal(SIGKILL);
    }
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  LONGS_EQUAL(0, broken);
  const auto answer = deployment.SendToFirstHost(MakeUnsafeRequest("last"));
  LONGS_EQUAL(200, answer.value().status_);
}

// Guards against losing relayed requests when the host that processes them is
// stopped as planned.
TEST(RelayTest, LosesNoRequestWhenTheOtherHostIsStopped)
{
  GatewayDeployment deployment(
    { .hosts_ = 3,
      .engines_ = 3,
      .boards_ = 3,
      .engine_ = { { "event_ms", 60 }, { "events", 10 } },
      .linkedHosts_ = 1 });
  CutOff(deployment, 1);
  Callers callers({ 6, &deployment.At(0) }, MakeShortPrompt, 10ms);
  std::this_thread::sleep_for(1s);
  deployment.At(1).Handle().Signal(SIGTERM);
  LONGS_EQUAL(0, deployment.At(1).Handle().WaitForExit(8s));
  std::this_thread::sleep_for(500ms);
  callers.Stop();
  LONGS_EQUAL(callers.Asked(), callers.Served());
}

// Guards against cutting off a stream whose host loses its links meanwhile.
TEST(RelayTest, ResumesStreamsOverAnotherHost)
{
  GatewayDeployment deployment(
    { .hosts_ = 3,
      .engines_ = 4,
      .boards_ = 1,
      .engine_ = { { "event_ms", 100 }, { "events", 20 } },
      .linkedHosts_ = 1 });
  Outcome<HttpResponse> answer = HttpResponse{};
  std::thread caller(
    [&] { answer = deployment.SendToFirstHost(MakeShortPrompt("at-1")); });
  std::this_thread::sleep_for(700ms);
  CutAllLinks(deployment, LinkFault::kReset);
  caller.join();
  CHECK_TRUE(answer.has_value());
  for (int event = 1; event <= 20; ++event) {
    const std::string id = "id: " + std::to_string(event) + "\n";
    const std::string& body = answer.value().body_;
    CHECK_TRUE(body.find(id) != std::string::npos);
    CHECK_TRUE(body.find(id) == body.rfind(id));
  }
}

// Guards against endpoints that work for a caller who has left, over two hosts.
TEST(RelayTest, EndsTheWorkOfCallersWhoLeave)
{
  GatewayDeployment deployment(
    { .hosts_ = 2,
      .engines_ = 1,
      .boards_ = 1,
      .engine_ = { { "event_ms", 50 }, { "events", 200 } },
      .linkedHosts_ = 1 });
  CutOff(deployment, 1);
  (void)Send(deployment.At(0).Port(), MakeShortPrompt("at-1"), 300ms);
  // The other host has no request in flight any more.
  const std::string gone =
    deployment.At(1).Handle().WaitForLine("\"code\":42", 1s);
  CHECK_FALSE(gone.empty());
}

// Guards against taking reset links for endpoints that a request crashes, which
// would reject the request at all hosts for minutes.
TEST(RelayTest, QuarantinesNoRequestWhoseLinksAreReset)
{
  GatewayDeployment deployment(
    { .hosts_ = 3,
      .engines_ = 6,
      .boards_ = 3,
      .engine_ = { { "event_ms", 50 }, { "events", 20 } },
      .linkedHosts_ = 1 });
  Callers callers({ 8, &deployment.At(0) }, MakeShortPrompt, 10ms);
  std::this_thread::sleep_for(1s);
  CutAllLinks(deployment, LinkFault::kReset);
  std::this_thread::sleep_for(3s);
  callers.Stop();
  CHECK_TRUE(deployment.At(0)
               .Handle()
               .WaitForLine("\"name\":\"request-suspected\"", 0ms)
               .empty());
}

// Guards against relaying on after the links are back.
TEST(RelayTest, UsesItsOwnLinksAgainOnceTheyAreBack)
{
  GatewayDeployment deployment(ThreeHosts(1));
  CutOff(deployment, 1);
  RestoreLinks(deployment);
  CHECK_TRUE(WaitUntil(
    3s, [&] { return deployment.At(0).Status().at("links_lost").empty(); }));
  Process& host = deployment.At(0).Handle();
  const auto answer = deployment.SendToFirstHost(MakeSafeRequest("at-own"));
  LONGS_EQUAL(200, answer.value().status_);
  const std::string output = host.Output();
  const std::size_t placed = output.rfind("\"name\":\"request-placed\"");
  const std::size_t relayed = output.rfind("\"name\":\"request-relayed\"");
  CHECK_TRUE(placed != std::string::npos);
  CHECK_TRUE(relayed == std::string::npos || relayed < placed);
}
