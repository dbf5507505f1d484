// The port that callers use: model requests and plain services.

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

// What the burn report is to know of a request; filled on its way.
struct BurnNote
{
  const ServiceConfig* service_ = nullptr; // null until it is known
  BurnSample sample_;
};

// What the handlers of one request share.
struct CallerRequest
{
  std::string id_;
  TimePoint arrived_;
  Configuration::Ptr configuration_;
  const TeamConfig* team_ = nullptr;
  BurnNote* burn_ = nullptr; // lives as long as the request
};

// Answers every request exactly once: whole, as a stream, or with a numbered
// error. Holds no state between requests; safe from any thread.
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

  /// Handles one request of the HTTP server.
  boost::asio::awaitable<void> Handle(HttpExchange& aExchange);

private:
  using Handler = boost::asio::awaitable<Outcome<void>> (
    CallerApi::*)(HttpExchange& aExchange, const CallerRequest& aRequest);
  struct Route;
  static const Route kRoutes[];

  boost::asio::awaitable<Outcome<void>> Dispatch(HttpExchange& aExchange,
                                                 CallerRequest& aRequest);
  boost::asio::awaitable<Outcome<void>> HandleModel(
    HttpExchange& aExchange,
    const CallerRequest& aRequest);
  boost::asio::awaitable<Outcome<void>> HandleService(
    HttpExchange& aExchange,
    const CallerRequest& aRequest);
  boost::asio::awaitable<Outcome<void>> HandleJobs(
    HttpExchange& aExchange,
    const CallerRequest& aRequest);
  boost::asio::awaitable<Outcome<void>> HandleOnce(HttpExchange& aExchange,
                                                   ServiceCall aCall,
                                                   std::string aKey);
  void RecordBurn(const CallerRequest& aRequest, ResultCode aCode);
  boost::asio::awaitable<void> AnswerFailure(HttpExchange& aExchange,
                                             const CallerRequest& aRequest,
                                             Error aError);

  Parts parts_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_CALLER_API_H_
