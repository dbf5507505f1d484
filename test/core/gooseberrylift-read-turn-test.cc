#include "gooseberrylift/membership/gooseberrylift-read-turn.h"

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

TEST_GROUP(ReadTurnTest)
{
  ReadTurn turn_{ ReadTurn::Options{} };
  TimePoint now_{ 1000s };

  milliseconds Due(std::optional<milliseconds> aAge, const ReadRank& aRank)
  {
    return turn_.DueIn(now_, aAge, aRank);
  }
};

TEST(ReadTurnTest, ReadsAtOnceWhereNothingIsKnown)
{
  CHECK_TRUE(Due(std::nullopt, {}) <= 0ms);
  const ReadRank last{ .hosts_ = 300, .rank_ = 299, .before_ = 299 };
  CHECK_TRUE(Due(std::nullopt, last) <= 0ms);
}

TEST(ReadTurnTest, LetsTheFirstHostReadEachSecondAndOthersOnlyWhenItDoesNot)
{
  const ReadRank first{ .hosts_ = 6 };
  const ReadRank third{ .hosts_ = 6, .rank_ = 2, .before_ = 2 };
  LONGS_EQUAL(0, Due(1'000ms, first).count());
  CHECK_TRUE(Due(1'300ms, third) > 0ms);
  CHECK_TRUE(Due(2'000ms, third) <= 0ms);
}

TEST(ReadTurnTest, TakesThePlaceOfHostsThatLostTheStore)
{
  const std::vector<ReadCandidate> others = { { .host_ = "a", .storeUnreachable_ = true },
                                              { .host_ = "b", .storeUnreachable_ = true } };
  for (const char* self : { "c", "d", "e" }) {
    LONGS_EQUAL(0, RankReaders({ .host_ = self }, others).before_);
  }
  // Later than the first host, and each second from its first reading on.
  const ReadRank third{ .hosts_ = 3, .rank_ = 2, .before_ = 0 };
  CHECK_TRUE(Due(1'000ms, third) > 0ms);
  turn_.OnRead(now_);
  LONGS_EQUAL(0, Due(1'000ms, third).count());
}

TEST(ReadTurnTest, LeavesReadingToOthersWhileItStops)
{
  const std::vector<ReadCandidate> others = { { .host_ = "a" },
                                              { .host_ = "b" } };
  const ReadRank rank = RankReaders({ .host_ = "c", .leaving_ = true }, others);
  LONGS_EQUAL(2, rank.before_);
  LONGS_EQUAL(1,
              RankReaders({ .host_ = "c" }, { { "a", false, true } }).hosts_);
}

TEST(ReadTurnTest, RanksAllHostsAlikeWhoeverLooks)
{
  std::vector<std::size_t> ranks;
  for (int self = 0; self < 60; ++self) {
    std::vector<ReadCandidate> others;
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

TEST(ReadTurnTest, TriesAFewTimesASecondOverTheFleetWhileTheStoreIsLost)
{
  const ReadRank first{ .hosts_ = 300 };
  const ReadRank last{ .hosts_ = 300, .rank_ = 299 };
  turn_.OnFailed(now_, first);
  CHECK_TRUE(Due(9s, first) <= 500ms);
  ReadTurn other{ ReadTurn::Options{} };
  other.OnFailed(now_, last);
  CHECK_TRUE(other.DueIn(now_, 9s, last) >= 60s);
  CHECK_TRUE(turn_.HasLostStore());
  turn_.OnRead(now_);
  CHECK_FALSE(turn_.HasLostStore());
}

// Hosts in virtual time: each exchanges with a few others each round, as hosts
// do, and reads by its turn. What callers get: keys stay believed and changes
// arrive within a bound on every host. What the store gets: calls that hardly
// follow the number of hosts.
namespace {

constexpr milliseconds kTick{ 50 };

struct PlayedHost
{
  ReadTurn turn_{ ReadTurn::Options{} };
  std::optional<TimePoint> reading_; // the youngest known
  bool hasStore_ = true;
  bool runs_ = true;
  bool alone_ = false; // cut off from the other hosts
};

class PlayedFleet
{
public:
  explicit PlayedFleet(std::size_t aHosts)
    : hosts_(aHosts)
    , random_(aHosts)
  {
  }

  std::vector<PlayedHost>& Hosts() { return hosts_; }
  int Calls() const { return calls_; }

  void Play(milliseconds aFor)
  {
    const TimePoint end = now_ + aFor;
    for (; now_ < end; now_ += kTick) {
      for (std::size_t host = 0; host < hosts_.size(); ++host) {
        Read(host);
        if (random_() % 3 == 0) { // a round each 150 ms
          for (int partner = 0; partner < Partners(); ++partner) {
            Exchange(host);
          }
        }
      }
      NoteAges();
    }
  }

  // Gives the greatest age of a reading on any host since the last call.
  milliseconds OldestSince() { return std::exchange(oldest_, 0ms); }

private:
  // Hosts are numbered by their rank.
  ReadRank RankOf(std::size_t aHost) const
  {
    ReadRank rank;
    for (std::size_t other = 0; other < hosts_.size(); ++other) {
      const PlayedHost& peer = hosts_[other];
      const bool heard =
        peer.runs_ && !peer.alone_ && !hosts_[aHost].alone_ && other != aHost;
      rank.hosts_ += heard ? 1 : 0;
      if (heard && other < aHost) {
        ++rank.rank_;
        rank.before_ += peer.turn_.HasLostStore() ? 0 : 1;
      }
    }
    return rank;
  }

  std::optional<milliseconds> AgeOf(const PlayedHost& aHost) const
  {
    if (!aHost.reading_) {
      return std::nullopt;
    }
    return std::chrono::duration_cast<milliseconds>(now_ - *aHost.reading_);
  }

  void Read(std::size_t aHost)
  {
    PlayedHost& host = hosts_[aHost];
    const ReadRank rank = RankOf(aHost);
    if (!host.runs_ || host.turn_.DueIn(now_, AgeOf(host), rank) > 0ms) {
      return;
    }
    ++calls_;
    if (host.hasStore_) {
      host.reading_ = now_;
      host.turn_.OnRead(now_);
    } else {
      host.turn_.OnFailed(now_, rank);
    }
  }

  // As hosts have: three a round in a small fleet, one or two in a large one.
  int Partners() { return hosts_.size() < 32 ? 3 : 1 + random_() % 2; }

  void Exchange(std::size_t aHost)
  {
    PlayedHost& host = hosts_[aHost];
    PlayedHost& peer = hosts_[random_() % hosts_.size()];
    if (host.runs_ && peer.runs_ && !host.alone_ && !peer.alone_ &&
        peer.reading_ && (!host.reading_ || *peer.reading_ > *host.reading_)) {
      host.reading_ = peer.reading_;
    }
  }

  void NoteAges()
  {
    for (const PlayedHost& host : hosts_) {
      if (host.runs_ && host.reading_) {
        oldest_ = std::max(oldest_, *AgeOf(host));
      }
    }
  }

  std::vector<PlayedHost> hosts_;
  std::minstd_rand random_;
  TimePoint now_{ 1000s };
  milliseconds oldest_{ 0 };
  int calls_ = 0;
};

} // namespace

TEST_GROUP(ReadTurnFleetTest){};

// Each host that reads for itself costs a call a second at least: 300 hosts
// 9,000 in this time.
TEST(ReadTurnFleetTest, CostsAFewCallsASecondAtEverySize)
{
  for (const std::size_t hosts : { 1, 6, 23, 91, 295 }) {
    PlayedFleet fleet(hosts);
    fleet.Play(5s);
    const int before = fleet.Calls();
    (void)fleet.OldestSince();
    fleet.Play(30s);
    CHECK_TRUE(fleet.Calls() - before <= 30 * 4);
    CHECK_TRUE(fleet.OldestSince() < 3s);
  }
}

// What callers must not see is a host that stops believing keys, which it does
// after nearly five seconds. The order: the first hosts die one after the
// other, each as soon as the next has taken its place.
TEST(ReadTurnFleetTest, IsReadOnWhenItsReadersDieInTurn)
{
  for (const std::size_t hosts : { 6, 23, 295 }) {
    PlayedFleet fleet(hosts);
    fleet.Play(5s);
    (void)fleet.OldestSince();
    for (std::size_t dead = 0; dead + 1 < std::min<std::size_t>(hosts, 8);
         ++dead) {
      fleet.Hosts()[dead].runs_ = false;
      fleet.Play(3s);
    }
    CHECK_TRUE(fleet.OldestSince() < 4s);
  }
}

// The store refuses a third of the hosts, the first ones among them, and serves
// the others. Nobody's keys may lapse.
TEST(ReadTurnFleetTest, FindsAHostThatTheStoreStillServes)
{
  for (const std::size_t hosts : { 6, 23, 295 }) {
    PlayedFleet fleet(hosts);
    fleet.Play(5s);
    (void)fleet.OldestSince();
    for (std::size_t host = 0; host < hosts / 3; ++host) {
      fleet.Hosts()[host * 3 / 2].hasStore_ = false;
    }
    for (std::size_t host = 0; host < 2; ++host) {
      fleet.Hosts()[host].hasStore_ = false;
    }
    fleet.Play(9s);
    CHECK_TRUE(fleet.OldestSince() < 4s);
  }
}

// The store is away for all. What it gets meanwhile is a try of each host
// before its keys are refused, and a few a second beside these; what callers
// get is that all hosts are back at it soon after it returned.
TEST(ReadTurnFleetTest, CostsLittleWhileTheStoreIsAwayAndIsSoonBack)
{
  for (const std::size_t hosts : { 6, 23, 295 }) {
    PlayedFleet fleet(hosts);
    fleet.Play(5s);
    const int before = fleet.Calls();
    for (PlayedHost& host : fleet.Hosts()) {
      host.hasStore_ = false;
    }
    fleet.Play(9s);
    CHECK_TRUE(fleet.Calls() - before < static_cast<int>(hosts) + 120);
    for (PlayedHost& host : fleet.Hosts()) {
      host.hasStore_ = true;
    }
    fleet.Play(4s);
    (void)fleet.OldestSince();
    fleet.Play(3s);
    CHECK_TRUE(fleet.OldestSince() < 3s);
  }
}

// Callers of a host that the others' readings don't reach, though it sees that
// they live, must not be refused. Why: each comes to its turn in time.
TEST(ReadTurnTest, ReadsBeforeKeysAreRefusedHoweverManyAreBeforeIt)
{
  for (const std::size_t hosts : { 100, 300, 2'000 }) {
    const ReadRank last{ .hosts_ = hosts,
                         .rank_ = hosts - 1,
                         .before_ = hosts - 1 };
    CHECK_TRUE(Due(4'300ms, last) <= 0ms);
    CHECK_TRUE(Due(3'300ms, last) > 0ms);
  }
}

// A host that hears none of the others but has the store serves its callers as
// long as it lasts.
TEST(ReadTurnFleetTest, LetsAHostThatIsCutOffFromTheOthersReadForItself)
{
  PlayedFleet fleet(23);
  fleet.Play(5s);
  (void)fleet.OldestSince();
  fleet.Hosts()[17].alone_ = true;
  fleet.Play(10s);
  CHECK_TRUE(fleet.OldestSince() < 3s);
}
