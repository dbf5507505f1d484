#include "gooseberrylift/internal/gooseberrylift-request-run.h"

#include <algorithm>

#include "gooseberrylift-request-errors.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"
#include "gooseberrylift/limits/gooseberrylift-route-admission.h"
#include "gooseberrylift/limits/gooseberrylift-stall-timeout.h"
#include "gooseberrylift/limits/gooseberrylift-started-response.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

// With less time than this left, no endpoint can respond in time.
constexpr milliseconds kMinRemaining{ 10 };

constexpr milliseconds kLinkStatePoll{ 10 };

// A check of an endpoint whose connections broke ends within this time unless
// this host's links are in doubt.
constexpr milliseconds kMaxCrashCheckWait{ 400 };
constexpr milliseconds kCrashCheckPoll{ 10 };

// Interval at which a request whose response has begun, or may still begin, is
// checked for whether it can be sent again.
constexpr milliseconds kStartedResponsePoll{ 100 };

// Each attempt has its own entry in the load of its endpoints, since a stalled
// one and its replacement may share a helper.
constexpr int kAttemptBits = 16;

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
  if (request_.relay_) {
    tried_.insert(request_.relay_->tried_.begin(),
                  request_.relay_->tried_.end());
  }
}

RequestRun::~RequestRun()
{
  if (probed_ && (sends_ == 0 || ranNothing_)) {
    parts_.poisonRequestMonitor_.OnProbeNotRun(*probed_, sends_ > 0);
  }
}

asio::awaitable<Outcome<void>> RequestRun::Run()
{
  if (!request_.relay_) {
    probed_ = parts_.poisonRequestMonitor_.TryProbe(request_.features_,
                                                    request_.facts_.attemptId_);
  }
  Next next = Next::kTryAgain;
  while (next == Next::kTryAgain) {
    const auto opened = co_await NextAttempt();
    if (!opened) {
      break;
    }
    RequestAttempt& attempt = *opened.value();
    const auto done = co_await ForwardResponse(attempt);
    if (done) {
      EndAttempt(attempt, done);
      co_return boost::outcome_v2::success();
    }
    next = OnAttemptFailed(attempt, done.error());
  }
  ranNothing_ = attempts_.FinalError().ran_ == RanState::kNo;
  if (savedFailure_ && !streamStarted_) {
    co_return co_await SendSavedFailure();
  }
  co_return MakeFinalError();
}

asio::awaitable<Outcome<RequestRun::AttemptPtr>> RequestRun::NextAttempt()
{
  if (replacement_) {
    co_return std::move(replacement_);
  }
  co_return co_await OpenAttempt();
}

// Sends the request to an endpoint or another host.
asio::awaitable<Outcome<RequestRun::AttemptPtr>> RequestRun::OpenAttempt()
{
  while (true) {
    Step step = DecideStep();
    if (step.refusal_ && MayWaitFor(*step.refusal_)) {
      step = { .wait_ = kStartedResponsePoll };
    }
    if (step.refusal_) {
      attempts_.OnRefused(*step.refusal_);
      co_return *step.refusal_;
    }
    if (!step.placement_ && !step.peer_) {
      if (stalled_ > 0) {
        retry_.Release(); // others may need it meanwhile
      }
      co_await TimerService::SleepFor(step.wait_);
      continue;
    }
    AttemptPtr attempt = MakeAttempt(std::move(step));
    const auto sent = co_await SendAttempt(*attempt);
    if (sent) {
      co_return std::move(attempt);
    }
    if (OnAttemptFailed(*attempt, sent.error()) == Next::kEnd) {
      co_return sent.error();
    }
    if (IsUnderWay()) {
      co_await TimerService::SleepFor(kStartedResponsePoll);
    }
  }
}

RequestRun::Step RequestRun::DecideStep()
{
  if (const auto refusal = CheckSendPreconditions()) {
    return { .refusal_ = refusal };
  }
  if (TimerService::Now() < nextAttemptAt_) {
    return { .wait_ = kStartedResponsePoll };
  }
  if (MustAwaitLinkState()) {
    return { .wait_ = kLinkStatePoll };
  }
  if (MustAwaitCrashCheck()) {
    return { .wait_ = kCrashCheckPoll };
  }
  if (stalled_ > 0 && !parts_.fleet_.TryReplace(request_.service_)) {
    return { .wait_ = kStartedResponsePoll };
  }
  if (sends_ > 0 && !TryReserveRetry()) {
    return { .refusal_ = MakeError(ResultCode::kRetryBudgetSpent) };
  }
  if (auto peer = ChooseRelay()) {
    LeaveWaitingRoom(false);
    return { .peer_ = std::move(peer) };
  }
  if (parts_.links_.IsCutOff(request_.service_)) {
    return { .refusal_ = MakeError(ResultCode::kLinksLost) };
  }
  return DecidePlacement();
}

RequestRun::Step RequestRun::DecidePlacement()
{
  auto placement = parts_.fleet_.Place(MakeQuery());
  if (!placement) {
    auto wait = DelayForEndpoint();
    if (!wait) {
      wait = DelayForMemory();
    }
    if (wait) {
      return { .wait_ = *wait };
    }
    LeaveWaitingRoom(false);
    return MayRelayLate() ? Step{} : Step{ .refusal_ = MakeNoEndpointError() };
  }
  const HoldDecision decision = DecideHold(*placement);
  if (decision == HoldDecision::kHold) {
    return { .wait_ = HoldOptions{}.recheckInterval_ };
  }
  LeaveWaitingRoom(decision == HoldDecision::kSend);
  const auto refusal = DecideRefusal(*placement, decision);
  if ((refusal || placement->deferred_) && MayRelayLate()) {
    return {};
  }
  if (refusal) {
    return { .refusal_ = refusal };
  }
  // The stalled attempt may as well go on as one at such an endpoint begin.
  if (stalled_ > 0 && placement->lastResort_) {
    return { .wait_ = kStartedResponsePoll };
  }
  if (!parts_.fleet_.Access().TryUsePermit(placement->endpoint_)) {
    return {};
  }
  LogPlacement(*placement);
  return { .placement_ = std::move(placement) };
}

// Returns whether to wait until a refusal has passed. The caller has a part of
// the response or still may get it from a stalled attempt; it leaves by itself
// after its stall timeout.
bool RequestRun::MayWaitFor(const Error& aRefusal) const
{
  return IsUnderWay() && !EndsStartedResponse(aRefusal.code_) &&
         HasCallerPatience();
}

// Returns whether the caller has a part of the response or may still get it
// from a stalled attempt.
bool RequestRun::IsUnderWay() const
{
  return stalled_ > 0 || streamStarted_;
}

// Returns whether the caller still waits for the next event.
bool RequestRun::HasCallerPatience() const
{
  return CurrentProgress().sinceLastWrite_ <
         CallerStallTimeout(*request_.route_);
}

// Returns whether this host, or the one that relayed the request, has sent it
// before.
bool RequestRun::IsAdmitted() const
{
  return sends_ > 0 || (request_.relay_ && request_.relay_->admitted_);
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
  if (!feature || probed_) {
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
    .id_ = (request_.id_ << kAttemptBits) + opened_,
    .service_ = request_.service_,
    .request_ = { .promptTokens_ = request_.facts_.promptTokens_,
                  .answerTokens_ = request_.facts_.answerTokens_,
                  .objective_ = request_.route_->objective_,
                  .maxGap_ = request_.route_->maxGap_ },
    .tried_ = tried_,
    .only_ = AllowedNext(),
    .mustRespond_ = stalled_ > 0,
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

} // namespace gooseberrylift
