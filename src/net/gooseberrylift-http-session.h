// A connection of the HTTP server. Reads requests, runs the handler for each
// and writes the responses.

#ifndef GOOSEBERRYLIFT_NET_GOOSEBERRYLIFT_HTTP_SESSION_H_
#define GOOSEBERRYLIFT_NET_GOOSEBERRYLIFT_HTTP_SESSION_H_

#include <atomic>
#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>
#include <set>

#include <boost/asio/ip/tcp.hpp>

#include "gooseberrylift/gooseberrylift-drain-policy.h"
#include "gooseberrylift/internal/gooseberrylift-http-server.h"
#include "gooseberrylift/limits/gooseberrylift-connection-room.h"

namespace gooseberrylift {

// The operations that the server runs on a connection.
class HttpSession
{
public:
  virtual ~HttpSession() = default;

  /// Closes the connection at once. Thread-safe.
  virtual void PostClose() = 0;

  /// Applies the server's present phase; in the last one, cancels the running
  /// handler, if any. Thread-safe.
  virtual void PostPhase() = 0;

  /// Returns what the connection awaits of its client; nothing if it awaits
  /// nothing, or has been told to make room. Thread-safe.
  virtual std::optional<WaitingConnection> Waiting() const = 0;

  /// Closes the connection so that the server can serve another one, unless
  /// bytes of a new request have arrived. Thread-safe; called once.
  virtual void PostMakeRoom() = 0;
};

// Counts what a server does while it closes.
class DrainCounts
{
public:
  void OnAccepted(DrainPhase aPhase) { CountIfClosing(accepted_, aPhase); }
  void OnIdleClosed(DrainPhase aPhase) { CountIfClosing(idleClosed_, aPhase); }

  void OnResponse(DrainPhase aPhase, int aStatus)
  {
    if (aStatus == kServiceUnavailable) {
      CountIfClosing(refused_, aPhase);
    }
  }

  std::size_t Accepted() const { return accepted_; }
  std::size_t IdleClosed() const { return idleClosed_; }
  std::size_t Refused() const { return refused_; }

private:
  static constexpr int kServiceUnavailable = 503;

  static void CountIfClosing(std::atomic<std::size_t>& aCount,
                             DrainPhase aPhase)
  {
    if (aPhase == DrainPhase::kClosing || aPhase == DrainPhase::kEnding) {
      ++aCount;
    }
  }

  std::atomic<std::size_t> accepted_ = 0;
  std::atomic<std::size_t> idleClosed_ = 0;
  std::atomic<std::size_t> refused_ = 0;
};

// State shared by a server and its connections.
struct HttpServerState
{
  HttpServer::Options options_; // immutable; limits_ overrides its limits
  HttpHandler handler_;
  std::atomic<DrainPhase> phase_ = DrainPhase::kServing;
  // Written before the phase kClosing.
  std::atomic<TimePoint> drainLimit_{};
  std::atomic<TimePoint> closingSince_{};
  DrainCounts drainCounts_;
  std::atomic<std::ptrdiff_t> active_ = 0;  // number of busy connections
  std::atomic<std::size_t> makingRoom_ = 0; // sessions that close for others
  std::mutex mutex_;                        // guards sessions_ and limits_
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
