// How a request run reads an endpoint's answer and passes it on to the caller.

#include "gooseberrylift/internal/gooseberrylift-request-run.h"

#include <algorithm>

#include "gooseberrylift-request-errors.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"
#include "gooseberrylift/limits/gooseberrylift-stall-timeout.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::microseconds;

namespace {

// An endpoint's answer is held back up to this size, so that one that breaks
// off can still be fetched elsewhere; what is larger is passed on as it comes.
constexpr std::size_t kHeldBytes = 256 * 1024;

// How soon a silent endpoint is looked at again: four times in the half of a
// caller's patience that is left then.
constexpr std::chrono::milliseconds kLookAgain{ 250 };

Error SilentError()
{
  return { .code_ = ResultCode::kEndpointSilent, .ran_ = RanState::kUnknown };
}

} // namespace

// Gives when the endpoint has been silent for too long, from now on.
TimePoint RequestRun::SilentAt() const
{
  return std::min(request_.deadline_,
                  TimerService::Now() + EndpointStallTimeout(*request_.route_));
}

// Tells a silence that may be borne on from the request's deadline.
bool RequestRun::IsSilence(const Error& aError) const
{
  return aError.code_ == ResultCode::kDeadlineExceeded &&
         TimerService::Now() < request_.deadline_;
}

TimePoint RequestRun::LookAgainAt() const
{
  return std::min(request_.deadline_, TimerService::Now() + kLookAgain);
}

// Says whether a request is to be taken from an endpoint that has been silent
// to it for too long, and pays for that.
bool RequestRun::LeavesSilent(const Fleet::ActiveRequest& aActiveRequest)
{
  return IsRequestStalled(aActiveRequest.CurrentActivity(),
                          EndpointStallTimeout(*request_.route_)) &&
         MayLeave() && PayRepeat();
}

asio::awaitable<Outcome<void>> RequestRun::ReadHead(
  HttpCall& aCall,
  Fleet::ActiveRequest& aActiveRequest)
{
  aCall.SetDeadline(SilentAt());
  auto read = co_await aCall.ReadHead();
  while (!read && IsSilence(read.error())) {
    if (LeavesSilent(aActiveRequest)) {
      co_return SilentError();
    }
    aCall.SetDeadline(LookAgainAt());
    read = co_await aCall.ReadHead();
  }
  if (!read) {
    co_return read.error();
  }
  if (const auto fault = CheckHead(aCall.Head(), aActiveRequest)) {
    co_return *fault;
  }
  aActiveRequest.OnDataReceived(request_.route_->kind_ !=
                                RouteKind::kStreaming);
  co_return boost::outcome_v2::success();
}

// Takes in an endpoint's rate limit. Another incarnation's answer says nothing
// of this one, and one that nobody signed may not end a limit.
void RequestRun::NoteRate(const EndpointResponseMetadata& aFacts,
                          const Fleet::ActiveRequest& aActiveRequest)
{
  const bool isNamed =
    aFacts.advertisedRateLimit_.kind_ == AdvertisedRateLimit::Kind::kSpecified;
  if (!aFacts.instanceReplaced_ && (isNamed || aFacts.hasResponseStamp_)) {
    parts_.limiter_.OnAnswer(
      aActiveRequest.Placement().endpoint_.IncarnationId(),
      aFacts.advertisedRateLimit_,
      aActiveRequest.SentAt());
  }
}

// What the head of an answer must show before anything it says is believed.
std::optional<Error> RequestRun::CheckHead(
  const HttpResponse& aHead,
  const Fleet::ActiveRequest& aActiveRequest)
{
  const FleetPlacement& placement = aActiveRequest.Placement();
  const EndpointResponseMetadata facts =
    parts_.dialect_.ParseEndpointResponse(aHead);
  // A late answer to an earlier request looks like one to this; its refusal
  // would prove nothing about this one.
  if (facts.attemptId_ != request_.facts_.attemptId_) {
    return Error{ .code_ = ResultCode::kEndpointCrossed,
                  .text_ = "answer to '" + facts.attemptId_ + "'",
                  .ran_ = RanState::kUnknown };
  }
  NoteRate(facts, aActiveRequest);
  if (facts.instanceReplaced_) {
    parts_.fleet_.WithDirectory([&](EndpointDirectory& aDirectory) {
      aDirectory.OnReplaced(placement.endpoint_.id_);
    });
  }
  if (facts.notExecuted_) {
    // The next try must not ask the same helper again.
    for (const ListedEndpoint& helper : placement.helpers_) {
      if (helper.address_ == facts.failedHelperAddress_) {
        tried_.insert(helper.id_);
      }
    }
    return Error{ .code_ = ResultCode::kEndpointRefused,
                  .text_ = "status " + std::to_string(aHead.status_) +
                           (facts.failedHelperAddress_.empty()
                              ? ""
                              : " at " + facts.failedHelperAddress_),
                  .retryAfter_ = RetrySoon() };
  }
  if (!facts.hasResponseStamp_) {
    return Broken("an answer without the endpoint's signature");
  }
  if (!aHead.Field("Content-Encoding").empty()) {
    return Broken("an encoded answer that nobody asked for");
  }
  return std::nullopt;
}

asio::awaitable<Outcome<std::optional<std::string>>> RequestRun::ReadPiece(
  HttpCall& aCall,
  const Fleet::ActiveRequest& aActiveRequest)
{
  aCall.SetDeadline(SilentAt());
  auto piece = co_await aCall.ReadSome();
  while (!piece && IsSilence(piece.error())) {
    if (LeavesSilent(aActiveRequest)) {
      co_return SilentError();
    }
    aCall.SetDeadline(LookAgainAt());
    piece = co_await aCall.ReadSome();
  }
  co_return piece;
}

asio::awaitable<Outcome<void>> RequestRun::PassWhole(
  HttpCall& aCall,
  const Fleet::ActiveRequest& aActiveRequest)
{
  HttpResponse answer = parts_.dialect_.MakeCallerResponse(aCall.Head());
  while (true) {
    auto piece = co_await ReadPiece(aCall, aActiveRequest);
    if (!piece) {
      co_return piece.error();
    }
    if (!piece.value()) {
      break;
    }
    answer.body_ += *piece.value();
    if (answer.body_.size() > kHeldBytes) {
      co_return co_await PassLarge(aCall, std::move(answer.body_));
    }
  }
  const bool failed = answer.status_ >= 500;
  if (failed && MayLeave() && PayRepeat()) {
    const std::string text = "status " + std::to_string(answer.status_);
    kept_ = std::move(answer);
    co_return Error{ .code_ = ResultCode::kEndpointFailed,
                     .text_ = text,
                     .ran_ = RanState::kYes };
  }
  NoteAnswer(answer.status_);
  const bool sent = co_await exchange_.Send(std::move(answer));
  if (!sent) {
    co_return MakeError(ResultCode::kCallerLeft);
  }
  co_return boost::outcome_v2::success();
}

asio::awaitable<Outcome<void>> RequestRun::PassLarge(HttpCall& aCall,
                                                     std::string aBegin)
{
  streaming_ = true;
  NoteAnswer(aCall.Head().status_);
  bool open = co_await exchange_.StartStream(
    parts_.dialect_.MakeCallerResponse(aCall.Head()));
  if (open) {
    open = co_await exchange_.Write(aBegin);
  }
  while (open) {
    aCall.SetDeadline(request_.deadline_);
    auto piece = co_await aCall.ReadSome();
    if (!piece) {
      co_return piece.error();
    }
    if (!piece.value()) {
      co_await exchange_.Finish();
      co_return boost::outcome_v2::success();
    }
    open = co_await exchange_.Write(*piece.value());
  }
  co_return MakeError(ResultCode::kCallerLeft);
}

asio::awaitable<Outcome<void>> RequestRun::PassStream(
  HttpCall& aCall,
  Fleet::ActiveRequest& aActiveRequest)
{
  EventSplitter splitter;
  bool first = true;
  while (true) {
    auto piece = co_await ReadPiece(aCall, aActiveRequest);
    if (!piece) {
      co_return piece.error();
    }
    if (!piece.value()) {
      break;
    }
    aActiveRequest.OnDataReceived(first);
    first = false;
    splitter.Feed(*piece.value());
    auto events = TakeEvents(splitter);
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
    co_return Broken("the stream ended within an event");
  }
  // A stream without events may be the proper end of one that the caller goes
  // on with.
  bool open = co_await OpenStream(aCall.Head());
  if (open) {
    open = co_await exchange_.Finish();
  }
  if (!open) {
    co_return MakeError(ResultCode::kCallerLeft);
  }
  co_return boost::outcome_v2::success();
}

// Gives the whole events that have come, as far as they follow each other.
Outcome<std::string> RequestRun::TakeEvents(EventSplitter& aSplitter)
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
        return Broken("an event of the stream is missing");
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
  bool open = co_await OpenStream(aHead);
  NotePiece();
  if (open) {
    open = co_await exchange_.Write(aEvents);
  }
  if (!open) {
    co_return MakeError(ResultCode::kCallerLeft);
  }
  co_return boost::outcome_v2::success();
}

// Sends the head, but for a stream that another engine has begun.
asio::awaitable<bool> RequestRun::OpenStream(const HttpResponse& aHead)
{
  if (streaming_) {
    co_return true;
  }
  streaming_ = true;
  NoteAnswer(aHead.status_);
  co_return co_await exchange_.StartStream(
    parts_.dialect_.MakeCallerResponse(aHead));
}

asio::awaitable<Outcome<void>> RequestRun::SendKept()
{
  NoteAnswer(kept_->status_);
  const bool sent = co_await exchange_.Send(std::move(*kept_));
  if (!sent) {
    co_return MakeError(ResultCode::kCallerLeft);
  }
  co_return boost::outcome_v2::success();
}

} // namespace gooseberrylift
