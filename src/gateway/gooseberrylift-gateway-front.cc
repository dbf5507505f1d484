#include "gooseberrylift/internal/gooseberrylift-gateway-front.h"

#include <algorithm>
#include <utility>

#include <boost/asio/this_coro.hpp>
#include <boost/system/system_error.hpp>

#include "gooseberrylift-request-errors.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"
#include "gooseberrylift/limits/gooseberrylift-memory-budget.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// For a host that has just started: the store responds within a few
// milliseconds, and the caller can use other hosts meanwhile.
constexpr milliseconds kConfigurationRetryDelay{ 300 };

// How long a starting host holds a request while its routes or endpoints are
// not yet known to be current.
constexpr milliseconds kFirstReadWait{ 400 };
constexpr milliseconds kFirstReadPollInterval{ 10 };

// The host that received a request from its caller counts it, also if it
// relayed it.
const char* RequestCounter(bool aRelayed)
{
  return aRelayed ? "gooseberrylift_relayed_requests_total"
                  : "gooseberrylift_requests_total";
}

Error MakeNotConfiguredError()
{
  Error error = MakeError(ResultCode::kNoConfiguration);
  error.retryAfter_ = kConfigurationRetryDelay;
  return error;
}

bool IsCancellation(const Outcome<void>& aDone)
{
  return !aDone && aDone.error().code_ == ResultCode::kCallerLeft;
}

Error MakeStoppingError()
{
  Error error = MakeError(ResultCode::kShuttingDown);
  error.retryAfter_ = RandomRetryDelay();
  return error;
}

} // namespace

int HttpStatusOf(const Error& aError)
{
  if (aError.code_ == ResultCode::kUnknownTeamKey) {
    return 401; // expected by client libraries and the fleet's callers
  }
  const int status = InfoOf(aError.code_).httpStatus_;
  const bool meansNotRun =
    status == 408 || status == 421 || status == 429 || status == 503;
  if (aError.ran_ != RanState::kNo) {
    return meansNotRun ? 502 : status;
  }
  return status >= 500 ? 503 : status;
}

GatewayFront::GatewayFront(Parts aParts)
  : parts_(std::move(aParts))
{
}

Outcome<RoutedRequest> GatewayFront::Resolve(
  const HttpRequest& aRequest,
  CallerRequestMetadata aFacts,
  TimePoint aArrived,
  std::optional<TimePoint> aLatestEnd)
{
  RoutedRequest request{ .id_ = ++nextId_,
                         .table_ = parts_.board_.routes_.Read()->table_,
                         .arrived_ = aArrived,
                         .firstArrived_ = aArrived };
  request.facts_ = std::move(aFacts);
  if (!request.table_) {
    return MakeNotConfiguredError();
  }
  request.route_ = request.table_->Match(request.facts_.host_, aRequest.Path());
  if (request.route_ == nullptr) {
    return MakeError(ResultCode::kUnknownRoute);
  }
  request.priority_ = request.route_->priority_;
  std::vector<std::string> teamRegions;
  if (request.table_->NeedsKeys() && !request.route_->public_) {
    // With an outdated key list, a revoked key could be accepted and a new one
    // rejected.
    if (!parts_.run_.routes_.AreKeysProven()) {
      Error error = MakeError(ResultCode::kFreshnessLost);
      error.retryAfter_ = kConfigurationRetryDelay;
      return error;
    }
    const RoutedTeam* team = request.table_->TeamByKey(request.facts_.teamKey_);
    if (team == nullptr) {
      return MakeError(request.facts_.teamKey_.empty()
                         ? ResultCode::kMissingTeamKey
                         : ResultCode::kUnknownTeamKey);
    }
    request.team_ = team->name_;
    teamRegions = team->allowedRegions_;
    request.priority_ = team->priority_.value_or(request.priority_);
    request.authenticatedByKey_ = true;
  }
  request.allowedZones_ = AllowedZonesOf(
    request.route_->allowedRegions_,
    teamRegions,
    parts_.board_.gatewaySettings_.Read()->gatewaySettings_.zoneRegions_);
  request.features_ = MakeRequestFeatures(
    RequestFingerprint(
      aRequest.target_, request.facts_.teamKey_, aRequest.body_.Text()),
    std::exchange(request.facts_.promptParts_, {}));
  request.identified_ = !aRequest.body_.Text().empty();
  request.service_ = RouteTable::ChooseService(*request.route_, RandomNumber());
  const milliseconds timeout =
    request.facts_.callerTimeout_.value_or(request.route_->timeout_);
  request.deadline_ = aArrived + std::min(timeout, request.route_->timeout_);
  if (aLatestEnd && request.deadline_ > *aLatestEnd) {
    return MakeStoppingError();
  }
  return request;
}

std::optional<HttpResponse> GatewayFront::CheckHead(
  const HttpRequest& aHead,
  std::optional<TimePoint> aLatestEnd)
{
  const TimePoint now = TimerService::Now();
  CallerRequestMetadata facts = parts_.dialect_.ParseCallerRequest(aHead);
  const std::string attemptId = facts.attemptId_;
  const auto request = Resolve(aHead, std::move(facts), now, aLatestEnd);
  if (request || request.error().code_ == ResultCode::kNoConfiguration ||
      request.error().code_ == ResultCode::kFreshnessLost) {
    return std::nullopt;
  }
  RecordFailure(attemptId, {}, request.error(), now, nullptr);
  return parts_.dialect_.MakeHostErrorResponse(
    HttpStatusOf(request.error()), request.error(), attemptId);
}

void GatewayFront::RecordMemoryFull(const HttpRequest& aHead)
{
  RecordFailure(parts_.dialect_.ParseCallerRequest(aHead).attemptId_,
                {},
                MakeMemoryFullError(),
                TimerService::Now(),
                nullptr);
}

// Applies what the caller was told if it was rejected before.
void GatewayFront::ApplyPromise(RoutedRequest& aRequest)
{
  if (!aRequest.identified_) {
    return;
  }
  const ArrivedReturn arrived = parts_.run_.promises_.OnArrived(
    aRequest.facts_.attemptId_, aRequest.features_.content_);
  if (arrived.kind_ == ReturnKind::kNone) {
    return;
  }
  if (arrived.kind_ == ReturnKind::kClaim) {
    aRequest.firstArrived_ = arrived.firstArrived_;
  }
  aRequest.returnedEarly_ = arrived.kind_ == ReturnKind::kEarly;
  parts_.run_.loadExchange_.OnListsChanged();
}

// After a fleet-wide power loss, callers reconnect before the routes are proven
// to be current, and each rejection would use up one of a caller's few retries.
asio::awaitable<void> GatewayFront::WaitForFirstRead()
{
  const TimePoint limit = TimerService::Now() + kFirstReadWait;
  while (parts_.expediteFirstRead_() && TimerService::Now() < limit) {
    co_await TimerService::SleepFor(kFirstReadPollInterval);
  }
}

asio::awaitable<void> GatewayFront::Handle(HttpExchange& aExchange)
{
  const TimePoint arrived = TimerService::Now();
  bool stopped = false;
  try {
    co_await WaitForFirstRead();
  } catch (const boost::system::system_error&) {
    stopped = aExchange.Reason() == AbortReason::kStopping;
    if (!stopped) {
      throw;
    }
  }
  if (stopped) {
    co_await asio::this_coro::reset_cancellation_state();
    co_await SendStoppingError(aExchange, arrived);
    co_return;
  }
  co_await Serve(aExchange, arrived, nullptr);
}

asio::awaitable<void> GatewayFront::SendStoppingError(HttpExchange& aExchange,
                                                      TimePoint aArrived)
{
  const std::string attemptId =
    parts_.dialect_.ParseCallerRequest(aExchange.Request()).attemptId_;
  RelayOutcome outcome;
  outcome.error_ = MakeStoppingError();
  RecordFailure(attemptId, {}, outcome.error_, aArrived, nullptr);
  co_await SendErrorResponse(aExchange, attemptId, outcome, nullptr);
}

asio::awaitable<void> GatewayFront::HandleRelayed(HttpExchange& aExchange,
                                                  Relayed aRelayed)
{
  co_await Serve(aExchange, TimerService::Now(), &aRelayed);
}

asio::awaitable<void> GatewayFront::Serve(HttpExchange& aExchange,
                                          TimePoint aArrived,
                                          const Relayed* aRelayed)
{
  CallerRequestMetadata facts =
    parts_.dialect_.ParseCallerRequest(aExchange.Request());
  const std::string attemptId = facts.attemptId_;
  auto request = Resolve(
    aExchange.Request(), std::move(facts), aArrived, aExchange.LatestEnd());
  if (request && aRelayed != nullptr &&
      request.value().table_->Version() < aRelayed->terms_.generation_) {
    request = MakeNotConfiguredError();
  }
  RelayOutcome outcome;
  if (!request) {
    outcome.error_ = request.error();
    RecordFailure(attemptId, {}, request.error(), aArrived, aRelayed);
    co_await SendErrorResponse(aExchange, attemptId, outcome, aRelayed);
    co_return;
  }
  RoutedRequest& routed = request.value();
  if (aRelayed != nullptr) {
    routed.relay_ = aRelayed->terms_;
    routed.firstArrived_ = aArrived - aRelayed->terms_.waited_;
  } else {
    // The host that received a relayed request has done this.
    ApplyPromise(routed);
    parts_.run_.retryBudget_.OnRequest(routed.service_, aArrived);
    parts_.run_.poisonRequestMonitor_.OnArrived(routed.features_);
  }
  aExchange.SetDeadline(routed.deadline_);
  RequestRun run(parts_.run_, aExchange, routed);
  const auto done = co_await RunRequest(aExchange, run);
  if (done) {
    RecordSuccess(routed, run);
    co_return;
  }
  RecordFailure(
    attemptId, routed.route_->name_, done.error(), aArrived, aRelayed);
  if (run.Status() != 0) {
    RecordTruncation(routed, run, done.error(), aExchange.Reason());
  }
  if (done.error().code_ == ResultCode::kCallerLeft && run.Status() == 0) {
    parts_.metrics_.Count("gooseberrylift_callers_left_total",
                          run.Sends() > 0 ? "sent=\"yes\"" : "sent=\"no\"");
  }
  if (!aExchange.ResponseStarted()) {
    outcome = { .error_ = done.error(),
                .sends_ = run.Sends(),
                .tried_ = run.Tried() };
    co_await SendErrorResponse(aExchange, attemptId, outcome, aRelayed);
  }
  // A started stream is left unfinished, which tells the caller that it is
  // truncated.
}

asio::awaitable<Outcome<void>> GatewayFront::RunRequest(HttpExchange& aExchange,
                                                        RequestRun& aRun)
{
  Outcome<void> done = boost::outcome_v2::success();
  bool aborted = false;
  try {
    done = co_await aRun.Run();
  } catch (const boost::system::system_error&) {
    aborted = true; // the awaited operation was cancelled; see Reason()
  }
  co_await asio::this_coro::reset_cancellation_state();
  const bool stopped = aExchange.Reason() == AbortReason::kStopping;
  // An operation that is cancelled may also end with an error, which doesn't
  // tell what cancelled it.
  const bool cancelled = aborted || stopped || IsCancellation(done);
  if (!aborted && (done || !cancelled)) {
    co_return done;
  }
  Error error =
    MakeError(ResultCodeOf(aExchange.Reason(), ResultCode::kCallerLeft));
  error.ran_ = aRun.Sends() > 0 ? RanState::kUnknown : RanState::kNo;
  if (stopped && error.ran_ == RanState::kNo) {
    error.retryAfter_ = RandomRetryDelay();
  }
  co_return error;
}

asio::awaitable<void> GatewayFront::SendErrorResponse(
  HttpExchange& aExchange,
  const std::string& aAttemptId,
  RelayOutcome aOutcome,
  const Relayed* aRelayed)
{
  if (aExchange.Reason() == AbortReason::kCallerLeft ||
      aExchange.Reason() == AbortReason::kCallerStalled) {
    co_return;
  }
  HttpResponse answer = parts_.dialect_.MakeHostErrorResponse(
    HttpStatusOf(aOutcome.error_), aOutcome.error_, aAttemptId);
  if (aRelayed != nullptr) {
    aRelayed->signOutcome_(aOutcome, answer);
  }
  co_await aExchange.Send(std::move(answer));
}

void GatewayFront::RecordSuccess(const RoutedRequest& aRequest,
                                 const RequestRun& aRun)
{
  const std::string kind(NameOf(aRequest.route_->kind_));
  parts_.metrics_.Count(RequestCounter(aRequest.relay_.has_value()),
                        "code=\"0\",kind=\"" + kind + "\"");
  if (aRun.TimeToFirstByte() && !aRequest.relay_) {
    parts_.metrics_.RecordFirstToken(aRequest.service_,
                                     aRequest.facts_.promptTokens_,
                                     *aRun.TimeToFirstByte());
  }
  Log(LogEvent::kRequestServed,
      { { "request_id", aRequest.facts_.attemptId_ },
        { "route", aRequest.route_->name_ },
        { "status", aRun.Status() },
        { "sends", aRun.Sends() },
        { "relayed_from", aRequest.relay_ ? aRequest.relay_->from_ : "" },
        { "first_ms",
          aRun.TimeToFirstByte()
            ? duration_cast<milliseconds>(*aRun.TimeToFirstByte()).count()
            : -1 },
        { "longest_gap_ms",
          duration_cast<milliseconds>(aRun.LongestGap()).count() },
        { "whole_ms",
          duration_cast<milliseconds>(TimerService::Now() - aRequest.arrived_)
            .count() } });
}

void GatewayFront::RecordTruncation(const RoutedRequest& aRequest,
                                    const RequestRun& aRun,
                                    const Error& aError,
                                    AbortReason aReason)
{
  const int code = static_cast<int>(aError.code_);
  parts_.metrics_.Count("gooseberrylift_responses_truncated_total",
                        "code=\"" + std::to_string(code) + "\",reason=\"" +
                          std::string(NameOf(aReason)) + "\"");
  const RequestRun::Progress progress = aRun.CurrentProgress();
  Log(LogEvent::kResponseTruncated,
      { { "request_id", aRequest.facts_.attemptId_ },
        { "route", aRequest.route_->name_ },
        { "generation", aRequest.table_->Version() },
        { "code", code },
        { "text", aError.text_ },
        { "reason", std::string(NameOf(aReason)) },
        { "last_event", progress.lastEvent_ },
        { "since_last_write_ms", progress.sinceLastWrite_.count() },
        { "sends", aRun.Sends() },
        { "relays", progress.relays_ },
        { "endpoints_failed", aRun.Tried() },
        { "keys_proven", parts_.run_.routes_.AreKeysProven() },
        { "relayed_from", aRequest.relay_ ? aRequest.relay_->from_ : "" },
        { "elapsed_ms",
          duration_cast<milliseconds>(TimerService::Now() - aRequest.arrived_)
            .count() } });
}

void GatewayFront::RecordFailure(const std::string& aAttemptId,
                                 const std::string& aRoute,
                                 const Error& aError,
                                 TimePoint aArrived,
                                 const Relayed* aRelayed)
{
  const int code = static_cast<int>(aError.code_);
  parts_.metrics_.Count(RequestCounter(aRelayed != nullptr),
                        "code=\"" + std::to_string(code) + "\"");
  Log(LogEvent::kRequestFailed,
      { { "request_id", aAttemptId },
        { "route", aRoute },
        { "code", code },
        { "status", HttpStatusOf(aError) },
        { "text", aError.text_ },
        { "ran", NameOf(aError.ran_) },
        { "relayed_from", aRelayed != nullptr ? aRelayed->terms_.from_ : "" },
        { "retry_after_ms",
          aError.retryAfter_ ? aError.retryAfter_->count() : -1 },
        { "elapsed_ms",
          duration_cast<milliseconds>(TimerService::Now() - aArrived)
            .count() } });
}

} // namespace gooseberrylift
