// An HTTP/1.1 client on Beast for endpoints, the object store, the host list
// and peers. It never reuses a connection on which anything was left open.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_HTTP_CLIENT_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_HTTP_CLIENT_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "gooseberrylift/gooseberrylift-endpoint.h"
#include "gooseberrylift/internal/gooseberrylift-http.h"

namespace gooseberrylift {

// One request that was sent, and its answer as it comes in. Its connection
// returns to the client's idle ones only when the answer was read to its end;
// else it closes, so that a late answer can never meet another request.
class HttpCall
{
public:
  virtual ~HttpCall() = default;

  /// Waits for status and header fields. After a time-out it may be called
  /// again and goes on waiting.
  virtual boost::asio::awaitable<Outcome<void>> ReadHead() = 0;

  /// Gives status and header fields once they were read; the body stays empty.
  virtual const HttpResponse& Head() const = 0;

  /// Reads the next piece of the body, as soon as there is one. After a
  /// time-out it may be called again and goes on reading.
  /// @return a piece, nothing at the proper end, or an error with kNo,
  /// kUnknown or kYes for what may have run
  virtual boost::asio::awaitable<Outcome<std::optional<std::string>>>
  ReadSome() = 0;

  /// Changes when later reads give up.
  virtual void SetDeadline(TimePoint aDeadline) = 0;

  /// Says whether the body ended by its length or last chunk. False means that
  /// only the closed connection marked the end, so it may be cut.
  virtual bool HasExplicitEnd() const = 0;
};

// Keeps idle connections by address; safe to use from several threads:
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
    // At most; a server that states a shorter time is believed.
    std::chrono::milliseconds idleFor_{ 20'000 };
    std::uint64_t maxBodyBytes_ = 64 * 1024 * 1024;
  };

  struct CallOptions
  {
    bool forceNewConnection_ = false; // never one that was used before
    // A kept connection that was idle for longer is passed over.
    std::chrono::milliseconds maxIdle_{ std::chrono::hours(1) };
    // Instead of the client's own.
    std::optional<std::chrono::milliseconds> connectTimeout_{};
  };

  HttpClient(boost::asio::any_io_executor aExecutor, Options aOptions);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request. Its answer's head is to be read next.
  /// @param aAddress the server as IP:port
  /// @param aRequest what to send; Content-Length is added, and Host unless
  /// it is there
  /// @param aDeadline when to give up; it holds for the call's reads too
  /// @param aCall how to send it
  /// @return the call, or an error whose ran_ is kNo only when no byte was
  /// handed to the socket
  boost::asio::awaitable<Outcome<std::unique_ptr<HttpCall>>> Send(
    std::string aAddress,
    HttpRequest aRequest,
    TimePoint aDeadline,
    CallOptions aCall);

  /// Sends a request and waits for the head of its answer.
  /// @return like Send
  boost::asio::awaitable<Outcome<std::unique_ptr<HttpCall>>> Start(
    std::string aAddress,
    HttpRequest aRequest,
    TimePoint aDeadline,
    CallOptions aCall);

  /// Sends a request and reads the whole answer.
  boost::asio::awaitable<Outcome<HttpResponse>> Fetch(std::string aAddress,
                                                      HttpRequest aRequest,
                                                      TimePoint aDeadline,
                                                      CallOptions aCall);

  /// The same on any connection.
  boost::asio::awaitable<Outcome<HttpResponse>> Fetch(std::string aAddress,
                                                      HttpRequest aRequest,
                                                      TimePoint aDeadline);

  /// Connects to an address and closes at once, to learn whether anybody
  /// listens there.
  /// @return true only when the connection was refused; that it did not come
  /// about in time proves nothing
  boost::asio::awaitable<bool> IsConnectionRefused(
    std::string aAddress,
    std::chrono::milliseconds aTimeout);

private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_HTTP_CLIENT_H_
