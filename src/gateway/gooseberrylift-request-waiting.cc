// The part of RequestRun that delays requests before they are sent, and rejects
// those that can't be answered in time.

#include "gooseberrylift/internal/gooseberrylift-request-run.h"

#include <algorithm>

#include "gooseberrylift-request-errors.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"
#include "gooseberrylift/limits/gooseberrylift-route-admission.h"
#include "gooseberrylift/limits/gooseberrylift-stall-timeout.h"

namespace gooseberrylift {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

// Maximum time that a prompt waits for memory, as a share of the caller's stall
// timeout. A rejection after that leaves the caller most of its time.
constexpr double kMaxMemoryWaitShare = 0.25;

// How long a request waits for the response to a permit request or for the end
// of a backoff if no endpoint may receive it, and how often it checks for a
// permit.
constexpr milliseconds kMaxBlockWait{ 100 };
constexpr milliseconds kPermitPollInterval{ 10 };

} // namespace

HoldInput RequestRun::MakeHoldInput(const EngineProfile& aProfile,
                                    microseconds aWait) const
{
  const TimePoint now = TimerService::Now();
  return { .wait_ = aWait,
           .prefill_ = aProfile.PrefillTime(request_.facts_.promptTokens_),
           .sinceArrival_ =
             duration_cast<milliseconds>(now - request_.arrived_),
           .remaining_ = RemainingTime(),
           .callerStallTimeout_ = CallerStallTimeout(*request_.route_),
           .objective_ = request_.route_->objective_ };
}

// Decides whether a long prompt is sent, held until the engines' load is
// checked again, or rejected.
HoldDecision RequestRun::DecideHold(const FleetPlacement& aPlacement)
{
  const EngineProfile* profile = FindEngineProfile();
  if (!aPlacement.slowsDecoding_ || IsAdmitted() || profile == nullptr) {
    return HoldDecision::kSend;
  }
  HoldInput input = MakeHoldInput(*profile, aPlacement.wait_);
  input.peerLoadUnknown_ = aPlacement.peerLoadUnknown_;
  input.partialPrefill_ = aPlacement.cost_.prefill_;
  return DecideInOrder(input, &aPlacement);
}

// Decides about a long prompt by its turn among those that wait at all hosts.
// While none waits, it is decided about by itself.
HoldDecision RequestRun::DecideInOrder(HoldInput aInput,
                                       const FleetPlacement* aPlacement)
{
  const HoldOptions options;
  const HoldDecision byItself = DecideLongPromptHold(aInput, options);
  const EngineProfile* profile = FindEngineProfile();
  const bool alone = !waiting_ && byItself != HoldDecision::kHold &&
                     parts_.waitingRoom_.IsEmpty();
  if (alone || profile == nullptr) {
    return byItself;
  }
  const bool arrived = !waiting_;
  if (arrived) {
    EnterWaitingRoom(*profile, aInput);
  }
  WaitingSupply supply{ .engines_ = parts_.fleet_.Access().CountUsable(
                          request_.service_, request_.allowedZones_) };
  if (aPlacement != nullptr) {
    supply.free_ = aPlacement->freeEngines_;
    supply.wanted_ = aPlacement->helpers_.size() + 1;
  }
  turn_ = waiting_->Turn(supply);
  aInput.isFirst_ = turn_.isFirst_;
  const HoldDecision decision =
    DecideByTurn(DecideLongPromptHold(aInput, options), turn_, arrived);
  parts_.waitingRoom_.Count(byItself, decision, arrived);
  if (arrived && decision == HoldDecision::kHold) {
    LogWaiting();
  }
  return decision;
}

void RequestRun::EnterWaitingRoom(const EngineProfile& aProfile,
                                  HoldInput aInput)
{
  const FleetQuery query = MakeQuery();
  const std::size_t engines = EnginePlacement(EnginePlacement::Options{})
                                .EnginesNeeded(aProfile, query.request_);
  aInput.partialPrefill_ = aInput.prefill_ / static_cast<std::int64_t>(engines);
  waiting_ = parts_.waitingRoom_.Enter(
    { .service_ = NameHash(request_.service_),
      .team_ = request_.team_.empty() ? 0 : NameHash(request_.team_),
      .priority_ = request_.priority_,
      .waited_ = duration_cast<milliseconds>(TimerService::Now() -
                                             request_.firstArrived_),
      .remaining_ = RemainingHold(aInput, HoldOptions{}),
      .engines_ = static_cast<std::uint32_t>(engines),
      .memoryTokens_ =
        request_.facts_.promptTokens_ + request_.facts_.answerTokens_,
      .prefill_ = duration_cast<milliseconds>(aInput.prefill_) },
    request_.id_);
}

void RequestRun::LeaveWaitingRoom(bool aSent)
{
  if (waiting_ && aSent) {
    waiting_->OnSent();
  }
  waiting_.reset();
}

void RequestRun::LogWaiting() const
{
  Log(LogEvent::kRequestWaits,
      { { "request_id", request_.facts_.attemptId_ },
        { "service", request_.service_ },
        { "place", turn_.ahead_ + 1 },
        { "waiting", turn_.waiting_ },
        { "yields", turn_.yields_ },
        { "expected_wait_ms", turn_.expectedWait_.count() },
        { "facts_age_ms", turn_.factsAge_.count() } });
}

// Returns how long to wait before placing a prompt again that currently doesn't
// fit into the memory of the engines; nothing if it shouldn't wait. Memory is
// freed whenever a request ends, so waiting is useful only if the total memory
// of the service's engines can hold the prompt.
std::optional<milliseconds> RequestRun::DelayForMemory()
{
  const EngineProfile* profile = FindEngineProfile();
  if (IsAdmitted() || profile == nullptr) {
    return std::nullopt;
  }
  const std::uint64_t needed =
    request_.facts_.promptTokens_ + request_.facts_.answerTokens_;
  const std::uint64_t capacity = parts_.fleet_.Access().CountUsable(
                                   request_.service_, request_.allowedZones_) *
                                 profile->memoryTokens_;
  if (needed > capacity) {
    return std::nullopt;
  }
  const HoldInput input = MakeHoldInput(*profile, microseconds::max());
  const HoldOptions options{ .maxHoldShare_ = kMaxMemoryWaitShare };
  if (DecideLongPromptHold(input, options) != HoldDecision::kHold ||
      DecideInOrder(input, nullptr) != HoldDecision::kHold) {
    return std::nullopt;
  }
  return options.recheckInterval_;
}

// Returns how long to wait before placing a request again if no endpoint may
// receive it now but one soon will; nothing if it shouldn't wait. The granting
// host of permits responds within a round trip or not at all.
std::optional<milliseconds> RequestRun::DelayForEndpoint()
{
  const auto block = parts_.fleet_.Access().FindServiceBlock(
    request_.service_, request_.allowedZones_);
  const auto waited = TimerService::Now() - request_.arrived_;
  if (!block || waited > kMaxBlockWait) {
    return std::nullopt;
  }
  if (block->reason_ == SendBlock::kBackoff) {
    return waited + block->remaining_ <= kMaxBlockWait
             ? std::optional(block->remaining_)
             : std::nullopt;
  }
  return block->remaining_ <= milliseconds(0)
           ? std::optional(kPermitPollInterval)
           : std::nullopt;
}

// Returns the error for a request that currently has no endpoint.
Error RequestRun::MakeNoEndpointError()
{
  const auto block = parts_.fleet_.Access().FindServiceBlock(
    request_.service_, request_.allowedZones_);
  if (!block) {
    const bool restricted =
      request_.allowedZones_ &&
      parts_.fleet_.Access().CountUsable(request_.service_, {}) > 0 &&
      parts_.fleet_.Access().CountUsable(request_.service_,
                                         request_.allowedZones_) == 0;
    Error none = MakeError(restricted ? ResultCode::kNoEndpointInRegions
                                      : ResultCode::kNoEndpoint);
    none.retryAfter_ = RandomRetryDelay();
    return none;
  }
  Error blocked = MakeError(block->reason_ == SendBlock::kBackoff
                              ? ResultCode::kEndpointsBackedOff
                              : ResultCode::kEndpointsLimited);
  // The random part spreads the callers, who would otherwise all return at the
  // same moment.
  blocked.retryAfter_ =
    std::min(RandomRetryDelay() + std::max(block->remaining_, {}),
             MaxRetryDelay(RemainingTime()));
  return blocked;
}

std::optional<Error> RequestRun::Admit(const FleetPlacement& aPlacement) const
{
  if (IsAdmitted()) {
    return std::nullopt;
  }
  const TimePoint now = TimerService::Now();
  const AdmissionInput input{
    .predicted_ = aPlacement.firstAnswer_,
    .kept_ = KeptPrefill(aPlacement),
    .objective_ = request_.route_->objective_,
    .returnedEarly_ = request_.returnedEarly_,
    .remaining_ = RemainingTime(),
    .callerStallTimeout_ = CallerStallTimeout(*request_.route_),
    .held_ = duration_cast<milliseconds>(now - request_.arrived_),
    // Promises spread the others.
    .draw_ = request_.identified_ ? 0 : RandomNumber()
  };
  const auto wait = RetryDelayIfRefused(input);
  if (!wait) {
    return std::nullopt;
  }
  return MakeRefusal(aPlacement, *wait);
}

milliseconds RequestRun::RemainingTime() const
{
  return duration_cast<milliseconds>(request_.deadline_ - TimerService::Now());
}

// Logs and returns the rejection of a request that the chosen endpoint could
// not answer in time.
Error RequestRun::MakeRefusal(const FleetPlacement& aPlacement,
                              milliseconds aRetryAfter) const
{
  const TimePoint now = TimerService::Now();
  Log(LogEvent::kRequestRefused,
      { { "request_id", request_.facts_.attemptId_ },
        { "service", request_.service_ },
        { "predicted_ms",
          duration_cast<milliseconds>(aPlacement.firstAnswer_).count() },
        { "wait_ms", duration_cast<milliseconds>(aPlacement.wait_).count() },
        { "remaining_ms", RemainingTime().count() },
        { "patience_ms", CallerStallTimeout(*request_.route_).count() },
        { "held_ms",
          duration_cast<milliseconds>(now - request_.arrived_).count() },
        { "place", turn_.ahead_ + 1 },
        { "waiting", turn_.waiting_ },
        { "expected_wait_ms", turn_.expectedWait_.count() },
        { "facts_age_ms", turn_.factsAge_.count() },
        { "candidates", aPlacement.candidates_ },
        { "running", aPlacement.load_.running_ },
        { "retry_after_ms", aRetryAfter.count() } });
  Error refusal = MakeError(ResultCode::kDeadlineUnreachable);
  refusal.retryAfter_ = aRetryAfter;
  return refusal;
}

} // namespace gooseberrylift
