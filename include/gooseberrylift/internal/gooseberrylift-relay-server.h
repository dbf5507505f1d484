// Processes requests that other hosts relay to this one.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_RELAY_SERVER_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_RELAY_SERVER_H_

#include <atomic>
#include <cstddef>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "gooseberrylift/internal/gooseberrylift-gateway-front.h"
#include "gooseberrylift/internal/gooseberrylift-http-server.h"
#include "gooseberrylift/internal/gooseberrylift-peer-exchange.h"

namespace gooseberrylift {

// A relayed request takes the path of a caller's request from its resolution
// on; its key is checked against this host's own routes. It is never relayed
// again. Thread-safe.
class RelayServer
{
public:
  struct Parts
  {
    PeerExchange& peers_;
    GatewayFront& front_;
    GatewayBoard& board_;
    Metrics& metrics_;
  };

  struct Options
  {
    // Bounds the memory of small hosts: each holds two connections with their
    // buffers, and the body of the request.
    std::size_t maxActive_ = 256;
  };

  RelayServer(Parts aParts, Options aOptions)
    : parts_(aParts)
    , options_(aOptions)
  {
  }

  /// Returns whether a request of the peer port was relayed by a host.
  static bool IsRelayed(const HttpRequest& aRequest)
  {
    return PeerRpc::IsRelayed(aRequest);
  }

  /// Handles a relayed request.
  boost::asio::awaitable<void> Handle(HttpExchange& aExchange);

  /// Returns the number of relayed requests in progress.
  std::size_t Active() const { return active_; }

private:
  boost::asio::awaitable<void> Refuse(HttpExchange& aExchange,
                                      std::string aNonce,
                                      Error aError);
  std::optional<Error> FindRefusal() const;

  Parts parts_;
  Options options_;
  std::atomic<std::size_t> active_ = 0;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_RELAY_SERVER_H_
