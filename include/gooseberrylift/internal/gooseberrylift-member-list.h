// The store's lists of entry hosts, one object an availability zone.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_MEMBER_LIST_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_MEMBER_LIST_H_

#include <set>
#include <string>
#include <vector>

#include "gooseberrylift/gooseberrylift-peer-table.h"
#include "gooseberrylift/internal/gooseberrylift-store.h"

namespace gooseberrylift {

/// Sees to it that a host stands in its zone's list, and reads all lists.
/// Writes only when the host is missing or was restarted, so a fleet at rest
/// writes nothing. The same write clears hosts of the zone that are neither
/// live to this host nor written lately; a host cleared in error finds itself
/// missing at its next reading and joins again, and its peers know it anyway.
/// Store down: the host goes on with the peers it knows and tries again.
/// @param aSelf this host
/// @param aLive names of the hosts that this one holds for live
/// @param aDeadline when to give up
/// @return the members of all zones
boost::asio::awaitable<Outcome<std::vector<PeerMember>>> JoinMemberList(
  ObjectStore& aStore,
  PeerMember aSelf,
  std::set<std::string> aLive,
  TimePoint aDeadline);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_MEMBER_LIST_H_
