// Compares two placement strategies under long and short prompts, on real
// processes. Both run at the same time, so that both see the same machine load.

#include "harness.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using std::chrono::milliseconds;

namespace {

constexpr int kShortRequests = 30;
constexpr std::size_t kLongPromptTokens = 90'000;
constexpr std::size_t kBytesPerToken = 4;
constexpr milliseconds kTimeout{ 60'000 };

// Sends long prompts one after another until aStop is set.
void SendLongPrompts(std::uint16_t aPort, const std::atomic<bool>& aStop)
{
  const std::string prompt(kLongPromptTokens * kBytesPerToken, 'r');
  while (!aStop) {
    (void)Send(aPort, ChatRequest(prompt, 1, false), kTimeout);
  }
}

struct Latencies
{
  int answered_ = 0;
  std::vector<double> sortedMs_; // ms to the first token, sorted

  double Quantile(double aQuantile) const
  {
    return sortedMs_[static_cast<std::size_t>(
      aQuantile * static_cast<double>(sortedMs_.size() - 1))];
  }
};

// Measures short requests while two threads send long prompts. Each request
// asks for one token, so its total time is the time to first token.
Latencies MeasureLatencies(const std::string& aPlacement)
{
  const json pools = { { { "name", "llm" }, { "placement", aPlacement } },
                       { { "name", "board" } } };
  // Prefill is five times slower than usual, so that the engine's time
  // dominates that of the machine: a long prompt takes 1 s, a chunk of it
  // 100 ms.
  Deployment deployment({ .engines_ = 3,
                          .engine_ = { { "prefill_linear_us", 10 } },
                          .config_ = { { "pools", pools } } });
  const std::uint16_t port = deployment.At(0).Port();
  std::atomic<bool> stop = false;
  std::thread first([&] { SendLongPrompts(port, stop); });
  std::thread second([&] { SendLongPrompts(port, stop); });
  std::this_thread::sleep_for(milliseconds(500));
  Latencies outcome;
  for (int index = 0; index < kShortRequests; ++index) {
    const auto begin = std::chrono::steady_clock::now();
    const auto answer =
      Send(port, ChatRequest("Is room 12 ready?", 1, false), kTimeout);
    const std::chrono::duration<double, std::milli> took =
      std::chrono::steady_clock::now() - begin;
    outcome.answered_ += answer && answer.value().status_ == 200 ? 1 : 0;
    outcome.sortedMs_.push_back(took.count());
    std::this_thread::sleep_for(milliseconds(30));
  }
  stop = true;
  first.join();
  second.join();
  std::sort(outcome.sortedMs_.begin(), outcome.sortedMs_.end());
  return outcome;
}

} // namespace

TEST_GROUP(LanesTest){};

// Two callers send long prompts continuously while another sends short
// requests. With round-robin about every third request reaches an engine that
// is processing a long prompt and waits for its chunk or for all of it; with
// lanes none does.
TEST(LanesTest, KeepsRoomStateFastBesideReviewsAgainstRoundRobin)
{
  Latencies roundRobin;
  std::thread roundRobinThread(
    [&] { roundRobin = MeasureLatencies("round-robin"); });
  const Latencies leastWork = MeasureLatencies("least-work");
  roundRobinThread.join();
  std::printf("first token ms, p50 p95 max: round-robin %.1f %.1f %.1f, "
              "least-work %.1f %.1f %.1f\n",
              roundRobin.Quantile(0.5),
              roundRobin.Quantile(0.95),
              roundRobin.Quantile(1),
              leastWork.Quantile(0.5),
              leastWork.Quantile(0.95),
              leastWork.Quantile(1));
  LONGS_EQUAL(kShortRequests, leastWork.answered_);
  LONGS_EQUAL(kShortRequests, roundRobin.answered_);
  CHECK_TRUE(leastWork.Quantile(0.95) * 3 < roundRobin.Quantile(0.95));
}
