// Tests of log output: slow readers of the pipe, and lines that explain a
// request.

#include "harness-gateway.h"
#include "harness-process.h"

#include <array>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <thread>
#include <vector>

#include <unistd.h>

#include "../../src/runtime/gooseberrylift-log-sink.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;

TEST_GROUP(LogSinkTest)
{
  Channel pipe_ = Channel::Pipe();
  LogSink sink_{ pipe_.writer_.Number() };

  int FillPipe()
  {
    int lines = 0;
    while (sink_.Write(std::string(999, 'x'))) {
      ++lines;
    }
    return lines;
  }
};

// Guards against a process that blocks when the log collector stops reading.
// Lines are dropped while the pipe is full and written again once it is read. A
// write that blocked would make this test time out. Shorter lines may still
// find room beside the last one.
TEST(LogSinkTest, LeavesLinesOutWhenThePipeIsFull)
{
  CHECK_TRUE(FillPipe() > 10);
  CHECK_FALSE(sink_.Write(std::string(999, 'y')));
  CHECK_TRUE(pipe_.Drain().size() > 0);
  CHECK_TRUE(sink_.Write("again"));
}

TEST(LogSinkTest, WritesLinesWholeOrNotAtAll)
{
  CHECK_FALSE(sink_.Write(std::string(5'000, 'x')));
  CHECK_TRUE(sink_.Write(std::string(4'095, 'x')));
}

// Guards against a process that blocks because others fill the pipe after it
// was found to be writable.
TEST(LogSinkTest, DoesNotBlockWhenSeveralProcessesShareThePipe)
{
  constexpr int kWriters = 4;
  constexpr std::size_t kLineBytes = 4'000; // two don't fit into a page
  std::atomic<bool> stops = false;
  std::atomic<int> ended = 0;
  std::vector<std::thread> writers;
  writers.reserve(kWriters);
  for (int writer = 0; writer < kWriters; ++writer) {
    writers.emplace_back([&] {
      LogSink sink(pipe_.writer_.Number());
      while (!stops) {
        sink.Write(std::string(kLineBytes - 1, 'x'));
      }
      ++ended;
    });
  }
  std::array<char, kLineBytes> line{};
  for (int round = 0; round < 200; ++round) {
    (void)!::read(pipe_.reader_.Number(), line.data(), line.size());
    std::this_thread::sleep_for(1ms);
  }
  stops = true;
  const bool endedInTime = WaitUntil(2s, [&] { return ended == kWriters; });
  // A writer that still waits goes on as the pipe is read.
  WaitUntil(10s, [&] { return pipe_.Drain().empty() && ended == kWriters; });
  for (std::thread& writer : writers) {
    writer.join();
  }
  CHECK_TRUE(endedInTime);
}

// Guards against a process that blocks on a socket with room for a part of a
// line, and against lines that are written after a part of another one.
TEST(LogSinkTest, FinishesALineThatASocketTookInPart)
{
  Channel socket = Channel::Sockets();
  LogSink sink(socket.writer_.Number());
  const std::string line(3'999, 'x');
  std::atomic<bool> ended = false;
  std::thread writer([&] {
    sink.Write("first");
    sink.Write(line);
    ended = true;
  });
  const bool endedInTime = WaitUntil(2s, [&] { return ended.load(); });
  const bool tookMore = endedInTime && sink.Write("dropped");
  std::string text;
  const std::string expected = "first\n" + line + "\nlast\n";
  WaitUntil(5s, [&] {
    text += socket.Drain();
    return ended && sink.Write("last");
  });
  writer.join();
  CHECK_TRUE(endedInTime);
  CHECK_FALSE(tookMore);
  text += socket.Drain();
  CHECK_TRUE(text == expected);
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
