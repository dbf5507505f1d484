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

// Nine hosts that tell one another of their demand each second, a second late.
class Hosts
{
public:
  Hosts()
  {
    for (int host = 0; host < kHosts; ++host) {
      limiters_.push_back(
        std::make_unique<TeamLimiter>(TeamLimiter::Options{}));
      limiters_.back()->SetLimits({ { "team", kLimit } });
    }
  }

  // Offers three times the limit to the hosts from the first on, which may
  // change with time. Gives the highest rate over any whole three seconds.
  template<typename First, typename Count>
  double Play(int aSeconds, bool aSilent, First aFirst, Count aCount)
  {
    double passed = 0;
    double most = 0;
    for (int step = 0; step < aSeconds * 100; ++step) {
      now_ += milliseconds(10);
      if (step % 100 == 0) {
        Exchange(aSilent);
      }
      if (step % 300 == 0) {
        most = std::max(most, passed / 3);
        passed = 0;
      }
      for (int request = 0; request < 3; ++request) {
        const auto offset = random_() % static_cast<unsigned>(aCount(step));
        const auto host = (aFirst(step) + static_cast<int>(offset)) % kHosts;
        const bool taken = limiters_[static_cast<std::size_t>(host)]->Take(
          "team", kTokens, now_);
        passed += taken ? kTokens : 0;
      }
    }
    return most;
  }

private:
  static constexpr std::uint64_t kTokens = 1000;

  void Exchange(bool aSilent)
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
    for (int host = 0; host < kHosts && !late_.empty(); ++host) {
      std::vector<Digest> others = aSilent ? std::vector<Digest>{} : late_;
      if (!aSilent) {
        others.erase(others.begin() + host);
      }
      limiters_[static_cast<std::size_t>(host)]->SetPeers(others, now_);
    }
    rounds_.push_back(digests);
    // Word takes two to three seconds: a period, a lost digest, the way.
    if (rounds_.size() > 2) {
      late_ = rounds_.front();
      rounds_.pop_front();
    }
  }

  std::vector<std::unique_ptr<TeamLimiter>> limiters_;
  std::vector<Digest> late_;
  std::deque<std::vector<Digest>> rounds_;
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

// A team asks three times its limit, and its load moves from host to host.
// Where it came from still holds the share that the next host claims; if both
// counted it, the limit would be passed at each move.
TEST(TeamLimiterTest, HoldsTheLimitOverAllHostsWhileTheLoadMoves)
{
  Hosts hosts;
  const auto moving = [](int aStep) { return aStep / 1000 * 3; };
  const double rate = hosts.Play(120, false, moving, Three);
  CHECK_TRUE(rate <= 1.05 * kLimit);
  CHECK_TRUE(rate >= 0.6 * kLimit);
}

// One host more each three seconds gets a part of the load. The earlier ones
// hear of it late and hold on to their shares for that long; a new one that
// took its share at once would add it to theirs.
TEST(TeamLimiterTest, HoldsTheLimitWhileMoreHostsAreAsked)
{
  Hosts hosts;
  hosts.Play(20, false, Zero, One);
  const auto more = [](int aStep) { return std::min(kHosts, 1 + aStep / 300); };
  CHECK_TRUE(hosts.Play(30, false, Zero, more) <= 1.05 * kLimit);
}

// Peers fall silent while the team asks on. A host that forgot them at once
// would take the whole limit, and so would each other host.
TEST(TeamLimiterTest, HoldsTheLimitWhilePeersAreSilent)
{
  Hosts hosts;
  hosts.Play(20, false, Zero, Three);
  CHECK_TRUE(hosts.Play(14, true, Zero, Three) <= 1.05 * kLimit);
}

TEST(TeamLimiterTest, LetsATeamWithoutALimitPass)
{
  TeamLimiter limiter({});
  limiter.SetLimits({ { "free", 0 } });
  CHECK_TRUE(limiter.Take("free", 1'000'000, TimePoint{}));
}
