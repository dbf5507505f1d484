// Tests streams while engines crash. STREAM_SEED sets the random seed.

#include "harness.h"

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

#include "../../fakes/gooseberrylift-fake-tokens.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kStreams = 500;
constexpr int kCallers = 20;
constexpr int kTokens = 60;
constexpr milliseconds kDeadline{ 20'000 }; // the service's configured deadline
constexpr milliseconds kLateness{ 250 };

// Engines that are killed and replaced by new engines with new names.
class ReplaceableEngines
{
public:
  ReplaceableEngines(Deployment& aDeployment, int aEngines)
    : deployment_(aDeployment)
  {
    for (int engine = 0; engine < aEngines; ++engine) {
      engines_.push_back(Start());
    }
    Publish();
  }

  void Replace(std::size_t aIndex)
  {
    engines_.at(aIndex).fake_->Handle().Signal(SIGKILL);
    engines_.at(aIndex) = Start();
    Publish();
  }

private:
  struct Engine
  {
    std::string name_;
    std::unique_ptr<Fake> fake_;
  };

  Engine Start()
  {
    const std::string name = "fleet-" + std::to_string(++started_);
    const json settings = { { "name", name },
                            { "prefill_linear_us", 1.0 },
                            { "decode_us", 5000 } };
    return { name, std::make_unique<Fake>("engine", settings) };
  }

  void Publish()
  {
    json hosts = deployment_.HostList();
    for (const Engine& engine : engines_) {
      hosts.push_back({ { "name", engine.name_ },
                        { "address", engine.fake_->Address() },
                        { "pool", "llm" },
                        { "zone", "zone-a" },
                        { "kind", "engine" },
                        { "incarnation", 1 } });
    }
    deployment_.List().Control({ { "hosts", hosts } });
  }

  Deployment& deployment_;
  std::vector<Engine> engines_;
  int started_ = 0;
};

struct Counts
{
  std::atomic<int> next_ = 0;
  std::atomic<int> wrong_ = 0; // incomplete or different from the reference
  std::atomic<int> late_ = 0;
};

void Stream(std::uint16_t aPort, int aStream, Counts& aCounts)
{
  const std::string prompt = "stream " + std::to_string(aStream);
  const TimePoint begin = TimerService::Now();
  const auto answer =
    Send(aPort, ChatRequest(prompt, kTokens, true), kDeadline + seconds(10));
  aCounts.late_ += TimerService::Now() - begin > kDeadline + kLateness ? 1 : 0;
  bool whole = false;
  const std::string text =
    answer ? StreamText(answer.value().body_, &whole) : "";
  const bool correct = whole && text == fakes::ReferenceAnswer(prompt, kTokens);
  if (!correct) {
    ++aCounts.wrong_;
    std::cout << "stream " << aStream << ": "
              << (answer ? answer.value().body_.substr(
                             answer.value().body_.size() > 300
                               ? answer.value().body_.size() - 300
                               : 0)
                         : answer.error().text_)
              << std::endl;
  }
}

} // namespace

TEST_GROUP(StreamTest){};

// 500 callers read streams of 60 tokens while engines are killed at random
// times and replaced. Each stream must resume at another engine after its last
// token, so that the caller gets every token once and in order, and the end
// marker.
TEST(StreamTest, CompletesEveryStreamWhenEnginesCrash)
{
  const char* seedText = std::getenv("STREAM_SEED");
  const int seed = seedText == nullptr ? 1 : std::atoi(seedText);
  Deployment deployment({ .hosts_ = 2, .engines_ = 0 });
  ReplaceableEngines engines(deployment, 6);
  CHECK_TRUE(WaitUntil(seconds(20), [&] {
    const auto first =
      Send(deployment.At(0).Port(), ChatRequest("ready?", 1, false));
    const auto second =
      Send(deployment.At(1).Port(), ChatRequest("ready?", 1, false));
    return first && first.value().status_ == 200 && second &&
           second.value().status_ == 200;
  }));
  Counts counts;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&] {
      for (int stream = counts.next_++; stream < kStreams;
           stream = counts.next_++) {
        Stream(deployment.At(stream % 2).Port(), stream, counts);
      }
    });
  }
  std::mt19937 random(seed);
  int kills = 0;
  while (counts.next_ < kStreams) {
    std::this_thread::sleep_for(milliseconds(100 + random() % 200));
    engines.Replace(random() % 6);
    ++kills;
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  std::cout << "seed " << seed << ", streams " << kStreams << ", kills "
            << kills << ", wrong " << counts.wrong_ << ", late " << counts.late_
            << std::endl;
  for (std::size_t host = 0; host < 2 && counts.wrong_ > 0; ++host) {
    std::istringstream lines(deployment.At(host).Handle().Output());
    for (std::string line; std::getline(lines, line);) {
      if (line.find("request-failed") != std::string::npos ||
          line.find("attempt-failed") != std::string::npos ||
          line.find("response-truncated") != std::string::npos) {
        std::cout << line << std::endl;
      }
    }
  }
  CHECK_TRUE(kills >= 10);
  LONGS_EQUAL(0, counts.wrong_);
  LONGS_EQUAL(0, counts.late_);
}
