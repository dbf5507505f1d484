#include "gooseberrylift/routing/gooseberrylift-allowed-regions.h"

#include <algorithm>

namespace gooseberrylift {

namespace {

bool Contains(const std::vector<std::string>& aRegions,
              const std::string& aRegion)
{
  return aRegions.empty() ||
         std::find(aRegions.begin(), aRegions.end(), aRegion) != aRegions.end();
}

} // namespace

AllowedZones AllowedZonesOf(
  const std::vector<std::string>& aOfRoute,
  const std::vector<std::string>& aOfTeam,
  const std::map<std::string, std::string>& aRegionOfZone)
{
  if (aOfRoute.empty() && aOfTeam.empty()) {
    return std::nullopt;
  }
  std::set<std::string> zones;
  for (const auto& [zone, region] : aRegionOfZone) {
    if (Contains(aOfRoute, region) && Contains(aOfTeam, region)) {
      zones.insert(zone);
    }
  }
  return zones;
}

bool IsAllowed(const AllowedZones& aZones, const std::string& aZone)
{
  return !aZones || aZones->contains(aZone);
}

} // namespace gooseberrylift
