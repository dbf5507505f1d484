#include "gooseberrylift/internal/gooseberrylift-model-runner.h"

#include <algorithm>

#include "gooseberrylift/gooseberrylift-attempt-errors.h"
#include "gooseberrylift/gooseberrylift-json-text.h"
#include "gooseberrylift/gooseberrylift-sse.h"
#include "gooseberrylift/internal/gooseberrylift-failed-attempt.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"
#include "gooseberrylift/limits/gooseberrylift-started-response.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using nlohmann::json;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view kEndMarker = "[DONE]";
constexpr std::chrono::milliseconds kCancelTimeout{ 1000 };

// Longest gap between two tokens before an engine counts as hung. The longest
// step next to a prompt of a million tokens takes about 50 ms; 10 seconds also
// allow for an engine that preempts a sequence and resumes it.
constexpr std::chrono::milliseconds kTokenTimeout{ 10'000 };
// Of an event that has not ended.
constexpr std::size_t kMaxEventBytes = 256 * 1024;

asio::awaitable<void> SendCancel(HttpClient& aClient,
                                 std::string aAddress,
                                 std::string aRequestId)
{
  json body;
  body["request_id"] = aRequestId;
  HttpRequest request = MakeRequest("POST", "/v1/cancel", body.dump());
  co_await aClient.Fetch(std::move(aAddress),
                         std::move(request),
                         TimerService::Now() + kCancelTimeout);
}

// Cancels a request on its engine on every exit path, unless it is disarmed.
// This frees the engine's memory at once when a caller disconnects; an engine
// notices a closed connection only at its next write.
class CancelGuard
{
public:
  CancelGuard(HttpClient& aClient,
              asio::any_io_executor aExecutor,
              std::string aAddress,
              std::string aRequestId)
    : client_(aClient)
    , executor_(std::move(aExecutor))
    , address_(std::move(aAddress))
    , requestId_(std::move(aRequestId))
  {
  }

  ~CancelGuard()
  {
    if (!armed_) {
      return;
    }
    SpawnCleanup(executor_,
                 SendCancel(client_, std::move(address_), requestId_));
  }

  CancelGuard(const CancelGuard&) = delete;
  CancelGuard& operator=(const CancelGuard&) = delete;

  void Disarm() { armed_ = false; }

private:
  HttpClient& client_;
  asio::any_io_executor executor_;
  std::string address_;
  std::string requestId_;
  bool armed_ = true;
};

bool IsEndpointFault(ResultCode aCode)
{
  return aCode == ResultCode::kEndpointUnreachable ||
         aCode == ResultCode::kEndpointBroken ||
         aCode == ResultCode::kEndpointOverlong ||
         aCode == ResultCode::kEndpointCrossed ||
         aCode == ResultCode::kStreamCut;
}

// Maps the status of an engine's response to an error. An error status, 4xx
// included, counts as "not executed" only if the engine marks it so; otherwise
// the request may have run. A rejection that does not echo the request's id may
// belong to another request, so it does not prove that this one was not
// executed.
std::optional<Error> ErrorFromStatus(const HttpResponse& aHead,
                                     std::string_view aRequestId)
{
  if (aHead.status_ == 200) {
    return std::nullopt;
  }
  const bool notRun =
    aHead.Field("X-Not-Run") == "true" && IsResponseTo(aHead, aRequestId);
  return Error{ .code_ = notRun ? ResultCode::kEndpointRefused
                                : ResultCode::kEndpointBroken,
                .text_ = "the engine answered " + std::to_string(aHead.status_),
                .ran_ = notRun ? RanState::kNo : RanState::kUnknown,
                .retryAfter_ = RequestedRetryDelay(aHead) };
}

// Adds this host's fields to the caller's body. Where possible the fields are
// appended to the unparsed text, because serializing a prompt of several
// megabytes again costs more than the rest of this function.
std::string EngineBody(const Generation& aGeneration, const json& aOwn)
{
  if (aGeneration.text_.Text().empty()) {
    json body = aGeneration.body_;
    body.update(aOwn);
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
  }
  const std::string own = aOwn.dump();
  std::string text;
  const std::string& received = aGeneration.text_;
  text.reserve(received.size() + own.size());
  text.append(received, 0, received.rfind('}'));
  text += ',';
  text.append(own, 1);
  return text;
}

// Converts a timeout that expired before the caller's deadline to a fault of
// the engine, so that another engine is tried in the remaining time.
Error ErrorForStall(Error aError, TimePoint aDeadline)
{
  if (aError.code_ == ResultCode::kDeadlineExceeded &&
      TimerService::Now() < aDeadline) {
    aError.code_ = ResultCode::kEndpointBroken;
    aError.text_ = "the engine sent no token in time";
  }
  return aError;
}

// Builds the request for an engine, which resumes at the given token.
HttpRequest EngineRequest(const Generation& aGeneration,
                          std::uint64_t aNext,
                          int aPriority)
{
  json body;
  body["stream"] = true;
  body["request_id"] = aGeneration.requestId_;
  body["priority"] = aPriority;
  body["resume_from"] = aNext;
  return { .method_ = "POST",
           .target_ = aGeneration.target_,
           .fields_ = { { "Content-Type", "application/json" },
                        { "X-Request-Id", aGeneration.requestId_ } },
           .body_ = EngineBody(aGeneration, body) };
}

} // namespace

ModelRunner::ModelRunner(HttpClient& aClient,
                         asio::any_io_executor aExecutor,
                         PoolBroker& aBroker,
                         EndpointTracker& aTracker,
                         Metrics& aMetrics,
                         Options aOptions)
  : client_(aClient)
  , executor_(std::move(aExecutor))
  , broker_(aBroker)
  , tracker_(aTracker)
  , metrics_(aMetrics)
  , options_(aOptions)
{
}

asio::awaitable<Outcome<void>> ModelRunner::Run(Generation aGeneration,
                                                TokenSink& aSink,
                                                GenerationProgress& aProgress)
{
  AttemptErrors errors;
  // Only engines that may have run the request count towards the limit. An
  // unreachable engine costs little time, and after a crash several of them can
  // stay in the list until polls detect it. If they counted, a stream that lost
  // its engine and then tried two dead ones would fail although live engines
  // are left.
  Attempts attempts{ .limit_ = AttemptLimit(options_.attempts_),
                     .replacement_ = {} };
  while (attempts.limit_.AllowsAttempt(TimerService::Now()) &&
         (aProgress.next_ > 0 || aProgress.attempts_ < options_.maxEngines_)) {
    auto placement = co_await AcquireEngine(aGeneration, aProgress, attempts);
    if (!placement) {
      errors.OnRefused(placement.error());
      break;
    }
    const std::string name = placement.value().Endpoint().name_;
    ++aProgress.attempts_;
    const auto done = co_await Attempt(
      aGeneration, aProgress, attempts, placement.value(), aSink);
    if (done) {
      placement.value().Finish({ .succeeded_ = true });
      co_return boost::outcome_v2::success();
    }
    const Error& failure = done.error();
    errors.OnFailed(failure);
    placement.value().Finish(
      { .endpointAtFault_ = IsEndpointFault(failure.code_),
        .backoff_ = failure.retryAfter_.value_or(0ms) });
    if (aProgress.callerLeft_ ||
        failure.code_ == ResultCode::kDeadlineExceeded ||
        failure.code_ == ResultCode::kCallerLeft) {
      break;
    }
    const bool notExecuted = failure.ran_ == RanState::kNo;
    if (!notExecuted) {
      ++aProgress.startedAttempts_;
      attempts.limit_.OnFailed(aProgress.next_, TimerService::Now());
    }
    aProgress.failed_.insert(name);
    if (failure.code_ == ResultCode::kEndpointUnreachable) {
      tracker_.ReportFailure(name);
    }
    ReportFailedAttempt(metrics_, aGeneration.requestId_, name, failure);
    aGeneration.info_.excluded_.push_back(name);
    // The retry budget limits the load that retries add. An attempt that no
    // engine executed added none. A stream that has begun is exempt as well:
    // rejecting it would make the caller send the whole request again, which
    // costs more than the remainder.
    aGeneration.info_.exemptFromRetryBudget_ =
      aProgress.next_ > 0 || notExecuted;
  }
  co_return errors.FinalError();
}

// A response that has begun waits until the deadline, as its caller can't send
// the rest of it elsewhere.
asio::awaitable<Outcome<Placement>> ModelRunner::AcquireEngine(
  Generation& aGeneration,
  const GenerationProgress& aProgress,
  Attempts& aAttempts)
{
  if (aAttempts.replacement_) {
    Placement replacement = std::move(*aAttempts.replacement_);
    aAttempts.replacement_.reset();
    co_return std::move(replacement);
  }
  RequestInfo& info = aGeneration.info_;
  while (aProgress.next_ > 0) {
    info.placeBy_ = std::min(info.deadline_,
                             TimerService::Now() + options_.placementTimeout_);
    auto placement = co_await broker_.Acquire(aGeneration.pool_, info);
    if (placement || EndsStartedResponse(placement.error().code_)) {
      co_return placement;
    }
    // Allows a retry on an engine that only closed the stream.
    info.excluded_.clear();
    co_await TimerService::SleepFor(options_.placementRetryInterval_);
  }
  co_return co_await broker_.Acquire(aGeneration.pool_, info);
}

// Returns whether a call that timed out is read further. The call of a stream
// that has begun is given up only once another engine has a place for it, and
// only if another attempt is allowed.
asio::awaitable<bool> ModelRunner::KeepsWaiting(
  const Error& aError,
  const Generation& aGeneration,
  const GenerationProgress& aProgress,
  Attempts& aAttempts,
  const std::string& aEngine,
  HttpCall& aCall)
{
  const TimePoint now = TimerService::Now();
  RequestInfo info = aGeneration.info_;
  if (aError.code_ != ResultCode::kDeadlineExceeded || now >= info.deadline_ ||
      aProgress.next_ == 0) {
    co_return false;
  }
  AttemptLimit limit = aAttempts.limit_;
  limit.OnFailed(aProgress.next_, now);
  if (limit.AllowsAttempt(now)) {
    info.excluded_.push_back(aEngine);
    info.exemptFromRetryBudget_ = true;
    info.placeBy_ =
      std::min(info.deadline_, now + options_.placementRetryInterval_);
    auto placement = co_await broker_.Acquire(aGeneration.pool_, info);
    if (placement) {
      aAttempts.replacement_.emplace(std::move(placement.value()));
      co_return false;
    }
  }
  aCall.SetDeadline(std::min(
    info.deadline_, TimerService::Now() + options_.placementRetryInterval_));
  co_return true;
}

asio::awaitable<Outcome<void>> ModelRunner::Attempt(
  const Generation& aGeneration,
  GenerationProgress& aProgress,
  Attempts& aAttempts,
  Placement& aPlacement,
  TokenSink& aSink)
{
  const std::string& address = aPlacement.Endpoint().address_;
  CancelGuard cancel(client_, executor_, address, aGeneration.requestId_);
  const HttpClient::CallOptions options;
  const TimePoint deadline = aGeneration.info_.deadline_;
  const TimePoint firstTokenBy = aPlacement.FirstTokenBy(deadline);
  auto call = co_await client_.Send(
    address,
    EngineRequest(aGeneration, aProgress.next_, aPlacement.Priority()),
    firstTokenBy,
    options);
  if (!call) {
    co_return ErrorForStall(call.error(), deadline);
  }
  while (true) {
    const auto received = co_await call.value()->ReadHead();
    if (received) {
      break;
    }
    const bool waits = co_await KeepsWaiting(received.error(),
                                             aGeneration,
                                             aProgress,
                                             aAttempts,
                                             aPlacement.Endpoint().name_,
                                             *call.value());
    if (!waits) {
      co_return ErrorForStall(received.error(), deadline);
    }
  }
  const HttpResponse& head = call.value()->Head();
  if (head.Field("X-Endpoint-State") == "leaving" &&
      IsResponseTo(head, aGeneration.requestId_)) {
    tracker_.ReportLeaving(aPlacement.Endpoint().name_);
  }
  if (auto fault = ErrorFromStatus(head, aGeneration.requestId_)) {
    if (fault->ran_ == RanState::kNo) {
      cancel.Disarm();
    }
    co_return std::move(*fault);
  }
  const auto read = co_await ReadStream(
    aGeneration, aProgress, aAttempts, aPlacement, *call.value(), aSink);
  if (read) {
    cancel.Disarm();
    co_return read;
  }
  co_return ErrorForStall(read.error(), deadline);
}

asio::awaitable<Outcome<void>> ModelRunner::ReadStream(
  const Generation& aGeneration,
  GenerationProgress& aProgress,
  Attempts& aAttempts,
  Placement& aPlacement,
  HttpCall& aCall,
  TokenSink& aSink)
{
  SseParser parser;
  bool ended = false;
  while (true) {
    const std::uint64_t before = aProgress.next_;
    auto chunk = co_await aCall.ReadSome();
    // Bytes after the end marker are drained so that the connection can be
    // reused. An error there does not affect the response, which is complete.
    if (ended && (!chunk || !chunk.value())) {
      co_return boost::outcome_v2::success();
    }
    if (!chunk) {
      const bool waits = co_await KeepsWaiting(chunk.error(),
                                               aGeneration,
                                               aProgress,
                                               aAttempts,
                                               aPlacement.Endpoint().name_,
                                               aCall);
      if (waits) {
        continue;
      }
      co_return chunk.error();
    }
    if (!chunk.value()) {
      co_return Error{ .code_ = ResultCode::kStreamCut,
                       .ran_ = RanState::kYes };
    }
    parser.Feed(*chunk.value());
    while (auto data = parser.Next()) {
      if (*data == kEndMarker) {
        ended = true;
        break;
      }
      const auto taken =
        co_await HandleToken(aGeneration, aProgress, aPlacement, *data, aSink);
      if (!taken) {
        co_return taken.error();
      }
    }
    if (parser.Pending() > kMaxEventBytes) {
      co_return Error{ .code_ = ResultCode::kEndpointOverlong,
                       .text_ = "an event without an end",
                       .ran_ = RanState::kYes };
    }
    const bool reading = co_await aSink.Flush();
    if (!reading) {
      aProgress.callerLeft_ = true;
      co_return Error{ .code_ = ResultCode::kCallerLeft,
                       .ran_ = RanState::kYes };
    }
    // Bytes that complete no token don't extend the wait for one.
    if (aProgress.next_ > before) {
      aCall.SetDeadline(std::min(aGeneration.info_.deadline_,
                                 TimerService::Now() + kTokenTimeout));
    }
  }
}

asio::awaitable<Outcome<void>> ModelRunner::HandleToken(
  const Generation& aGeneration,
  GenerationProgress& aProgress,
  Placement& aPlacement,
  const std::string& aData,
  TokenSink& aSink)
{
  const json event = ParseJson(aData);
  const json choices = JsonFieldOr(event, "choices", json::array());
  if (choices.empty()) {
    co_return Error{ .code_ = ResultCode::kEndpointBroken,
                     .text_ =
                       "an event of the stream is not a completion chunk",
                     .ran_ = RanState::kYes };
  }
  // The engine echoes the request's id in every event. An event of another
  // request, late or misrouted, must not reach this caller.
  if (JsonFieldOr(event, "id", std::string()) != aGeneration.requestId_) {
    co_return Error{ .code_ = ResultCode::kEndpointCrossed,
                     .ran_ = RanState::kUnknown };
  }
  const std::uint64_t index =
    JsonFieldOr(event, "token_index", aProgress.next_);
  if (index < aProgress.next_) {
    // The engine resumed at an earlier token.
    co_return boost::outcome_v2::success();
  }
  if (index > aProgress.next_) {
    co_return Error{ .code_ = ResultCode::kEndpointBroken,
                     .text_ = "the stream skipped a token index",
                     .ran_ = RanState::kYes };
  }
  if (aProgress.next_++ == 0) {
    aPlacement.FirstToken();
    const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(
      TimerService::Now() - aGeneration.arrived_);
    metrics_.RecordFirstToken(
      aGeneration.info_.service_, aGeneration.info_.promptTokens_, elapsed);
  }
  const json& choice = choices.front();
  const auto reason = JsonFieldOr(choice, "finish_reason", std::string());
  const json delta = JsonFieldOr(choice, "delta", json::object());
  const TokenEvent token{ .index_ = index,
                          .text_ =
                            choice.contains("delta")
                              ? JsonFieldOr(delta, "content", std::string())
                              : JsonFieldOr(choice, "text", std::string()),
                          .finishReason_ = reason,
                          .raw_ = aData };
  const bool taken = co_await aSink.OnToken(token);
  if (!taken) {
    aProgress.callerLeft_ = true;
    co_return Error{ .code_ = ResultCode::kCallerLeft, .ran_ = RanState::kYes };
  }
  co_return boost::outcome_v2::success();
}

} // namespace gooseberrylift
