// Opens listening sockets, and rejects connections that a server has no room
// for.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_LISTENER_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_LISTENER_H_

#include <cstdint>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "gooseberrylift/gooseberrylift-result.h"

namespace gooseberrylift {

/// Returns whether a port that can't be opened because of an error may be
/// opened later: another process holds it, the machine doesn't have the address
/// yet, or no descriptors or buffers are left.
bool IsTransientListenError(const boost::system::error_code& aError);

/// Opens an acceptor and starts to listen. The acceptor is closed on failure.
/// @param aAddress IP address without a port
/// @param aPort 0 selects a free port
/// @return the error, if any
boost::system::error_code OpenAcceptor(
  boost::asio::ip::tcp::acceptor& aAcceptor,
  const std::string& aAddress,
  std::uint16_t aPort);

/// Creates the error for a connection, or a request that is being received, for
/// which a server has no room.
Error MakeConnectionLimitError();

/// Responds to a new connection with code connection-limit, once its request
/// begins to arrive or after a short time, and closes it. The request is not
/// executed.
boost::asio::awaitable<void> RejectConnection(
  boost::asio::ip::tcp::socket aSocket);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_LISTENER_H_
