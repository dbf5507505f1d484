// Times of connections to endpoints and other hosts, shared by the sources of
// RequestRun.

#ifndef GOOSEBERRYLIFT_GATEWAY_GOOSEBERRYLIFT_CONNECT_TIMEOUTS_H_
#define GOOSEBERRYLIFT_GATEWAY_GOOSEBERRYLIFT_CONNECT_TIMEOUTS_H_

#include <chrono>

namespace gooseberrylift {

// A connection within a region is established within a few milliseconds. An
// endpoint that takes longer is dead or overloaded, and another endpoint serves
// the caller sooner.
inline constexpr std::chrono::milliseconds kEndpointConnectTimeout{ 250 };

// A request that must not be repeated doesn't reuse a connection that was idle
// for longer than this: the other side may be closing it at that moment, and
// the request could not be sent again.
inline constexpr std::chrono::milliseconds kNonRepeatableMaxIdle{ 2'000 };

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GATEWAY_GOOSEBERRYLIFT_CONNECT_TIMEOUTS_H_
