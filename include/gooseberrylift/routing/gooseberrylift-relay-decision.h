// Decides whether a request is sent over the links of another host.

#ifndef GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_RELAY_DECISION_H_
#define GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_RELAY_DECISION_H_

#include <cstddef>
#include <string_view>

namespace gooseberrylift {

// Endpoints to which a request can't be connected before it is relayed. A
// single one may have crashed. A second one costs the caller as much time
// again, and another host may know better.
inline constexpr std::size_t kMaxFailedConnections = 2;

enum class RelayReason
{
  kNone,
  kLinksLost,         // this host's links to the service are lost
  kConnectionsFailed, // connections for this request failed
  // This host can't reach many endpoints, and by the others alone the request
  // would be late or rejected.
  kPartOfLinksLost,
};

/// Returns the name of a reason in logs and metrics.
std::string_view NameOf(RelayReason aReason);

struct RelayInput
{
  bool linksLost_ = false;
  // Endpoints to which this request could not be sent.
  std::size_t failedConnections_ = 0;
  std::size_t endpoints_ = 0; // of the service
  // Of these, how many this host could not reach when it last tried.
  std::size_t unreachable_ = 0;
  // Whether it would be late or rejected at the endpoints that this host
  // reaches.
  bool lateHere_ = false;
};

/// Decides for a request that this host received from a caller. Its load: the
/// requests of a host whose links to some or all endpoints are down.
RelayReason DecideRelay(const RelayInput& aInput);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_RELAY_DECISION_H_
