// Closing a listening socket without a loss of connections that callers take
// for accepted.

#ifndef GOOSEBERRYLIFT_NET_GOOSEBERRYLIFT_LISTENER_CLOSE_H_
#define GOOSEBERRYLIFT_NET_GOOSEBERRYLIFT_LISTENER_CLOSE_H_

#include <functional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace gooseberrylift {

/// Lets the kernel drop packets that begin a handshake, while handshakes under
/// way end and their connections can be accepted.
/// @return false if the system does not support it
bool DropNewHandshakes(boost::asio::ip::tcp::acceptor& aAcceptor);

/// Accepts all connections in the queue of a listener without blocking.
/// @param aExecutor returns the executor of each connection
void AcceptQueued(
  boost::asio::ip::tcp::acceptor& aAcceptor,
  const std::function<boost::asio::any_io_executor()>& aExecutor,
  const std::function<void(boost::asio::ip::tcp::socket)>& aOnAccepted);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_NET_GOOSEBERRYLIFT_LISTENER_CLOSE_H_
