// The part of RequestRun that sends attempts and records how they end.

#include "gooseberrylift/internal/gooseberrylift-request-run.h"

#include "gooseberrylift-connect-timeouts.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"
#include "gooseberrylift/internal/gooseberrylift-uri.h"
#include "gooseberrylift/limits/gooseberrylift-stall-timeout.h"
#include "gooseberrylift/routing/gooseberrylift-priority-class.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

// Prompts with a longer prefill time are announced to the other hosts at once.
// This is the interval between two load messages, during which the other hosts
// would not know of the prompt.
constexpr microseconds kMinAnnouncedPrefill{ 100'000 };

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

RequestRun::AttemptPtr RequestRun::MakeAttempt(Step aStep)
{
  auto attempt = std::make_unique<RequestAttempt>();
  if (aStep.peer_) {
    ++relays_;
    LogRelayed(*aStep.peer_);
    attempt->relayReason_ = relayReason_;
    attempt->relay_ =
      std::make_unique<RelayClient::Target>(parts_.relays_,
                                            std::move(*aStep.peer_),
                                            request_.service_,
                                            PeerStallTimeout());
    return attempt;
  }
  ++opened_;
  attempt->active_ = std::make_unique<Fleet::ActiveRequest>(
    parts_.fleet_, MakeQuery(), std::move(*aStep.placement_));
  Fleet::ActiveRequest& active = *attempt->active_;
  attempt->endpoint_ = std::make_unique<EndpointTarget>(
    parts_.client_,
    active,
    EndpointStallTimeout(*request_.route_),
    [this, &active](const EndpointResponseMetadata& aFacts) {
      OnNotExecuted(aFacts, active);
    });
  return attempt;
}

asio::awaitable<Outcome<void>> RequestRun::SendAttempt(RequestAttempt& aAttempt)
{
  const TimePoint startTime = TimerService::Now();
  Outcome<void> sent = boost::outcome_v2::success();
  if (aAttempt.relay_) {
    sent = co_await SendToPeer(aAttempt);
  } else {
    sent = co_await SendToEndpoint(aAttempt);
  }
  if (!sent) {
    co_await ThrowIfCancelled();
  }
  if (!sent && sent.error().ran_ == RanState::kNo) {
    // The elapsed time is bounded, which bounds the number of attempts.
    timeOnUnsentAttempts_ += TimerService::Now() - startTime;
  }
  co_return sent;
}

asio::awaitable<Outcome<void>> RequestRun::SendToEndpoint(
  RequestAttempt& aAttempt)
{
  const FleetPlacement& placement = aAttempt.active_->Placement();
  AnnouncePlacement(placement);
  auto reservation = co_await ReserveMemory(*aAttempt.active_);
  if (!reservation) {
    co_return reservation.error();
  }
  aAttempt.reservation_ = std::move(reservation.value());
  HttpRequest send =
    MakeEndpointRequest(placement, aAttempt.reservation_.get());
  EndpointClient::CallOptions options;
  options.helpers_ = placement.helpers_;
  options.requestId_ = request_.facts_.attemptId_;
  options.http_.onConnected_ = [&aAttempt] {
    aAttempt.progress_.OnConnected(TimerService::Now());
  };
  options.checkRequest_ = [this, &aAttempt] { return OnFirstByte(aAttempt); };
  options.http_.connectTimeout_ = kEndpointConnectTimeout;
  if (!request_.route_->IsRepeatable()) {
    options.http_.maxIdle_ = kNonRepeatableMaxIdle;
  }
  auto sent = co_await parts_.client_.Send(
    placement.endpoint_, std::move(send), request_.deadline_, options);
  if (!sent) {
    co_return sent.error();
  }
  aAttempt.call_ = std::move(sent.value());
  co_return boost::outcome_v2::success();
}

// Called right before the first byte is written. Returns why it must not be;
// otherwise the attempt counts as sent.
std::optional<Error> RequestRun::OnFirstByte(RequestAttempt& aAttempt)
{
  aAttempt.progress_.OnSent(TimerService::Now());
  if (auto refusal = CheckFirstByte()) {
    return refusal;
  }
  ++sends_;
  if (aAttempt.relay_) {
    used_.OnRelayed();
  } else {
    used_.OnSent(aAttempt.EndpointId(), FailedEndpoints());
    retry_.OnSent();
  }
  return std::nullopt;
}

void RequestRun::EndAttempt(RequestAttempt& aAttempt,
                            const Outcome<void>& aDone)
{
  if (aAttempt.relay_) {
    aAttempt.refusedByHost_ =
      aAttempt.relay_->OnEnded(aDone, aAttempt.relayReason_);
    retry_.OnRelayEnded(!aAttempt.refusedByHost_);
    return;
  }
  Fleet::ActiveRequest& active = *aAttempt.active_;
  if (aDone && aAttempt.call_->HasExplicitEnd() && status_ < 500) {
    RecordSound(aAttempt);
  }
  active.End(aDone ? EndpointOutcome::kServed : OutcomeOf(aDone.error()));
  if (aAttempt.call_) {
    parts_.loadExchange_.OnRequestEnded();
  }
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
void RequestRun::RecordLostConnection(const RequestAttempt& aAttempt,
                                      const Error& aError)
{
  if (aError.code_ != ResultCode::kEndpointBroken) {
    return;
  }
  const FleetPlacement& placement = aAttempt.active_->Placement();
  const AnswerProgress& progress = aAttempt.progress_;
  // Half of what is predicted: engines differ in speed.
  const microseconds minPrefill = FindEngineProfile() != nullptr
                                    ? placement.cost_.prefill_ / 2
                                    : microseconds(0);
  const TimePoint now = TimerService::Now();
  parts_.poisonRequestMonitor_.OnConnectionLost(
    request_.features_,
    placement.endpoint_,
    progress.JustBegun(now, minPrefill),
    duration_cast<milliseconds>(now - progress.AliveAt()));
}

void RequestRun::RecordAnswerData(RequestAttempt& aAttempt)
{
  if (aAttempt.progress_.OnData(TimerService::Now())) {
    RecordSound(aAttempt);
  }
}

// Records that the answer has come further than that of a request that crashes
// its endpoint.
void RequestRun::RecordSound(const RequestAttempt& aAttempt) const
{
  const TimePoint now = TimerService::Now();
  parts_.poisonRequestMonitor_.OnAnswered(
    request_.features_,
    duration_cast<milliseconds>(now -
                                aAttempt.progress_.begunAt_.value_or(now)));
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

// Attempts of one request may be open at the same time, at several hosts too,
// and the end of one releases its own reservation only. The caller's attempt ID
// may have any characters, so it is encoded: the reservation's stands in a list
// in a header field, and in JSON.
std::string RequestRun::MakeReservationId() const
{
  return EncodeUriComponent(request_.facts_.attemptId_) + "-" + parts_.host_ +
         "-" + std::to_string(request_.id_) + "-" + std::to_string(opened_);
}

// Reserves memory at the helpers if the prompt doesn't fit into the memory of
// one engine.
asio::awaitable<Outcome<std::unique_ptr<MemoryReservation>>>
RequestRun::ReserveMemory(const Fleet::ActiveRequest& aActive)
{
  const FleetPlacement& placement = aActive.Placement();
  if (placement.reservedTokens_ == 0) {
    co_return std::unique_ptr<MemoryReservation>();
  }
  MemoryReservation::Parts parts{
    .client_ = parts_.client_,
    .dialect_ = parts_.dialect_,
    .executor_ = parts_.executor_,
    .user_ = placement.endpoint_,
    .userSilence_ =
      [&aActive] { return aActive.CurrentActivity().hostSilence_; }
  };
  MemoryReservation::Options options;
  options.duration_ =
    std::min(options.duration_,
             parts_.board_.gatewaySettings_.Read()->gatewaySettings_.maxHold_);
  co_return co_await MemoryReservation::Acquire(std::move(parts),
                                                MakeReservationId(),
                                                placement.helpers_,
                                                placement.reservedTokens_,
                                                options);
}

// Ends a failed attempt and returns what follows.
RequestRun::Next RequestRun::OnAttemptFailed(RequestAttempt& aAttempt,
                                             const Error& aError)
{
  EndAttempt(aAttempt, aError);
  return aAttempt.relay_ ? OnRelayFailed(aAttempt, aError)
                         : OnEndpointFailed(aAttempt, aError);
}

RequestRun::Next RequestRun::OnEndpointFailed(const RequestAttempt& aAttempt,
                                              const Error& aError)
{
  LogFailedAttempt(aAttempt, aError);
  attempts_.OnFailed(aError);
  RecordLostConnection(aAttempt, aError);
  if (aError.code_ != ResultCode::kEndpointUnreachable) {
    unavailable_.erase(aAttempt.EndpointId());
  } else {
    ++failedConnections_;
    if (!tried_.contains(aAttempt.EndpointId())) {
      unavailable_.insert(aAttempt.EndpointId());
    }
  }
  Exclude(aAttempt);
  if (aError.code_ == ResultCode::kEndpointRefused && IsUnderWay()) {
    if (aAttempt.call_) { // rather than one of its helpers
      used_.OnRefused(aAttempt.EndpointId());
    }
    unavailable_.insert(aAttempt.EndpointId());
    DelayAfterRefusal();
  }
  if (replacement_ || MayRetry(aError)) {
    return Next::kTryAgain;
  }
  EnsureRetryDelay(aError);
  return Next::kEnd;
}

void RequestRun::LogFailedAttempt(const RequestAttempt& aAttempt,
                                  const Error& aError) const
{
  const TimePoint now = TimerService::Now();
  const auto& begunAt = aAttempt.progress_.begunAt_;
  const auto answered =
    begunAt ? duration_cast<milliseconds>(now - *begunAt).count() : -1;
  Log(LogEvent::kAttemptFailed,
      { { "request_id", request_.facts_.attemptId_ },
        { "endpoint", aAttempt.active_->Placement().endpoint_.id_ },
        { "code", static_cast<int>(aError.code_) },
        { "text", aError.text_ },
        { "fingerprint", request_.features_.content_ },
        { "parts", request_.features_.parts_ },
        { "answered_ms", answered },
        { "ran", NameOf(aError.ran_) },
        { "send", sends_ },
        { "last_event", events_.Last().value_or(0) },
        { "elapsed_ms",
          duration_cast<milliseconds>(now - request_.arrived_).count() } });
}

} // namespace gooseberrylift
