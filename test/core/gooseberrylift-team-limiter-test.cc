#include "gooseberrylift/gooseberrylift-team-limiter.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using std::chrono::milliseconds;

namespace {

constexpr int kHosts = 9;
constexpr double kLimit = 100'000;

// Nine hosts that exchange digests of their demand every second, with a delay.
class HostGroup
{
public:
  HostGroup()
  {
    for (int host = 0; host < kHosts; ++host) {
      limiters_.push_back(
        std::make_unique<TeamLimiter>(TeamLimiter::Options{}));
      limiters_.back()->SetLimits({ { "team", kLimit } });
    }
  }

  // Offers three times the limit to a range of hosts that may change over time.
  // Returns the highest rate over consecutive intervals of three seconds.
  template<typename First, typename Count>
  double OfferLoad(int aSeconds,
                   bool aPeersSilent,
                   First aFirstHost,
                   Count aHostCount)
  {
    double passed = 0;
    double peakRate = 0;
    for (int step = 0; step < aSeconds * 100; ++step) {
      now_ += milliseconds(10);
      if (step % 100 == 0) {
        Exchange(aPeersSilent);
      }
      if (step % 300 == 0) {
        peakRate = std::max(peakRate, passed / 3);
        passed = 0;
      }
      for (int request = 0; request < 3; ++request) {
        const auto offset = random_() % static_cast<unsigned>(aHostCount(step));
        const auto host =
          (aFirstHost(step) + static_cast<int>(offset)) % kHosts;
        const bool taken =
          limiters_[static_cast<std::size_t>(host)]->TryAcquire(
            "team", kTokens, now_);
        passed += taken ? kTokens : 0;
      }
    }
    return peakRate;
  }

private:
  static constexpr std::uint64_t kTokens = 1000;

  void Exchange(bool aPeersSilent)
  {
    std::vector<Digest> digests;
    for (int host = 0; host < kHosts; ++host) {
      const auto index = static_cast<std::size_t>(host);
      Digest digest;
      digest.host_ = "host-" + std::to_string(host);
      digest.sequence_ = ++sequence_;
      digest.demand_ = limiters_[index]->Publish(now_);
      digests.push_back(digest);
    }
    for (int host = 0; host < kHosts && !delivered_.empty(); ++host) {
      std::vector<Digest> others =
        aPeersSilent ? std::vector<Digest>{} : delivered_;
      if (!aPeersSilent) {
        others.erase(others.begin() + host);
      }
      limiters_[static_cast<std::size_t>(host)]->SetPeers(others, now_);
    }
    digestsInFlight_.push_back(digests);
    // Delivery takes two to three seconds: a period, a lost digest, the
    // transit.
    if (digestsInFlight_.size() > 2) {
      delivered_ = digestsInFlight_.front();
      digestsInFlight_.pop_front();
    }
  }

  std::vector<std::unique_ptr<TeamLimiter>> limiters_;
  std::vector<Digest> delivered_;
  std::deque<std::vector<Digest>> digestsInFlight_;
  std::uint64_t sequence_ = 0;
  std::mt19937 random_{ 5 };
  TimePoint now_{ std::chrono::seconds(1000) };
};

int Zero(int /*aStep*/)
{
  return 0;
}

int One(int /*aStep*/)
{
  return 1;
}

int Three(int /*aStep*/)
{
  return 3;
}

} // namespace

TEST_GROUP(TeamLimiterTest){};

// A team sends three times its limit, and its load moves from host to host. The
// previous host still holds the share that the next one claims; if both used
// it, the limit would be exceeded at each move.
TEST(TeamLimiterTest, HoldsTheLimitOverAllHostsWhileTheLoadMoves)
{
  HostGroup hosts;
  const auto moving = [](int aStep) { return aStep / 1000 * 3; };
  const double rate = hosts.OfferLoad(120, false, moving, Three);
  CHECK_TRUE(rate <= 1.05 * kLimit);
  CHECK_TRUE(rate >= 0.6 * kLimit);
}

// Every three seconds one more host receives part of the load. The earlier
// hosts learn of it with a delay and keep their shares until then; if the new
// host used its share immediately, the sum would exceed the limit.
TEST(TeamLimiterTest, HoldsTheLimitWhileMoreHostsReceiveLoad)
{
  HostGroup hosts;
  hosts.OfferLoad(20, false, Zero, One);
  const auto more = [](int aStep) { return std::min(kHosts, 1 + aStep / 300); };
  CHECK_TRUE(hosts.OfferLoad(30, false, Zero, more) <= 1.05 * kLimit);
}

// Peers stop sending digests while the team continues to send. If hosts
// discarded silent peers immediately, each of them would use the whole limit.
TEST(TeamLimiterTest, HoldsTheLimitWhilePeersAreSilent)
{
  HostGroup hosts;
  hosts.OfferLoad(20, false, Zero, Three);
  CHECK_TRUE(hosts.OfferLoad(14, true, Zero, Three) <= 1.05 * kLimit);
}

TEST(TeamLimiterTest, LetsATeamWithoutALimitPass)
{
  TeamLimiter limiter({});
  limiter.SetLimits({ { "free", 0 } });
  CHECK_TRUE(limiter.TryAcquire("free", 1'000'000, TimePoint{}));
}
