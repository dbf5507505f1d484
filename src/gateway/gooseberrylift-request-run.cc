#include "gooseberrylift/internal/gooseberrylift-request-run.h"

#include <algorithm>

#include "gooseberrylift-request-errors.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"
#include "gooseberrylift/limits/gooseberrylift-route-admission.h"
#include "gooseberrylift/limits/gooseberrylift-stall-timeout.h"
#include "gooseberrylift/routing/gooseberrylift-priority-class.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

// A connection within a region is there in a few ms. An endpoint that takes
// longer is dead or over its limit, and its caller is better served elsewhere.
constexpr milliseconds kConnectTimeout{ 250 };

// A request that may not be repeated takes no connection that was idle for
// longer: what the endpoint closes in that moment can't be sent again.
constexpr milliseconds kUnsafeMaxIdle{ 2'000 };

// Endpoints that can't be connected to cost no budget, but time. A connection
// that is refused costs some ms, so a request goes on as long as there are
// others and it has not lost more than this: bounded by a count of tries,
// requests are given up where most endpoints have died at once.
constexpr milliseconds kMostUnreachable{ 1'000 };

// A prompt that takes longer to read is told to the other hosts at once: the
// time between two of their words, in which they would not know of it.
constexpr microseconds kToldRead{ 100'000 };

// With less than this left no endpoint can answer any more.
constexpr milliseconds kLeastRemaining{ 10 };

// Long enough that nobody sends a request again which ends endpoints.
constexpr milliseconds kSuspectRetry{ 600'000 };

std::vector<std::string> IdsOf(const std::vector<ListedEndpoint>& aEndpoints)
{
  std::vector<std::string> ids;
  ids.reserve(aEndpoints.size());
  for (const ListedEndpoint& endpoint : aEndpoints) {
    ids.push_back(endpoint.id_);
  }
  return ids;
}

EndpointOutcome OutcomeOf(const Error& aError)
{
  switch (aError.code_) {
    case ResultCode::kEndpointUnreachable:
    case ResultCode::kEndpointSilent:
      return EndpointOutcome::kUnreachable;
    case ResultCode::kEndpointRefused:
    case ResultCode::kCallerLeft:
      return EndpointOutcome::kRefused;
    default:
      return EndpointOutcome::kFailed;
  }
}

} // namespace

RequestRun::RequestRun(Parts aParts,
                       HttpExchange& aExchange,
                       RoutedRequest aRequest)
  : parts_(std::move(aParts))
  , exchange_(aExchange)
  , request_(std::move(aRequest))
  , events_(request_.facts_.lastEventId_)
{
}

asio::awaitable<Outcome<void>> RequestRun::Run()
{
  while (true) {
    if (const auto refusal = WhyNotSend()) {
      attempts_.OnRefused(*refusal);
      break;
    }
    auto placement = parts_.fleet_.Place(MakeQuery());
    if (!placement) {
      auto wait = WaitForPermit();
      if (!wait) {
        wait = WaitForRoom();
      }
      if (wait) {
        co_await TimerService::SleepFor(*wait);
        continue;
      }
      attempts_.OnRefused(NoEndpoint());
      break;
    }
    const HoldDecision verdict = JudgeHold(*placement);
    if (verdict == HoldDecision::kHold) {
      co_await TimerService::SleepFor(HoldOptions{}.recheckInterval_);
      continue;
    }
    if (verdict == HoldDecision::kReject) {
      attempts_.OnRefused(Refusal(*placement, MaxRetryDelay(RemainingTime())));
      break;
    }
    if (const auto refusal = Admit(*placement)) {
      attempts_.OnRefused(*refusal);
      break;
    }
    if (!parts_.fleet_.TryUsePermit(*placement)) {
      continue;
    }
    LogPlaced(*placement);
    const FleetPlacement chosen = *placement;
    const auto done = co_await Attempt(std::move(*placement));
    if (done) {
      co_return boost::outcome_v2::success();
    }
    LogFailed(chosen, done.error());
    attempts_.OnFailed(done.error());
    NoteBroken(chosen.endpoint_, done.error());
    tried_.insert(chosen.endpoint_.id_);
    if (!MayRepeat(done.error())) {
      SayWhenToReturn(done.error());
      break;
    }
  }
  if (kept_) {
    co_return co_await SendKept();
  }
  co_return attempts_.FinalError();
}

// Looked at again before each send: a host that was paused meanwhile must not
// go on with keys or deadlines of before.
std::optional<Error> RequestRun::WhyNotSend() const
{
  if (TimerService::Now() + kLeastRemaining >= request_.deadline_) {
    return MakeError(ResultCode::kDeadlineExceeded);
  }
  if (parts_.poisonRequestMonitor_.IsQuarantined(request_.fingerprint_)) {
    Error error = MakeError(ResultCode::kSuspectRequest);
    error.retryAfter_ = kSuspectRetry;
    return error;
  }
  if (request_.keyed_ && !parts_.routes_.AreKeysProven()) {
    Error error = MakeError(ResultCode::kFreshnessLost);
    error.retryAfter_ = RetrySoon();
    return error;
  }
  return std::nullopt;
}

const EngineProfile* RequestRun::Figures() const
{
  const RoutedService* service =
    request_.table_->ServiceByName(request_.service_);
  return service != nullptr && service->engine_ ? &*service->engine_ : nullptr;
}

FleetQuery RequestRun::MakeQuery() const
{
  FleetQuery query{
    .id_ = request_.id_,
    .service_ = request_.service_,
    .request_ = { .promptTokens_ = request_.facts_.promptTokens_,
                  .answerTokens_ = request_.facts_.answerTokens_,
                  .objective_ = request_.route_->objective_,
                  .maxGap_ = request_.route_->maxGap_ },
    .tried_ = tried_,
    .draw_ = Draw()
  };
  const RoutedService* service =
    request_.table_->ServiceByName(request_.service_);
  if (service != nullptr) {
    query.engineProfile_ = service->engine_;
  }
  query.gaps_ = request_.table_->GapsOf(request_.service_);
  return query;
}

HttpRequest RequestRun::MakeSend(const FleetPlacement& aPlacement,
                                 const MemoryHolds* aHolds) const
{
  EndpointRequestMetadata send{
    .endpointId_ = aPlacement.endpoint_.id_,
    .team_ = request_.team_,
    .removeCallerKey_ = request_.table_->NeedsKeys(),
    .remaining_ = RemainingTime(),
    .priorityClass_ = PriorityClassOf(request_.priority_, aPlacement.deferred_)
  };
  if (events_.Last()) {
    send.lastEventId_ = events_.Last();
  }
  for (const ListedEndpoint& helper : aPlacement.helpers_) {
    send.helpers_.push_back({ .address_ = helper.address_,
                              .reservationId_ = aHolds == nullptr
                                                  ? std::string()
                                                  : aHolds->TicketId() });
  }
  return parts_.dialect_.MakeEndpointRequest(exchange_.Request(), send);
}

// Sets memory aside at the helpers where one engine can't hold the prompt.
asio::awaitable<Outcome<std::unique_ptr<MemoryHolds>>> RequestRun::TakeMemory(
  const FleetPlacement& aPlacement)
{
  if (aPlacement.reservedTokens_ == 0) {
    co_return std::unique_ptr<MemoryHolds>();
  }
  MemoryHolds::Parts parts{ .client_ = parts_.client_,
                            .dialect_ = parts_.dialect_,
                            .executor_ = parts_.executor_ };
  MemoryHolds::Options options;
  options.holdFor_ =
    std::min(options.holdFor_,
             parts_.board_.gatewaySettings_.Read()->gatewaySettings_.maxHold_);
  co_return co_await MemoryHolds::Take(std::move(parts),
                                       request_.facts_.attemptId_ + "-" +
                                         std::to_string(sends_),
                                       aPlacement.helpers_,
                                       aPlacement.reservedTokens_,
                                       options);
}

asio::awaitable<Outcome<void>> RequestRun::Attempt(FleetPlacement aPlacement)
{
  const FleetQuery query = MakeQuery();
  Fleet::ActiveRequest use(parts_.fleet_, query, std::move(aPlacement));
  TellPlaced(use.Placement());
  const TimePoint began = TimerService::Now();
  auto holds = co_await TakeMemory(use.Placement());
  if (!holds) {
    // Bounds the tries; nothing was sent.
    unreachable_ += TimerService::Now() - began;
    co_return holds.error();
  }
  HttpRequest send = MakeSend(use.Placement(), holds.value().get());
  const ListedEndpoint& endpoint = use.Placement().endpoint_;
  HttpClient::CallOptions options;
  options.connectTimeout_ = kConnectTimeout;
  if (!request_.route_->IsRepeatable()) {
    options.maxIdle_ = kUnsafeMaxIdle;
  }
  auto sent = co_await parts_.client_.Send(
    endpoint.address_, std::move(send), request_.deadline_, options);
  const bool gaveBytes = sent || sent.error().ran_ != RanState::kNo;
  sends_ += gaveBytes ? 1 : 0;
  if (!gaveBytes) {
    unreachable_ += TimerService::Now() - began;
  }
  repeatPaid_ = repeatPaid_ && !gaveBytes;
  if (!sent) {
    use.End(OutcomeOf(sent.error()));
    co_return sent.error();
  }
  HttpCall& call = *sent.value();
  auto done = co_await ReadHead(call, use);
  if (done) {
    const bool streams = request_.route_->kind_ == RouteKind::kStreaming &&
                         call.Head().status_ == 200;
    if (streams) {
      done = co_await PassStream(call, use);
    } else if (!streaming_) {
      done = co_await PassWhole(call, use);
    } else {
      done = Broken("status " + std::to_string(call.Head().status_) +
                    " for the rest of a stream");
    }
  }
  use.End(done ? EndpointOutcome::kServed : OutcomeOf(done.error()));
  parts_.words_.OnRequestEnded();
  co_return done;
}

// Peers would place theirs on the same idle engines until they hear of it.
void RequestRun::TellPlaced(const FleetPlacement& aPlacement) const
{
  std::vector<ListedEndpoint> endpoints = aPlacement.helpers_;
  endpoints.push_back(aPlacement.endpoint_);
  parts_.words_.OnRequestPlaced(endpoints,
                                aPlacement.cost_.prefill_ > kToldRead);
}

// Notes an endpoint that broke off after it had got the request. A silent one
// is only slow or cut off, so it counts for nothing here.
void RequestRun::NoteBroken(const ListedEndpoint& aEndpoint,
                            const Error& aError)
{
  if (aError.code_ == ResultCode::kEndpointBroken) {
    parts_.poisonRequestMonitor_.OnConnectionLost(request_.fingerprint_,
                                                  aEndpoint);
  }
}

bool RequestRun::MayRepeat(const Error& aError)
{
  if (aError.code_ == ResultCode::kCallerLeft ||
      aError.code_ == ResultCode::kDeadlineExceeded) {
    return false;
  }
  const bool untaken = aError.ran_ == RanState::kNo;
  if (!untaken && !request_.route_->IsRepeatable()) {
    return false;
  }
  const bool deadEnd =
    aError.code_ == ResultCode::kEndpointUnreachable &&
    !parts_.fleet_.HasUntriedEndpoint(request_.service_, tried_);
  if (sends_ >= request_.route_->maxAttempts_ || deadEnd ||
      unreachable_ > kMostUnreachable) {
    return false;
  }
  return sends_ == 0 || repeatPaid_ || PayRepeat();
}

// The refusal of an endpoint becomes that of this host, and an endpoint that is
// full or gone says nothing of the time at which another one has room. Without
// it callers come back at once and are refused for good.
void RequestRun::SayWhenToReturn(Error aError)
{
  if (aError.ran_ == RanState::kNo && !aError.retryAfter_) {
    aError.retryAfter_ = RetrySoon();
    attempts_.OnFailed(aError);
  }
}

// Says whether a request at work may be given to another endpoint.
bool RequestRun::MayLeave() const
{
  return request_.route_->IsRepeatable() &&
         sends_ < request_.route_->maxAttempts_;
}

bool RequestRun::PayRepeat()
{
  const std::lock_guard lock(parts_.retryBudget_.mutex_);
  repeatPaid_ = parts_.retryBudget_.budget_.TryRetry(
    request_.service_, parts_.retryBudget_.hosts_, TimerService::Now());
  return repeatPaid_;
}

void RequestRun::NoteAnswer(int aStatus)
{
  status_ = aStatus;
  firstAnswer_ =
    duration_cast<microseconds>(TimerService::Now() - request_.arrived_);
}

void RequestRun::NotePiece()
{
  const TimePoint now = TimerService::Now();
  if (lastPiece_ != TimePoint{}) {
    longestGap_ =
      std::max(longestGap_, duration_cast<microseconds>(now - lastPiece_));
  }
  lastPiece_ = now;
}

void RequestRun::LogPlaced(const FleetPlacement& aPlacement) const
{
  const auto proof = parts_.routes_.ProofAge();
  Log(
    LogEvent::kRequestPlaced,
    { { "request_id", request_.facts_.attemptId_ },
      { "route", request_.route_->name_ },
      { "generation", request_.table_->Version() },
      { "proof_age_ms", proof ? proof->count() : -1 },
      { "endpoint", aPlacement.endpoint_.id_ },
      { "helpers", IdsOf(aPlacement.helpers_) },
      { "held_tokens", aPlacement.reservedTokens_ },
      { "prompt_tokens", request_.facts_.promptTokens_ },
      { "candidates", aPlacement.candidates_ },
      { "withheld", aPlacement.withheld_ },
      { "limit_per_second",
        parts_.limiter_.Of(aPlacement.endpoint_.IncarnationId()).value_or(-1) },
      { "running", aPlacement.load_.running_ },
      { "deferred", aPlacement.deferred_ },
      { "deferred_there", aPlacement.load_.deferred_ },
      { "blind", aPlacement.peerLoadUnknown_ },
      { "backlog_ms",
        duration_cast<milliseconds>(aPlacement.load_.backlog_).count() },
      { "predicted_ms",
        duration_cast<milliseconds>(aPlacement.firstAnswer_).count() },
      { "held_ms",
        duration_cast<milliseconds>(TimerService::Now() - request_.arrived_)
          .count() },
      { "send", sends_ + 1 } });
}

void RequestRun::LogFailed(const FleetPlacement& aPlacement,
                           const Error& aError) const
{
  Log(LogEvent::kAttemptFailed,
      { { "request_id", request_.facts_.attemptId_ },
        { "endpoint", aPlacement.endpoint_.id_ },
        { "code", static_cast<int>(aError.code_) },
        { "text", aError.text_ },
        { "fingerprint", request_.fingerprint_ },
        { "ran", NameOf(aError.ran_) },
        { "send", sends_ },
        { "elapsed_ms",
          duration_cast<milliseconds>(TimerService::Now() - request_.arrived_)
            .count() } });
}

} // namespace gooseberrylift
