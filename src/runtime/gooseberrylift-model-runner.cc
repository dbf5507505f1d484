#include "gooseberrylift/internal/gooseberrylift-model-runner.h"

#include <algorithm>

#include "gooseberrylift/gooseberrylift-attempt-errors.h"
#include "gooseberrylift/gooseberrylift-sse.h"
#include "gooseberrylift/internal/gooseberrylift-failed-attempt.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr std::string_view kEndMarker = "[DONE]";
constexpr std::chrono::milliseconds kCancelTimeout{ 1000 };

// An engine that hangs in the midst of an answer is left after this long. The
// longest step beside a prompt of a million tokens takes some 50 ms; ten
// seconds let an engine put a sequence aside for others and resume it.
constexpr std::chrono::milliseconds kTokenSilence{ 10'000 };

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

// Tells an engine to drop a request, unless it finished. It runs on every way
// out, so that a caller's leaving frees the engine's memory at once; closing
// the connection alone would leave the engine to notice at its next write.
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
         aCode == ResultCode::kEndpointCrossed ||
         aCode == ResultCode::kStreamCut;
}

// What an engine's status means. A 4xx is the caller's fault or a true "not
// run"; either way another engine is tried only for the second. A refusal that
// does not echo the request may be another's, and proves nothing.
std::optional<Error> FaultOfHead(const HttpResponse& aHead,
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
                .ran_ = notRun ? RanState::kNo : RanState::kUnknown };
}

// Adds this host's fields to the caller's. A prompt of megabytes is sent on as
// the text that it came as; writing it anew costs more than all else here.
std::string EngineBody(const Generation& aGeneration, const json& aOwn)
{
  if (aGeneration.text_.empty()) {
    json body = aGeneration.body_;
    body.update(aOwn);
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
  }
  const std::string own = aOwn.dump();
  std::string text;
  text.reserve(aGeneration.text_.size() + own.size());
  text.append(aGeneration.text_, 0, aGeneration.text_.rfind('}'));
  text += ',';
  text.append(own, 1);
  return text;
}

// A silence that ended before the caller's deadline is the engine's fault, and
// another engine is tried in the time that is left.
Error FaultOfSilence(Error aError, TimePoint aDeadline)
{
  if (aError.code_ == ResultCode::kDeadlineExceeded &&
      TimerService::Now() < aDeadline) {
    aError.code_ = ResultCode::kEndpointBroken;
    aError.text_ = "the engine sent no token in time";
  }
  return aError;
}

// Makes the engine's request, which goes on from the given token.
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

// How far a generation has come over all its attempts.
struct ModelRunner::Progress
{
  std::uint64_t next_ = 0; // index of the next token for the caller
  bool callerLeft_ = false;
  std::chrono::microseconds firstToken_{ 0 };
};

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

asio::awaitable<Outcome<GenerationResult>> ModelRunner::Run(
  Generation aGeneration,
  TokenSink& aSink)
{
  Progress progress;
  AttemptErrors attempts;
  // An engine that can't be reached or refuses costs nothing but a moment, and
  // after a death several such stand in the list until polls notice. Only
  // engines that took the request count as attempts, or a stream that meets one
  // death and two dead engines would be cut with live ones left.
  int broken = 0;
  for (int attempt = 1;
       broken < options_.maxAttempts_ && attempt <= options_.maxEngines_;
       ++attempt) {
    auto placement =
      co_await broker_.Acquire(aGeneration.pool_, aGeneration.info_);
    const bool noneLeft =
      !placement && placement.error().code_ == ResultCode::kNoEndpoint;
    if (noneLeft && progress.next_ > 0) {
      // Engines that replace the dead show with the next list, so the caller of
      // a stream that has begun waits a moment. An engine that only cut the
      // stream may serve it after all.
      aGeneration.info_.excluded_.clear();
      co_await TimerService::SleepFor(options_.noEnginePause_);
      continue;
    }
    if (!placement) {
      attempts.OnRefused(placement.error());
      break;
    }
    const std::string name = placement.value().Endpoint().name_;
    const auto done =
      co_await Attempt(aGeneration, progress, placement.value(), aSink);
    if (done) {
      placement.value().Finish({ .succeeded_ = true });
      co_return GenerationResult{ .tokens_ = progress.next_,
                                  .attempts_ = attempt,
                                  .firstToken_ = progress.firstToken_ };
    }
    const Error& failure = done.error();
    attempts.OnFailed(failure);
    placement.value().Finish(
      { .endpointAtFault_ = IsEndpointFault(failure.code_) });
    if (progress.callerLeft_ ||
        failure.code_ == ResultCode::kDeadlineExceeded ||
        failure.code_ == ResultCode::kCallerLeft) {
      break;
    }
    const bool untaken = failure.ran_ == RanState::kNo;
    broken += untaken ? 0 : 1;
    if (failure.code_ == ResultCode::kEndpointUnreachable) {
      tracker_.ReportFailure(name);
    }
    NoteFailedAttempt(metrics_, aGeneration.requestId_, name, failure);
    aGeneration.info_.excluded_.push_back(name);
    // The budget keeps second tries from multiplying load. A try that no engine
    // took made none; and a caller whose stream were refused here would send
    // the whole request again, which is more than the rest of it.
    aGeneration.info_.exemptFromRetryBudget_ = progress.next_ > 0 || untaken;
  }
  co_return attempts.FinalError();
}

asio::awaitable<Outcome<void>> ModelRunner::Attempt(
  const Generation& aGeneration,
  Progress& aProgress,
  Placement& aPlacement,
  TokenSink& aSink)
{
  const std::string& address = aPlacement.Endpoint().address_;
  CancelGuard cancel(client_, executor_, address, aGeneration.requestId_);
  const HttpClient::CallOptions options;
  const TimePoint deadline = aGeneration.info_.deadline_;
  const TimePoint firstTokenBy = aPlacement.FirstTokenBy(deadline);
  auto call = co_await client_.Start(
    address,
    EngineRequest(aGeneration, aProgress.next_, aPlacement.Priority()),
    firstTokenBy,
    options);
  if (!call) {
    co_return FaultOfSilence(call.error(), deadline);
  }
  const HttpResponse& head = call.value()->Head();
  if (head.Field("X-Endpoint-State") == "leaving" &&
      IsResponseTo(head, aGeneration.requestId_)) {
    tracker_.ReportLeaving(aPlacement.Endpoint().name_);
  }
  if (auto fault = FaultOfHead(head, aGeneration.requestId_)) {
    if (fault->ran_ == RanState::kNo) {
      cancel.Disarm();
    }
    co_return std::move(*fault);
  }
  const auto read = co_await ReadStream(
    aGeneration, aProgress, aPlacement, *call.value(), aSink);
  if (read) {
    cancel.Disarm();
    co_return read;
  }
  co_return FaultOfSilence(read.error(), deadline);
}

asio::awaitable<Outcome<void>> ModelRunner::ReadStream(
  const Generation& aGeneration,
  Progress& aProgress,
  Placement& aPlacement,
  HttpCall& aCall,
  TokenSink& aSink)
{
  SseParser reader;
  bool ended = false;
  const std::uint64_t first = aProgress.next_;
  while (true) {
    if (aProgress.next_ > first) {
      aCall.SetDeadline(std::min(aGeneration.info_.deadline_,
                                 TimerService::Now() + kTokenSilence));
    }
    auto piece = co_await aCall.ReadSome();
    // Bytes behind the end marker are read so that the connection is clean;
    // a fault there takes nothing from the caller's whole answer.
    if (ended && (!piece || !piece.value())) {
      co_return boost::outcome_v2::success();
    }
    if (!piece) {
      co_return piece.error();
    }
    if (!piece.value()) {
      co_return Error{ .code_ = ResultCode::kStreamCut,
                       .ran_ = RanState::kYes };
    }
    reader.Feed(*piece.value());
    while (auto data = reader.Next()) {
      if (*data == kEndMarker) {
        ended = true;
        break;
      }
      const auto taken =
        co_await TakeToken(aGeneration, aProgress, aPlacement, *data, aSink);
      if (!taken) {
        co_return taken.error();
      }
    }
    const bool reading = co_await aSink.Flush();
    if (!reading) {
      aProgress.callerLeft_ = true;
      co_return Error{ .code_ = ResultCode::kCallerLeft,
                       .ran_ = RanState::kYes };
    }
  }
}

asio::awaitable<Outcome<void>> ModelRunner::TakeToken(
  const Generation& aGeneration,
  Progress& aProgress,
  Placement& aPlacement,
  const std::string& aData,
  TokenSink& aSink)
{
  const json event = json::parse(aData, nullptr, false);
  if (!event.is_object() || !event.contains("choices")) {
    co_return Error{ .code_ = ResultCode::kEndpointBroken,
                     .text_ = "an event is not a completion chunk",
                     .ran_ = RanState::kYes };
  }
  // An answer to another request, late or crossed, must not reach this caller:
  // the engine echoes the request's identifier in every event.
  if (event.value("id", "") != aGeneration.requestId_) {
    co_return Error{ .code_ = ResultCode::kEndpointCrossed,
                     .ran_ = RanState::kUnknown };
  }
  const std::uint64_t index = event.value("token_index", aProgress.next_);
  if (index < aProgress.next_) {
    co_return boost::outcome_v2::success(); // resumed from an earlier token
  }
  if (index > aProgress.next_) {
    co_return Error{ .code_ = ResultCode::kEndpointBroken,
                     .text_ = "a token is missing",
                     .ran_ = RanState::kYes };
  }
  if (aProgress.next_++ == 0) {
    aPlacement.FirstToken();
    aProgress.firstToken_ =
      std::chrono::duration_cast<std::chrono::microseconds>(
        TimerService::Now() - aGeneration.arrived_);
    metrics_.RecordFirstToken(aGeneration.info_.service_,
                              aGeneration.info_.promptTokens_,
                              aProgress.firstToken_);
  }
  const json& choice = event.at("choices").at(0);
  const json reason = choice.value("finish_reason", json());
  const TokenEvent token{ .index_ = index,
                          .text_ = choice.contains("delta")
                                     ? choice["delta"].value("content", "")
                                     : choice.value("text", ""),
                          .finishReason_ =
                            reason.is_string() ? reason.get<std::string>() : "",
                          .raw_ = aData };
  const bool taken = co_await aSink.OnToken(token);
  if (!taken) {
    aProgress.callerLeft_ = true;
    co_return Error{ .code_ = ResultCode::kCallerLeft, .ran_ = RanState::kYes };
  }
  co_return boost::outcome_v2::success();
}

} // namespace gooseberrylift
