// Decides which connection makes room for a new one on a server that has as
// many as it may.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_CONNECTION_ROOM_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_CONNECTION_ROOM_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// A connection that waits for its client.
struct WaitingConnection
{
  bool isIdle_ = true; // no byte of a request has arrived
  TimePoint since_{};  // when it began to wait
};

// How long a connection has to wait for its client before it may be closed. A
// client within the limits sends most requests in less.
inline constexpr std::chrono::milliseconds kMinConnectionWait{ 1000 };

/// Returns the index of the connection to close: of the idle ones the one that
/// has waited longest, else of the others; nothing if none has waited long
/// enough.
std::optional<std::size_t> ChooseConnectionToClose(
  const std::vector<WaitingConnection>& aConnections,
  TimePoint aNow);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_CONNECTION_ROOM_H_
