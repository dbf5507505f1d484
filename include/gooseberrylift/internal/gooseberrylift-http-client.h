// An HTTP/1.1 client built on Boost.Beast for endpoints, the object store, the
// host list and peers. It reuses a connection only after a complete response.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_HTTP_CLIENT_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_HTTP_CLIENT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "gooseberrylift/gooseberrylift-endpoint.h"
#include "gooseberrylift/internal/gooseberrylift-http.h"

namespace gooseberrylift {

// A request that was sent and its incoming response. The connection returns to
// the idle pool only after the response was read to its end. Otherwise it is
// closed, so that a late response can't be taken for that of another request.
class HttpCall
{
public:
  virtual ~HttpCall() = default;

  /// Reads the status and header fields. May be called again after a timeout to
  /// continue waiting.
  virtual boost::asio::awaitable<Outcome<void>> ReadHead() = 0;

  /// Returns the status and header fields after ReadHead; the body is empty.
  virtual const HttpResponse& Head() const = 0;

  /// Reads the next available part of the body. May be called again after a
  /// timeout to continue reading.
  /// @return a part, nullopt at the end of the body, or an error whose ran_ is
  /// kNo, kUnknown or kYes depending on whether the request may have run
  virtual boost::asio::awaitable<Outcome<std::optional<std::string>>>
  ReadSome() = 0;

  /// Changes the deadline of later reads.
  virtual void SetDeadline(TimePoint aDeadline) = 0;

  /// Returns whether a length or a final chunk marks the end of the body. If
  /// only the close of the connection does, the body may be truncated.
  virtual bool HasExplicitEnd() const = 0;
};

// How an address responds to a connection attempt.
enum class ConnectResult
{
  kAccepted,
  kRefused,  // no process listens there
  kNoAnswer, // shows nothing
};

/// Reads the head and the body of a response.
/// @return the complete response, or the first error of the call
boost::asio::awaitable<Outcome<HttpResponse>> ReadResponse(HttpCall& aCall);

// Pools idle connections by address. Thread-safe:
//
//   HttpClient client(executor, {});
//   auto answer = co_await client.Fetch("127.0.0.1:80", request, deadline);
class HttpClient
{
public:
  struct Options
  {
    std::chrono::milliseconds connectTimeout_{ 1000 };
    std::size_t idlePerAddress_ = 64;
    // Upper bound; a shorter Keep-Alive timeout of the server takes precedence.
    std::chrono::milliseconds idleTimeout_{ 20'000 };
    std::uint64_t maxBodyBytes_ = 64 * 1024 * 1024;
  };

  struct CallOptions
  {
    bool forceNewConnection_ = false; // don't use an idle connection
    // An idle connection that has been idle for longer is closed.
    std::chrono::milliseconds maxIdle_{ std::chrono::hours(1) };
    // Overrides the timeout of the client.
    std::optional<std::chrono::milliseconds> connectTimeout_{};
    // Called before the first byte is written; an error cancels the call.
    std::function<std::optional<Error>()> checkBeforeWrite_{};
    // Called when a new connection has been established.
    std::function<void()> onConnected_{};
  };

  HttpClient(boost::asio::any_io_executor aExecutor, Options aOptions);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request. The caller continues with HttpCall::ReadHead.
  /// @param aAddress the server as IP:port
  /// @param aRequest the request; Content-Length is added, and Host if missing
  /// @param aDeadline the deadline of sending and of the call's reads
  /// @param aOptions the options of this call
  /// @return the call, or an error whose ran_ is kNo only if no byte was
  /// passed to the socket
  boost::asio::awaitable<Outcome<std::unique_ptr<HttpCall>>> Send(
    std::string aAddress,
    HttpRequest aRequest,
    TimePoint aDeadline,
    CallOptions aOptions);

  /// Sends a request and reads the status and header fields of the response.
  /// @return the same as Send
  boost::asio::awaitable<Outcome<std::unique_ptr<HttpCall>>> Start(
    std::string aAddress,
    HttpRequest aRequest,
    TimePoint aDeadline,
    CallOptions aOptions);

  /// Sends a request and reads the complete response.
  boost::asio::awaitable<Outcome<HttpResponse>> Fetch(std::string aAddress,
                                                      HttpRequest aRequest,
                                                      TimePoint aDeadline,
                                                      CallOptions aOptions);

  /// Overload with default options.
  boost::asio::awaitable<Outcome<HttpResponse>> Fetch(std::string aAddress,
                                                      HttpRequest aRequest,
                                                      TimePoint aDeadline);

  /// Connects to an address and closes the connection, to find out whether a
  /// process listens there.
  boost::asio::awaitable<ConnectResult> TryConnect(
    std::string aAddress,
    std::chrono::milliseconds aTimeout);

private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_HTTP_CLIENT_H_
