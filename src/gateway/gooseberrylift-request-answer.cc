// The part of RequestRun that reads an endpoint's response and forwards it to
// the caller.

#include "gooseberrylift/internal/gooseberrylift-request-run.h"

#include <algorithm>

#include "gooseberrylift-request-errors.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"
#include "gooseberrylift/limits/gooseberrylift-stall-timeout.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::microseconds;

namespace {

// Responses up to this size are buffered, so that the request can still be
// retried at another endpoint if the response breaks off. Larger ones are
// forwarded as they arrive.
constexpr std::size_t kMaxBufferedBytes = 256 * 1024;

// Interval at which a silent endpoint is checked again after its stall timeout:
// four times in the half of the caller's stall timeout that is then left.
constexpr std::chrono::milliseconds kStallCheckInterval{ 250 };

Error MakeStallError()
{
  return { .code_ = ResultCode::kEndpointSilent, .ran_ = RanState::kUnknown };
}

} // namespace

// Returns when the endpoint exceeds its stall timeout if it stays silent from
// now on.
TimePoint RequestRun::StallDeadline() const
{
  return std::min(request_.deadline_,
                  TimerService::Now() + EndpointStallTimeout(*request_.route_));
}

// Distinguishes a stall timeout, after which waiting may continue, from the
// request's deadline.
bool RequestRun::IsStallTimeout(const Error& aError) const
{
  return aError.code_ == ResultCode::kDeadlineExceeded &&
         TimerService::Now() < request_.deadline_;
}

TimePoint RequestRun::NextStallCheck() const
{
  return std::min(request_.deadline_,
                  TimerService::Now() + kStallCheckInterval);
}

// Returns whether to abandon the attempt at a stalled endpoint in favor of
// another one. If so, charges the retry budget.
bool RequestRun::TryAbandonStalled(const AttemptTarget& aTarget)
{
  if (!aTarget.IsStalled()) {
    return false;
  }
  const bool mayRetry = MayRetryElsewhere();
  const bool abandons = mayRetry && TryReserveRetry();
  LogStalled(aTarget,
             abandons ? "replace"
                      : (mayRetry ? "retry-denied" : "no-attempt-left"));
  return abandons;
}

void RequestRun::LogStalled(const AttemptTarget& aTarget,
                            std::string_view aDecision) const
{
  const EndpointActivity activity = aTarget.Activity();
  Log(LogEvent::kAttemptStalled,
      { { "request_id", request_.facts_.attemptId_ },
        { "target", aTarget.Name() },
        { "decision", aDecision },
        { "last_event", events_.Last().value_or(0) },
        { "silent_ms", activity.requestSilence_.count() },
        { "silent_to_host_ms", activity.hostSilence_.count() },
        { "silent_to_peers_ms",
          activity.peerSilence_ ? activity.peerSilence_->count() : -1 },
        { "overtaken", activity.overtaken_ },
        { "backlog_ms", activity.backlog_.count() },
        { "running", activity.running_ },
        { "send", sends_ } });
}

// Reads a response and forwards it to the caller.
asio::awaitable<Outcome<void>> RequestRun::ForwardResponse(
  HttpCall& aCall,
  AttemptTarget& aTarget)
{
  auto done = co_await ReadHead(aCall, aTarget);
  if (!done) {
    co_return done;
  }
  const bool streams = request_.route_->kind_ == RouteKind::kStreaming &&
                       aCall.Head().status_ == 200;
  if (streams) {
    co_return co_await ForwardStream(aCall, aTarget);
  }
  if (streamStarted_) {
    co_return MakeBrokenError("status " + std::to_string(aCall.Head().status_) +
                              " for the rest of a stream");
  }
  co_return co_await ForwardBuffered(aCall, aTarget);
}

asio::awaitable<Outcome<void>> RequestRun::ReadHead(HttpCall& aCall,
                                                    AttemptTarget& aTarget)
{
  aCall.SetDeadline(StallDeadline());
  auto read = co_await aCall.ReadHead();
  while (!read && IsStallTimeout(read.error())) {
    if (TryAbandonStalled(aTarget)) {
      co_return MakeStallError();
    }
    aCall.SetDeadline(NextStallCheck());
    read = co_await aCall.ReadHead();
  }
  if (!read) {
    co_return read.error();
  }
  if (const auto rejection = ValidateHead(aCall.Head(), aTarget)) {
    co_return *rejection;
  }
  // The head of a stream may be sent while the prompt is still being read.
  const bool begins = request_.route_->kind_ != RouteKind::kStreaming;
  aTarget.OnDataReceived(begins);
  if (begins) {
    RecordAnswerData();
  }
  co_return boost::outcome_v2::success();
}

// Checks the head of a response before its content is trusted.
std::optional<Error> RequestRun::ValidateHead(const HttpResponse& aHead,
                                              AttemptTarget& aTarget)
{
  if (auto error = aTarget.FindError(aHead)) {
    return error;
  }
  const EndpointResponseMetadata facts =
    parts_.dialect_.ParseEndpointResponse(aHead);
  // A late response to an earlier request could be mistaken for this one's. A
  // refusal in it would not prove that this request has not run.
  if (facts.attemptId_ != request_.facts_.attemptId_) {
    return Error{ .code_ = ResultCode::kEndpointCrossed,
                  .text_ = "answer to '" + facts.attemptId_ + "'",
                  .ran_ = RanState::kUnknown };
  }
  if (facts.notExecuted_) {
    aTarget.OnNotExecuted(facts);
    return Error{ .code_ = ResultCode::kEndpointRefused,
                  .text_ = "status " + std::to_string(aHead.status_) +
                           (facts.failedHelperAddress_.empty()
                              ? ""
                              : " at " + facts.failedHelperAddress_),
                  .retryAfter_ = RandomRetryDelay() };
  }
  if (!facts.hasResponseStamp_) {
    return MakeBrokenError("an answer without the endpoint's signature");
  }
  if (!aHead.Field("Content-Encoding").empty()) {
    return MakeBrokenError("an encoded answer that nobody asked for");
  }
  return std::nullopt;
}

void RequestRun::OnNotExecuted(const EndpointResponseMetadata& aFacts,
                               const Fleet::ActiveRequest& aActiveRequest)
{
  RecordRejection(aFacts, aActiveRequest);
  // The next attempt must not use the same helper again.
  for (const ListedEndpoint& helper : aActiveRequest.Placement().helpers_) {
    if (helper.address_ == aFacts.failedHelperAddress_) {
      tried_.insert(helper.id_);
    }
  }
}

// Counts the rejection at the endpoint or helper that is full. An endpoint that
// leaves, was replaced or states a rate limit has another reason.
void RequestRun::RecordRejection(const EndpointResponseMetadata& aFacts,
                                 const Fleet::ActiveRequest& aActiveRequest)
{
  const FleetPlacement& placement = aActiveRequest.Placement();
  const EndpointNotice& notice = aFacts.notice_;
  if (aFacts.instanceReplaced_ || notice.leaving_ ||
      notice.rateLimit_.kind_ == AdvertisedRateLimit::Kind::kSpecified) {
    return;
  }
  ListedEndpoint full = placement.endpoint_;
  if (!aFacts.failedHelperAddress_.empty()) {
    const auto helper =
      std::find_if(placement.helpers_.begin(),
                   placement.helpers_.end(),
                   [&aFacts](const ListedEndpoint& aHelper) {
                     return aHelper.address_ == aFacts.failedHelperAddress_;
                   });
    if (helper == placement.helpers_.end()) {
      return;
    }
    full = *helper;
  }
  const bool isNews = parts_.fleet_.Loads().OnRejected(
    full, aActiveRequest.SentAt(), TimerService::Now());
  if (isNews || notice.backoff_.kind_ == RequestedBackoff::Kind::kSpecified) {
    parts_.loadExchange_.OnPressureBegan(full);
  }
}

asio::awaitable<Outcome<std::optional<std::string>>> RequestRun::ReadChunk(
  HttpCall& aCall,
  const AttemptTarget& aTarget)
{
  aCall.SetDeadline(StallDeadline());
  auto chunk = co_await aCall.ReadSome();
  while (!chunk && IsStallTimeout(chunk.error())) {
    if (TryAbandonStalled(aTarget)) {
      co_return MakeStallError();
    }
    aCall.SetDeadline(NextStallCheck());
    chunk = co_await aCall.ReadSome();
  }
  co_return chunk;
}

asio::awaitable<Outcome<void>> RequestRun::ForwardBuffered(
  HttpCall& aCall,
  const AttemptTarget& aTarget)
{
  HttpResponse answer = parts_.dialect_.MakeCallerResponse(aCall.Head());
  while (true) {
    auto chunk = co_await ReadChunk(aCall, aTarget);
    if (!chunk) {
      co_return chunk.error();
    }
    if (!chunk.value()) {
      break;
    }
    answer.body_ += *chunk.value();
    if (answer.body_.size() > kMaxBufferedBytes) {
      co_return co_await ForwardUnbuffered(aCall, std::move(answer.body_));
    }
  }
  const bool failed = answer.status_ >= 500;
  if (failed && MayRetryElsewhere() && TryReserveRetry()) {
    const std::string text = "status " + std::to_string(answer.status_);
    savedFailure_ = std::move(answer);
    co_return Error{ .code_ = ResultCode::kEndpointFailed,
                     .text_ = text,
                     .ran_ = RanState::kYes };
  }
  RecordResponseStart(answer.status_);
  const bool sent = co_await exchange_.Send(std::move(answer));
  if (!sent) {
    co_return MakeError(ResultCode::kCallerLeft);
  }
  co_return boost::outcome_v2::success();
}

asio::awaitable<Outcome<void>> RequestRun::ForwardUnbuffered(
  HttpCall& aCall,
  std::string aBuffered)
{
  streamStarted_ = true;
  RecordResponseStart(aCall.Head().status_);
  bool open = co_await exchange_.StartStream(
    parts_.dialect_.MakeCallerResponse(aCall.Head()));
  if (open) {
    open = co_await exchange_.Write(aBuffered);
  }
  while (open) {
    aCall.SetDeadline(request_.deadline_);
    auto chunk = co_await aCall.ReadSome();
    if (!chunk) {
      co_return chunk.error();
    }
    if (!chunk.value()) {
      co_await exchange_.Finish();
      co_return boost::outcome_v2::success();
    }
    open = co_await exchange_.Write(*chunk.value());
  }
  co_return MakeError(ResultCode::kCallerLeft);
}

asio::awaitable<Outcome<void>> RequestRun::ForwardStream(HttpCall& aCall,
                                                         AttemptTarget& aTarget)
{
  EventSplitter splitter;
  bool first = true;
  while (true) {
    auto chunk = co_await ReadChunk(aCall, aTarget);
    if (!chunk) {
      co_return chunk.error();
    }
    if (!chunk.value()) {
      break;
    }
    aTarget.OnDataReceived(first);
    RecordAnswerData();
    first = false;
    splitter.Feed(*chunk.value());
    auto events = ParseEvents(splitter);
    if (!events) {
      co_return events.error();
    }
    auto written =
      co_await WriteEvents(aCall.Head(), std::move(events.value()));
    if (!written) {
      co_return written.error();
    }
  }
  if (splitter.Pending() > 0) {
    co_return MakeBrokenError("the stream ended within an event");
  }
  if (!aCall.HasExplicitEnd() && request_.route_->IsRepeatable() &&
      co_await aTarget.HasExited()) {
    co_return MakeBrokenError("the endpoint exited as the stream ended");
  }
  // An empty stream is valid, for instance when the caller resumes a stream of
  // which it already has all events.
  bool open = co_await EnsureStreamStarted(aCall.Head());
  if (open) {
    open = co_await exchange_.Finish();
  }
  if (!open) {
    co_return MakeError(ResultCode::kCallerLeft);
  }
  co_return boost::outcome_v2::success();
}

// Returns the complete events received so far, without duplicates. Fails if an
// event is missing.
Outcome<std::string> RequestRun::ParseEvents(EventSplitter& aSplitter)
{
  std::string events;
  while (auto event = aSplitter.Next()) {
    switch (events_.Take(*event)) {
      case EventSequence::Verdict::kPass:
        events += event->bytes_;
        break;
      case EventSequence::Verdict::kDuplicate:
        break;
      case EventSequence::Verdict::kGap:
        return MakeBrokenError("an event of the stream is missing");
    }
  }
  return events;
}

asio::awaitable<Outcome<void>> RequestRun::WriteEvents(
  const HttpResponse& aHead,
  std::string aEvents)
{
  if (aEvents.empty()) {
    co_return boost::outcome_v2::success();
  }
  bool open = co_await EnsureStreamStarted(aHead);
  RecordStreamChunk();
  if (open) {
    open = co_await exchange_.Write(aEvents);
  }
  if (!open) {
    co_return MakeError(ResultCode::kCallerLeft);
  }
  co_return boost::outcome_v2::success();
}

// Sends the head of the response, unless it was already sent for an earlier
// attempt.
asio::awaitable<bool> RequestRun::EnsureStreamStarted(const HttpResponse& aHead)
{
  if (streamStarted_) {
    co_return true;
  }
  streamStarted_ = true;
  RecordResponseStart(aHead.status_);
  co_return co_await exchange_.StartStream(
    parts_.dialect_.MakeCallerResponse(aHead));
}

asio::awaitable<Outcome<void>> RequestRun::SendSavedFailure()
{
  RecordResponseStart(savedFailure_->status_);
  const bool sent = co_await exchange_.Send(std::move(*savedFailure_));
  if (!sent) {
    co_return MakeError(ResultCode::kCallerLeft);
  }
  co_return boost::outcome_v2::success();
}

} // namespace gooseberrylift
