// Season reviews among room state on real processes, under two strategies side
// by side, so that both meet the same machine at the same moment.

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

constexpr int kShorts = 30;
constexpr std::size_t kReviewTokens = 90'000;
constexpr std::size_t kBytesPerToken = 4;
constexpr milliseconds kLimit{ 60'000 };

// Sends reviews one after another until told to stop.
void SendReviews(std::uint16_t aPort, const std::atomic<bool>& aStop)
{
  const std::string prompt(kReviewTokens * kBytesPerToken, 'r');
  while (!aStop) {
    (void)Send(aPort, ChatRequest(prompt, 1, false), kLimit);
  }
}

struct Times
{
  int answered_ = 0;
  std::vector<double> times_; // ms to the first token, sorted

  double Quantile(double aQuantile) const
  {
    return times_[static_cast<std::size_t>(
      aQuantile * static_cast<double>(times_.size() - 1))];
  }
};

// Sends short requests beside two streams of reviews and times them. Each asks
// for one token, so its whole time is the time to first token.
Times Play(const std::string& aPlacement)
{
  const json pools = { { { "name", "llm" }, { "placement", aPlacement } },
                       { { "name", "board" } } };
  // Five times slower than usual, so that the engine's time outweighs the
  // machine's: a review takes a second, a chunk of it a tenth of one.
  Deployment deployment({ .engines_ = 3,
                          .engine_ = { { "prefill_linear_us", 10 } },
                          .config_ = { { "pools", pools } } });
  const std::uint16_t port = deployment.At(0).Port();
  std::atomic<bool> stop = false;
  std::thread first([&] { SendReviews(port, stop); });
  std::thread second([&] { SendReviews(port, stop); });
  std::this_thread::sleep_for(milliseconds(500));
  Times outcome;
  for (int index = 0; index < kShorts; ++index) {
    const auto begin = std::chrono::steady_clock::now();
    const auto answer =
      Send(port, ChatRequest("Is room 12 ready?", 1, false), kLimit);
    const std::chrono::duration<double, std::milli> took =
      std::chrono::steady_clock::now() - begin;
    outcome.answered_ += answer && answer.value().status_ == 200 ? 1 : 0;
    outcome.times_.push_back(took.count());
    std::this_thread::sleep_for(milliseconds(30));
  }
  stop = true;
  first.join();
  second.join();
  std::sort(outcome.times_.begin(), outcome.times_.end());
  return outcome;
}

} // namespace

TEST_GROUP(LanesTest){};

// Two callers send reviews without end while a board terminal asks for room
// state. In turn, every third request or so meets an engine that reads in a
// review and waits for its chunk or behind it; with lanes it never does.
TEST(LanesTest, KeepsRoomStateFastBesideReviewsAgainstRoundRobin)
{
  Times inTurn;
  std::thread beside([&] { inTurn = Play("round-robin"); });
  const Times ours = Play("least-work");
  beside.join();
  std::printf("first token ms, p50 p95 max: round-robin %.1f %.1f %.1f, "
              "least-work %.1f %.1f %.1f\n",
              inTurn.Quantile(0.5),
              inTurn.Quantile(0.95),
              inTurn.Quantile(1),
              ours.Quantile(0.5),
              ours.Quantile(0.95),
              ours.Quantile(1));
  LONGS_EQUAL(kShorts, ours.answered_);
  LONGS_EQUAL(kShorts, inTurn.answered_);
  CHECK_TRUE(ours.Quantile(0.95) * 3 < inTurn.Quantile(0.95));
}
