// Tests of callers that disconnect or stop reading: the engine is freed and the
// host's memory stays bounded.

#include "harness.h"

#include "harness-raw-connection.h"

#include <csignal>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;

namespace {

std::string LongChat(int aTokens, bool aStream)
{
  const json message = { { "role", "user" }, { "content", "a long story" } };
  const json body = { { "model", "m" },
                      { "max_tokens", aTokens },
                      { "stream", aStream },
                      { "messages", json::array({ message }) } };
  // The deadline is far beyond the test's own limits, so that only the
  // disconnect frees the engine.
  return RawChatRequest(body.dump(), "X-Deadline-Ms: 86400000\r\n");
}

bool EngineIsFree(Deployment& aDeployment)
{
  return WaitUntil(std::chrono::seconds(20), [&aDeployment] {
    const json stats = aDeployment.Engine(0).Stats();
    return stats.value("running", -1) == 0 && stats.value("waiting", -1) == 0 &&
           stats.value("kv_used", -1) == 0;
  });
}

} // namespace

TEST_GROUP(CallerLeavesTest){};

// Guards against an engine that continues to generate tens of thousands of
// tokens after the caller has closed its connection in mid-stream.
TEST(CallerLeavesTest, CancelsAtTheEngineInMidStream)
{
  Deployment deployment({ .engines_ = 1 });
  RawConnection wire(deployment.At(0).Port());
  wire.Write(LongChat(100'000, true));
  CHECK_TRUE(wire.ReadUntil("\"token_index\":20"));
  wire.Close();
  CHECK_TRUE(EngineIsFree(deployment));
  CHECK_TRUE(WaitUntil(std::chrono::seconds(10), [&] {
    return deployment.Engine(0).Stats().value("cancels", 0) > 0;
  }));
  LONGS_EQUAL(0, deployment.Engine(0).Stats().value("finished", -1));
}

// The same for a response that is not streamed: nothing is written before the
// end, so no failed write reveals the disconnect.
TEST(CallerLeavesTest, CancelsAtTheEngineBeforeAPlainAnswer)
{
  Deployment deployment({ .engines_ = 1 });
  RawConnection wire(deployment.At(0).Port());
  wire.Write(LongChat(100'000, false));
  CHECK_TRUE(WaitUntil(std::chrono::seconds(10), [&] {
    return deployment.Engine(0).Stats().value("running", 0) == 1;
  }));
  wire.Close();
  CHECK_TRUE(EngineIsFree(deployment));
  LONGS_EQUAL(0, deployment.Engine(0).Stats().value("finished", -1));
}

// Guards against requests that reach engines after their callers have left,
// because the host reads them late.
TEST(CallerLeavesTest, SendsNoRequestWhoseCallerLeftBeforeItWasRead)
{
  constexpr int kCallers = 10;
  Deployment deployment({ .engines_ = 1 });
  Process& host = deployment.At(0).Handle();
  host.Signal(SIGSTOP);
  for (int caller = 0; caller < kCallers; ++caller) {
    RawConnection wire(deployment.At(0).Port());
    wire.Write(LongChat(100, true));
    wire.Close();
  }
  host.Signal(SIGCONT);
  const auto countFailed = [&host] {
    const std::string output = host.Output();
    int failed = 0;
    for (auto at = output.find("\"code\":42"); at != std::string::npos;
         at = output.find("\"code\":42", at + 1)) {
      ++failed;
    }
    return failed;
  };
  CHECK_TRUE(WaitUntil(std::chrono::seconds(10),
                       [&] { return countFailed() == kCallers; }));
  const json stats = deployment.Engine(0).Stats();
  LONGS_EQUAL(0, stats.value("cancels", -1));
  LONGS_EQUAL(0, stats.value("finished", -1));
}

// Guards against memory growth with unread output. Eight callers request
// streams of about 40 MB each and never read, while the engine generates as
// fast as it can. After the write timeout each caller is disconnected with a
// result code and the engine is freed.
TEST(CallerLeavesTest, HoldsMemoryWhileReadersStop)
{
  constexpr int kReaders = 8;
  constexpr std::uint64_t kMaxGrowthBytes = 16ULL * 1024 * 1024;
  Deployment deployment(
    { .engines_ = 1,
      .engine_ = { { "decode_us", 5 }, { "kv_tokens", 4'000'000 } },
      .host_ = {
        { "caller", { { "port", 0 }, { "write_timeout_ms", 2500 } } } } });
  Host& host = deployment.At(0);
  const std::uint64_t initial = ResidentBytes(host.Handle().Pid());
  std::vector<std::unique_ptr<RawConnection>> readers;
  for (int reader = 0; reader < kReaders; ++reader) {
    readers.push_back(std::make_unique<RawConnection>(host.Port()));
    readers.back()->Write(LongChat(200'000, true));
  }
  std::uint64_t peak = initial;
  CHECK_TRUE(WaitUntil(std::chrono::seconds(30), [&] {
    peak = std::max(peak, ResidentBytes(host.Handle().Pid()));
    return deployment.Engine(0).Stats().value("cancels", 0) >= kReaders;
  }));
  std::printf("%d stopped readers: resident %llu kB before, %llu kB at most\n",
              kReaders,
              static_cast<unsigned long long>(initial / 1024),
              static_cast<unsigned long long>(peak / 1024));
  CHECK_TRUE(peak - initial < kMaxGrowthBytes);
  CHECK_TRUE(EngineIsFree(deployment));
  const std::string log =
    host.Handle().WaitForLine("\"code\":40", std::chrono::seconds(10));
  STRCMP_CONTAINS("\"event\":1301", log.c_str());
}
