// The availability zones whose endpoints may receive a request, if its route or
// team restricts it to some regions.

#ifndef GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_ALLOWED_REGIONS_H_
#define GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_ALLOWED_REGIONS_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gooseberrylift {

// Empty: all zones. An empty set: none.
using AllowedZones = std::optional<std::set<std::string>>;

/// Returns the zones that a request may reach. Zones of an unknown region are
/// not among them if there is any restriction.
/// @param aOfRoute the regions that the route allows; empty: all
/// @param aOfTeam those that the caller's team allows; empty: all
/// @param aRegionOfZone the known zones
AllowedZones AllowedZonesOf(
  const std::vector<std::string>& aOfRoute,
  const std::vector<std::string>& aOfTeam,
  const std::map<std::string, std::string>& aRegionOfZone);

/// Returns whether a zone may be reached.
bool IsAllowed(const AllowedZones& aZones, const std::string& aZone);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_ALLOWED_REGIONS_H_
