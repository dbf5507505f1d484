// Tests of answers with neither a length nor chunks, which end with their
// connection.

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

constexpr int kEvents = 5; // of each whole stream
constexpr int kRequests = 12;

std::string MakeEvents(int aFirst, int aLast)
{
  std::string events;
  for (int event = aFirst; event <= aLast; ++event) {
    events += "id: " + std::to_string(event) + "\ndata: piece\n\n";
  }
  return events;
}

RawEndpoint::Answer MakeStream(std::string aBody, RawEndpoint::End aEnd)
{
  return { .fields_ = "Content-Type: text/event-stream\r\n",
           .body_ = std::move(aBody),
           .end_ = aEnd };
}

// Lists a raw endpoint beside one that answers in chunks, and waits until the
// host knows both.
class MixedDeployment
{
public:
  MixedDeployment(const std::string& aService, RawEndpoint::Answer aAnswer)
    : deployment_({ .engines_ = 1,
                    .boards_ = 1,
                    .engine_ = { { "events", kEvents }, { "event_ms", 20 } } })
    , raw_(std::move(aAnswer))
  {
    deployment_.Put(EndpointKey("raw"),
                    EndpointEntry(raw_.Address(), aService));
    CHECK_FALSE(deployment_.At(0).Handle().WaitForLine("\"raw\"", 5s).empty());
  }

  RawEndpoint& Raw() { return raw_; }

  HttpResponse Send(HttpRequest aRequest)
  {
    const auto answer = deployment_.SendToFirstHost(std::move(aRequest));
    return answer ? answer.value() : HttpResponse{};
  }

private:
  GatewayDeployment deployment_;
  // After the other processes, which would inherit its listening socket.
  RawEndpoint raw_;
};

// Sends streams, several at a time, so that both endpoints get some, and checks
// that each caller gets all events once.
void CheckStreamsAreWhole(RawEndpoint::Answer aAnswer)
{
  MixedDeployment deployment("engines", std::move(aAnswer));
  std::vector<std::thread> callers;
  std::atomic<int> whole = 0;
  for (int number = 0; number < kRequests; ++number) {
    callers.emplace_back([&, number] {
      const auto answer =
        deployment.Send(MakeShortPrompt(AttemptIdOf(0, number)));
      whole +=
        answer.status_ == 200 && answer.body_ == MakeEvents(1, kEvents) ? 1 : 0;
    });
    std::this_thread::sleep_for(5ms);
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  LONGS_EQUAL(kRequests, whole);
  CHECK_TRUE(deployment.Raw().Answered() > 0);
  LONGS_EQUAL(0, deployment.Raw().Reused());
}

} // namespace

TEST_GROUP(CloseDelimitedTest){};

TEST(CloseDelimitedTest, PassesOnAWholeAnswerOnce)
{
  MixedDeployment deployment("board", { .body_ = "whole" });
  for (int number = 0; number < kRequests; ++number) {
    const auto answer =
      deployment.Send(MakeSafeRequest(AttemptIdOf(0, number)));
    LONGS_EQUAL(200, answer.status_);
    CHECK_TRUE(answer.body_ == "whole" ||
               answer.body_.starts_with("GET /safe"));
  }
  CHECK_TRUE(deployment.Raw().Answered() > 0);
  LONGS_EQUAL(0, deployment.Raw().Reused());
}

// Guards against an answer that was reset on its way and looks whole.
TEST(CloseDelimitedTest, TakesNoResetForTheEndOfAnAnswer)
{
  MixedDeployment deployment(
    "board", { .body_ = "whol", .end_ = RawEndpoint::End::kReset });
  for (int number = 0; number < kRequests; ++number) {
    const auto answer =
      deployment.Send(MakeSafeRequest(AttemptIdOf(0, number)));
    LONGS_EQUAL(200, answer.status_);
    CHECK_TRUE(answer.body_.starts_with("GET /safe"));
  }
  CHECK_TRUE(deployment.Raw().Answered() > 0);
}

TEST(CloseDelimitedTest, PassesOnAWholeStream)
{
  CheckStreamsAreWhole(
    MakeStream(MakeEvents(1, kEvents), RawEndpoint::End::kClosed));
}

// Guards against a stream that was broken off and looks whole.
TEST(CloseDelimitedTest, ResumesAStreamThatEndsWithinAnEvent)
{
  CheckStreamsAreWhole(MakeStream(MakeEvents(1, 2) + "id: 3\ndata: pi",
                                  RawEndpoint::End::kClosed));
}

TEST(CloseDelimitedTest, ResumesAStreamThatIsReset)
{
  CheckStreamsAreWhole(MakeStream(MakeEvents(1, 2), RawEndpoint::End::kReset));
}

// Guards against a stream whose engine exited between two events and that looks
// whole.
TEST(CloseDelimitedTest, ResumesAStreamWhoseEngineExitedBetweenEvents)
{
  CheckStreamsAreWhole(MakeStream(MakeEvents(1, 2), RawEndpoint::End::kExited));
}
