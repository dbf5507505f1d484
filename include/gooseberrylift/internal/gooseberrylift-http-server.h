// An HTTP/1.1 server built on Boost.Beast. It limits the size of requests and
// the time that clients may take, notifies handlers when a client disconnects,
// and shuts down gracefully.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_HTTP_SERVER_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/system/error_code.hpp>

#include "gooseberrylift/gooseberrylift-endpoint.h"
#include "gooseberrylift/internal/gooseberrylift-http.h"
#include "gooseberrylift/internal/gooseberrylift-shared-memory-budget.h"

namespace gooseberrylift {

// Why a handler was cancelled.
enum class AbortReason
{
  kNone,
  kCallerLeft,
  kCallerStalled, // a write timed out because the caller read nothing
  kDeadline,
  kStopping // the host shuts down before the handler has finished
};

/// Returns the name of a reason in logs and metrics.
std::string_view NameOf(AbortReason aReason);

/// Returns the result code for a cancelled handler.
/// @param aDefault returned for the reasons that have no result code
ResultCode ResultCodeOf(AbortReason aReason, ResultCode aDefault);

// One request and its response. Handlers run on the connection's strand and
// respond once, either with a complete response or with a stream. When the
// caller disconnects, the deadline passes or the host shuts down, the operation
// that the handler awaits fails with operation_aborted. A handler that still
// has to respond catches the exception, resets its cancellation state and
// checks Reason().
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& Request() const = 0;

  /// Returns a mutable request, so that a large body can be moved out of it.
  virtual HttpRequest& MutableRequest() = 0;

  /// Returns the caller's address as IP:port.
  virtual const std::string& Peer() const = 0;

  /// Sends a complete response.
  /// @return false if the response could not be written
  virtual boost::asio::awaitable<bool> Send(HttpResponse aResponse) = 0;

  /// Sends the status and header fields of a chunked response, to be followed
  /// by calls of Write and Finish.
  virtual boost::asio::awaitable<bool> StartStream(HttpResponse aHead) = 0;

  /// Sends a chunk of a stream. Completes once the socket has accepted it, so
  /// that a caller that stops reading slows down the endpoint instead of
  /// making this process buffer the stream.
  virtual boost::asio::awaitable<bool> Write(std::string_view aChunk) = 0;

  /// Sends the final chunk. Callers treat a stream without it as truncated.
  virtual boost::asio::awaitable<bool> Finish() = 0;

  /// Closes the connection without a response or in the middle of one.
  virtual void Disconnect() = 0;

  /// Returns whether sending a response has begun, or the connection was
  /// closed, so that no other response can be sent.
  virtual bool ResponseStarted() const = 0;

  /// Returns whether the caller has closed the connection, even if the handler
  /// has not been cancelled yet. Costs a system call.
  virtual bool HasCallerLeft() = 0;

  /// Cancels the handler with the reason kDeadline at the given time.
  virtual void SetDeadline(TimePoint aDeadline) = 0;

  /// Lets the handler continue after the caller disconnects, for work whose
  /// outcome must be recorded once it has begun.
  virtual void KeepRunningWithoutCaller() = 0;

  /// Counts bytes that the handler keeps for this request besides its body.
  /// @param aBytes their number, instead of that of an earlier call
  /// @return false if the host has no memory for them; the earlier number
  /// stays counted
  virtual bool TryHoldMemory(std::uint64_t aBytes) = 0;

  virtual AbortReason Reason() const = 0;

  /// Returns when the handler is cancelled because the host stops, if the
  /// request arrived after the host began to close connections. A handler
  /// refuses what would take longer.
  virtual std::optional<TimePoint> LatestEnd() const = 0;
};

using HttpHandler =
  std::function<boost::asio::awaitable<void>(HttpExchange& aExchange)>;

/// Decides by the head of a request whether it is refused, without its body.
/// @param aLatestEnd see HttpExchange::LatestEnd
/// @return the response that refuses it; nothing if its body is read
using HttpHeadCheck = std::function<std::optional<HttpResponse>(
  const HttpRequest& aHead,
  std::optional<TimePoint> aLatestEnd)>;

// Listens on one address. Each connection runs on its own strand of the
// executor:
//
//   HttpServer server(executor, { .address_ = "127.0.0.1" }, handler);
//   server.Listen();           // port 0 selects a free port, see Port()
//   co_await server.Drain(...) // graceful shutdown
class HttpServer
{
public:
  struct Options
  {
    std::string address_ = "127.0.0.1";
    std::uint16_t port_ = 0;
    std::uint32_t maxHeaderBytes_ = 16 * 1024;
    std::uint64_t maxBodyBytes_ = 16 * 1024 * 1024;
    // Further connections get an error response.
    std::size_t maxConnections_ = 10'000;
    std::chrono::milliseconds headerTimeout_{ 10'000 };
    std::chrono::milliseconds bodyTimeout_{ 60'000 };
    std::chrono::milliseconds idleTimeout_{ 75'000 };
    std::chrono::milliseconds writeTimeout_{ 30'000 };
    // What requests may hold together, also with other servers; unlimited if
    // there is none.
    std::shared_ptr<SharedMemoryBudget> budget_{};
    // Is called for requests whose bodies aren't small.
    HttpHeadCheck checkHead_{};
    // Is called for each request that is refused since its bytes don't fit, or
    // since it gave way to others. The head is empty if it hasn't arrived.
    std::function<void(const HttpRequest& aHead, bool aGaveWay)>
      onMemoryFull_{};
    // Is called for each connection that is closed while bytes of the caller
    // have got no answer.
    std::function<void()> onClosedUnread_{};
    // Is called when a connection can't be accepted, for example because no
    // descriptors are left. The server tries again after a short delay.
    std::function<void(const boost::system::error_code& aError)>
      onAcceptError_{};
  };

  HttpServer(boost::asio::any_io_executor aExecutor,
             Options aOptions,
             HttpHandler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds the address and starts accepting connections.
  /// @return the error if the address can't be bound; may be called again then
  boost::system::error_code Listen();

  /// Does the same on another port than that of the options.
  boost::system::error_code Listen(std::uint16_t aPort);

  // Size and time limits of requests, and the idle time of connections.
  struct Limits
  {
    std::uint32_t maxHeaderBytes_ = 16 * 1024;
    std::uint64_t maxBodyBytes_ = 16 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout_{ 10'000 };
    std::chrono::milliseconds idleTimeout_{ 75'000 };
  };

  /// Changes the limits for requests whose reading has not begun.
  void SetLimits(const Limits& aLimits);

  /// Returns the listening port, or 0 until Listen has succeeded.
  std::uint16_t Port() const;

  struct DrainOptions
  {
    // How long new connections are still accepted, in which the load balancer
    // removes this host.
    std::chrono::milliseconds lag_{};
    // When to stop waiting for active requests.
    TimePoint limit_{};
    // Is called after the lag with the number of open connections.
    std::function<void(std::size_t aConnections)> onClosing_{};
  };

  // What happened after the lag of a drain.
  struct DrainReport
  {
    std::size_t accepted_ = 0;    // connections
    std::size_t idleClosed_ = 0;  // connections without a request
    std::size_t refused_ = 0;     // requests answered 503
    std::size_t active_ = 0;      // requests still active at the limit
    std::size_t connections_ = 0; // still open at the limit
  };

  /// Shuts down gracefully. Responses carry "Connection: close" from now on.
  /// After the lag, accepts what callers take for accepted, closes the listener
  /// and waits until all connections are closed: idle ones after a moment, the
  /// others after their responses.
  boost::asio::awaitable<DrainReport> Drain(DrainOptions aOptions);

  /// Returns the number of requests that are being read or handled.
  std::size_t ActiveRequests() const;

  /// Returns the number of open connections.
  std::size_t Connections() const;

  /// Cancels all running handlers with the reason kStopping, so that they can
  /// still send an error response, answers requests that are being read with
  /// 503, and closes idle connections.
  void Abort();

  /// Closes the listener and all connections immediately.
  void Close();

private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_HTTP_SERVER_H_
