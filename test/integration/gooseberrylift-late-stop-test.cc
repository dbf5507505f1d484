// Tests requests that arrive while a host stops that has handled the signal
// late.

#include "harness-streams.h"

#include "harness-raw-connection.h"

#include <csignal>
#include <thread>

#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kGrace = 8s;
// Callers count on the end of a request that they send up to 3 s after the
// signal.
constexpr milliseconds kAfterSignal = 3'030ms;
// A processor quota stops a process for the rest of a tenth of a second.
constexpr milliseconds kPause = 100ms;
constexpr int kEvents = 90;
constexpr milliseconds kEventInterval = 100ms;

GatewayDeployment::Options WithGrace()
{
  GatewayDeployment::Options options;
  options.engine_ = LongStreamEngine(kEvents, kEventInterval);
  options.host_["drain"] = { { "grace_ms", kGrace.count() },
                             { "lag_ms", nullptr },
                             { "limit_ms", nullptr } };
  return options;
}

std::string RawStreamRequest(const std::string& aAttemptId)
{
  const HttpRequest request = StreamRequest(aAttemptId);
  std::string text = "POST /stream/x HTTP/1.1\r\n";
  for (const HttpField& field : request.fields_) {
    const bool isDeadline = field.name_ == platform::kDeadlineMs;
    text += field.name_ + ": " + (isDeadline ? "10000" : field.value_) + "\r\n";
  }
  const std::string body(request.body_.Text());
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

} // namespace

TEST_GROUP(LateStopTest){};

// Guards against a stream that is accepted too late and cut by the stop.
TEST(LateStopTest, AcceptsNoStreamThatIsSentTooLate)
{
  GatewayDeployment deployment(WithGrace());
  ApplyLongTimeouts(deployment, 1);
  RawConnection caller(deployment.At(0).Port());
  Process& host = deployment.At(0).Handle();
  const TimePoint signalled = TimerService::Now();
  host.Signal(SIGSTOP);
  host.Signal(SIGTERM);
  std::this_thread::sleep_for(kPause);
  host.Signal(SIGCONT);
  std::this_thread::sleep_until(signalled + kAfterSignal);
  CHECK_TRUE(caller.Write(RawStreamRequest("at-1")));
  CHECK_TRUE(caller.ReadToEnd());
  LONGS_EQUAL(503, caller.Status());
  STRCMP_CONTAINS("Retry-After", caller.Received().c_str());
  LONGS_EQUAL(0, deployment.Count("arrived", "at-1"));
}
