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
    // Expedites this host's first read of the routes and endpoints, and returns
    // whether it is still unknown that both are current.
    std::function<bool()> expediteFirstRead_;
    RequestRun::Parts run_;
  };

  explicit GatewayFront(Parts aParts);

  // A request that another host received from its caller.
  struct Relayed
  {
    RelayTerms terms_;
    // Adds the outcome to an error response, for the other host.
    std::function<void(const RelayOutcome& aOutcome, HttpResponse& aResponse)>
      signOutcome_;
  };

  /// Decides whether a caller's request is refused without its body.
  /// @param aLatestEnd see HttpExchange::LatestEnd
  /// @return the response; nothing if the body may change the decision or what
  /// is known of the routes is not current yet
  std::optional<HttpResponse> CheckHead(const HttpRequest& aHead,
                                        std::optional<TimePoint> aLatestEnd);

  /// Records a caller's request that is refused since its bytes don't fit.
  void RecordMemoryFull(const HttpRequest& aHead);

  /// Handles one request of a caller.
  boost::asio::awaitable<void> Handle(HttpExchange& aExchange);

  /// Handles one request that another host relayed.
  boost::asio::awaitable<void> HandleRelayed(HttpExchange& aExchange,
                                             Relayed aRelayed);

private:
  // Serves a request of a caller, or a relayed one if aRelayed is not null.
  boost::asio::awaitable<void> Serve(HttpExchange& aExchange,
                                     TimePoint aArrived,
                                     const Relayed* aRelayed);
  boost::asio::awaitable<void> WaitForFirstRead();
  Outcome<RoutedRequest> Resolve(const HttpRequest& aRequest,
                                 CallerRequestMetadata aFacts,
                                 TimePoint aArrived,
                                 std::optional<TimePoint> aLatestEnd);
  void ApplyPromise(RoutedRequest& aRequest);
  boost::asio::awaitable<Outcome<void>> RunRequest(HttpExchange& aExchange,
                                                   RequestRun& aRun);
  boost::asio::awaitable<void> SendErrorResponse(HttpExchange& aExchange,
                                                 const std::string& aAttemptId,
                                                 RelayOutcome aOutcome,
                                                 const Relayed* aRelayed);
  boost::asio::awaitable<void> SendStoppingError(HttpExchange& aExchange,
                                                 TimePoint aArrived);
  void RecordSuccess(const RoutedRequest& aRequest, const RequestRun& aRun);
  void RecordTruncation(const RoutedRequest& aRequest,
                        const RequestRun& aRun,
                        const Error& aError,
                        AbortReason aReason);
  void RecordFailure(const std::string& aAttemptId,
                     const std::string& aRoute,
                     const Error& aError,
                     TimePoint aArrived,
                     const Relayed* aRelayed);

  Parts parts_;
  std::atomic<std::uint64_t> nextId_ = 0;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_GATEWAY_FRONT_H_
