// Tests of answers with an invalid head, and of answers that are cut while the
// request is still being sent.

#include "harness-callers.h"
#include "harness-links.h"
#include "harness-raw-endpoint.h"
#include "once-calls.h"

#include <optional>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "gooseberrylift/internal/gooseberrylift-encoding.h"
#include "gooseberrylift/internal/gooseberrylift-http-client.h"
#include "gooseberrylift/internal/gooseberrylift-rest-store.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;
namespace names = gooseberrylift::platform;

namespace {

constexpr int kBroken = static_cast<int>(ResultCode::kEndpointBroken);
constexpr int kCrossed = static_cast<int>(ResultCode::kEndpointCrossed);

const std::vector<std::string> kInvalidStatuses = {
  "000 Trouble", "001 Trouble", "099 Trouble", "600 Trouble", "999 Trouble",
};

const std::vector<std::string> kInformationalStatuses = {
  "100 Continue",
  "101 Switching Protocols",
  "103 Early Hints",
  "199 Trouble",
};

// Under these fields a body in chunks is in another coding, or not in chunks.
const std::vector<std::string> kOtherCodings = {
  "Transfer-Encoding: gzip\r\n",
  "Transfer-Encoding: identity\r\n",
  "Transfer-Encoding: xchunked\r\n",
  "Transfer-Encoding: gzip, chunked\r\n",
  "Transfer-Encoding: chunked, identity\r\n",
  "Transfer-Encoding: chunked;q=1\r\n",
  "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
  "Transfer-Encoding: gzip\r\nContent-Length: 15\r\n",
  "Transfer-Encoding: \x80\r\n",
};

const std::vector<std::string> kInvalidFields = {
  "X Bad: a\r\n",      "X-Bad : a\r\n",   "X\tBad: a\r\n",
  "X\x01: a\r\n",      "X\x7f: a\r\n",    "X\x80: a\r\n",
  "X(Bad: a\r\n",      ": a\r\n",         "no colon\r\n",
  "X-Bad: a\x01z\r\n", "X-Bad: a\rz\r\n", std::string("X\0: a\r\n", 7),
};

RawEndpoint::Answer MakeCoded(const std::string& aCoding)
{
  return { .fields_ = aCoding, .body_ = "5\r\nwhole\r\n0\r\n\r\n" };
}

RawEndpoint::Answer MakeInvalidStatus(const std::string& aStatus)
{
  return { .fields_ = "Content-Length: 5\r\n",
           .body_ = "whole",
           .status_ = aStatus };
}

// Makes the load reports of an endpoint sound, without which it gets no
// request.
RawEndpoint::Answer WithReports(RawEndpoint::Answer aAnswer,
                                const std::string& aPath)
{
  aAnswer.reportPath_ = aPath;
  return aAnswer;
}

// Checks that an answer is an error of the host and bears no endpoint's mark.
void CheckIsError(const Outcome<HttpResponse>& aAnswer, int aCode)
{
  CHECK_TRUE(aAnswer.has_value());
  LONGS_EQUAL(502, aAnswer.value().status_);
  LONGS_EQUAL(aCode, ErrorResponseCode(aAnswer.value()));
  CHECK_TRUE(aAnswer.value().Field(names::kResponseStamp).empty());
}

// A host that serves routes and knows one endpoint, which is that of both
// services.
class RawDeployment
{
public:
  RawDeployment()
    : deployment_({ .engines_ = 0, .boards_ = 0 })
    , raw_({})
  {
    for (const char* service : { "board", "engines" }) {
      const std::string id = std::string("raw-") + service;
      deployment_.Put(EndpointKey(id), EndpointEntry(raw_.Address(), service));
      CHECK_FALSE(
        deployment_.At(0).Handle().WaitForLine("\"" + id + "\"", 5s).empty());
    }
  }

  void SetAnswer(RawEndpoint::Answer aAnswer)
  {
    raw_.SetAnswer(WithReports(std::move(aAnswer), names::kReportPath));
  }

  Outcome<HttpResponse> Send(HttpRequest aRequest)
  {
    return deployment_.SendToFirstHost(std::move(aRequest));
  }

  /// Checks that the callers of all kinds of routes get an error instead of an
  /// answer.
  void CheckRejects(RawEndpoint::Answer aAnswer, int aCode)
  {
    SetAnswer(std::move(aAnswer));
    for (const auto make :
         { MakeSafeRequest, MakeUnsafeRequest, MakeShortPrompt }) {
      CheckIsError(Send(make(AttemptIdOf(0, ++requests_))), aCode);
    }
  }

private:
  GatewayDeployment deployment_;
  // After the other processes, which would inherit its listening socket.
  RawEndpoint raw_;
  int requests_ = 0;
};

// Makes a given endpoint the only board endpoint of all hosts but the first,
// which has lost its links and relays its requests to them.
void ListForRelays(GatewayDeployment& aDeployment, const RawEndpoint& aRaw)
{
  CutOff(aDeployment, 1);
  json change = { { "remove", json::array() } };
  for (const char* board : { "board-0", "board-1", "board-2" }) {
    change["remove"].push_back(EndpointKey(board));
  }
  change["put"][EndpointKey("raw")] = EndpointEntry(aRaw.Address(), "board");
  aDeployment.Store().Control(change);
  for (const std::size_t host : { 1, 2 }) {
    CHECK_TRUE(WaitUntil(10s, [&] {
      const auto answer =
        Send(aDeployment.At(host).Port(), MakeSafeRequest("find out"));
      return answer && answer.value().status_ != 200 &&
             answer.value().status_ != 503;
    }));
  }
}

// Checks that the callers of a host that relays their requests get an error
// instead of an answer, which the other host has reported.
void CheckRejectsOverAnotherHost(RawEndpoint::Answer aAnswer, int aCode)
{
  GatewayDeployment deployment(ThreeHosts(1));
  RawEndpoint raw(WithReports(std::move(aAnswer), names::kReportPath));
  ListForRelays(deployment, raw);
  CheckIsError(deployment.SendToFirstHost(MakeSafeRequest("at-1")), aCode);
  CheckIsError(deployment.SendToFirstHost(MakeUnsafeRequest("at-2")), aCode);
  CHECK_FALSE(
    deployment.At(0).Handle().WaitForLine("relay-failed", 1s).empty());
  for (const std::size_t host : { 1, 2 }) {
    CHECK_TRUE(
      deployment.At(host).Handle().WaitForLine("task-failed", 1s).empty());
  }
}

// A host of the own interface that knows one endpoint of the service "board".
class RawBoard
{
public:
  RawBoard()
    : deployment_({ .engines_ = 1, .services_ = 0 })
    , raw_(WithReports({}, "/load"))
  {
    json hosts = deployment_.HostList();
    hosts.push_back({ { "name", "raw" },
                      { "address", raw_.Address() },
                      { "pool", "board" },
                      { "zone", "zone-a" },
                      { "kind", "service" },
                      { "incarnation", 1 } });
    deployment_.List().Control({ { "hosts", hosts } });
    CHECK_TRUE(WaitUntil(5s, [this] { return raw_.Received() > 1; }));
  }

  void SetAnswer(RawEndpoint::Answer aAnswer)
  {
    raw_.SetAnswer(WithReports(std::move(aAnswer), "/load"));
  }

  std::uint16_t Port() { return deployment_.At(0).Port(); }

private:
  Deployment deployment_;
  RawEndpoint raw_;
};

// Reads an answer with the product's client, as every reader of answers does.
Outcome<HttpResponse> ReadFrom(const RawEndpoint& aRaw)
{
  return Send(aRaw.Port(), MakeRequest("/"), 5s);
}

void CheckIsNotRead(const RawEndpoint::Answer& aAnswer, ResultCode aCode)
{
  const RawEndpoint raw(aAnswer);
  const auto answer = ReadFrom(raw);
  CHECK_TRUE(answer.has_error());
  CHECK_TRUE(answer.error().code_ == aCode);
  CHECK_TRUE(answer.error().ran_ == RanState::kUnknown);
}

// Writes an object to the store at an address.
Outcome<StoreObject> CreateAt(const std::string& aAddress)
{
  boost::asio::io_context context(1);
  HttpClient client(context.get_executor(), HttpClient::Options{});
  RestStore store(client, { .addresses_ = { aAddress } });
  std::optional<Outcome<StoreObject>> written;
  boost::asio::co_spawn(
    context,
    [&]() -> boost::asio::awaitable<void> {
      StoreObject object{ .kind_ = "notes", .name_ = "a" };
      written =
        co_await store.Create(std::move(object), TimerService::Now() + 5s);
    },
    boost::asio::detached);
  context.run();
  return *written;
}

// Changes the status in the stored outcome of the only keyed call. Returns
// whether it was stored yet.
bool ChangeStoredStatus(Fake& aStore, int aStatus)
{
  const std::string path =
    std::string("/apis/gooseberrylift.dev/v1/") + kOnceKind;
  const auto list = Send(aStore.Port(), MakeRequest(path));
  json items = json::parse(list.value().body_).at("items");
  const json::json_pointer records("/0/spec/records");
  if (!items.contains(records) || items.at(records).empty() ||
      !items.at(records).front().contains("r")) {
    return false;
  }
  json& outcome = items.at(records).front().at("r");
  const std::string text = outcome;
  const std::size_t dot = text.find('.');
  json head = json::parse(DecodeBase64(text.substr(0, dot)).value());
  head["status"] = aStatus;
  outcome = EncodeBase64(head.dump()) + text.substr(dot);
  const std::string name = items.at(0).at("metadata").at("name");
  const auto written = Send(
    aStore.Port(), MakeRequest("PUT", path + "/" + name, items.at(0).dump()));
  return written.value().status_ == 200;
}

} // namespace

TEST_GROUP(BrokenAnswerTest){};

TEST(BrokenAnswerTest, PassesOnNoInvalidStatus)
{
  RawDeployment deployment;
  for (const std::string& status : kInvalidStatuses) {
    deployment.CheckRejects(MakeInvalidStatus(status), kBroken);
  }
}

// Guards against a host that signs another endpoint's invalid status onward.
TEST(BrokenAnswerTest, PassesOnNoInvalidStatusOverAnotherHost)
{
  CheckRejectsOverAnotherHost(MakeInvalidStatus("000 Trouble"), kBroken);
}

// Guards against an invalid status that is stored as the outcome of a call.
TEST(BrokenAnswerTest, PassesOnNoInvalidStatusOfPlainServices)
{
  RawBoard board;
  for (const std::string& status : kInvalidStatuses) {
    board.SetAnswer(MakeInvalidStatus(status));
    CheckIsError(Send(board.Port(), BoardRequest("GET", "/a")), kBroken);
    CheckIsError(Send(board.Port(), BoardRequest("POST", "/a", "b")), kBroken);
    const OnceAnswer once = CallOnce(board.Port(), status.substr(0, 3));
    LONGS_EQUAL(502, once.status_);
    STRCMP_EQUAL("unknown", once.ran_.c_str());
  }
}

// Guards against outcomes that were stored before statuses were checked.
TEST(BrokenAnswerTest, ReplaysNoStoredOutcomeWithAnInvalidStatus)
{
  Deployment deployment({ .engines_ = 0 });
  LONGS_EQUAL(200, CallOnce(deployment.At(0).Port(), "key").status_);
  for (const int status : { 0, 101 }) {
    CHECK_TRUE(WaitUntil(
      5s, [&] { return ChangeStoredStatus(deployment.Store(), status); }));
    Host& other = deployment.AddHost();
    CHECK_TRUE(other.WaitReady());
    const OnceAnswer answer = CallOnce(other.Port(), "key");
    LONGS_EQUAL(static_cast<int>(ResultCode::kOnceResultDropped), answer.code_);
    STRCMP_EQUAL("yes", answer.ran_.c_str());
  }
}

// Guards against a write that ran and is reported as not run.
TEST(BrokenAnswerTest, TakesNoInvalidStatusForAWriteThatDidNotRun)
{
  for (const std::string& status : kInvalidStatuses) {
    RawEndpoint raw(MakeInvalidStatus(status));
    const auto written = CreateAt(raw.Address());
    CHECK_TRUE(written.has_error());
    CHECK_TRUE(written.error().ran_ == RanState::kUnknown);
  }
}

TEST(BrokenAnswerTest, TakesOnlyARejectionForAWriteThatDidNotRun)
{
  for (const char* status : { "202 Accepted", "204 No Content", "302 Found" }) {
    const RawEndpoint raw({ .status_ = status });
    const auto written = CreateAt(raw.Address());
    CHECK_TRUE(written.has_error());
    CHECK_TRUE(written.error().ran_ == RanState::kUnknown);
  }
  const RawEndpoint raw({ .status_ = "422 Unprocessable" });
  CHECK_TRUE(CreateAt(raw.Address()).error().ran_ == RanState::kNo);
}

// Guards against a command that reports success for such a status.
TEST(BrokenAnswerTest, CommandsTakeNoInvalidStatusForSuccess)
{
  for (const std::string& status : kInvalidStatuses) {
    RawEndpoint raw({ .body_ = "{}", .status_ = status });
    Process command(PRODUCT_BINARY, { "drain", "--hosts", raw.Address() });
    CHECK_TRUE(command.WaitForExit(10s) > 0);
  }
}

TEST(BrokenAnswerTest, ReadsNoInvalidStatus)
{
  for (const std::string& status : kInvalidStatuses) {
    CheckIsNotRead(MakeInvalidStatus(status), ResultCode::kEndpointBroken);
  }
}

// Guards against an informational response that is passed on as a complete
// answer without a body.
TEST(BrokenAnswerTest, PassesOnNoInformationalResponse)
{
  RawDeployment deployment;
  for (const std::string& status : kInformationalStatuses) {
    deployment.CheckRejects({ .status_ = status }, kCrossed);
  }
}

TEST(BrokenAnswerTest, ReadsNoInformationalResponse)
{
  for (const std::string& status : kInformationalStatuses) {
    CheckIsNotRead({ .status_ = status }, ResultCode::kEndpointCrossed);
  }
}

// Guards against the sizes of chunks, or a body in another coding, as the body.
TEST(BrokenAnswerTest, PassesOnNoBodyInAnotherTransferCoding)
{
  RawDeployment deployment;
  for (const std::string& coding : kOtherCodings) {
    deployment.CheckRejects(MakeCoded(coding), kBroken);
  }
}

// Guards against a host that can't report such a coding to the host that
// relayed the request, since header fields hold ASCII only.
TEST(BrokenAnswerTest, ReportsAnotherTransferCodingOverAnotherHost)
{
  CheckRejectsOverAnotherHost(MakeCoded("Transfer-Encoding: \x80\r\n"),
                              kBroken);
}

// Guards against a relaying host that can't report an answer with an attempt ID
// that is not UTF-8.
TEST(BrokenAnswerTest, ReportsAnAttemptIdThatIsNotUtf8OverAnotherHost)
{
  CheckRejectsOverAnotherHost({ .attemptId_ = "\xff\xfe", .body_ = "whole" },
                              kCrossed);
}

TEST(BrokenAnswerTest, ReadsNoBodyInAnotherTransferCoding)
{
  for (const std::string& coding : kOtherCodings) {
    CheckIsNotRead(MakeCoded(coding), ResultCode::kEndpointBroken);
  }
}

TEST(BrokenAnswerTest, ReadsChunksHoweverTheirCodingIsSpelled)
{
  for (const char* name :
       { "chunked", "Chunked", " CHUNKED ", "chunked,", ", chunked" }) {
    const RawEndpoint raw(
      MakeCoded(std::string("Transfer-Encoding:") + name + "\r\n"));
    const auto answer = ReadFrom(raw);
    CHECK_TRUE(answer.has_value());
    STRCMP_EQUAL("whole", answer.value().body_.c_str());
  }
}

// Guards against header fields that a later reader splits elsewhere.
TEST(BrokenAnswerTest, PassesOnNoInvalidHeaderField)
{
  RawDeployment deployment;
  for (const std::string& field : kInvalidFields) {
    deployment.CheckRejects({ .fields_ = field, .body_ = "whole" }, kBroken);
  }
}

TEST(BrokenAnswerTest, ReadsNoInvalidHeaderField)
{
  for (const std::string& field : kInvalidFields) {
    CheckIsNotRead({ .fields_ = field, .body_ = "whole" },
                   ResultCode::kEndpointBroken);
  }
}

// Guards against a part of an answer that is reset while its request is still
// being sent and looks whole.
TEST(BrokenAnswerTest, TakesNoResetDuringAnUploadForTheEndOfAnAnswer)
{
  RawDeployment deployment;
  deployment.SetAnswer({ .body_ = "id: 1\ndata: piece\n\n",
                         .end_ = RawEndpoint::End::kReset,
                         .early_ = true });
  int number = 0;
  for (const std::size_t size : { 70'000, 700'000, 6'000'000 }) {
    for (const std::string path : { "/safe/a", "/unsafe/a", "/stream/a" }) {
      HttpRequest request =
        RouteRequest("POST", path, AttemptIdOf(0, ++number));
      request.body_ = std::string(size, 'a');
      const auto answer = deployment.Send(std::move(request));
      // A stream that has begun is cut instead.
      if (answer || path != "/stream/a") {
        CheckIsError(answer, kBroken);
      }
    }
  }
}
