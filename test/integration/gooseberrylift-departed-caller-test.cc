// Tests of callers of routes that close their connections before their requests
// are read, or while more bytes than one request are on the connection.

#include "harness-links.h"
#include "harness-raw-connection.h"

#include <csignal>
#include <memory>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;

namespace {

constexpr int kCallers = 30;
// Endpoints have to be free of a request this long after its caller has left.
constexpr auto kFreedWithin = 500ms;

std::string ToText(const HttpRequest& aRequest)
{
  std::string text =
    aRequest.method_ + " " + aRequest.target_ + " HTTP/1.1\r\n";
  for (const HttpField& field : aRequest.fields_) {
    text += field.name_ + ": " + field.value_ + "\r\n";
  }
  return text +
         "Content-Length: " + std::to_string(aRequest.body_.Text().size()) +
         "\r\n\r\n" + aRequest.body_.Text();
}

std::string Prompt(int aNumber)
{
  return ToText(StreamRequest("at-" + std::to_string(aNumber)));
}

std::string Call(const std::string& aAttempt)
{
  return ToText(RouteRequest("GET", "/safe/a", aAttempt));
}

using OpenCallers = std::vector<std::unique_ptr<RawConnection>>;

OpenCallers StartCalls(std::uint16_t aPort)
{
  OpenCallers callers;
  for (int number = 0; number < kCallers; ++number) {
    callers.push_back(std::make_unique<RawConnection>(aPort));
    callers.back()->Write(Call("at-" + std::to_string(number)));
  }
  return callers;
}

int ActiveOf(const json& aStats)
{
  return aStats.at("active").get<int>();
}

int ArrivalsOf(const json& aStats)
{
  return static_cast<int>(aStats.at("arrivals").size());
}

// Sums a statistic of the first boards.
int SumAtBoards(GatewayDeployment& aDeployment,
                std::size_t aBoards,
                int (*aValueOf)(const json& aStats))
{
  int sum = 0;
  for (std::size_t board = 0; board < aBoards; ++board) {
    sum += aValueOf(aDeployment.Board(board).Stats());
  }
  return sum;
}

// Lets no call stall before its deadline. A stalled one is sent again and then
// counted at two boards.
void AllowSlowCalls(GatewayDeployment& aDeployment, std::size_t aHosts)
{
  json document = aDeployment.Document();
  document["version"] = 2;
  for (json& route : document["routes"]) {
    route["targetLatencyMs"] = route["timeoutMs"];
  }
  aDeployment.PutDocument(document);
  for (std::size_t host = 0; host < aHosts; ++host) {
    CHECK_TRUE(WaitUntil(10s, [&] {
      return aDeployment.At(host).Status().value("generation", 0) == 2;
    }));
  }
}

// Starts three hosts, of which the first has lost its links to the endpoints
// and relays its requests to the others.
std::unique_ptr<GatewayDeployment> StartRelayingHost()
{
  GatewayDeployment::Options options = ThreeHosts(1);
  options.engine_ = { { "work_ms", 3'000 } };
  auto deployment = std::make_unique<GatewayDeployment>(options);
  AllowSlowCalls(*deployment, 3);
  CutOff(*deployment, 1);
  return deployment;
}

} // namespace

TEST_GROUP(DepartedCallerTest)
{
  // Streams last five seconds.
  GatewayDeployment deployment_{ { .engines_ = 1,
                                   .boards_ = 1,
                                   .engine_ = { { "events", 100 },
                                                { "event_ms", 50 } } } };
};

// Guards against requests that reach engines long after their callers have
// left, because the host reads them late.
TEST(DepartedCallerTest, SendsNoRequestWhoseCallerLeftBeforeItWasRead)
{
  Process& host = deployment_.At(0).Handle();
  host.Signal(SIGSTOP);
  for (int number = 0; number < kCallers; ++number) {
    RawConnection caller(deployment_.At(0).Port());
    caller.Write(Prompt(number));
    caller.Close();
  }
  host.Signal(SIGCONT);
  const std::string counted =
    "gooseberrylift_callers_left_total{sent=\"no\"} " +
    std::to_string(kCallers);
  CHECK_TRUE(WaitUntil(10s, [&] {
    const auto metrics =
      Send(deployment_.At(0).AdminPort(), MakeRequest("/metrics"));
    return metrics && metrics.value().body_.find(counted) != std::string::npos;
  }));
  LONGS_EQUAL(0, ArrivalsOf(deployment_.Engine(0).Stats()));
}

// Guards against a close that is never seen, because bytes of the next request
// on the connection came before it.
TEST(DepartedCallerTest, FreesTheEndpointThoughTheNextRequestHasBegun)
{
  GatewayDeployment slow(
    { .engines_ = 0, .boards_ = 1, .engine_ = { { "work_ms", 2'000 } } });
  std::vector<std::unique_ptr<RawConnection>> callers;
  for (const bool together : { true, false }) {
    callers.push_back(std::make_unique<RawConnection>(slow.At(0).Port()));
    const std::string next = "GET /sa";
    const std::string call = Call("at-" + std::to_string(callers.size()));
    callers.back()->Write(together ? call + next : call);
    const int active = static_cast<int>(callers.size());
    CHECK_TRUE(
      WaitUntil(1s, [&] { return ActiveOf(slow.Board(0).Stats()) == active; }));
    callers.back()->Write(together ? "fe/a" : next);
  }
  for (auto& caller : callers) {
    caller->Close();
  }
  CHECK_TRUE(WaitUntil(kFreedWithin,
                       [&] { return ActiveOf(slow.Board(0).Stats()) == 0; }));
}

// Guards against a request that reaches its endpoint long after its caller has
// left, because the link between them passed nothing meanwhile.
TEST(DepartedCallerTest, SendsNoRestOfARequestWhoseCallerLeft)
{
  // More than a receiver takes that does not read.
  constexpr std::size_t kBodyBytes = 2'000'000;
  Process& engine = deployment_.Engine(0).Handle();
  engine.Signal(SIGSTOP);
  RawConnection caller(deployment_.At(0).Port());
  HttpRequest prompt = StreamRequest("at-a");
  prompt.body_ = std::string(kBodyBytes, 'x');
  caller.Write(ToText(prompt));
  const std::string attempt = "\"request_id\":\"at-a\"";
  CHECK_FALSE(deployment_.At(0).Handle().WaitForLine(attempt, 10s).empty());
  std::this_thread::sleep_for(200ms);
  caller.Close();
  CHECK_FALSE(
    deployment_.At(0).Handle().WaitForLine("\"code\":42", 10s).empty());
  engine.Signal(SIGCONT);
  std::this_thread::sleep_for(500ms);
  LONGS_EQUAL(0, ArrivalsOf(deployment_.Engine(0).Stats()));
}

// The close of one request's caller must not abort the next request that is
// already there.
TEST(DepartedCallerTest, AnswersRequestsThatAreSentTogether)
{
  RawConnection caller(deployment_.At(0).Port());
  caller.Write(Call("at-a") + Call("at-b") + Call("at-c"));
  CHECK_TRUE(caller.ReadUntil("at-c"));
  LONGS_EQUAL(200, caller.Status());
}

// Guards against a request that is tried again at another endpoint although its
// caller left during the first attempt.
TEST(DepartedCallerTest, MakesNoSecondAttemptForACallerThatLeft)
{
  GatewayDeployment slow(
    { .engines_ = 0, .boards_ = 2, .engine_ = { { "work_ms", 3'000 } } });
  AllowSlowCalls(slow, 1);
  OpenCallers callers = StartCalls(slow.At(0).Port());
  CHECK_TRUE(
    WaitUntil(2s, [&] { return SumAtBoards(slow, 2, ActiveOf) == kCallers; }));
  const int before = ArrivalsOf(slow.Board(1).Stats());
  CHECK_TRUE(before < kCallers);
  slow.At(0).Handle().Signal(SIGSTOP);
  slow.Board(0).Handle().Signal(SIGKILL);
  callers.clear();
  slow.At(0).Handle().Signal(SIGCONT);
  CHECK_TRUE(
    WaitUntil(2s, [&] { return ActiveOf(slow.Board(1).Stats()) == 0; }));
  LONGS_EQUAL(before, ArrivalsOf(slow.Board(1).Stats()));
}

// Guards against an endpoint that works on for the caller of another host.
TEST(DepartedCallerTest, FreesTheEndpointOfARelayedRequest)
{
  const auto deployment = StartRelayingHost();
  OpenCallers callers = StartCalls(deployment->At(0).Port());
  CHECK_TRUE(WaitUntil(
    2s, [&] { return SumAtBoards(*deployment, 3, ActiveOf) == kCallers; }));
  callers.clear();
  CHECK_TRUE(WaitUntil(
    kFreedWithin, [&] { return SumAtBoards(*deployment, 3, ActiveOf) == 0; }));
}

// Guards against a host that sends relayed requests whose callers have left at
// the host that relayed them.
TEST(DepartedCallerTest, SendsNoRelayedRequestWhoseCallerLeft)
{
  const auto deployment = StartRelayingHost();
  const int before = SumAtBoards(*deployment, 3, ArrivalsOf);
  for (const std::size_t host : { 1, 2 }) {
    deployment->At(host).Handle().Signal(SIGSTOP);
  }
  OpenCallers callers = StartCalls(deployment->At(0).Port());
  std::this_thread::sleep_for(300ms);
  callers.clear();
  std::this_thread::sleep_for(kFreedWithin);
  for (const std::size_t host : { 1, 2 }) {
    deployment->At(host).Handle().Signal(SIGCONT);
  }
  std::this_thread::sleep_for(1s);
  LONGS_EQUAL(before, SumAtBoards(*deployment, 3, ArrivalsOf));
}
