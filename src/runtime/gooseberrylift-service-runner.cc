#include "gooseberrylift/internal/gooseberrylift-service-runner.h"

#include "gooseberrylift/gooseberrylift-attempt-errors.h"
#include "gooseberrylift/internal/gooseberrylift-failed-attempt.h"

namespace gooseberrylift {

namespace asio = boost::asio;

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

asio::awaitable<Outcome<ServiceAnswer>> ServiceRunner::Run(ServiceCall aCall)
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
      co_return ServiceAnswer{ .call_ = std::move(call.value()),
                               .placement_ = std::move(placement.value()) };
    }
    const Error& failure = call.error();
    attempts.OnFailed(failure);
    placement.value().Finish(
      { .endpointAtFault_ = failure.code_ != ResultCode::kCallerLeft });
    const bool untaken = failure.ran_ == RanState::kNo;
    if ((!untaken && !aCall.retryable_) ||
        failure.code_ == ResultCode::kCallerLeft ||
        failure.code_ == ResultCode::kDeadlineExceeded) {
      break;
    }
    NoteFailedAttempt(metrics_, aCall.requestId_, name, failure);
    aCall.info_.excluded_.push_back(name);
    aCall.info_.exemptFromRetryBudget_ =
      untaken; // it made no load on an endpoint
  }
  co_return attempts.FinalError();
}

asio::awaitable<Outcome<std::unique_ptr<HttpCall>>> ServiceRunner::Attempt(
  const ServiceCall& aCall,
  const EndpointView& aEndpoint)
{
  // A kept connection may have been closed by the other side just now, and a
  // call that dies on it may or may not have run. A call that can't be
  // repeated therefore gets a connection of its own.
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
  // Looked at before anything the answer says: a crossed refusal must not prove
  // that this call did not run, or a repeat of it would run twice.
  if (!IsResponseTo(head, aCall.requestId_)) {
    co_return Error{ .code_ = ResultCode::kEndpointCrossed,
                     .ran_ = RanState::kUnknown };
  }
  if (head.Field("X-Endpoint-State") == "leaving") {
    tracker_.ReportLeaving(aEndpoint.name_);
  }
  if (head.status_ == 503 && head.Field("X-Not-Run") == "true") {
    co_return Error{ .code_ = ResultCode::kEndpointRefused };
  }
  co_return std::move(call.value());
}

} // namespace gooseberrylift
