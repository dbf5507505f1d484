// The handlers of CallerApi whose results are persisted in the object store:
// jobs, and service calls with an Idempotency-Key.

#include "gooseberrylift/internal/gooseberrylift-caller-api.h"
#include "gooseberrylift/internal/gooseberrylift-forward-fields.h"

namespace gooseberrylift {

namespace asio = boost::asio;

asio::awaitable<Outcome<void>> CallerApi::HandleJobs(
  HttpExchange& aExchange,
  const RequestContext& aRequest)
{
  // The document of the job, and that of the request in it.
  if (!TryHoldDocuments(aExchange, 2)) {
    co_return MakeMemoryFullError();
  }
  co_return co_await parts_.jobs_.Handle(
    aExchange, aRequest.configuration_, aRequest.team_->name_);
}

asio::awaitable<Outcome<void>> CallerApi::HandleIdempotent(
  HttpExchange& aExchange,
  ServiceCall aCall,
  std::string aKey)
{
  constexpr std::size_t kMaxKeyBytes = 255;
  if (aKey.size() > kMaxKeyBytes) {
    co_return Error{ .code_ = ResultCode::kBadField,
                     .text_ = "Idempotency-Key: must be at most 255 bytes" };
  }
  const std::string requestId = aCall.requestId_;
  auto answer = co_await parts_.once_.Run(std::move(aCall), std::move(aKey));
  if (!answer) {
    co_return answer.error();
  }
  HttpResponse response = std::move(answer.value());
  response.fields_ = WithoutHostFields(response.fields_);
  response.fields_.push_back({ "X-Request-Id", requestId });
  const bool sent = co_await aExchange.Send(std::move(response));
  if (!sent) {
    co_return Error{ .code_ = ResultCode::kCallerLeft, .ran_ = RanState::kYes };
  }
  co_return boost::outcome_v2::success();
}

} // namespace gooseberrylift
