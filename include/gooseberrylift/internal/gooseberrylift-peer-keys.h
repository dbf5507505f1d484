// Obtains the secret key that all hosts of a fleet share.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PEER_KEYS_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PEER_KEYS_H_

#include <string>

#include <boost/asio/awaitable.hpp>

#include "gooseberrylift/internal/gooseberrylift-store.h"

namespace gooseberrylift {

/// Reads the hosts' shared key from the store and creates it if there is none
/// yet. Retries until it has the key. Storing the key there adds no risk, since
/// anyone who can read the store can also change the routes.
///
/// The key never changes once it is written, so a possibly stale read suffices.
/// Such reads are cheap for the store, which matters when hundreds of hosts
/// start at once.
/// @param aStartsFleet whether this host creates a missing key at once; other
/// hosts wait one second for such a host to do so
boost::asio::awaitable<std::string> ObtainPeerKey(ObjectStore& aStore,
                                                  bool aStartsFleet);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PEER_KEYS_H_
