#include "gooseberrylift/internal/gooseberrylift-once-runner.h"

#include <algorithm>
#include <mutex>
#include <optional>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "gooseberrylift/gooseberrylift-json-text.h"
#include "gooseberrylift/internal/gooseberrylift-encoding.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

enum class Phase
{
  kBeforeDispatch,
  kDispatched, // bytes may have gone out
  kAbandoned   // the caller was told that the call did not run
};

std::string EncodeResult(const HttpResponse& aResponse)
{
  json fields = json::array();
  for (const HttpField& field : aResponse.fields_) {
    fields.push_back(json::array({ field.name_, field.value_ }));
  }
  json result = json::object();
  result["status"] = aResponse.status_;
  result["fields"] = std::move(fields);
  // Both parts are encoded in base64, because header fields and bodies may not
  // be valid UTF-8.
  const std::string head =
    result.dump(-1, ' ', false, json::error_handler_t::replace);
  return EncodeBase64(head) + "." + EncodeBase64(aResponse.body_);
}

std::optional<HttpResponse> DecodeResult(const std::string& aText)
{
  const std::size_t dot = aText.find('.');
  if (dot == std::string::npos) {
    return std::nullopt;
  }
  const auto head = DecodeBase64(std::string_view(aText).substr(0, dot));
  auto body = DecodeBase64(std::string_view(aText).substr(dot + 1));
  const json result = head ? ParseJson(*head) : json();
  if (!result.is_object() || !body) {
    return std::nullopt;
  }
  HttpResponse response{ .status_ = result.value("status", 200),
                         .body_ = std::move(*body) };
  if (!IsFinalStatus(response.status_)) {
    return std::nullopt;
  }
  for (const json& field : result.value("fields", json::array())) {
    response.fields_.push_back({ field.at(0), field.at(1) });
  }
  return response;
}

std::size_t BucketOf(std::string_view aKeyDigest)
{
  return static_cast<unsigned char>(aKeyDigest.front()) % kOnceBuckets;
}

} // namespace

// State shared by the caller's coroutine and the coroutine that runs the call.
struct OnceRunner::Attempt
{
  Attempt(ServiceCall aCall, const asio::any_io_executor& aCaller)
    : call_(std::move(aCall))
    , deadline_(call_.info_.deadline_)
    , timer_(aCaller, asio::steady_timer::time_point::max())
  {
  }

  // Makes "not run" and "dispatched" mutually exclusive: the caller is told
  // `ran: no` only if this function can no longer succeed.
  //
  // The process may be suspended between this check and the send and resume
  // much later. The call is still dispatched only once: the intent in the store
  // belongs to this attempt permanently, and after its lease expires every
  // other host answers `unknown` and never runs the call. The client checks the
  // deadline again after connecting, so only a send that has already begun can
  // go out late.
  bool TryBeginDispatch()
  {
    const std::lock_guard lock(mutex_);
    if (phase_ == Phase::kAbandoned || TimerService::Now() >= deadline_) {
      return false;
    }
    phase_ = Phase::kDispatched;
    return true;
  }

  // Stops waiting for the outcome. Returns kNo if the call can no longer be
  // dispatched, else kUnknown.
  RanState Abandon()
  {
    const std::lock_guard lock(mutex_);
    if (phase_ == Phase::kDispatched) {
      return RanState::kUnknown;
    }
    phase_ = Phase::kAbandoned;
    return RanState::kNo;
  }

  bool Abandoned() const
  {
    const std::lock_guard lock(mutex_);
    return phase_ == Phase::kAbandoned;
  }

  void Answer(Outcome<HttpResponse> aAnswer)
  {
    const std::lock_guard lock(mutex_);
    answer_ = std::move(aAnswer);
  }

  std::optional<Outcome<HttpResponse>> TakeAnswer()
  {
    const std::lock_guard lock(mutex_);
    return std::exchange(answer_, std::nullopt);
  }

  OnceOp MakeOp(OnceOpKind aKind, TimePoint aDeadline) const
  {
    return { .kind_ = aKind, .intent_ = intent_, .deadline_ = aDeadline };
  }

  ServiceCall call_;
  TimePoint deadline_;
  OnceIntent intent_{};
  std::size_t bucket_ = 0;
  asio::steady_timer timer_; // on the caller's executor; cancelled to resume it

private:
  mutable std::mutex mutex_;
  Phase phase_ = Phase::kBeforeDispatch;
  std::optional<Outcome<HttpResponse>> answer_;
};

OnceRunner::OnceRunner(ServiceRunner& aServices,
                       OnceLedger& aLedger,
                       asio::any_io_executor aExecutor,
                       Metrics& aMetrics,
                       Options aOptions)
  : services_(aServices)
  , ledger_(aLedger)
  , executor_(std::move(aExecutor))
  , metrics_(aMetrics)
  , options_(aOptions)
{
}

asio::awaitable<Outcome<HttpResponse>> OnceRunner::Run(ServiceCall aCall,
                                                       std::string aKey)
{
  const auto caller = co_await asio::this_coro::executor;
  const auto attempt = std::make_shared<Attempt>(std::move(aCall), caller);
  const ServiceCall& call = attempt->call_;
  const std::string key =
    ComputeDigest({ call.info_.team_, call.info_.service_, aKey });
  const std::string digest = ComputeDigest({ call.request_.method_,
                                             call.request_.target_,
                                             call.request_.body_.Text() });
  const auto lease = attempt->deadline_ - TimerService::Now();
  attempt->bucket_ = BucketOf(key);
  attempt->intent_ = { .key_ = EncodeBase64(key),
                       .digest_ = EncodeBase64(digest),
                       .nonce_ = MakeNonce(),
                       .leaseUntil_ =
                         std::chrono::system_clock::now() +
                         std::chrono::duration_cast<milliseconds>(lease) +
                         options_.leaseMargin_ };
  ++active_;
  SpawnTask(asio::make_strand(executor_),
            [this, attempt]() -> asio::awaitable<void> {
              co_await RunAttempt(attempt);
            });
  co_await attempt->timer_.async_wait(asio::as_tuple(asio::use_awaitable));
  auto answer = attempt->TakeAnswer();
  if (answer) {
    co_return std::move(*answer);
  }
  // Resumed by the caller's HTTP exchange: the deadline passed or the caller
  // disconnected.
  const RanState ran = attempt->Abandon();
  co_return Error{ .code_ = TimerService::Now() >= attempt->deadline_
                              ? ResultCode::kDeadlineExceeded
                              : ResultCode::kCallerLeft,
                   .ran_ = ran };
}

bool OnceRunner::Idle() const
{
  return active_ == 0 && ledger_.Idle();
}

asio::awaitable<void> OnceRunner::RunAttempt(std::shared_ptr<Attempt> aAttempt)
{
  const OnceReply claim = co_await Claim(aAttempt);
  const bool begun = claim.committed_ &&
                     claim.beginResult_.beginStatus_ == OnceBeginStatus::kBegun;
  if (begun) {
    auto outcome = co_await Dispatch(aAttempt);
    RecordOutcome(*aAttempt, outcome);
    aAttempt->Answer(std::move(outcome));
  } else {
    aAttempt->Answer(ResponseFor(claim));
  }
  asio::post(aAttempt->timer_.get_executor(),
             [aAttempt] { aAttempt->timer_.cancel(); });
  --active_;
}

// Writes the intent. While another attempt with the same key is pending, waits
// for its outcome; if that attempt is released without having run, this one can
// begin.
asio::awaitable<OnceReply> OnceRunner::Claim(std::shared_ptr<Attempt> aAttempt)
{
  milliseconds pause = options_.initialPollInterval_;
  OnceReply reply;
  while (true) {
    // Limits the wait for the store to half of the remaining time, so that the
    // caller gets the rejection well before its deadline.
    const TimePoint now = TimerService::Now();
    const auto half = (aAttempt->deadline_ - now) / 2;
    const auto limit =
      std::min<TimePoint::duration>(half, options_.intentTimeout_);
    OnceOp op = aAttempt->MakeOp(OnceOpKind::kBegin, now + limit);
    reply = co_await ledger_.Commit(aAttempt->bucket_, std::move(op));
    const bool waits = reply.committed_ && reply.beginResult_.beginStatus_ ==
                                             OnceBeginStatus::kPending;
    if (!waits || aAttempt->Abandoned() ||
        TimerService::Now() + pause >= aAttempt->deadline_) {
      break;
    }
    co_await TimerService::SleepFor(pause);
    pause = std::min(pause * 2, options_.maxPollInterval_);
  }
  co_return reply;
}

asio::awaitable<Outcome<HttpResponse>> OnceRunner::Dispatch(
  std::shared_ptr<Attempt> aAttempt)
{
  ServiceCall call = std::move(aAttempt->call_);
  call.retryable_ = false;
  call.mayDispatch_ = [aAttempt] { return aAttempt->TryBeginDispatch(); };
  auto answer = co_await services_.Run(std::move(call));
  if (!answer) {
    co_return answer.error();
  }
  auto response = co_await ReadResponse(*answer.value().call_);
  answer.value().placement_.Finish(
    { .succeeded_ = response.has_value(), .endpointAtFault_ = !response });
  co_return response;
}

asio::awaitable<Outcome<HttpResponse>> OnceRunner::ReadResponse(HttpCall& aCall)
{
  HttpResponse response = aCall.Head();
  while (true) {
    auto chunk = co_await aCall.ReadSome();
    if (!chunk) {
      // The head was received, so the call has run even if the body is lost.
      Error error = chunk.error();
      error.ran_ = RanState::kYes;
      co_return error;
    }
    if (!chunk.value()) {
      co_return response;
    }
    response.body_ += *chunk.value();
    if (response.body_.size() > options_.maxResponseBytes_) {
      co_return Error{ .code_ = ResultCode::kEndpointOverlong,
                       .text_ = "the response is larger than 16 MiB",
                       .ran_ = RanState::kYes };
    }
  }
}

// Records the outcome of an attempt. The response to the caller does not wait
// for this write: a duplicate that arrives earlier waits for the record, and if
// this host crashes first, the duplicate is answered with `unknown`.
void OnceRunner::RecordOutcome(const Attempt& aAttempt,
                               const Outcome<HttpResponse>& aOutcome)
{
  const TimePoint until = TimerService::Now() + options_.recordTimeout_;
  if (!aOutcome && aOutcome.error().ran_ == RanState::kNo) {
    ledger_.Post(aAttempt.bucket_,
                 aAttempt.MakeOp(OnceOpKind::kRelease, until));
    return;
  }
  OnceOp op = aAttempt.MakeOp(OnceOpKind::kFinish, until);
  op.flushAt_ = TimerService::Now() + options_.recordBatchDelay_;
  const bool ran = aOutcome || aOutcome.error().ran_ == RanState::kYes;
  op.state_ = ran ? OnceState::kDone : OnceState::kOutcomeUnknown;
  if (aOutcome &&
      aOutcome.value().body_.size() <= options_.maxStoredResultBytes_) {
    op.result_ = EncodeResult(aOutcome.value());
  }
  ledger_.Post(aAttempt.bucket_, std::move(op));
}

Outcome<HttpResponse> OnceRunner::ResponseFor(const OnceReply& aReply) const
{
  constexpr milliseconds kRetryAfter{ 1000 };
  if (!aReply.committed_) {
    return Error{ .code_ = ResultCode::kOnceStoreUnavailable,
                  .retryAfter_ = kRetryAfter };
  }
  switch (aReply.beginResult_.beginStatus_) {
    case OnceBeginStatus::kReplay: {
      auto response = DecodeResult(aReply.beginResult_.result_);
      if (!response) {
        break;
      }
      metrics_.Count("gooseberrylift_once_replays_total");
      response->fields_.push_back({ "Idempotency-Replayed", "true" });
      return std::move(*response);
    }
    case OnceBeginStatus::kPending:
      return Error{ .code_ = ResultCode::kOncePending,
                    .ran_ = RanState::kUnknown,
                    .retryAfter_ = kRetryAfter };
    case OnceBeginStatus::kUnknown:
      return Error{ .code_ = ResultCode::kOnceUnknown,
                    .ran_ = RanState::kUnknown };
    case OnceBeginStatus::kKeyReused:
      return Error{ .code_ = ResultCode::kOnceKeyReused };
    case OnceBeginStatus::kBucketFull:
      return Error{ .code_ = ResultCode::kOnceBucketFull,
                    .retryAfter_ = std::chrono::minutes(1) };
    case OnceBeginStatus::kResultDropped:
    case OnceBeginStatus::kBegun:
      break;
  }
  return Error{ .code_ = ResultCode::kOnceResultDropped,
                .ran_ = RanState::kYes };
}

} // namespace gooseberrylift
