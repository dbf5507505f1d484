#include "gooseberrylift/membership/gooseberrylift-peer-groups.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;

TEST_GROUP(PeerGroupsTest)
{
  PeerSnapshot view_{ .host_ = "host-0", .zone_ = "zone-0" };
  std::minstd_rand random_{ 1 };

  // Hosts of five zones in turn; this one is the first.
  void SetHosts(int aCount)
  {
    for (int index = 1; index < aCount; ++index) {
      const std::string host = "host-" + std::to_string(index);
      const std::string zone = "zone-" + std::to_string(index % 5);
      const std::string address = "10.0.0.1:" + std::to_string(index);
      view_.known_.push_back(
        { .host_ = host, .zone_ = zone, .address_ = address });
      view_.live_.push_back({ .host_ = host,
                              .zone_ = zone,
                              .peerAddress_ = address,
                              .storeReachable_ = true });
    }
    view_.fleet_ = view_.known_.size();
  }
};

TEST(PeerGroupsTest, TellsAllOthersInASmallFleet)
{
  SetHosts(23);
  const PeerGroups groups = GroupPeers(view_);
  LONGS_EQUAL(22, groups.words_.near_.size());
  CHECK_TRUE(groups.words_.far_.empty());
  LONGS_EQUAL(4, groups.zoneHosts_.size());
  LONGS_EQUAL(3, DrawPeers(groups, random_).size());
}

TEST(PeerGroupsTest, TellsItsOwnZoneAndOneHostOfEachOtherInALargeFleet)
{
  SetHosts(100);
  const PeerGroups groups = GroupPeers(view_);
  LONGS_EQUAL(19, groups.words_.near_.size());
  LONGS_EQUAL(4, groups.words_.far_.size());
  LONGS_EQUAL(20, groups.words_.far_.at("zone-3").size());
  CHECK_TRUE(groups.words_.rank_ + groups.words_.successors_.size() <= 19);
  const std::vector<PeerMember> drawn = DrawPeers(groups, random_);
  LONGS_EQUAL(2, drawn.size());
  CHECK_TRUE(groups.zoneHosts_.contains(drawn.front().host_));
  CHECK_FALSE(groups.zoneHosts_.contains(drawn.back().host_));
}

// Sums would be lost with a host that is about to stop.
TEST(PeerGroupsTest, PassesOverHostsThatAreAboutToStop)
{
  SetHosts(100);
  for (Digest& digest : view_.live_) {
    digest.draining_ = true;
  }
  const PeerGroups groups = GroupPeers(view_);
  CHECK_TRUE(groups.words_.far_.empty());
  CHECK_TRUE(groups.words_.successors_.empty());
  LONGS_EQUAL(0, groups.words_.rank_);
  LONGS_EQUAL(0, RankAmong({ .host_ = "host-0" }, view_.live_).rank_);
}
