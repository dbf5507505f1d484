// The member lists in the store: one object per availability zone, which lists
// its entry hosts.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_MEMBER_LIST_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_MEMBER_LIST_H_

#include <set>
#include <string>
#include <vector>

#include "gooseberrylift/gooseberrylift-peer-table.h"
#include "gooseberrylift/internal/gooseberrylift-store.h"

namespace gooseberrylift {

/// Ensures that a host is registered in its zone's member list, and reads the
/// lists of all zones. Writes only if the host is missing or was restarted, so
/// that a fleet without changes causes no writes. The same write removes hosts
/// of the zone that this host does not consider live and that did not start
/// recently. A host removed by mistake finds itself missing at its next read
/// and registers again; its peers know it in any case. If the store is down,
/// the caller continues with the peers it knows and tries again later.
/// @param aSelf this host
/// @param aLive names of the hosts that this host considers live
/// @return the members of all zones
boost::asio::awaitable<Outcome<std::vector<PeerMember>>> JoinMemberList(
  ObjectStore& aStore,
  PeerMember aSelf,
  std::set<std::string> aLive,
  TimePoint aDeadline);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_MEMBER_LIST_H_
