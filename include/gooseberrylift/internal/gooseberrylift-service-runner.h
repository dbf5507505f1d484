// Forwards a call to an endpoint of a plain (non-model) service and returns the
// response.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SERVICE_RUNNER_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SERVICE_RUNNER_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "gooseberrylift/internal/gooseberrylift-endpoint-tracker.h"
#include "gooseberrylift/internal/gooseberrylift-metrics.h"
#include "gooseberrylift/internal/gooseberrylift-pool-broker.h"

namespace gooseberrylift {

// A call to a plain service.
struct ServiceCall
{
  std::string requestId_;
  std::string pool_;
  RequestInfo info_;
  HttpRequest request_; // as sent to the endpoint
  bool retryable_ = false;
  // Called directly before each attempt; false ends the call as not executed.
  std::function<bool()> mayDispatch_{};
};

// The head of a response; the body is read through call_.
struct ServiceResponse
{
  std::unique_ptr<HttpCall> call_;
  Placement placement_; // held until the body has been read
};

// Keeps no state between calls. Thread-safe.
class ServiceRunner
{
public:
  struct Options
  {
    int maxAttempts_ = 3; // endpoints tried per call
  };

  ServiceRunner(HttpClient& aClient,
                PoolBroker& aBroker,
                EndpointTracker& aTracker,
                Metrics& aMetrics,
                Options aOptions);

  /// Sends a call and waits for the head of the response. Another endpoint is
  /// tried if the first did not execute the call, or if the call may be
  /// retried.
  /// @return the response, or the error of the last attempt
  boost::asio::awaitable<Outcome<ServiceResponse>> Run(ServiceCall aCall);

private:
  boost::asio::awaitable<Outcome<std::unique_ptr<HttpCall>>> Attempt(
    const ServiceCall& aCall,
    const EndpointView& aEndpoint);

  HttpClient& client_;
  PoolBroker& broker_;
  EndpointTracker& tracker_;
  Metrics& metrics_;
  Options options_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SERVICE_RUNNER_H_
