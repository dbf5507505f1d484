#include "gooseberrylift/membership/gooseberrylift-store-read-schedule.h"

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

TEST_GROUP(StoreReadScheduleTest)
{
  StoreReadSchedule schedule_{ StoreReadSchedule::Options{} };
  TimePoint now_{ 1000s };

  milliseconds TimeUntilDue(std::optional<milliseconds> aAge,
                            const ReaderRank& aRank)
  {
    return schedule_.TimeUntilDue(now_, aAge, aRank);
  }
};

TEST(StoreReadScheduleTest, IsDueAtOnceWithoutAnyKnownRead)
{
  CHECK_TRUE(TimeUntilDue(std::nullopt, {}) <= 0ms);
  const ReaderRank last{ .hosts_ = 300, .rank_ = 299, .reachableBefore_ = 299 };
  CHECK_TRUE(TimeUntilDue(std::nullopt, last) <= 0ms);
}

TEST(StoreReadScheduleTest,
     MakesTheFirstHostReadEachSecondAndOthersOnlyIfItDoesNot)
{
  const ReaderRank first{ .hosts_ = 6 };
  const ReaderRank third{ .hosts_ = 6, .rank_ = 2, .reachableBefore_ = 2 };
  LONGS_EQUAL(0, TimeUntilDue(1'000ms, first).count());
  CHECK_TRUE(TimeUntilDue(1'300ms, third) > 0ms);
  CHECK_TRUE(TimeUntilDue(2'000ms, third) <= 0ms);
}

TEST(StoreReadScheduleTest, TakesOverFromHostsThatLostTheStore)
{
  const std::vector<ReaderCandidate> others = {
    { .host_ = "a", .storeUnreachable_ = true },
    { .host_ = "b", .storeUnreachable_ = true }
  };
  for (const char* self : { "c", "d", "e" }) {
    LONGS_EQUAL(0, RankReaders({ .host_ = self }, others).reachableBefore_);
  }
  // It takes over later than the first host would read, and then reads each
  // second.
  const ReaderRank third{ .hosts_ = 3, .rank_ = 2, .reachableBefore_ = 0 };
  CHECK_TRUE(TimeUntilDue(1'000ms, third) > 0ms);
  schedule_.OnRead(now_);
  LONGS_EQUAL(0, TimeUntilDue(1'000ms, third).count());
}

TEST(StoreReadScheduleTest, RanksLastWhileStopping)
{
  const std::vector<ReaderCandidate> others = { { .host_ = "a" },
                                                { .host_ = "b" } };
  const ReaderRank rank =
    RankReaders({ .host_ = "c", .leaving_ = true }, others);
  LONGS_EQUAL(2, rank.reachableBefore_);
  LONGS_EQUAL(1,
              RankReaders({ .host_ = "c" }, { { "a", false, true } }).hosts_);
}

TEST(StoreReadScheduleTest, GivesEachHostADistinctRank)
{
  std::vector<std::size_t> ranks;
  for (int self = 0; self < 60; ++self) {
    std::vector<ReaderCandidate> others;
    for (int host = 0; host < 60; ++host) {
      if (host != self) {
        others.push_back({ .host_ = "host-" + std::to_string(host) });
      }
    }
    ranks.push_back(
      RankReaders({ .host_ = "host-" + std::to_string(self) }, others).rank_);
  }
  std::sort(ranks.begin(), ranks.end());
  for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
    LONGS_EQUAL(rank, ranks[rank]);
  }
}

TEST(StoreReadScheduleTest, LimitsTheFleetsRetryRateDuringAnOutage)
{
  const ReaderRank first{ .hosts_ = 300 };
  const ReaderRank last{ .hosts_ = 300, .rank_ = 299 };
  schedule_.OnFailed(now_, first);
  CHECK_TRUE(TimeUntilDue(9s, first) <= 500ms);
  StoreReadSchedule other{ StoreReadSchedule::Options{} };
  other.OnFailed(now_, last);
  CHECK_TRUE(other.TimeUntilDue(now_, 9s, last) >= 60s);
  CHECK_TRUE(schedule_.IsStoreUnavailable());
  schedule_.OnRead(now_);
  CHECK_FALSE(schedule_.IsStoreUnavailable());
}

// The tests below simulate a fleet in virtual time. Each host exchanges its
// status with a few others in each round and reads the store by its schedule.
// They check that the latest read known to any host stays recent enough to
// accept keys, and that the number of store calls hardly depends on the fleet
// size.
namespace {

constexpr milliseconds kTick{ 50 };

struct SimulatedHost
{
  StoreReadSchedule schedule_{ StoreReadSchedule::Options{} };
  std::optional<TimePoint> latestRead_; // by any host, as known to this one
  bool canReachStore_ = true;
  bool isRunning_ = true;
  bool isPartitioned_ = false; // from the other hosts
};

class SimulatedFleet
{
public:
  explicit SimulatedFleet(std::size_t aHosts)
    : hosts_(aHosts)
    , random_(aHosts)
  {
  }

  std::vector<SimulatedHost>& Hosts() { return hosts_; }
  int StoreCalls() const { return storeCalls_; }

  void Run(milliseconds aDuration)
  {
    const TimePoint end = now_ + aDuration;
    for (; now_ < end; now_ += kTick) {
      for (std::size_t host = 0; host < hosts_.size(); ++host) {
        Read(host);
        if (random_() % 3 == 0) { // a round each 150 ms
          for (int exchange = 0; exchange < ExchangesPerRound(); ++exchange) {
            Exchange(host);
          }
        }
      }
      UpdateMaxAge();
    }
  }

  // Returns the maximum age, on any host, of the latest read known to it since
  // the last call, and resets it.
  milliseconds TakeMaxAge() { return std::exchange(maxAge_, 0ms); }

private:
  // A host's index is its rank.
  ReaderRank RankOf(std::size_t aHost) const
  {
    ReaderRank rank;
    for (std::size_t other = 0; other < hosts_.size(); ++other) {
      const SimulatedHost& peer = hosts_[other];
      const bool isVisible = peer.isRunning_ && !peer.isPartitioned_ &&
                             !hosts_[aHost].isPartitioned_ && other != aHost;
      rank.hosts_ += isVisible ? 1 : 0;
      if (isVisible && other < aHost) {
        ++rank.rank_;
        rank.reachableBefore_ += peer.schedule_.IsStoreUnavailable() ? 0 : 1;
      }
    }
    return rank;
  }

  std::optional<milliseconds> AgeOf(const SimulatedHost& aHost) const
  {
    if (!aHost.latestRead_) {
      return std::nullopt;
    }
    return std::chrono::duration_cast<milliseconds>(now_ - *aHost.latestRead_);
  }

  void Read(std::size_t aHost)
  {
    SimulatedHost& host = hosts_[aHost];
    const ReaderRank rank = RankOf(aHost);
    if (!host.isRunning_ ||
        host.schedule_.TimeUntilDue(now_, AgeOf(host), rank) > 0ms) {
      return;
    }
    ++storeCalls_;
    if (host.canReachStore_) {
      host.latestRead_ = now_;
      host.schedule_.OnRead(now_);
    } else {
      host.schedule_.OnFailed(now_, rank);
    }
  }

  // As in production: three a round in a small fleet, one or two in a large
  // one.
  int ExchangesPerRound() { return hosts_.size() < 32 ? 3 : 1 + random_() % 2; }

  void Exchange(std::size_t aHost)
  {
    SimulatedHost& host = hosts_[aHost];
    SimulatedHost& peer = hosts_[random_() % hosts_.size()];
    if (host.isRunning_ && peer.isRunning_ && !host.isPartitioned_ &&
        !peer.isPartitioned_ && peer.latestRead_ &&
        (!host.latestRead_ || *peer.latestRead_ > *host.latestRead_)) {
      host.latestRead_ = peer.latestRead_;
    }
  }

  void UpdateMaxAge()
  {
    for (const SimulatedHost& host : hosts_) {
      if (host.isRunning_ && host.latestRead_) {
        maxAge_ = std::max(maxAge_, *AgeOf(host));
      }
    }
  }

  std::vector<SimulatedHost> hosts_;
  std::minstd_rand random_;
  TimePoint now_{ 1000s };
  milliseconds maxAge_{ 0 };
  int storeCalls_ = 0;
};

} // namespace

TEST_GROUP(StoreReadScheduleFleetTest){};

// If each host read for itself, each would make at least one call a second: 300
// hosts would make 9,000 calls in this time.
TEST(StoreReadScheduleFleetTest, MakesAFewCallsASecondAtAnyFleetSize)
{
  for (const std::size_t hosts : { 1, 6, 23, 91, 295 }) {
    SimulatedFleet fleet(hosts);
    fleet.Run(5s);
    const int before = fleet.StoreCalls();
    (void)fleet.TakeMaxAge();
    fleet.Run(30s);
    CHECK_TRUE(fleet.StoreCalls() - before <= 30 * 4);
    CHECK_TRUE(fleet.TakeMaxAge() < 3s);
  }
}

// A host refuses keys if its latest known read is nearly five seconds old. The
// first hosts by rank stop one after another, each as soon as the next one has
// taken over.
TEST(StoreReadScheduleFleetTest, KeepsReadingWhenReadersStopOneAfterAnother)
{
  for (const std::size_t hosts : { 6, 23, 295 }) {
    SimulatedFleet fleet(hosts);
    fleet.Run(5s);
    (void)fleet.TakeMaxAge();
    for (std::size_t stopped = 0; stopped + 1 < std::min<std::size_t>(hosts, 8);
         ++stopped) {
      fleet.Hosts()[stopped].isRunning_ = false;
      fleet.Run(3s);
    }
    CHECK_TRUE(fleet.TakeMaxAge() < 4s);
  }
}

// The store refuses a third of the hosts, including the first ones by rank, and
// serves the others. No host may start refusing keys.
TEST(StoreReadScheduleFleetTest, FindsAHostThatCanStillReachTheStore)
{
  for (const std::size_t hosts : { 6, 23, 295 }) {
    SimulatedFleet fleet(hosts);
    fleet.Run(5s);
    (void)fleet.TakeMaxAge();
    for (std::size_t host = 0; host < hosts / 3; ++host) {
      fleet.Hosts()[host * 3 / 2].canReachStore_ = false;
    }
    for (std::size_t host = 0; host < 2; ++host) {
      fleet.Hosts()[host].canReachStore_ = false;
    }
    fleet.Run(9s);
    CHECK_TRUE(fleet.TakeMaxAge() < 4s);
  }
}

// The store is unavailable to all hosts. Meanwhile each host makes one attempt
// before it refuses keys, plus a few a second over the whole fleet. All hosts
// must have recent data soon after the store recovers.
TEST(StoreReadScheduleFleetTest, LimitsCallsDuringAnOutageAndRecoversSoon)
{
  for (const std::size_t hosts : { 6, 23, 295 }) {
    SimulatedFleet fleet(hosts);
    fleet.Run(5s);
    const int before = fleet.StoreCalls();
    for (SimulatedHost& host : fleet.Hosts()) {
      host.canReachStore_ = false;
    }
    fleet.Run(9s);
    CHECK_TRUE(fleet.StoreCalls() - before < static_cast<int>(hosts) + 120);
    for (SimulatedHost& host : fleet.Hosts()) {
      host.canReachStore_ = true;
    }
    fleet.Run(4s);
    (void)fleet.TakeMaxAge();
    fleet.Run(3s);
    CHECK_TRUE(fleet.TakeMaxAge() < 3s);
  }
}

// A host may see that others are live without receiving the results of their
// reads. It must read the store itself before it would have to refuse keys.
TEST(StoreReadScheduleTest, IsDueBeforeKeysAreRefusedAtAnyRank)
{
  for (const std::size_t hosts : { 100, 300, 2'000 }) {
    const ReaderRank last{ .hosts_ = hosts,
                           .rank_ = hosts - 1,
                           .reachableBefore_ = hosts - 1 };
    CHECK_TRUE(TimeUntilDue(4'300ms, last) <= 0ms);
    CHECK_TRUE(TimeUntilDue(3'300ms, last) > 0ms);
  }
}

// A host that is partitioned from the others but can reach the store must go on
// accepting keys.
TEST(StoreReadScheduleFleetTest, LetsAPartitionedHostReadForItself)
{
  SimulatedFleet fleet(23);
  fleet.Run(5s);
  (void)fleet.TakeMaxAge();
  fleet.Hosts()[17].isPartitioned_ = true;
  fleet.Run(10s);
  CHECK_TRUE(fleet.TakeMaxAge() < 3s);
}
