#include "gooseberrylift/routing/gooseberrylift-allowed-regions.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;

namespace {

const std::map<std::string, std::string> kRegions{ { "a1", "a" },
                                                   { "a2", "a" },
                                                   { "b1", "b" },
                                                   { "c1", "c" } };

} // namespace

TEST_GROUP(AllowedRegionsTest){};

TEST(AllowedRegionsTest, AllowsAllZonesWithoutRestriction)
{
  const AllowedZones zones = AllowedZonesOf({}, {}, kRegions);
  CHECK_TRUE(IsAllowed(zones, "a1"));
  CHECK_TRUE(IsAllowed(zones, "unknown"));
}

TEST(AllowedRegionsTest, RequiresTheRegionsOfBothRouteAndTeam)
{
  const AllowedZones zones = AllowedZonesOf({ "a", "b" }, { "b" }, kRegions);
  CHECK_TRUE(IsAllowed(zones, "b1"));
  CHECK_FALSE(IsAllowed(zones, "a1"));
  CHECK_FALSE(IsAllowed(zones, "c1"));
  CHECK_TRUE(AllowedZonesOf({ "a" }, { "b" }, kRegions)->empty());
}

TEST(AllowedRegionsTest, AllowsNoZoneOfAnUnknownRegion)
{
  CHECK_FALSE(IsAllowed(AllowedZonesOf({ "a" }, {}, kRegions), "unknown"));
  CHECK_FALSE(IsAllowed(AllowedZonesOf({}, { "a" }, {}), "a1"));
}
