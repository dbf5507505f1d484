// Tests of log output: slow readers of the pipe, and lines that explain a
// request.

#include "harness-gateway.h"

#include <fcntl.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

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

  int FillPipe() const
  {
    int lines = 0;
    while (WriteNonBlocking(pipe_[1], std::string(999, 'x'))) {
      ++lines;
    }
    return lines;
  }
};

// Guards against a process that blocks when the log collector stops reading.
// Lines are dropped while the pipe is full and written again once it is read. A
// write that blocked would make this test time out.
TEST(LogSinkTest, LeavesLinesOutWhenThePipeIsFull)
{
  CHECK_TRUE(FillPipe() > 10);
  CHECK_FALSE(WriteNonBlocking(pipe_[1], "more"));
  std::string buffer(1 << 20, '\0');
  CHECK_TRUE(::read(pipe_[0], buffer.data(), buffer.size()) > 0);
  CHECK_TRUE(WriteNonBlocking(pipe_[1], "again"));
}

TEST(LogSinkTest, WritesLinesWholeOrNotAtAll)
{
  CHECK_FALSE(WriteNonBlocking(pipe_[1], std::string(5'000, 'x')));
  CHECK_TRUE(WriteNonBlocking(pipe_[1], std::string(4'095, 'x')));
}

TEST_GROUP(LogTest){};

// `explain` sorts the lines of one request by time, here from two hosts in the
// wrong order, and skips lines that are not log lines.
TEST(LogTest, ExplainsARequestFromTheLogsOfAllHosts)
{
  const std::string path =
    "/tmp/explain-test-" + std::to_string(::getpid()) + ".log";
  std::ofstream(path)
    << R"({"at_ms":1200,"host":"b","event":1301,"name":"request-failed",)"
    << R"("request_id":"x1","code":62,"ran":"no"})"
    << "\n"
    << "not a log line\n"
    << R"({"at_ms":1000,"host":"a","event":1400,"name":"request-placed",)"
    << R"("request_id":"x1","predicted_ms":1626})"
    << "\n";
  const auto run = [&](const std::string& aId) {
    const std::string command =
      std::string(PRODUCT_BINARY) + " explain " + aId + " < " + path;
    return std::make_unique<Process>("/bin/sh",
                                     std::vector<std::string>{ "-c", command });
  };
  const auto found = run("x1");
  LONGS_EQUAL(0, found->WaitForExit(10s));
  const std::string text = found->Output();
  CHECK_TRUE(text.find("+0 ms a: 1400") < text.find("+200 ms b: 1301"));
  CHECK_TRUE(text.find("deadline-unreachable") != std::string::npos);
  LONGS_EQUAL(static_cast<int>(ResultCode::kRequestNotLogged),
              run("x2")->WaitForExit(10s));
  std::remove(path.c_str());
}

// The log lines of a request, found by its id, contain what decided its
// outcome: the result code, whether it ran, the generation of the routes and
// the age of the last proof that they are current.
TEST(LogTest, TellsWhatDecidedEachRequestByItsId)
{
  GatewayDeployment deployment({});
  LONGS_EQUAL(
    200,
    deployment.SendToFirstHost(RouteRequest("GET", "/safe/a", "good-id"))
      .value()
      .status_);
  (void)deployment.SendToFirstHost(
    RouteRequest("GET", "/safe/a", "bad-id", "wrong"));
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
