// The part of RequestRun that reads an endpoint's response and forwards it to
// the caller.

#include "gooseberrylift/internal/gooseberrylift-request-run.h"

#include <algorithm>

#include "gooseberrylift-request-errors.h"
#include "gooseberrylift/internal/gooseberrylift-peer-rpc.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"
#include "gooseberrylift/limits/gooseberrylift-stall-timeout.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::microseconds;

bool RequestRun::IsStream(const RequestAttempt& aAttempt) const
{
  return request_.route_->kind_ == RouteKind::kStreaming &&
         aAttempt.call_->Head().status_ == 200;
}

// Returns the error of a response that is not a stream although the caller has
// a part of one.
std::optional<Error> RequestRun::CheckContinues(
  const RequestAttempt& aAttempt) const
{
  if (!streamStarted_) {
    return std::nullopt;
  }
  return MakeBrokenError("status " +
                         std::to_string(aAttempt.call_->Head().status_) +
                         " for the rest of a stream");
}

// Reads a response and forwards it to the caller.
asio::awaitable<Outcome<void>> RequestRun::ForwardResponse(
  RequestAttempt& aAttempt)
{
  while (!aAttempt.headRead_) {
    const auto read = co_await Read(aAttempt);
    if (!read) {
      co_return read;
    }
  }
  if (IsStream(aAttempt)) {
    co_return co_await ForwardStream(aAttempt);
  }
  if (const auto error = CheckContinues(aAttempt)) {
    co_return *error;
  }
  co_return co_await ForwardBuffered(aAttempt);
}

// Reads the next part of a response. If it stalls, it is replaced or goes on.
// Bytes of a stream that complete no event are no part, so that an endpoint
// that sends such bytes without end stalls.
asio::awaitable<Outcome<void>> RequestRun::Read(RequestAttempt& aAttempt)
{
  aAttempt.call_->SetDeadline(
    aAttempt.isBeingReplaced_ ? request_.deadline_ : StallDeadline(aAttempt));
  const std::size_t partsBefore = aAttempt.parts_;
  while (aAttempt.parts_ == partsBefore) {
    const auto read = co_await ReadPart(aAttempt);
    if (read) {
      continue;
    }
    if (!IsStallTimeout(read.error())) {
      co_return read;
    }
    co_await OnStallTimeout(aAttempt);
    if (replacement_) {
      co_return MakeStallError();
    }
    if (aAttempt.failure_) {
      co_return *aAttempt.failure_;
    }
  }
  co_return boost::outcome_v2::success();
}

asio::awaitable<Outcome<void>> RequestRun::ReadPart(RequestAttempt& aAttempt)
{
  if (!aAttempt.headRead_) {
    co_return co_await ReadHead(aAttempt);
  }
  auto chunk = co_await aAttempt.call_->ReadSome();
  if (!chunk) {
    co_return chunk.error();
  }
  if (chunk.value() && IsStream(aAttempt)) {
    co_return OnStreamData(aAttempt, *chunk.value());
  }
  OnPart(aAttempt);
  if (chunk.value()) {
    aAttempt.body_ += *chunk.value();
  } else {
    aAttempt.ended_ = true;
  }
  co_return boost::outcome_v2::success();
}

asio::awaitable<Outcome<void>> RequestRun::ReadHead(RequestAttempt& aAttempt)
{
  HttpCall& call = *aAttempt.call_;
  const auto read = co_await call.ReadHead();
  if (!read) {
    co_return read.error();
  }
  if (const auto rejection = ValidateHead(call.Head(), aAttempt.Target())) {
    co_return *rejection;
  }
  IdentifyResponder(aAttempt);
  // The head of a stream may be sent while the prompt is still being read.
  const bool begins = request_.route_->kind_ != RouteKind::kStreaming;
  OnPart(aAttempt);
  aAttempt.headRead_ = true;
  aAttempt.Target().OnDataReceived(begins);
  if (begins) {
    RecordAnswerData(aAttempt);
  }
  co_return boost::outcome_v2::success();
}

// Records which endpoint responds to a relayed request.
void RequestRun::IdentifyResponder(RequestAttempt& aAttempt)
{
  if (!aAttempt.relay_) {
    return;
  }
  aAttempt.relayedTo_ = PeerRpc::ResponderOf(aAttempt.call_->Head());
  if (!aAttempt.relayedTo_.empty()) {
    used_.OnIdentified(aAttempt.relayedTo_, FailedEndpoints());
  }
}

void RequestRun::OnPart(RequestAttempt& aAttempt)
{
  ++aAttempt.parts_;
  aAttempt.isStalled_ = false;
}

Outcome<void> RequestRun::OnStreamData(RequestAttempt& aAttempt,
                                       const std::string& aData)
{
  RecordAnswerData(aAttempt);
  aAttempt.splitter_.Feed(aData);
  bool isPart = !aAttempt.bodyBegun_;
  while (auto event = aAttempt.splitter_.Next()) {
    aAttempt.events_.push_back(std::move(*event));
    isPart = true;
  }
  if (isPart) {
    OnPart(aAttempt);
    aAttempt.Target().OnDataReceived(!aAttempt.bodyBegun_);
    aAttempt.bodyBegun_ = true;
    if (aAttempt.relay_) {
      parts_.fleet_.Loads().With(request_.service_, [](ServiceLoad& aLoad) {
        aLoad.load_.RecordData(TimerService::Now());
      });
    }
  }
  if (aAttempt.splitter_.Pending() > kMaxBufferedBytes) {
    return MakeOverlongError("an event without an end");
  }
  return boost::outcome_v2::success();
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
// leaves, is not meant or states a rate limit has another reason.
void RequestRun::RecordRejection(const EndpointResponseMetadata& aFacts,
                                 const Fleet::ActiveRequest& aActiveRequest)
{
  const FleetPlacement& placement = aActiveRequest.Placement();
  const EndpointNotice& notice = aFacts.notice_;
  if (aFacts.misdirected_ || notice.leaving_ ||
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

asio::awaitable<Outcome<void>> RequestRun::ForwardBuffered(
  RequestAttempt& aAttempt)
{
  while (!aAttempt.ended_) {
    const std::uint64_t buffered = aAttempt.body_.capacity();
    if (buffered > kMaxBufferedBytes || !exchange_.TryHoldMemory(buffered)) {
      const bool failed = aAttempt.call_->Head().status_ >= 500;
      if (failed && MayRetryElsewhere(aAttempt) && TryReserveRetry()) {
        co_return MakeOverlongError("a failure with a body over the limit");
      }
      co_return co_await ForwardUnbuffered(aAttempt);
    }
    const auto read = co_await Read(aAttempt);
    if (!read) {
      co_return read;
    }
  }
  HttpResponse answer = MakeHead(aAttempt);
  answer.body_ = std::move(aAttempt.body_);
  const bool failed = answer.status_ >= 500;
  if (failed && MayRetryElsewhere(aAttempt) && TryReserveRetry()) {
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
  RequestAttempt& aAttempt)
{
  HttpCall& call = *aAttempt.call_;
  bool open = co_await EnsureStreamStarted(aAttempt);
  if (open) {
    open = co_await exchange_.Write(aAttempt.body_);
  }
  while (open) {
    call.SetDeadline(request_.deadline_);
    auto chunk = co_await call.ReadSome();
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

asio::awaitable<Outcome<void>> RequestRun::ForwardStream(
  RequestAttempt& aAttempt)
{
  HttpCall& call = *aAttempt.call_;
  while (true) {
    auto events = TakeEvents(aAttempt);
    if (!events) {
      co_return events.error();
    }
    const auto written =
      co_await WriteEvents(aAttempt, std::move(events.value()));
    if (!written) {
      co_return written.error();
    }
    if (aAttempt.ended_) {
      break;
    }
    const auto read = co_await Read(aAttempt);
    if (!read) {
      co_return read;
    }
  }
  if (aAttempt.splitter_.Pending() > 0) {
    co_return MakeBrokenError("the stream ended within an event");
  }
  const bool mayBeCut =
    !call.HasExplicitEnd() && request_.route_->IsRepeatable();
  if (mayBeCut) {
    const bool exited = co_await aAttempt.Target().HasExited();
    if (exited) {
      co_return MakeBrokenError("the endpoint exited as the stream ended");
    }
  }
  // An empty stream is valid, for instance when the caller resumes a stream of
  // which it already has all events.
  bool open = co_await EnsureStreamStarted(aAttempt);
  if (open) {
    open = co_await exchange_.Finish();
  }
  if (!open) {
    co_return MakeError(ResultCode::kCallerLeft);
  }
  co_return boost::outcome_v2::success();
}

// Returns the received events, without duplicates. Fails if an event is
// missing.
Outcome<std::string> RequestRun::TakeEvents(RequestAttempt& aAttempt)
{
  std::string events;
  while (!aAttempt.events_.empty()) {
    const StreamEvent event = std::move(aAttempt.events_.front());
    aAttempt.events_.pop_front();
    switch (events_.Take(event)) {
      case EventSequence::Verdict::kPass:
        events += event.bytes_;
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
  const RequestAttempt& aAttempt,
  std::string aEvents)
{
  if (aEvents.empty()) {
    co_return boost::outcome_v2::success();
  }
  bool open = co_await EnsureStreamStarted(aAttempt);
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
asio::awaitable<bool> RequestRun::EnsureStreamStarted(
  const RequestAttempt& aAttempt)
{
  if (streamStarted_) {
    co_return true;
  }
  streamStarted_ = true;
  RecordResponseStart(aAttempt.call_->Head().status_);
  co_return co_await exchange_.StartStream(MakeHead(aAttempt));
}

// Creates the head for the caller. A host that relayed the request is told the
// endpoint, since it counts those that received the request.
HttpResponse RequestRun::MakeHead(const RequestAttempt& aAttempt) const
{
  HttpResponse head =
    parts_.dialect_.MakeCallerResponse(aAttempt.call_->Head());
  PeerRpc::SetResponder(request_.relay_ ? aAttempt.EndpointId() : "", head);
  return head;
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
