// One connection of the HTTP server: reads requests, runs the handler for each,
// and writes the answers.

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

// What a server sees of a connection.
class HttpSession
{
public:
  virtual ~HttpSession() = default;

  /// Closes the connection from any thread.
  /// @param aOnlyIdle leave it open while a request is in work
  virtual void CloseFromOutside(bool aOnlyIdle) = 0;

  /// Cancels the running handler, if any, from any thread.
  virtual void AbortFromOutside(AbortReason aReason) = 0;
};

// What a server and its connections share.
struct HttpServerState
{
  HttpServer::Options options_; // but for the limits, set once
  HttpHandler handler_;
  std::atomic<bool> draining_ = false;
  std::atomic<std::ptrdiff_t> active_ = 0; // connections that are busy
  std::mutex mutex_;                       // guards sessions_ and limits_
  HttpServer::Limits limits_{};
  std::set<HttpSession*> sessions_{}; // each adds and removes itself

  HttpServer::Limits Limits()
  {
    const std::lock_guard lock(mutex_);
    return limits_;
  }
};

/// Serves a connection until it ends.
/// @param aState shared with the server
/// @param aSocket the connection, on a strand of its own
void StartHttpSession(std::shared_ptr<HttpServerState> aState,
                      boost::asio::ip::tcp::socket aSocket);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_NET_GOOSEBERRYLIFT_HTTP_SESSION_H_
