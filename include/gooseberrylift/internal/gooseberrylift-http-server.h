// A small HTTP/1.1 server on Beast. It guards the process against what callers
// do wrong or slowly, tells handlers when a caller leaves, and stops without
// cutting a request.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_HTTP_SERVER_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_HTTP_SERVER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "gooseberrylift/gooseberrylift-endpoint.h"
#include "gooseberrylift/internal/gooseberrylift-http.h"

namespace gooseberrylift {

// Why a handler was cancelled.
enum class AbortReason
{
  kNone,
  kCallerLeft,
  kCallerStalled, // read nothing for as long as a write may take
  kDeadline,
  kStopping // the host stops before the handler has finished
};

/// Gives the result code for a handler that was cancelled.
/// @param aOther for the reasons that have no code of their own
ResultCode ResultCodeOf(AbortReason aReason, ResultCode aOther);

// One request and the way to answer it, on the connection's strand. A handler
// answers once, whole or as a stream. When the caller leaves, the deadline
// passes or the host stops, whatever the handler awaits ends with
// operation_aborted; a handler that still wants to answer catches it, resets
// its cancellation state and looks at Reason().
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& Request() const = 0;

  /// Hands out the request so that a large body can be moved on.
  virtual HttpRequest& MutableRequest() = 0;

  /// Gives the caller's address as IP:port.
  virtual const std::string& Peer() const = 0;

  /// Sends a whole answer.
  /// @return false when the caller is gone
  virtual boost::asio::awaitable<bool> Send(HttpResponse aResponse) = 0;

  /// Sends the head of a chunked answer; Write and Finish follow.
  virtual boost::asio::awaitable<bool> StartStream(HttpResponse aHead) = 0;

  /// Sends a piece of a stream and returns when the socket took it, so that a
  /// caller who stops reading holds back the endpoint, not our memory.
  virtual boost::asio::awaitable<bool> Write(std::string_view aPiece) = 0;

  /// Ends a stream properly. A stream that is not finished is seen as cut.
  virtual boost::asio::awaitable<bool> Finish() = 0;

  /// Closes the connection without an answer, or without the rest of one.
  virtual void Disconnect() = 0;

  /// Says whether the head of an answer was sent.
  virtual bool ResponseStarted() const = 0;

  /// Cancels the handler at a time, with the reason kDeadline.
  virtual void SetDeadline(TimePoint aDeadline) = 0;

  /// Lets the handler run on when the caller leaves, for work that must be
  /// recorded once begun.
  virtual void KeepRunningWithoutCaller() = 0;

  virtual AbortReason Reason() const = 0;
};

using HttpHandler =
  std::function<boost::asio::awaitable<void>(HttpExchange& aExchange)>;

// Serves one address. Connections run on strands of the executor:
//
//   HttpServer server(executor, { .address_ = "127.0.0.1" }, handler);
//   server.Listen();           // port 0 picks a free one, see Port()
//   co_await server.Drain(...) // planned stop
class HttpServer
{
public:
  struct Options
  {
    std::string address_ = "127.0.0.1";
    std::uint16_t port_ = 0;
    std::uint32_t maxHeaderBytes_ = 16 * 1024;
    std::uint64_t maxBodyBytes_ = 16 * 1024 * 1024;
    std::size_t maxConnections_ = 10'000;
    std::chrono::milliseconds headerTimeout_{ 10'000 };
    std::chrono::milliseconds bodyTimeout_{ 60'000 };
    std::chrono::milliseconds idleTimeout_{ 75'000 };
    std::chrono::milliseconds writeTimeout_{ 30'000 };
  };

  HttpServer(boost::asio::any_io_executor aExecutor,
             Options aOptions,
             HttpHandler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Opens the address and begins to accept.
  /// @return an error with kListenFailed when the address can't be had
  Outcome<std::uint16_t> Listen();

  // What a caller may send, and how long it may take or stay idle.
  struct Limits
  {
    std::uint32_t maxHeaderBytes_ = 16 * 1024;
    std::uint64_t maxBodyBytes_ = 16 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout_{ 10'000 };
    std::chrono::milliseconds idleTimeout_{ 75'000 };
  };

  /// Changes the limits for requests that are not being read yet.
  void SetLimits(const Limits& aLimits);

  /// Gives the port listened on; 0 before Listen.
  std::uint16_t Port() const;

  /// Stops in good order: answers carry "Connection: close" from now on; after
  /// aLag, when the balancer has noticed, the listener and idle connections
  /// close; then running exchanges are waited for.
  /// @param aLag how long new requests are still taken
  /// @param aDeadline when to give up on running exchanges
  /// @return how many requests were still being read or answered then
  boost::asio::awaitable<std::size_t> Drain(std::chrono::milliseconds aLag,
                                            TimePoint aDeadline);

  /// Gives the number of requests that are being read or answered now.
  std::size_t ActiveRequests() const;

  /// Cancels every running handler with the reason kStopping, so that callers
  /// get a final answer.
  void Abort();

  /// Closes the listener and every connection at once.
  void Close();

private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_HTTP_SERVER_H_
