#include "gooseberrylift/membership/gooseberrylift-peer-groups.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;

TEST_GROUP(PeerGroupsTest)
{
  PeerSnapshot peers_{ .host_ = "host-0", .zone_ = "zone-0" };
  std::minstd_rand random_{ 1 };

  // Assigns hosts to five zones in rotation; this host is the first.
  void SetHosts(int aCount)
  {
    for (int index = 1; index < aCount; ++index) {
      const std::string host = "host-" + std::to_string(index);
      const std::string zone = "zone-" + std::to_string(index % 5);
      const std::string address = "10.0.0.1:" + std::to_string(index);
      peers_.known_.push_back(
        { .host_ = host, .zone_ = zone, .address_ = address });
      peers_.live_.push_back({ .host_ = host,
                               .zone_ = zone,
                               .peerAddress_ = address,
                               .storeReachable_ = true });
    }
    peers_.fleet_ = peers_.known_.size();
  }
};

TEST(PeerGroupsTest, TreatsAllHostsAsNearInASmallFleet)
{
  SetHosts(23);
  const PeerGroups groups = GroupPeers(peers_);
  LONGS_EQUAL(22, groups.loadMessagePeers_.near_.size());
  CHECK_TRUE(groups.loadMessagePeers_.far_.empty());
  LONGS_EQUAL(4, groups.zoneHosts_.size());
  LONGS_EQUAL(3, SamplePeers(groups, random_).size());
}

TEST(PeerGroupsTest, SeparatesTheOwnZoneFromOthersInALargeFleet)
{
  SetHosts(100);
  const PeerGroups groups = GroupPeers(peers_);
  LONGS_EQUAL(19, groups.loadMessagePeers_.near_.size());
  LONGS_EQUAL(4, groups.loadMessagePeers_.far_.size());
  LONGS_EQUAL(20, groups.loadMessagePeers_.far_.at("zone-3").size());
  CHECK_TRUE(groups.loadMessagePeers_.rank_ +
               groups.loadMessagePeers_.successors_.size() <=
             19);
  const std::vector<PeerMember> sample = SamplePeers(groups, random_);
  LONGS_EQUAL(2, sample.size());
  CHECK_TRUE(groups.zoneHosts_.contains(sample.front().host_));
  CHECK_FALSE(groups.zoneHosts_.contains(sample.back().host_));
}

// Zone totals sent to a host that is about to stop would be lost.
TEST(PeerGroupsTest, ExcludesDrainingHosts)
{
  SetHosts(100);
  for (Digest& digest : peers_.live_) {
    digest.draining_ = true;
  }
  const PeerGroups groups = GroupPeers(peers_);
  CHECK_TRUE(groups.loadMessagePeers_.far_.empty());
  CHECK_TRUE(groups.loadMessagePeers_.successors_.empty());
  LONGS_EQUAL(0, groups.loadMessagePeers_.rank_);
  LONGS_EQUAL(0, RankAmong({ .host_ = "host-0" }, peers_.live_).rank_);
}
