// Gets the key that the hosts share.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PEER_KEYS_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PEER_KEYS_H_

#include <string>

#include <boost/asio/awaitable.hpp>

#include "gooseberrylift/internal/gooseberrylift-store.h"

namespace gooseberrylift {

/// Reads the hosts' shared key from the store, and writes one where there is
/// none yet. Whoever can read the store can change the routes as well, so
/// nothing is lost by its lying there. Tries until it has the key.
///
/// The key never changes once it is written, so a reading of any age will do;
/// that one costs the store little, which counts when hundreds start at once.
/// @param aStartsFleet whether this host writes a missing key at once; others
/// leave that to such hosts for a second
boost::asio::awaitable<std::string> ObtainPeerKey(ObjectStore& aStore,
                                                  bool aStartsFleet);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PEER_KEYS_H_
