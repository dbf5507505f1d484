// Simulates the exchange of digests between many hosts in virtual time.

#include "gooseberrylift/gooseberrylift-peer-table.h"

#include <algorithm>
#include <cstdio>
#include <memory>

#include "gooseberrylift/gooseberrylift-digest-codec.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kSeed = 20261;

// A simulated fleet without message loss. One round takes one second.
class Fleet
{
public:
  Fleet(int aHosts, int aZones, bool aPushNews)
    : pushNews_(aPushNews)
  {
    std::vector<PeerMember> members;
    for (int index = 0; index < aHosts; ++index) {
      const std::string name = "host-" + std::to_string(index);
      members.push_back({ .host_ = name,
                          .zone_ = "zone-" + std::to_string(index % aZones),
                          .address_ = "10.0.0.1:" + std::to_string(index),
                          .incarnation_ = 1 });
      index_[name] = static_cast<std::size_t>(index);
    }
    for (const PeerMember& member : members) {
      tables_.push_back(std::make_unique<PeerTable>(
        PeerTable::Options{ .host_ = member.host_,
                            .zone_ = member.zone_,
                            .address_ = member.address_,
                            .incarnation_ = 1,
                            .seed_ = kSeed + tables_.size() }));
      tables_.back()->OnMembers(members, now_);
    }
    generations_.assign(members.size(), 1);
    stopped_.assign(members.size(), false);
  }

  void Round()
  {
    now_ += seconds(1);
    for (std::size_t host = 0; host < tables_.size(); ++host) {
      if (!stopped_[host]) {
        Refresh(host);
      }
    }
    for (std::size_t host = 0; host < tables_.size(); ++host) {
      if (!stopped_[host]) {
        ExchangeAll(host, tables_[host]->SelectPeers());
      }
    }
  }

  void Change(std::size_t aHost, std::uint64_t aGeneration)
  {
    Learn(aHost, aGeneration);
  }

  const PeerTable& At(std::size_t aHost) const { return *tables_[aHost]; }

  bool AllHave(std::uint64_t aGeneration) const
  {
    return std::all_of(generations_.begin(),
                       generations_.end(),
                       [&](std::uint64_t aOne) { return aOne >= aGeneration; });
  }

  int RoundsUntilAllHave(std::uint64_t aGeneration)
  {
    int rounds = 0;
    while (!AllHave(aGeneration) && rounds < 100) {
      Round();
      ++rounds;
    }
    return rounds;
  }

  void Stop(std::size_t aHost, bool aStopped) { stopped_[aHost] = aStopped; }
  std::size_t LivePeersOf(std::size_t aHost) const
  {
    return tables_[aHost]->Live(now_).size();
  }
  void StartCounting() { counting_ = true; }
  std::size_t Bytes() const { return bytes_; }
  std::size_t Messages() const { return messages_; }

private:
  void Refresh(std::size_t aHost)
  {
    tables_[aHost]->BeginRound({ .generation_ = generations_[aHost] }, now_);
  }

  void Learn(std::size_t aHost, std::uint64_t aGeneration)
  {
    if (generations_[aHost] >= aGeneration) {
      return;
    }
    generations_[aHost] = aGeneration;
    Refresh(aHost);
    if (pushNews_) {
      ExchangeAll(aHost, tables_[aHost]->SelectOutdatedPeers(3));
    }
  }

  void ExchangeAll(std::size_t aHost, const std::vector<PeerMember>& aPeers)
  {
    for (const PeerMember& peer : aPeers) {
      const std::size_t other = index_.at(peer.host_);
      if (!stopped_[other]) {
        Deliver(aHost, other);
        Deliver(other, aHost);
      }
    }
  }

  void Deliver(std::size_t aFrom, std::size_t aTo)
  {
    const PeerMessage message =
      tables_[aFrom]->MakeMessage(tables_[aTo]->Own().zone_);
    Count(message);
    tables_[aTo]->OnMessage(message, now_);
    Learn(aTo, message.from_.generation_);
  }

  void Count(const PeerMessage& aMessage)
  {
    if (!counting_) {
      return;
    }
    ++messages_;
    bytes_ += DigestToJson(aMessage.from_).dump().size();
    for (const Digest& digest : aMessage.relayed_) {
      bytes_ += DigestToJson(digest).dump().size();
    }
  }

  bool pushNews_;
  TimePoint now_{ seconds(1000) };
  std::vector<std::unique_ptr<PeerTable>> tables_;
  std::vector<std::uint64_t> generations_;
  std::vector<bool> stopped_;
  std::map<std::string, std::size_t> index_;
  bool counting_ = false;
  std::size_t bytes_ = 0;
  std::size_t messages_ = 0;
};

int RoundsFor(int aHosts, int aZones, bool aPushNews)
{
  Fleet fleet(aHosts, aZones, aPushNews);
  for (int round = 0; round < 5; ++round) {
    fleet.Round();
  }
  fleet.Change(0, 2);
  return fleet.RoundsUntilAllHave(2);
}

} // namespace

TEST_GROUP(PeerTableTest){};

// A configuration must reach all of 2,000 hosts within 9 s, even if no host is
// notified by a watch of the store.
TEST(PeerTableTest, PropagatesAGenerationWithinNineRoundsAtTwoThousandHosts)
{
  const int sizes[][2] = { { 9, 3 }, { 100, 9 }, { 500, 18 }, { 2000, 27 } };
  for (const auto& [hosts, zones] : sizes) {
    const int plain = RoundsFor(hosts, zones, false);
    const int pushed = RoundsFor(hosts, zones, true);
    std::printf("spread: hosts %d zones %d rounds %d, with news pushed %d\n",
                hosts,
                zones,
                plain,
                pushed);
    CHECK_TRUE(pushed <= 9);
    CHECK_TRUE(pushed <= plain);
  }
}

TEST(PeerTableTest, StaysWithinTheByteBudgetAtTwoThousandHosts)
{
  constexpr int kHosts = 2000;
  constexpr int kRounds = 6;
  Fleet fleet(kHosts, 27, true);
  for (int round = 0; round < 6; ++round) {
    fleet.Round(); // reach a steady state
  }
  fleet.StartCounting();
  for (int round = 0; round < kRounds; ++round) {
    fleet.Round();
  }
  // Each message counts twice: for its sender and for its receiver.
  const double perHost = 2.0 * fleet.Bytes() / kHosts / kRounds;
  std::printf("digest bytes a second and host, sent and received: %.0f in "
              "%.2f messages\n",
              perHost,
              2.0 * fleet.Messages() / kHosts / kRounds);
  CHECK_TRUE(perHost < 6000);
}

// The fleet-wide retry budget is divided by the number of hosts. A host that
// underestimates the fleet, because it follows only a part of it, would retry
// too much.
TEST(PeerTableTest, EstimatesTheSizeOfAPartlyFollowedFleet)
{
  Fleet fleet(295, 5, false);
  for (int round = 0; round < 20; ++round) {
    fleet.Round();
  }
  for (std::size_t host = 0; host < 295; ++host) {
    CHECK_TRUE(fleet.At(host).Known().size() < 200);
    LONGS_EQUAL(294, fleet.At(host).EstimateOtherHosts());
  }
}

// A stopped host is considered failed within the configured number of rounds
// and live again at its first digest. No other host is considered failed
// meanwhile.
TEST(PeerTableTest, DetectsAFailedHostAndItsReturn)
{
  Fleet fleet(9, 3, true);
  for (int round = 0; round < 5; ++round) {
    fleet.Round();
  }
  LONGS_EQUAL(8, fleet.LivePeersOf(0));
  fleet.Stop(4, true);
  for (int round = 0; round < 10; ++round) {
    fleet.Round();
  }
  LONGS_EQUAL(7, fleet.LivePeersOf(0));
  fleet.Stop(4, false);
  for (int round = 0; round < 5; ++round) {
    fleet.Round();
  }
  LONGS_EQUAL(8, fleet.LivePeersOf(0));
  LONGS_EQUAL(8, fleet.LivePeersOf(4));
}

// A process that resumes after a long suspension must not consider all its
// peers failed: it would use the whole limit of each team by itself.
TEST(PeerTableTest, KeepsPeersLiveAfterItsOwnSuspension)
{
  PeerTable table({ .host_ = "a", .zone_ = "z" });
  const TimePoint start{ seconds(1000) };
  table.BeginRound({}, start);
  table.OnMessage({ .from_ = { .host_ = "b", .zone_ = "z", .sequence_ = 1 } },
                  start);
  table.BeginRound({}, start + seconds(60));
  LONGS_EQUAL(1, table.Live(start + seconds(60)).size());
}

// A delayed digest must not replace a newer one of the same host.
TEST(PeerTableTest, IgnoresADelayedDigest)
{
  PeerTable table({ .host_ = "a", .zone_ = "z" });
  const TimePoint now{ seconds(1000) };
  table.BeginRound({}, now);
  Digest peerDigest{
    .host_ = "b", .zone_ = "z", .incarnation_ = 2, .sequence_ = 7
  };
  peerDigest.generation_ = 9;
  CHECK_TRUE(table.OnMessage({ .from_ = peerDigest }, now).changed_);
  peerDigest.sequence_ = 6;
  peerDigest.generation_ = 8;
  CHECK_FALSE(table.OnMessage({ .from_ = peerDigest }, now).changed_);
  LONGS_EQUAL(9, table.Live(now).front().generation_);
}

TEST(PeerTableTest, ParsesItsOwnSerializedDigest)
{
  Digest digest{ .host_ = "h", .zone_ = "z", .generation_ = 4 };
  digest.endpoints_.push_back({ .name_ = "engine-1",
                                .incarnation_ = 3,
                                .state_ = EndpointState::kLeaving });
  digest.quarantine_.push_back({ .fingerprint_ = "f", .version_ = 2 });
  digest.demand_.push_back({ .team_ = "t", .tokensPerSecond_ = 12.5 });
  const auto document = DigestToJson(digest);
  const Digest read = DigestFromJson(document);
  STRCMP_EQUAL(document.dump().c_str(), DigestToJson(read).dump().c_str());
  CHECK_TRUE(read.endpoints_.front().state_ == EndpointState::kLeaving);
  CHECK_TRUE(DigestFromJson(nlohmann::json::parse(R"({"h":5})")).host_.empty());
}
