// Passes one call on to an endpoint of a plain service and its answer back.

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

// One call to run.
struct ServiceCall
{
  std::string requestId_;
  std::string pool_;
  RequestInfo info_;
  HttpRequest request_; // as the endpoint is to receive it
  bool retryable_ = false;
  // Asked right before each attempt; false ends the call as not run.
  std::function<bool()> mayDispatch_{};
};

// The answer's head, and its body still to be read.
struct ServiceAnswer
{
  std::unique_ptr<HttpCall> call_;
  Placement placement_; // held until the body was read
};

// Holds no state of its own between calls; safe from any thread.
class ServiceRunner
{
public:
  struct Options
  {
    int maxAttempts_ = 3; // endpoints tried for one call
  };

  ServiceRunner(HttpClient& aClient,
                PoolBroker& aBroker,
                EndpointTracker& aTracker,
                Metrics& aMetrics,
                Options aOptions);

  /// Sends a call and waits for the head of its answer. Another endpoint is
  /// tried when the first did not run it, or when it may be repeated.
  /// @return the answer, or the error of the last attempt
  boost::asio::awaitable<Outcome<ServiceAnswer>> Run(ServiceCall aCall);

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
