// Tests of streams of the own interface that have begun and lose their engines.

#include "harness.h"

#include <csignal>
#include <set>
#include <thread>

#include "../../fakes/gooseberrylift-fake-tokens.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;

namespace {

const std::string kPrompt = "a stream that loses its engine";

// Sends a stream in a thread of its own.
class RunningStream
{
public:
  RunningStream(Host& aHost, int aTokens, std::string aDeadlineMs)
    : host_(aHost)
    , tokens_(aTokens)
    , thread_([this, deadline = std::move(aDeadlineMs)] {
      HttpRequest request = ChatRequest(kPrompt, tokens_, true);
      request.fields_.push_back({ "X-Deadline-Ms", deadline });
      const auto response = Send(host_.Port(), std::move(request), 60s);
      body_ = response ? response.value().body_ : response.error().text_;
    })
  {
  }

  ~RunningStream()
  {
    if (thread_.joinable()) {
      thread_.join();
    }
  }
  RunningStream(const RunningStream&) = delete;
  RunningStream& operator=(const RunningStream&) = delete;

  // Checks that the caller got each token once, in order, and the end marker.
  void CheckWhole()
  {
    thread_.join();
    bool whole = false;
    const std::string text = StreamText(body_, &whole);
    const std::string line =
      whole ? "" : host_.Handle().WaitForLine("response-truncated", 1s);
    CHECK_TRUE_TEXT(whole, line.c_str());
    STRCMP_EQUAL(fakes::ReferenceAnswer(kPrompt, tokens_).c_str(),
                 text.c_str());
  }

private:
  Host& host_;
  int tokens_;
  std::string body_;
  std::thread thread_;
};

// Starts another engine and adds it to the host list.
std::unique_ptr<Fake> AddEngine(Deployment& aDeployment)
{
  const json settings = { { "name", "late" }, { "decode_us", 20'000 } };
  auto engine = std::make_unique<Fake>("engine", settings);
  json hosts = aDeployment.HostList();
  hosts.push_back({ { "name", "late" },
                    { "address", engine->Address() },
                    { "pool", "llm" },
                    { "zone", "zone-a" },
                    { "kind", "engine" },
                    { "incarnation", 1 } });
  aDeployment.List().Control({ { "hosts", hosts } });
  return engine;
}

} // namespace

TEST_GROUP(BegunStreamTest)
{
  std::set<std::size_t> killed_;

  // Finds the engine that runs the only stream and lets it send some tokens.
  std::size_t RunningEngine(Deployment & aDeployment, std::size_t aEngines)
  {
    std::size_t running = aEngines;
    const bool found = WaitUntil(10s, [&] {
      for (std::size_t engine = 0; engine < aEngines; ++engine) {
        if (!killed_.contains(engine) &&
            aDeployment.Engine(engine).Stats().at("running") > 0) {
          running = engine;
        }
      }
      return running < aEngines;
    });
    CHECK_TRUE(found);
    std::this_thread::sleep_for(150ms);
    return running;
  }

  void KillRunningEngine(Deployment & aDeployment, std::size_t aEngines)
  {
    const std::size_t engine = RunningEngine(aDeployment, aEngines);
    aDeployment.Engine(engine).Handle().Signal(SIGKILL);
    killed_.insert(engine);
  }
};

// Guards against a stream that ends because its third engine crashed.
TEST(BegunStreamTest, CompletesAStreamWhoseEnginesCrashOneAfterTheOther)
{
  constexpr std::size_t kEngines = 7;
  Deployment deployment(
    { .engines_ = kEngines, .engine_ = { { "decode_us", 20'000 } } });
  RunningStream stream(deployment.At(0), 100, "20000");
  for (std::size_t kill = 1; kill < kEngines; ++kill) {
    KillRunningEngine(deployment, kEngines);
  }
  stream.CheckWhole();
}

// Guards against a limit of the time for which a stream waits for an engine.
TEST(BegunStreamTest, CompletesAStreamWhoseNextEngineIsListedLate)
{
  Deployment deployment(
    { .engines_ = 1, .engine_ = { { "decode_us", 20'000 } } });
  RunningStream stream(deployment.At(0), 100, "20000");
  KillRunningEngine(deployment, 1);
  std::this_thread::sleep_for(4s);
  const std::unique_ptr<Fake> late = AddEngine(deployment);
  stream.CheckWhole();
}

// Guards against a resumption judged by the time that the whole answer needs.
TEST(BegunStreamTest, CompletesAStreamWhoseRemainderFitsItsDeadline)
{
  Deployment deployment(
    { .engines_ = 2, .engine_ = { { "decode_us", 15'000 } } });
  RunningStream stream(deployment.At(0), 150, "4000");
  (void)RunningEngine(deployment, 2);
  std::this_thread::sleep_for(1200ms);
  KillRunningEngine(deployment, 2);
  stream.CheckWhole();
}

// Guards against a stream that ends because the engines left ask for a backoff.
TEST(BegunStreamTest, CompletesAStreamWhileOtherEnginesAskForABackoff)
{
  constexpr std::size_t kEngines = 3;
  Deployment deployment(
    { .engines_ = kEngines, .engine_ = { { "decode_us", 20'000 } } });
  RunningStream stream(deployment.At(0), 100, "20000");
  const std::size_t running = RunningEngine(deployment, kEngines);
  for (std::size_t engine = 0; engine < kEngines; ++engine) {
    if (engine != running) {
      deployment.Engine(engine).Control({ { "retry_after", "60" } });
    }
  }
  deployment.Engine(running).Handle().Signal(SIGKILL);
  std::this_thread::sleep_for(2s);
  const std::unique_ptr<Fake> late = AddEngine(deployment);
  stream.CheckWhole();
}

// Guards against a stream that ends because no engine sends a token for longer
// than a silent engine is waited for.
TEST(BegunStreamTest, CompletesAStreamWhileAllEnginesStandStill)
{
  constexpr std::size_t kEngines = 3;
  Deployment deployment(
    { .engines_ = kEngines, .engine_ = { { "decode_us", 20'000 } } });
  RunningStream stream(deployment.At(0), 100, "40000");
  (void)RunningEngine(deployment, kEngines);
  for (std::size_t engine = 0; engine < kEngines; ++engine) {
    deployment.Engine(engine).Handle().Signal(SIGSTOP);
  }
  std::this_thread::sleep_for(12s);
  for (std::size_t engine = 0; engine < kEngines; ++engine) {
    deployment.Engine(engine).Handle().Signal(SIGCONT);
  }
  stream.CheckWhole();
  int started = 0;
  for (std::size_t engine = 0; engine < kEngines; ++engine) {
    started += deployment.Engine(engine).Stats().at("started").get<int>();
  }
  LONGS_EQUAL(1, started);
}

// Guards against a stream that ends because several engines in a row are
// silent.
TEST(BegunStreamTest, CompletesAStreamWhoseNextEnginesAreSilent)
{
  constexpr std::size_t kEngines = 4;
  Deployment deployment(
    { .engines_ = kEngines, .engine_ = { { "decode_us", 20'000 } } });
  for (int request = 0; request < 25; ++request) {
    (void)Send(deployment.At(0).Port(), ChatRequest("warm-up", 1, false));
  }
  RunningStream stream(deployment.At(0), 100, "40000");
  const std::size_t running = RunningEngine(deployment, kEngines);
  for (std::size_t engine = 0; engine < kEngines; ++engine) {
    if (engine != running) {
      deployment.Engine(engine).Control({ { "hang", true } });
    }
  }
  deployment.Engine(running).Handle().Signal(SIGKILL);
  std::this_thread::sleep_for(6s);
  for (std::size_t engine = 0; engine < kEngines; ++engine) {
    if (engine != running) {
      deployment.Engine(engine).Control({ { "hang", false } });
    }
  }
  stream.CheckWhole();
}
