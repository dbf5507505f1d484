// HTTP handler of the caller port: model requests, plain services and jobs.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_CALLER_API_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_CALLER_API_H_

#include <string>

#include <boost/asio/awaitable.hpp>

#include "gooseberrylift/internal/gooseberrylift-burn-recorder.h"
#include "gooseberrylift/internal/gooseberrylift-http-server.h"
#include "gooseberrylift/internal/gooseberrylift-job-api.h"
#include "gooseberrylift/internal/gooseberrylift-model-runner.h"
#include "gooseberrylift/internal/gooseberrylift-once-runner.h"
#include "gooseberrylift/internal/gooseberrylift-service-runner.h"

namespace gooseberrylift {

// What the burn report records about a request; filled in while the request is
// handled.
struct BurnObservation
{
  const ServiceConfig* service_ = nullptr; // null until it is resolved
  BurnSample sample_;
};

// State that the handlers of one request share.
struct RequestContext
{
  std::string id_;
  TimePoint arrived_;
  Configuration::Ptr configuration_;
  const TeamConfig* team_ = nullptr;
  BurnObservation* burn_ = nullptr;        // outlives the request
  GenerationProgress* progress_ = nullptr; // outlives the request
};

// Answers every request exactly once: with a complete response, a stream, or an
// error with its result code. Keeps no state between requests; thread-safe.
class CallerApi
{
public:
  struct Parts
  {
    Blackboard& board_;
    ModelRunner& models_;
    ServiceRunner& services_;
    OnceRunner& once_;
    JobApi& jobs_;
    Metrics& metrics_;
    BurnRecorder& burn_;
  };

  explicit CallerApi(Parts aParts);

  /// Decides whether a request is refused without its body.
  /// @param aLatestEnd see HttpExchange::LatestEnd
  /// @return the response; nothing if the body has to be read
  std::optional<HttpResponse> CheckHead(const HttpRequest& aHead,
                                        std::optional<TimePoint> aLatestEnd);

  /// Handles one request of the HTTP server.
  boost::asio::awaitable<void> Handle(HttpExchange& aExchange);

private:
  using Handler = boost::asio::awaitable<Outcome<void>> (
    CallerApi::*)(HttpExchange& aExchange, const RequestContext& aRequest);
  struct Route;
  static const Route kRoutes[];

  RequestContext MakeContext() const;
  static Outcome<const Route*> FindRoute(const HttpRequest& aRequest,
                                         std::optional<TimePoint> aLatestEnd,
                                         RequestContext& aContext);
  boost::asio::awaitable<Outcome<void>> Dispatch(HttpExchange& aExchange,
                                                 RequestContext& aRequest);
  // Returns whether there is memory for the body of a request as a number of
  // parsed documents.
  static bool TryHoldDocuments(HttpExchange& aExchange, std::uint64_t aCount);
  boost::asio::awaitable<Outcome<void>> HandleModel(
    HttpExchange& aExchange,
    const RequestContext& aRequest);
  boost::asio::awaitable<Outcome<void>> HandleService(
    HttpExchange& aExchange,
    const RequestContext& aRequest);
  boost::asio::awaitable<Outcome<void>> HandleJobs(
    HttpExchange& aExchange,
    const RequestContext& aRequest);
  boost::asio::awaitable<Outcome<void>> HandleIdempotent(
    HttpExchange& aExchange,
    ServiceCall aCall,
    std::string aKey);
  void RecordBurn(const RequestContext& aRequest, ResultCode aCode);
  void RecordFailure(const RequestContext& aRequest, const Error& aError);
  void RecordTruncation(const RequestContext& aRequest,
                        const Error& aError,
                        AbortReason aReason);
  boost::asio::awaitable<void> SendFailure(HttpExchange& aExchange,
                                           const RequestContext& aRequest,
                                           Error aError);

  Parts parts_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_CALLER_API_H_
