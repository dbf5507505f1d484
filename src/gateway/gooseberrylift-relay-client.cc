#include "gooseberrylift/internal/gooseberrylift-relay-client.h"

#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;

void RelayClient::SetPeers(std::vector<Digest> aLive)
{
  const std::lock_guard lock(mutex_);
  relayPeers_.SetPeers(std::move(aLive));
}

std::optional<PeerMember> RelayClient::Choose(const RelayQuery& aQuery) const
{
  if (parts_.peers_.Rpc() == nullptr) {
    return std::nullopt;
  }
  const std::lock_guard lock(mutex_);
  return relayPeers_.Choose(aQuery, TimerService::Now());
}

RelayClient::Target::Target(RelayClient& aClient,
                            PeerMember aPeer,
                            std::string aService,
                            std::chrono::milliseconds aStallTimeout)
  : client_(aClient)
  , peer_(std::move(aPeer))
  , service_(std::move(aService))
  , stallTimeout_(aStallTimeout)
  , lastDataAt_(TimerService::Now())
{
  const std::lock_guard lock(client_.mutex_);
  client_.relayPeers_.OnSent(peer_.host_);
}

RelayClient::Target::~Target()
{
  const std::lock_guard lock(client_.mutex_);
  client_.relayPeers_.OnEnded(peer_.host_);
}

asio::awaitable<Outcome<std::unique_ptr<HttpCall>>> RelayClient::Target::Send(
  HttpRequest aRequest,
  RelayTerms aTerms,
  TimePoint aDeadline,
  HttpClient::CallOptions aOptions)
{
  const PeerRpc::Target target{ .host_ = peer_.host_,
                                .address_ = peer_.address_ };
  nonce_ = client_.parts_.peers_.Rpc()->SignRelayed(
    target, RelayTermsToJson(aTerms), aRequest);
  auto call = co_await client_.parts_.client_.Send(
    peer_.address_, std::move(aRequest), aDeadline, std::move(aOptions));
  if (!call && call.error().code_ == ResultCode::kEndpointUnreachable) {
    Error error = call.error();
    error.code_ = ResultCode::kPeerUnreachable;
    co_return error;
  }
  co_return call;
}

bool RelayClient::Target::OnEnded(const Outcome<void>& aDone,
                                  RelayReason aReason)
{
  const int code = aDone ? 0 : static_cast<int>(aDone.error().code_);
  client_.parts_.metrics_.Count("gooseberrylift_requests_relayed_total",
                                "reason=\"" + std::string(NameOf(aReason)) +
                                  "\",code=\"" + std::to_string(code) + "\"");
  const bool refused =
    reported_ ? IsRefusedByHost(*reported_)
              : !aDone && aDone.error().code_ == ResultCode::kPeerUnreachable;
  if (refused) {
    const std::lock_guard lock(client_.mutex_);
    client_.relayPeers_.OnRefused(peer_.host_, service_, TimerService::Now());
  }
  return refused;
}

void RelayClient::Target::OnDataReceived(bool /*aFirst*/)
{
  lastDataAt_ = TimerService::Now();
}

bool RelayClient::Target::IsStalled() const
{
  return TimerService::Now() - lastDataAt_ >= stallTimeout_;
}

EndpointActivity RelayClient::Target::Activity() const
{
  const auto silence = std::chrono::duration_cast<std::chrono::milliseconds>(
    TimerService::Now() - lastDataAt_);
  return { .requestSilence_ = silence, .hostSilence_ = silence };
}

std::optional<Error> RelayClient::Target::FindError(const HttpResponse& aHead)
{
  const auto document =
    client_.parts_.peers_.Rpc()->VerifyOutcome(nonce_, aHead);
  if (!document) {
    return std::nullopt;
  }
  reported_ = RelayOutcomeFromJson(*document);
  if (!reported_) {
    return Error{ .code_ = ResultCode::kPeerRefused,
                  .text_ = "unreadable outcome",
                  .ran_ = RanState::kUnknown };
  }
  return reported_->error_;
}

void RelayClient::Target::OnNotExecuted(
  const EndpointResponseMetadata& /*aFacts*/)
{
}

} // namespace gooseberrylift
