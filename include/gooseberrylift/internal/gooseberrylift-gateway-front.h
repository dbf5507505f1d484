// The port that callers use on a host that serves routes.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_GATEWAY_FRONT_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_GATEWAY_FRONT_H_

#include <atomic>
#include <cstdint>

#include <boost/asio/awaitable.hpp>

#include "gooseberrylift/internal/gooseberrylift-gateway-board.h"
#include "gooseberrylift/internal/gooseberrylift-http-server.h"
#include "gooseberrylift/internal/gooseberrylift-metrics.h"
#include "gooseberrylift/internal/gooseberrylift-request-run.h"

namespace gooseberrylift {

/// Gives the status that promises callers just what is true: 408, 421, 429 and
/// 503 say that the request has not run and never will, so an error of a
/// request that may have run gets 502 instead, and one of this host's own
/// failures that did not run gets 503.
int StatusOf(const Error& aError);

// Finds a request's route and team, and answers it exactly once. Safe from any
// thread.
class GatewayFront
{
public:
  struct Parts
  {
    GatewayBoard& board_;
    const WireDialect& dialect_;
    Metrics& metrics_;
    // Expedites the first proof of the routes and returns whether it is still
    // missing.
    std::function<bool()> expediteFirstProof_;
    RequestRun::Parts run_;
  };

  explicit GatewayFront(Parts aParts);

  /// Handles one request of the HTTP server.
  boost::asio::awaitable<void> Handle(HttpExchange& aExchange);

private:
  boost::asio::awaitable<void> WaitForFirstProof();
  Outcome<RoutedRequest> Resolve(const HttpRequest& aRequest,
                                 CallerRequestMetadata aFacts,
                                 TimePoint aArrived);
  boost::asio::awaitable<Outcome<void>> Serve(HttpExchange& aExchange,
                                              RequestRun& aRun);
  boost::asio::awaitable<void> AnswerFailure(HttpExchange& aExchange,
                                             const std::string& aAttemptId,
                                             const Error& aError);
  void NoteServed(const RoutedRequest& aRequest, const RequestRun& aRun);
  void NoteFailed(const std::string& aAttemptId,
                  const std::string& aRoute,
                  const Error& aError,
                  TimePoint aArrived);

  Parts parts_;
  std::atomic<std::uint64_t> nextId_ = 0;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_GATEWAY_FRONT_H_
