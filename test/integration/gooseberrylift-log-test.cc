// Log lines against readers that fall behind.

#include "harness-gateway.h"

#include <fcntl.h>
#include <unistd.h>

#include <csignal>

#include "../../src/runtime/gooseberrylift-log-sink.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;

TEST_GROUP(LogSinkTest)
{
  int pipe_[2] = { -1, -1 };

  void setup() override
  {
    CHECK_EQUAL(0, ::pipe(pipe_));
  }
  void teardown() override
  {
    ::close(pipe_[0]);
    ::close(pipe_[1]);
  }

  int Fill() const
  {
    int lines = 0;
    while (WriteWithoutWaiting(pipe_[1], std::string(999, 'x'))) {
      ++lines;
    }
    return lines;
  }
};

// A collector stops reading. The process goes on: lines are left out as soon
// as the pipe is full, and come through again once it is read. A write that
// waited would end this test by its time-out.
TEST(LogSinkTest, LeavesLinesOutWhenThePipeIsFull)
{
  CHECK_TRUE(Fill() > 10);
  CHECK_FALSE(WriteWithoutWaiting(pipe_[1], "more"));
  std::string sink(1 << 20, '\0');
  CHECK_TRUE(::read(pipe_[0], sink.data(), sink.size()) > 0);
  CHECK_TRUE(WriteWithoutWaiting(pipe_[1], "again"));
}

TEST(LogSinkTest, WritesLinesWholeOrNotAtAll)
{
  CHECK_FALSE(WriteWithoutWaiting(pipe_[1], std::string(5'000, 'x')));
  CHECK_TRUE(WriteWithoutWaiting(pipe_[1], std::string(4'095, 'x')));
}

TEST_GROUP(LogTest){};

// An on-call engineer looks for a refused request by its id, and finds what
// decided it: the code, whether it ran, the routes in force, the proof's age.
TEST(LogTest, TellsWhatDecidedEachRequestByItsId)
{
  GatewayDeployment deployment({});
  LONGS_EQUAL(
    200,
    deployment.Ask(RouteRequest("GET", "/safe/a", "good-id")).value().status_);
  (void)deployment.Ask(RouteRequest("GET", "/safe/a", "bad-id", "wrong"));
  Process& host = deployment.At(0).Handle();
  const json placed =
    json::parse(host.WaitForLine("\"event\":1400", 5s), nullptr, false);
  STRCMP_EQUAL("good-id", placed.value("request_id", "").c_str());
  LONGS_EQUAL(1, placed.value("generation", 0));
  CHECK_TRUE(placed.contains("proof_age_ms") &&
             placed.contains("predicted_ms"));
  const json failed = json::parse(
    host.WaitForLine("\"request_id\":\"bad-id\"", 5s), nullptr, false);
  LONGS_EQUAL(static_cast<int>(ResultCode::kUnknownTeamKey),
              failed.value("code", 0));
  STRCMP_EQUAL("no", failed.value("ran", "").c_str());
}
