// Tests of endpoints that send bytes without end which are no answer.

#include "harness-callers.h"
#include "harness-raw-endpoint.h"

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;

namespace {

constexpr int kEvents = 5;   // of each whole stream
constexpr int kRequests = 6; // of a round
constexpr int kMaxRounds = 5;
// What a host may read of an answer that does not end. It keeps no more of it
// than it reads.
constexpr std::size_t kMaxRead = 1024 * 1024;

const std::string kFiller(4096, 'a');

std::string Repeat(const std::string& aText, int aTimes)
{
  std::string repeated;
  for (int time = 0; time < aTimes; ++time) {
    repeated += aText;
  }
  return repeated;
}

// Lists an endpoint that never ends its answers beside a sound one, sends
// requests, and checks that the sound one answers all of them.
void CheckIsReplaced(const std::string& aService,
                     RawEndpoint::Answer aAnswer,
                     int aCode)
{
  GatewayDeployment deployment(
    { .engines_ = 1,
      .boards_ = 1,
      .engine_ = { { "events", kEvents }, { "event_ms", 20 } } });
  RawEndpoint raw(std::move(aAnswer));
  deployment.Put(EndpointKey("raw"), EndpointEntry(raw.Address(), aService));
  Process& host = deployment.At(0).Handle();
  CHECK_FALSE(host.WaitForLine("\"raw\"", 5s).empty());
  const std::string kind = aService == "board" ? "safe" : "stream";
  std::atomic<int> served = 0;
  int sent = 0;
  // At the same time, so that both endpoints get some; again if chance gave all
  // of them to the sound one.
  for (int round = 0; round < kMaxRounds && raw.Received() == 0; ++round) {
    std::vector<std::thread> callers;
    for (int number = 0; number < kRequests; ++number) {
      callers.emplace_back([&, id = AttemptIdOf(0, ++sent)] {
        const auto answer = deployment.SendToFirstHost(
          kind == "safe" ? MakeSafeRequest(id) : MakeShortPrompt(id));
        served += answer && answer.value().status_ == 200 ? 1 : 0;
      });
      std::this_thread::sleep_for(5ms);
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
  }
  LONGS_EQUAL(sent, served);
  CHECK_TRUE(raw.Received() > 0);
  CHECK_TRUE(WaitUntil(3s, [&] { return raw.Sending() == 0; }));
  CHECK_TRUE(raw.MostSent() <= kMaxRead);
  const std::string code = "\"code\":" + std::to_string(aCode) + ",";
  CHECK_FALSE(host.WaitForLine(code, 1s).empty());
}

constexpr int kOverlong = static_cast<int>(ResultCode::kEndpointOverlong);
constexpr int kBroken = static_cast<int>(ResultCode::kEndpointBroken);
constexpr int kCrossed = static_cast<int>(ResultCode::kEndpointCrossed);
constexpr int kSilent = static_cast<int>(ResultCode::kEndpointSilent);

const std::string kChunked = "Transfer-Encoding: chunked\r\n";
const std::string kEventStream = "Content-Type: text/event-stream\r\n";

} // namespace

TEST_GROUP(EndlessResponseTest){};

TEST(EndlessResponseTest, ReplacesBytesThatAreNoHead)
{
  CheckIsReplaced("board", { .start_ = "", .endless_ = kFiller }, kBroken);
}

TEST(EndlessResponseTest, ReplacesAHeadWithoutEnd)
{
  CheckIsReplaced("board",
                  { .start_ = "HTTP/1.1 200 OK\r\nX-A: ", .endless_ = kFiller },
                  kOverlong);
}

TEST(EndlessResponseTest, ReplacesHeaderFieldsWithoutEnd)
{
  CheckIsReplaced(
    "board",
    { .start_ = "HTTP/1.1 200 OK\r\n", .endless_ = Repeat("X-A: b\r\n", 500) },
    kOverlong);
}

TEST(EndlessResponseTest, ReplacesInformationalResponsesWithoutEnd)
{
  CheckIsReplaced("board",
                  { .start_ = "", .endless_ = "HTTP/1.1 100 Continue\r\n\r\n" },
                  kCrossed);
}

TEST(EndlessResponseTest, ReplacesAChunkSizeWithoutEnd)
{
  CheckIsReplaced("board",
                  { .fields_ = kChunked, .body_ = "5;x=", .endless_ = kFiller },
                  kOverlong);
}

TEST(EndlessResponseTest, ReplacesTrailersWithoutEnd)
{
  CheckIsReplaced("board",
                  { .fields_ = kChunked,
                    .body_ = "5\r\nwhole\r\n0\r\n",
                    .endless_ = "X-A: " + kFiller + "\r\n" },
                  kOverlong);
}

TEST(EndlessResponseTest, ReplacesAnEventWithoutEnd)
{
  CheckIsReplaced(
    "engines",
    { .fields_ = kEventStream, .body_ = "id: 1\ndata: ", .endless_ = kFiller },
    kOverlong);
}

// Guards against waiting until the deadline for an event that grows slowly.
TEST(EndlessResponseTest, ReplacesAnEventThatGrowsSlowly)
{
  CheckIsReplaced("engines",
                  { .fields_ = kEventStream,
                    .body_ = "id: 1\ndata: ",
                    .endless_ = "a",
                    .pause_ = 50ms },
                  kSilent);
}

TEST(EndlessResponseTest, ReplacesAFailureWhoseBodyHasNoEnd)
{
  CheckIsReplaced(
    "board",
    { .status_ = "500 Internal Server Error", .endless_ = kFiller },
    kOverlong);
}
