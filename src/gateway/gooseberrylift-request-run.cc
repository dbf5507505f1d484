#include "gooseberrylift/internal/gooseberrylift-request-run.h"

#include <algorithm>

#include "gooseberrylift-connect-timeouts.h"
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

// Failed connections don't count as attempts or against the retry budget, but
// take time. A refused connection takes only a few milliseconds, so a request
// tries further endpoints until it has lost this much time. With a maximum
// count instead, requests would fail if most endpoints had crashed at once.
constexpr milliseconds kMaxTimeOnUnsentAttempts{ 1'000 };

// Prompts with a longer prefill time are announced to the other hosts at once.
// This is the interval between two load messages, during which the other hosts
// would not know of the prompt.
constexpr microseconds kMinAnnouncedPrefill{ 100'000 };

// With less time than this left, no endpoint can respond in time.
constexpr milliseconds kMinRemaining{ 10 };

constexpr milliseconds kLinkStatePoll{ 10 };

// A check of an endpoint whose connections broke ends within this time unless
// this host's links are in doubt.
constexpr milliseconds kMaxCrashCheckWait{ 400 };
constexpr milliseconds kCrashCheckPoll{ 10 };

// Long, because a retry of a poison request would crash more endpoints.
constexpr milliseconds kQuarantineRetryDelay{ 600'000 };

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
    case ResultCode::kEndpointWithdrawn:
    case ResultCode::kSuspectRequest:
    case ResultCode::kSuspectPart:
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
  , retry_(parts_.retryBudget_, request_.service_, request_.facts_.attemptId_)
  , events_(request_.facts_.lastEventId_)
  , requestDraw_(RandomNumber())
{
}

asio::awaitable<Outcome<void>> RequestRun::Run()
{
  probing_ = !request_.relay_ &&
             parts_.poisonRequestMonitor_.TryProbe(request_.features_,
                                                   request_.facts_.attemptId_);
  Next next = Next::kTryAgain;
  while (next == Next::kTryAgain) {
    if (const auto refusal = CheckSendPreconditions()) {
      attempts_.OnRefused(*refusal);
      break;
    }
    if (MustAwaitLinkState()) {
      co_await TimerService::SleepFor(kLinkStatePoll);
      continue;
    }
    if (MustAwaitCrashCheck()) {
      co_await TimerService::SleepFor(kCrashCheckPoll);
      continue;
    }
    if (const auto peer = ChooseRelay()) {
      LeaveWaitingRoom(false);
      const auto done = co_await RunAtPeer(*peer, next);
      if (done) {
        co_return boost::outcome_v2::success();
      }
      continue;
    }
    if (parts_.links_.IsCutOff(request_.service_)) {
      attempts_.OnRefused(MakeError(ResultCode::kLinksLost));
      break;
    }
    auto placement = parts_.fleet_.Place(MakeQuery());
    if (!placement) {
      auto wait = DelayForEndpoint();
      if (!wait) {
        wait = DelayForMemory();
      }
      if (wait) {
        co_await TimerService::SleepFor(*wait);
        continue;
      }
      LeaveWaitingRoom(false);
      if (MayRelayLate()) {
        continue;
      }
      attempts_.OnRefused(MakeNoEndpointError());
      break;
    }
    const HoldDecision decision = DecideHold(*placement);
    if (decision == HoldDecision::kHold) {
      co_await TimerService::SleepFor(HoldOptions{}.recheckInterval_);
      continue;
    }
    LeaveWaitingRoom(decision == HoldDecision::kSend);
    const auto refusal = DecideRefusal(*placement, decision);
    if ((refusal || placement->deferred_) && MayRelayLate()) {
      continue;
    }
    if (refusal) {
      attempts_.OnRefused(*refusal);
      break;
    }
    if (!parts_.fleet_.Access().TryUsePermit(placement->endpoint_)) {
      continue;
    }
    LogPlacement(*placement);
    const FleetPlacement chosen = *placement;
    const auto done = co_await Attempt(std::move(*placement));
    if (done) {
      co_return boost::outcome_v2::success();
    }
    next = OnEndpointFailed(chosen, done.error());
  }
  if (savedFailure_) {
    co_return co_await SendSavedFailure();
  }
  co_return MakeFinalError();
}

// Returns why a placed request is rejected; nothing if it is sent.
std::optional<Error> RequestRun::DecideRefusal(const FleetPlacement& aPlacement,
                                               HoldDecision aDecision) const
{
  if (aDecision == HoldDecision::kReject) {
    return MakeRefusal(aPlacement, MaxRetryDelay(RemainingTime()));
  }
  return Admit(aPlacement);
}

RequestRun::Next RequestRun::OnEndpointFailed(const FleetPlacement& aPlacement,
                                              const Error& aError)
{
  LogFailedAttempt(aPlacement, aError);
  attempts_.OnFailed(aError);
  RecordLostConnection(aPlacement, aError);
  tried_.insert(aPlacement.endpoint_.id_);
  if (aError.code_ == ResultCode::kEndpointUnreachable) {
    ++failedConnections_;
  }
  if (MayRetry(aError)) {
    return Next::kTryAgain;
  }
  EnsureRetryDelay(aError);
  return Next::kEnd;
}

// Checked again before each attempt: if this host was paused in the meantime,
// the caller may have left, the deadline may have passed and the keys may be
// outdated.
std::optional<Error> RequestRun::CheckSendPreconditions() const
{
  if (exchange_.HasCallerLeft()) {
    return MakeError(ResultCode::kCallerLeft);
  }
  if (TimerService::Now() + kMinRemaining >= request_.deadline_) {
    return MakeError(ResultCode::kDeadlineExceeded);
  }
  if (auto quarantined = CheckQuarantine()) {
    return quarantined;
  }
  if (request_.authenticatedByKey_ && !parts_.routes_.AreKeysProven()) {
    Error error = MakeError(ResultCode::kFreshnessLost);
    error.retryAfter_ = RandomRetryDelay();
    return error;
  }
  return std::nullopt;
}

// Returns why the first byte must not be written; nothing if it may.
std::optional<Error> RequestRun::CheckFirstByte() const
{
  if (exchange_.HasCallerLeft()) {
    return MakeError(ResultCode::kCallerLeft);
  }
  return CheckQuarantine();
}

// Returns why the request must not reach any endpoint; nothing if it may.
std::optional<Error> RequestRun::CheckQuarantine() const
{
  const auto feature =
    parts_.poisonRequestMonitor_.FindQuarantined(request_.features_);
  if (!feature || probing_) {
    return std::nullopt;
  }
  Error error = MakeError(IsPartFeature(*feature) ? ResultCode::kSuspectPart
                                                  : ResultCode::kSuspectRequest,
                          *feature);
  error.retryAfter_ = kQuarantineRetryDelay;
  return error;
}

// Returns whether to wait until it is known whether an endpoint has crashed,
// since a part of the prompt may be the cause and would crash the next one.
bool RequestRun::MustAwaitCrashCheck()
{
  if (awaitedCrashChecks_ >= kMaxCrashCheckWait ||
      !parts_.poisonRequestMonitor_.MustAwaitCheck(request_.features_)) {
    return false;
  }
  awaitedCrashChecks_ += kCrashCheckPoll;
  return true;
}

const EngineProfile* RequestRun::FindEngineProfile() const
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
    .allowedZones_ = request_.allowedZones_,
    .draw_ = RandomNumber(),
    .requestDraw_ = requestDraw_
  };
  const RoutedService* service =
    request_.table_->ServiceByName(request_.service_);
  if (service != nullptr) {
    query.engineProfile_ = service->engine_;
  }
  query.gaps_ = request_.table_->GapsOf(request_.service_);
  return query;
}

HttpRequest RequestRun::MakeEndpointRequest(
  const FleetPlacement& aPlacement,
  const MemoryReservation* aReservation) const
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
                              .reservationId_ = aReservation == nullptr
                                                  ? std::string()
                                                  : aReservation->TicketId() });
  }
  return parts_.dialect_.MakeEndpointRequest(exchange_.Request(), send);
}

// Reserves memory at the helpers if the prompt doesn't fit into the memory of
// one engine.
asio::awaitable<Outcome<std::unique_ptr<MemoryReservation>>>
RequestRun::ReserveMemory(const FleetPlacement& aPlacement)
{
  if (aPlacement.reservedTokens_ == 0) {
    co_return std::unique_ptr<MemoryReservation>();
  }
  MemoryReservation::Parts parts{ .client_ = parts_.client_,
                                  .dialect_ = parts_.dialect_,
                                  .executor_ = parts_.executor_ };
  MemoryReservation::Options options;
  options.duration_ =
    std::min(options.duration_,
             parts_.board_.gatewaySettings_.Read()->gatewaySettings_.maxHold_);
  co_return co_await MemoryReservation::Acquire(std::move(parts),
                                                request_.facts_.attemptId_ +
                                                  "-" + std::to_string(sends_),
                                                aPlacement.helpers_,
                                                aPlacement.reservedTokens_,
                                                options);
}

asio::awaitable<Outcome<void>> RequestRun::Attempt(FleetPlacement aPlacement)
{
  const FleetQuery query = MakeQuery();
  Fleet::ActiveRequest use(parts_.fleet_, query, std::move(aPlacement));
  AnnouncePlacement(use.Placement());
  const TimePoint startTime = TimerService::Now();
  auto reservation = co_await ReserveMemory(use.Placement());
  if (!reservation) {
    // Nothing was sent. The elapsed time is bounded, which bounds the
    // number of attempts.
    timeOnUnsentAttempts_ += TimerService::Now() - startTime;
    co_return reservation.error();
  }
  HttpRequest send =
    MakeEndpointRequest(use.Placement(), reservation.value().get());
  const ListedEndpoint& endpoint = use.Placement().endpoint_;
  EndpointClient::CallOptions options;
  options.helpers_ = use.Placement().helpers_;
  options.requestId_ = request_.facts_.attemptId_;
  progress_ = {};
  options.http_.onConnected_ = [this] {
    progress_.OnConnected(TimerService::Now());
  };
  options.checkRequest_ = [this] {
    progress_.OnSent(TimerService::Now());
    return CheckFirstByte();
  };
  options.http_.connectTimeout_ = kEndpointConnectTimeout;
  if (!request_.route_->IsRepeatable()) {
    options.http_.maxIdle_ = kNonRepeatableMaxIdle;
  }
  auto sent = co_await parts_.client_.Send(
    endpoint, std::move(send), request_.deadline_, options);
  const bool sentBytes = sent || sent.error().ran_ != RanState::kNo;
  if (sentBytes) {
    ++sends_;
    retry_.OnSent();
  } else {
    timeOnUnsentAttempts_ += TimerService::Now() - startTime;
  }
  if (!sent) {
    use.End(OutcomeOf(sent.error()));
    co_return sent.error();
  }
  EndpointTarget target(parts_.client_,
                        use,
                        EndpointStallTimeout(*request_.route_),
                        [this, &use](const EndpointResponseMetadata& aFacts) {
                          OnNotExecuted(aFacts, use);
                        });
  const auto done = co_await ForwardResponse(*sent.value(), target);
  if (!done && done.error().code_ == ResultCode::kEndpointSilent) {
    parts_.links_.OnFailed(endpoint, LinkFailure::kResponse);
  }
  if (done && sent.value()->HasExplicitEnd() && status_ < 500) {
    RecordSound();
  }
  use.End(done ? EndpointOutcome::kServed : OutcomeOf(done.error()));
  parts_.loadExchange_.OnRequestEnded();
  co_return done;
}

// Announces a placement to the peers, which would otherwise place their
// requests on the same idle engines.
void RequestRun::AnnouncePlacement(const FleetPlacement& aPlacement) const
{
  std::vector<ListedEndpoint> endpoints = aPlacement.helpers_;
  endpoints.push_back(aPlacement.endpoint_);
  parts_.loadExchange_.OnRequestPlaced(
    endpoints, aPlacement.cost_.prefill_ > kMinAnnouncedPrefill);
}

// Reports an endpoint whose response broke off or was invalid to the detection
// of poison requests. A silent endpoint isn't reported, because it is only slow
// or unreachable.
void RequestRun::RecordLostConnection(const FleetPlacement& aPlacement,
                                      const Error& aError)
{
  if (aError.code_ != ResultCode::kEndpointBroken) {
    return;
  }
  // Half of what is predicted: engines differ in speed.
  const microseconds minPrefill = FindEngineProfile() != nullptr
                                    ? aPlacement.cost_.prefill_ / 2
                                    : microseconds(0);
  const TimePoint now = TimerService::Now();
  parts_.poisonRequestMonitor_.OnConnectionLost(
    request_.features_,
    aPlacement.endpoint_,
    progress_.JustBegun(now, minPrefill),
    duration_cast<milliseconds>(now - progress_.AliveAt()));
}

void RequestRun::RecordAnswerData()
{
  if (progress_.OnData(TimerService::Now())) {
    RecordSound();
  }
}

// Records that the answer has come further than that of a request that crashes
// its endpoint.
void RequestRun::RecordSound() const
{
  const TimePoint now = TimerService::Now();
  parts_.poisonRequestMonitor_.OnAnswered(
    request_.features_,
    duration_cast<milliseconds>(now - progress_.begunAt_.value_or(now)));
}

// A relayed request is sent to one endpoint only: the host that relayed it
// decides about the next attempt.
int RequestRun::MaxAttempts() const
{
  return request_.relay_ || probing_ ? 1 : request_.route_->maxAttempts_;
}

bool RequestRun::MayRetry(const Error& aError)
{
  if (aError.code_ == ResultCode::kCallerLeft ||
      aError.code_ == ResultCode::kDeadlineExceeded) {
    return false;
  }
  const bool notReceived = aError.ran_ == RanState::kNo;
  if (!notReceived && !request_.route_->IsRepeatable()) {
    return false;
  }
  if (request_.relay_ && failedConnections_ >= kMaxFailedConnections) {
    return false; // the host that relayed it may choose another one
  }
  const bool noneLeft = aError.code_ == ResultCode::kEndpointUnreachable &&
                        !parts_.fleet_.Access().HasUntried(
                          request_.service_, tried_, request_.allowedZones_);
  if (sends_ >= MaxAttempts() || noneLeft ||
      timeOnUnsentAttempts_ > kMaxTimeOnUnsentAttempts) {
    return false;
  }
  return sends_ == 0 || TryReserveRetry();
}

// Adds a retry delay to the error of a request that has not run, if it has
// none. An endpoint that is full or gone can't tell when another endpoint will
// have capacity. Without a delay, callers would retry at once and be rejected
// for good.
void RequestRun::EnsureRetryDelay(Error aError)
{
  if (aError.ran_ == RanState::kNo && !aError.retryAfter_) {
    aError.retryAfter_ = RandomRetryDelay();
    attempts_.OnFailed(aError);
  }
}

// Returns whether a request that was already sent may be retried at another
// endpoint.
bool RequestRun::MayRetryElsewhere() const
{
  if (request_.relay_) {
    return request_.relay_->mayMove_;
  }
  return request_.route_->IsRepeatable() && sends_ < MaxAttempts();
}

// Charges the retry budget for a further attempt. That of a relayed request is
// charged by the host that relayed it.
bool RequestRun::TryReserveRetry()
{
  return request_.relay_ || retry_.TryReserve();
}

void RequestRun::RecordResponseStart(int aStatus)
{
  status_ = aStatus;
  timeToFirstByte_ =
    duration_cast<microseconds>(TimerService::Now() - request_.arrived_);
}

void RequestRun::RecordStreamChunk()
{
  const TimePoint now = TimerService::Now();
  if (lastChunk_ != TimePoint{}) {
    longestGap_ =
      std::max(longestGap_, duration_cast<microseconds>(now - lastChunk_));
  }
  lastChunk_ = now;
}

RequestRun::Progress RequestRun::CurrentProgress() const
{
  const TimePoint now = TimerService::Now();
  const TimePoint since =
    lastChunk_ == TimePoint{} ? request_.arrived_ : lastChunk_;
  return { .lastEvent_ = events_.Last().value_or(0),
           .sinceLastWrite_ = duration_cast<milliseconds>(now - since),
           .relays_ = relays_ };
}

void RequestRun::LogPlacement(const FleetPlacement& aPlacement) const
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
      { "backed_off", aPlacement.backedOff_ },
      { "cold", parts_.limiter_.IsCold(aPlacement.endpoint_.IncarnationId()) },
      { "pressed", aPlacement.pressed_ },
      { "pressure", aPlacement.pressure_ },
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

void RequestRun::LogFailedAttempt(const FleetPlacement& aPlacement,
                                  const Error& aError) const
{
  const TimePoint now = TimerService::Now();
  const auto answered =
    progress_.begunAt_
      ? duration_cast<milliseconds>(now - *progress_.begunAt_).count()
      : -1;
  Log(LogEvent::kAttemptFailed,
      { { "request_id", request_.facts_.attemptId_ },
        { "endpoint", aPlacement.endpoint_.id_ },
        { "code", static_cast<int>(aError.code_) },
        { "text", aError.text_ },
        { "fingerprint", request_.features_.content_ },
        { "parts", request_.features_.parts_ },
        { "answered_ms", answered },
        { "ran", NameOf(aError.ran_) },
        { "send", sends_ },
        { "elapsed_ms",
          duration_cast<milliseconds>(TimerService::Now() - request_.arrived_)
            .count() } });
}

} // namespace gooseberrylift
