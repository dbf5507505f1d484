#include "gooseberrylift/internal/gooseberrylift-service-runner.h"

#include "gooseberrylift/gooseberrylift-attempt-errors.h"
#include "gooseberrylift/internal/gooseberrylift-failed-attempt.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using namespace std::chrono_literals;

ServiceRunner::ServiceRunner(HttpClient& aClient,
                             PoolBroker& aBroker,
                             EndpointTracker& aTracker,
                             Metrics& aMetrics,
                             Options aOptions)
  : client_(aClient)
  , broker_(aBroker)
  , tracker_(aTracker)
  , metrics_(aMetrics)
  , options_(aOptions)
{
}

asio::awaitable<Outcome<ServiceResponse>> ServiceRunner::Run(ServiceCall aCall)
{
  AttemptErrors attempts;
  for (int attempt = 1; attempt <= options_.maxAttempts_; ++attempt) {
    auto placement = co_await broker_.Acquire(aCall.pool_, aCall.info_);
    if (!placement) {
      attempts.OnRefused(placement.error());
      break;
    }
    const std::string name = placement.value().Endpoint().name_;
    auto call = co_await Attempt(aCall, placement.value().Endpoint());
    if (call) {
      co_return ServiceResponse{ .call_ = std::move(call.value()),
                                 .placement_ = std::move(placement.value()) };
    }
    const Error& failure = call.error();
    attempts.OnFailed(failure);
    placement.value().Finish(
      { .endpointAtFault_ = failure.code_ != ResultCode::kCallerLeft,
        .backoff_ = failure.retryAfter_.value_or(0ms) });
    const bool notExecuted = failure.ran_ == RanState::kNo;
    if ((!notExecuted && !aCall.retryable_) ||
        failure.code_ == ResultCode::kCallerLeft ||
        failure.code_ == ResultCode::kDeadlineExceeded) {
      break;
    }
    ReportFailedAttempt(metrics_, aCall.requestId_, name, failure);
    aCall.info_.excluded_.push_back(name);
    aCall.info_.exemptFromRetryBudget_ =
      notExecuted; // it put no load on an endpoint
  }
  co_return attempts.FinalError();
}

asio::awaitable<Outcome<std::unique_ptr<HttpCall>>> ServiceRunner::Attempt(
  const ServiceCall& aCall,
  const EndpointView& aEndpoint)
{
  // The endpoint may close a pooled connection at any moment, and a call that
  // fails on it may or may not have been executed. A call that can't be retried
  // therefore gets a new connection.
  const HttpClient::CallOptions options{ .forceNewConnection_ =
                                           !aCall.retryable_ };
  if (aCall.mayDispatch_ && !aCall.mayDispatch_()) {
    co_return Error{ .code_ = ResultCode::kDeadlineExceeded };
  }
  auto call = co_await client_.Start(
    aEndpoint.address_, aCall.request_, aCall.info_.deadline_, options);
  if (!call) {
    if (call.error().code_ == ResultCode::kEndpointUnreachable) {
      tracker_.ReportFailure(aEndpoint.name_);
    }
    co_return call.error();
  }
  const HttpResponse& head = call.value()->Head();
  // Checked before any other part of the response: a rejection that belongs to
  // another request says nothing about this call, and a retry based on it could
  // execute the call twice.
  if (!IsResponseTo(head, aCall.requestId_)) {
    co_return Error{ .code_ = ResultCode::kEndpointCrossed,
                     .ran_ = RanState::kUnknown };
  }
  if (head.Field("X-Endpoint-State") == "leaving") {
    tracker_.ReportLeaving(aEndpoint.name_);
  }
  if (head.status_ == 503 && head.Field("X-Not-Run") == "true") {
    co_return Error{ .code_ = ResultCode::kEndpointRefused,
                     .retryAfter_ = RequestedRetryDelay(head) };
  }
  co_return std::move(call.value());
}

} // namespace gooseberrylift
