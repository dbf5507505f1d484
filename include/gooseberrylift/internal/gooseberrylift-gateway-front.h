// Handles the requests that callers send to a host that serves routes.

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

/// Returns the HTTP status for an error. To callers, 408, 421, 429 and 503 mean
/// that the request has not run and never will. If it may have run, 502
/// replaces these. If it has not run, 503 replaces every 5xx status.
int HttpStatusOf(const Error& aError);

// Resolves a request's route and team, and responds to it exactly once.
// Thread-safe.
class GatewayFront
{
public:
  struct Parts
  {
    GatewayBoard& board_;
    const WireDialect& dialect_;
    Metrics& metrics_;
    // Expedites the first proof that the routes are current, and returns
    // whether that proof is still pending.
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
  void ApplyPromise(RoutedRequest& aRequest);
  boost::asio::awaitable<Outcome<void>> RunRequest(HttpExchange& aExchange,
                                                   RequestRun& aRun);
  boost::asio::awaitable<void> SendErrorResponse(HttpExchange& aExchange,
                                                 const std::string& aAttemptId,
                                                 const Error& aError);
  void RecordSuccess(const RoutedRequest& aRequest, const RequestRun& aRun);
  void RecordFailure(const std::string& aAttemptId,
                     const std::string& aRoute,
                     const Error& aError,
                     TimePoint aArrived);

  Parts parts_;
  std::atomic<std::uint64_t> nextId_ = 0;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_GATEWAY_FRONT_H_
