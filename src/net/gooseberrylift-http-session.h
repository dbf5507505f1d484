// A connection of the HTTP server. Reads requests, runs the handler for each
// and writes the responses.

#ifndef GOOSEBERRYLIFT_NET_GOOSEBERRYLIFT_HTTP_SESSION_H_
#define GOOSEBERRYLIFT_NET_GOOSEBERRYLIFT_HTTP_SESSION_H_

#include <atomic>
#include <cstddef>
#include <memory>
#include <mutex>
#include <set>

#include <boost/asio/ip/tcp.hpp>

#include "gooseberrylift/internal/gooseberrylift-http-server.h"

namespace gooseberrylift {

// The operations that the server runs on a connection.
class HttpSession
{
public:
  virtual ~HttpSession() = default;

  /// Closes the connection. Thread-safe.
  /// @param aOnlyIdle leave the connection open while a request is active
  virtual void PostClose(bool aOnlyIdle) = 0;

  /// Cancels the running handler, if any. Thread-safe.
  virtual void PostAbort(AbortReason aReason) = 0;
};

// State shared by a server and its connections.
struct HttpServerState
{
  HttpServer::Options options_; // immutable; limits_ overrides its limits
  HttpHandler handler_;
  std::atomic<bool> draining_ = false;
  std::atomic<std::ptrdiff_t> active_ = 0; // number of busy connections
  std::mutex mutex_;                       // guards sessions_ and limits_
  HttpServer::Limits limits_{};
  std::set<HttpSession*> sessions_{}; // sessions add and remove themselves

  HttpServer::Limits Limits()
  {
    const std::lock_guard lock(mutex_);
    return limits_;
  }
};

/// Starts serving a connection in the background.
/// @param aState the state shared with the server
/// @param aSocket the connection; its executor must be a strand
void StartHttpSession(std::shared_ptr<HttpServerState> aState,
                      boost::asio::ip::tcp::socket aSocket);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_NET_GOOSEBERRYLIFT_HTTP_SESSION_H_
