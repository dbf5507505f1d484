// The part of RequestRun that relays requests to other hosts.

#include "gooseberrylift/internal/gooseberrylift-request-run.h"

#include "gooseberrylift-connect-timeouts.h"
#include "gooseberrylift-request-errors.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"
#include "gooseberrylift/limits/gooseberrylift-stall-timeout.h"
#include "gooseberrylift/limits/gooseberrylift-started-response.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// Each host that can't take a request costs a round trip, and digests say
// within a fraction of a second which hosts can.
constexpr std::size_t kMaxRelays = 4;

// What the other host relays arrives later than what an endpoint sends to this
// one.
constexpr double kPeerStallFactor = 1.25;

// Returns whether an error is that of a send to an endpoint, rather than a
// decision on the request, which another host would repeat.
bool IsOfEndpoint(ResultCode aCode)
{
  return aCode >= ResultCode::kEndpointUnreachable &&
         aCode <= ResultCode::kEndpointWithdrawn;
}

} // namespace

// Returns the time without data from another host after which a request that
// was relayed to it is stalled.
milliseconds RequestRun::PeerStallTimeout() const
{
  return duration_cast<milliseconds>(EndpointStallTimeout(*request_.route_) *
                                     kPeerStallFactor);
}

// Returns whether to wait until it is known whether the links are lost, which
// takes one round of probes. A request that has failed would otherwise spend
// its last attempt on an endpoint behind the same links.
bool RequestRun::MustAwaitLinkState() const
{
  const bool failed = sends_ > 0 || failedConnections_ > 0;
  return failed && !request_.relay_ &&
         parts_.links_.StateOf(request_.service_) == LinkState::kSuspected;
}

// Returns the host to which to relay the request; nothing if this host sends it
// itself.
std::optional<PeerMember> RequestRun::ChooseRelay()
{
  const bool wasRelayedOften = relays_ >= kMaxRelays && !IsUnderWay();
  if (request_.relay_ || wasRelayedOften || !HasAttemptLeft()) {
    return std::nullopt;
  }
  RelayInput input{ .linksLost_ = parts_.links_.StateOf(request_.service_) ==
                                  LinkState::kLost,
                    .failedConnections_ = failedConnections_,
                    .lateHere_ = lateHere_ };
  if (lateHere_) {
    input.endpoints_ = parts_.fleet_.Access().CountUsable(
      request_.service_, request_.allowedZones_);
    input.unreachable_ = parts_.fleet_.Loads().With(
      request_.service_, [](const ServiceLoad& aLoad) {
        return aLoad.outlierDetector_.CountUnreachable();
      });
  }
  relayReason_ = DecideRelay(input);
  if (relayReason_ == RelayReason::kNone) {
    return std::nullopt;
  }
  return ChoosePeer();
}

std::optional<PeerMember> RequestRun::ChoosePeer() const
{
  RelayQuery query{ .service_ = request_.service_,
                    .allowedZones_ = request_.allowedZones_,
                    .excluded_ = excludedPeers_,
                    .draw_ = RandomNumber() };
  query.excluded_.insert(silentPeers_.begin(), silentPeers_.end());
  auto peer = parts_.relays_.Choose(query);
  if (!peer && stalled_ == 0) {
    // A host that was silent may have gone on since.
    query.excluded_ = excludedPeers_;
    peer = parts_.relays_.Choose(query);
  }
  return peer;
}

// Records that the request would be late or rejected at the endpoints in reach.
// Returns whether another host takes it instead.
bool RequestRun::MayRelayLate()
{
  lateHere_ = true;
  return sends_ == 0 && ChooseRelay().has_value();
}

asio::awaitable<Outcome<void>> RequestRun::SendToPeer(RequestAttempt& aAttempt)
{
  const TimePoint startTime = TimerService::Now();
  retry_.OnRelayed();
  RelayTerms terms;
  terms.from_ = parts_.host_;
  terms.generation_ = request_.table_->Version();
  terms.waited_ =
    duration_cast<milliseconds>(startTime - request_.firstArrived_);
  terms.mayMove_ =
    request_.route_->IsRepeatable() && used_.Count() + 1 < MaxAttempts();
  terms.admitted_ = IsAdmitted();
  const auto failed = used_.SentAndFailed(FailedEndpoints());
  terms.tried_ = { failed.begin(), failed.end() };
  if (const auto allowed = AllowedNext()) {
    terms.only_ = { allowed->begin(), allowed->end() };
  }
  HttpRequest send = parts_.dialect_.MakeRelayRequest(
    exchange_.Request(), RemainingTime(), events_.Last());
  HttpClient::CallOptions options;
  options.connectTimeout_ = kEndpointConnectTimeout;
  options.checkBeforeWrite_ = [this, &aAttempt] {
    return OnFirstByte(aAttempt);
  };
  if (!request_.route_->IsRepeatable()) {
    options.maxIdle_ = kNonRepeatableMaxIdle;
  }
  auto sent = co_await aAttempt.relay_->Send(
    std::move(send), std::move(terms), request_.deadline_, options);
  if (!sent) {
    co_return sent.error();
  }
  aAttempt.call_ = std::move(sent.value());
  co_return boost::outcome_v2::success();
}

// Counts what another host did with the request.
void RequestRun::ApplyReport(const RelayOutcome& aReported)
{
  // The endpoint has refused it, or that host did not reach one.
  const bool isUnavailable =
    aReported.sends_ == 0 ||
    (IsUnderWay() && aReported.error_.ran_ == RanState::kNo);
  sends_ += aReported.sends_ - 1;
  used_.OnReported(isUnavailable ? 0 : aReported.sends_);
  for (const std::string& endpoint : aReported.tried_) {
    if (!isUnavailable) {
      unavailable_.erase(endpoint);
    } else if (!tried_.contains(endpoint)) {
      unavailable_.insert(endpoint);
    }
    tried_.insert(endpoint);
  }
  if (isUnavailable && IsUnderWay()) {
    DelayAfterRefusal();
  }
}

RequestRun::Next RequestRun::OnRelayFailed(const RequestAttempt& aAttempt,
                                           const Error& aError)
{
  const RelayClient::Target& target = *aAttempt.relay_;
  if (const auto& reported = target.Reported()) {
    ApplyReport(*reported);
  }
  Log(LogEvent::kRelayFailed,
      { { "request_id", request_.facts_.attemptId_ },
        { "to", target.Peer().host_ },
        { "endpoint", aAttempt.EndpointId() },
        { "code", static_cast<int>(aError.code_) },
        { "text", aError.text_ },
        { "ran", NameOf(aError.ran_) },
        { "refused_by_host", aAttempt.refusedByHost_ },
        { "send", sends_ },
        { "elapsed_ms",
          duration_cast<milliseconds>(TimerService::Now() - request_.arrived_)
            .count() } });
  if (aAttempt.refusedByHost_) {
    // Says nothing about the request, so that it doesn't become its result.
    excludedPeers_.insert(target.Peer().host_);
    attempts_.OnRefused(MakeError(ResultCode::kLinksLost));
    // It may be that host which does not reach the only endpoint left.
    return HasAttemptLeft() ? Next::kTryAgain : Next::kEnd;
  }
  attempts_.OnFailed(aError);
  if (aError.code_ == ResultCode::kEndpointFailed &&
      !aAttempt.relayedTo_.empty()) {
    tried_.insert(aAttempt.relayedTo_);
    unavailable_.erase(aAttempt.relayedTo_);
  }
  const bool mayPass = streamStarted_ && aError.ran_ == RanState::kNo &&
                       !EndsStartedResponse(aError.code_) && HasAttemptLeft();
  if (replacement_ || mayPass ||
      (IsOfEndpoint(aError.code_) && MayRetry(aError))) {
    return Next::kTryAgain;
  }
  EnsureRetryDelay(aError);
  return Next::kEnd;
}

void RequestRun::LogRelayed(const PeerMember& aPeer) const
{
  Log(LogEvent::kRequestRelayed,
      { { "request_id", request_.facts_.attemptId_ },
        { "service", request_.service_ },
        { "to", aPeer.host_ },
        { "to_zone", aPeer.zone_ },
        { "reason", std::string(NameOf(relayReason_)) },
        { "failed_connections", failedConnections_ },
        { "relay", relays_ },
        { "send", sends_ + 1 },
        { "elapsed_ms",
          duration_cast<milliseconds>(TimerService::Now() - request_.arrived_)
            .count() } });
}

} // namespace gooseberrylift
