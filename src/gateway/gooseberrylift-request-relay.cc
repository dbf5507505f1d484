// The part of RequestRun that relays requests to other hosts.

#include "gooseberrylift/internal/gooseberrylift-request-run.h"

#include "gooseberrylift-connect-timeouts.h"
#include "gooseberrylift-request-errors.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"
#include "gooseberrylift/limits/gooseberrylift-stall-timeout.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// Each host that can't take a request costs a round trip, and digests say
// within a fraction of a second which hosts can.
constexpr std::size_t kMaxRelays = 4;

// The other host reports an endpoint that stalls. It has itself failed if it
// has reported nothing after this multiple of the endpoint's stall timeout.
constexpr double kPeerStallFactor = 1.5;

// Returns whether an error is that of a send to an endpoint, rather than a
// decision on the request, which another host would repeat.
bool IsOfEndpoint(ResultCode aCode)
{
  return aCode >= ResultCode::kEndpointUnreachable &&
         aCode <= ResultCode::kEndpointWithdrawn;
}

milliseconds PeerStallTimeout(const Route& aRoute)
{
  return duration_cast<milliseconds>(EndpointStallTimeout(aRoute) *
                                     kPeerStallFactor);
}

} // namespace

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
  if (request_.relay_ || relays_ >= kMaxRelays) {
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
  return parts_.relays_.Choose({ .service_ = request_.service_,
                                 .allowedZones_ = request_.allowedZones_,
                                 .excluded_ = excludedPeers_,
                                 .draw_ = RandomNumber() });
}

// Records that the request would be late or rejected at the endpoints in reach.
// Returns whether another host takes it instead.
bool RequestRun::MayRelayLate()
{
  lateHere_ = true;
  return sends_ == 0 && ChooseRelay().has_value();
}

asio::awaitable<Outcome<void>> RequestRun::RunAtPeer(PeerMember aPeer,
                                                     Next& aNext)
{
  ++relays_;
  LogRelayed(aPeer);
  RelayClient::Target target(parts_.relays_,
                             std::move(aPeer),
                             request_.service_,
                             PeerStallTimeout(*request_.route_));
  retry_.OnRelayed();
  const auto done = co_await SendToPeer(target);
  const bool refusedByHost = target.OnEnded(done, relayReason_);
  retry_.OnRelayEnded(!refusedByHost);
  if (!done) {
    aNext = OnRelayFailed(target, done.error(), refusedByHost);
  }
  co_return done;
}

asio::awaitable<Outcome<void>> RequestRun::SendToPeer(
  RelayClient::Target& aTarget)
{
  const TimePoint startTime = TimerService::Now();
  progress_ = {};
  progress_.OnSent(startTime);
  RelayTerms terms;
  terms.from_ = parts_.host_;
  terms.generation_ = request_.table_->Version();
  terms.waited_ =
    duration_cast<milliseconds>(startTime - request_.firstArrived_);
  terms.mayMove_ =
    request_.route_->IsRepeatable() && sends_ + 1 < MaxAttempts();
  terms.tried_ = Tried();
  HttpRequest send = parts_.dialect_.MakeRelayRequest(
    exchange_.Request(), RemainingTime(), events_.Last());
  HttpClient::CallOptions options;
  options.connectTimeout_ = kEndpointConnectTimeout;
  options.checkBeforeWrite_ = [this] { return CheckFirstByte(); };
  if (!request_.route_->IsRepeatable()) {
    options.maxIdle_ = kNonRepeatableMaxIdle;
  }
  auto sent = co_await aTarget.Send(
    std::move(send), std::move(terms), request_.deadline_, options);
  if (!sent && sent.error().ran_ == RanState::kNo) {
    timeOnUnsentAttempts_ += TimerService::Now() - startTime;
    co_return sent.error();
  }
  // Until the host reports otherwise, an endpoint may have the request.
  ++sends_;
  if (!sent) {
    co_return sent.error();
  }
  co_return co_await ForwardResponse(*sent.value(), aTarget);
}

RequestRun::Next RequestRun::OnRelayFailed(const RelayClient::Target& aTarget,
                                           const Error& aError,
                                           bool aRefusedByHost)
{
  if (const auto& reported = aTarget.Reported()) {
    sends_ += reported->sends_ - 1;
    tried_.insert(reported->tried_.begin(), reported->tried_.end());
  }
  Log(LogEvent::kRelayFailed,
      { { "request_id", request_.facts_.attemptId_ },
        { "to", aTarget.Peer().host_ },
        { "code", static_cast<int>(aError.code_) },
        { "text", aError.text_ },
        { "ran", NameOf(aError.ran_) },
        { "refused_by_host", aRefusedByHost },
        { "send", sends_ },
        { "elapsed_ms",
          duration_cast<milliseconds>(TimerService::Now() - request_.arrived_)
            .count() } });
  if (aRefusedByHost) {
    // Says nothing about the request, so that it doesn't become its result.
    excludedPeers_.insert(aTarget.Peer().host_);
    attempts_.OnRefused(MakeError(ResultCode::kLinksLost));
    return Next::kTryAgain;
  }
  attempts_.OnFailed(aError);
  if (IsOfEndpoint(aError.code_) && MayRetry(aError)) {
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
