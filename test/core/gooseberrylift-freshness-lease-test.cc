#include "gooseberrylift/membership/gooseberrylift-freshness-lease.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

namespace {

constexpr BootTime kStart{ 1000s };

// A store whose one change takes a key away, and a host that follows it with
// reads and watches. Times in ms since the start.
class Schedule
{
public:
  explicit Schedule(std::uint64_t aSeed)
    : random_(aSeed)
    , revokedAt_(Draw(0, 20'000))
    , muteFrom_(Draw(0, 20'000))
    , cutFrom_(Draw(0, 20'000))
    , cutFor_(Draw(0, 15'000))
  {
  }

  // Plays 40 s. Returns by how much the promise was broken, 0 when it held.
  std::int64_t Play()
  {
    std::int64_t worst = 0;
    while (now_ < 40'000) {
      Draw(0, 1) == 0 ? Read() : Watch();
      Pause();
      // A request is let in by the lease as it stands at this moment.
      if (!knows_ && lease_.IsValid(At(now_))) {
        worst = std::max(worst, now_ - (revokedAt_ + kRevoke));
      }
    }
    return worst;
  }

private:
  static constexpr std::int64_t kRevoke = 5'000;
  static constexpr std::int64_t kMute = 1'000; // of a watch, then it is cut

  static BootTime At(std::int64_t aTime)
  {
    return kStart + milliseconds(aTime);
  }

  std::int64_t Draw(std::int64_t aFrom, std::int64_t aTo)
  {
    return std::uniform_int_distribution<std::int64_t>(aFrom, aTo)(random_);
  }

  // The host may stand still for seconds between any two steps.
  void Pause() { now_ += Draw(0, 20) == 0 ? Draw(0, 9'000) : Draw(0, 200); }

  bool IsCut() const { return now_ >= cutFrom_ && now_ < cutFrom_ + cutFor_; }

  void Read()
  {
    const std::int64_t began = now_;
    Pause();
    if (IsCut()) {
      now_ += 900; // the call times out
      return;
    }
    const bool seen = now_ >= revokedAt_; // linearized here
    Pause();                              // before the answer is looked at
    knows_ = knows_ || seen;
    lease_.OnProof(At(began));
  }

  void Watch()
  {
    Pause();
    if (IsCut()) {
      now_ += 1'900;
      return;
    }
    const bool mute = now_ >= muteFrom_ && now_ < muteFrom_ + kMute;
    const bool isNews = now_ >= revokedAt_;
    if (mute) {
      // It ends while it is mute, and tells nothing, not even of changes made
      // while this host stood still before it asked.
      now_ += Draw(0, muteFrom_ + kMute - now_);
      return;
    }
    if (isNews) {
      knows_ = true;
      return;
    }
    now_ += std::min<std::int64_t>(
      1'500, std::max<std::int64_t>(revokedAt_ - now_, 0));
    knows_ = knows_ || now_ >= revokedAt_;
  }

  std::mt19937_64 random_;
  FreshnessLease lease_{ FreshnessLease::Options{} };
  std::int64_t now_ = 0;
  std::int64_t revokedAt_;
  std::int64_t muteFrom_;
  std::int64_t cutFrom_;
  std::int64_t cutFor_;
  bool knows_ = false; // of the change, so that the key is refused
};

} // namespace

TEST_GROUP(FreshnessLeaseTest)
{
  FreshnessLease lease_{ { .revokeWithin_ = 5s, .margin_ = 50ms } };
};

TEST(FreshnessLeaseTest, BelievesNoKeyBeforeTheFirstProof)
{
  CHECK_FALSE(lease_.IsValid(kStart));
  CHECK_FALSE(lease_.Age(kStart).has_value());
}

TEST(FreshnessLeaseTest, CountsFromTheBeginningOfTheCallNotFromItsAnswer)
{
  lease_.OnProof(kStart);
  CHECK_TRUE(lease_.IsValid(kStart + 4'900ms));
  CHECK_FALSE(lease_.IsValid(kStart + 4'950ms));
}

TEST(FreshnessLeaseTest, KeepsTheLaterOfTwoProofs)
{
  lease_.OnProof(kStart + 2s);
  lease_.OnProof(kStart);
  LONGS_EQUAL(1'000, lease_.Age(kStart + 3s)->count());
}

// What a caller with a revoked key sees: it is served for the revocation time
// at most, on any host. The order: the key is taken away at any moment, while
// the host reads or watches, is cut off from the store, hears a mute watch, or
// stands still between two of its steps. Why: each proof counts from before its
// call began, and the clock goes on while the host stands still.
TEST(FreshnessLeaseTest, ServesNoRevokedKeyTooLongInAnySchedule)
{
  for (std::uint64_t seed = 1; seed <= 5'000; ++seed) {
    const std::int64_t over = Schedule(seed).Play();
    CHECK_TRUE_TEXT(over <= 0, ("seed " + std::to_string(seed)).c_str());
  }
}
