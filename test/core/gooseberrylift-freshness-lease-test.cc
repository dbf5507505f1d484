#include "gooseberrylift/membership/gooseberrylift-freshness-lease.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

namespace {

constexpr BootTime kStart{ 1000s };

// Simulates a store in which one key is revoked, and a host that follows it by
// reads and watches. Times are in ms since the start.
class Schedule
{
public:
  explicit Schedule(std::uint64_t aSeed)
    : random_(aSeed)
    , revokedAt_(Random(0, 20'000))
    , stallStart_(Random(0, 20'000))
    , partitionStart_(Random(0, 20'000))
    , partitionDuration_(Random(0, 15'000))
  {
  }

  // Simulates 40 s. Returns the longest time by which the key was accepted
  // beyond the revocation time; 0 if it never was.
  std::int64_t Run()
  {
    std::int64_t worst = 0;
    while (now_ < 40'000) {
      Random(0, 1) == 0 ? Read() : Watch();
      Pause();
      // A request at this moment is accepted if the lease is valid.
      if (!knowsRevocation_ && lease_.IsValid(At(now_))) {
        worst = std::max(worst, now_ - (revokedAt_ + kRevokeWithin));
      }
    }
    return worst;
  }

private:
  static constexpr std::int64_t kRevokeWithin = 5'000;
  static constexpr std::int64_t kStall = 1'000; // then the watch is closed

  static BootTime At(std::int64_t aTime)
  {
    return kStart + milliseconds(aTime);
  }

  std::int64_t Random(std::int64_t aFrom, std::int64_t aTo)
  {
    return std::uniform_int_distribution<std::int64_t>(aFrom, aTo)(random_);
  }

  // The host may be paused for seconds between any two steps.
  void Pause()
  {
    now_ += Random(0, 20) == 0 ? Random(0, 9'000) : Random(0, 200);
  }

  bool IsPartitioned() const
  {
    return now_ >= partitionStart_ &&
           now_ < partitionStart_ + partitionDuration_;
  }

  void Read()
  {
    const std::int64_t readStart = now_;
    Pause();
    if (IsPartitioned()) {
      now_ += 900; // the call times out
      return;
    }
    const bool isRevoked = now_ >= revokedAt_; // linearization point
    Pause(); // before the response is processed
    knowsRevocation_ = knowsRevocation_ || isRevoked;
    lease_.OnProof(At(readStart));
  }

  void Watch()
  {
    Pause();
    if (IsPartitioned()) {
      now_ += 1'900;
      return;
    }
    const bool stalled = now_ >= stallStart_ && now_ < stallStart_ + kStall;
    const bool isRevoked = now_ >= revokedAt_;
    if (stalled) {
      // The watch ends while stalled and reports nothing, not even changes made
      // while this host was paused before opening the watch.
      now_ += Random(0, stallStart_ + kStall - now_);
      return;
    }
    if (isRevoked) {
      knowsRevocation_ = true;
      return;
    }
    now_ += std::min<std::int64_t>(
      1'500, std::max<std::int64_t>(revokedAt_ - now_, 0));
    knowsRevocation_ = knowsRevocation_ || now_ >= revokedAt_;
  }

  std::mt19937_64 random_;
  FreshnessLease lease_{ FreshnessLease::Options{} };
  std::int64_t now_ = 0;
  std::int64_t revokedAt_;
  std::int64_t stallStart_;
  std::int64_t partitionStart_;
  std::int64_t partitionDuration_;
  bool knowsRevocation_ = false; // if set, the key is refused
};

} // namespace

TEST_GROUP(FreshnessLeaseTest)
{
  FreshnessLease lease_{ { .revokeWithin_ = 5s, .margin_ = 50ms } };
};

TEST(FreshnessLeaseTest, IsInvalidBeforeTheFirstProof)
{
  CHECK_FALSE(lease_.IsValid(kStart));
  CHECK_FALSE(lease_.Age(kStart).has_value());
}

TEST(FreshnessLeaseTest, ExpiresRelativeToTheStartOfTheRead)
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

// A revoked key must not be accepted for longer than the revocation time. The
// key is revoked at a random moment, while the host reads or watches, is
// partitioned from the store, has a stalled watch, or is paused. It holds
// because a proof counts from before its read started, and the clock advances
// while the host is paused.
TEST(FreshnessLeaseTest, NeverAcceptsARevokedKeyTooLongInRandomSchedules)
{
  for (std::uint64_t seed = 1; seed <= 5'000; ++seed) {
    const std::int64_t overrun = Schedule(seed).Run();
    CHECK_TRUE_TEXT(overrun <= 0, ("seed " + std::to_string(seed)).c_str());
  }
}
