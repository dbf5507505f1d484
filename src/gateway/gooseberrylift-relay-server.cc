#include "gooseberrylift/internal/gooseberrylift-relay-server.h"

#include "gooseberrylift-request-errors.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"

namespace gooseberrylift {

namespace asio = boost::asio;

namespace {

// Counts an active request while it exists.
class ActiveCount
{
public:
  explicit ActiveCount(std::atomic<std::size_t>& aCount)
    : count_(aCount)
  {
    ++count_;
  }
  ~ActiveCount() { --count_; }
  ActiveCount(const ActiveCount&) = delete;
  ActiveCount& operator=(const ActiveCount&) = delete;

private:
  std::atomic<std::size_t>& count_;
};

} // namespace

std::optional<Error> RelayServer::FindRefusal() const
{
  // The sender chooses another host. Accepted, the request might be cut off at
  // the end of the shutdown.
  if (parts_.board_.host_.Read()->draining_) {
    return MakeError(ResultCode::kShuttingDown);
  }
  if (active_ > options_.maxActive_) {
    return MakeError(ResultCode::kRelayFull);
  }
  return std::nullopt;
}

asio::awaitable<void> RelayServer::Handle(HttpExchange& aExchange)
{
  PeerRpc* rpc = parts_.peers_.Rpc();
  if (rpc == nullptr) {
    co_await aExchange.Send(
      ErrorResponse(MakeError(ResultCode::kPeerRefused), {}));
    co_return;
  }
  const auto envelope = rpc->VerifyRelayed(aExchange.MutableRequest());
  if (!envelope) {
    co_await aExchange.Send(ErrorResponse(envelope.error(), {}));
    co_return;
  }
  const std::string nonce = envelope.value().nonce_;
  const auto terms = RelayTermsFromJson(envelope.value().terms_);
  const ActiveCount count(active_);
  auto refusal = FindRefusal();
  if (!terms) {
    refusal = MakeError(ResultCode::kPeerRefused, "unreadable terms");
  }
  parts_.metrics_.Count("gooseberrylift_relayed_requests_received_total",
                        refusal ? "accepted=\"no\"" : "accepted=\"yes\"");
  if (refusal) {
    co_await Refuse(aExchange, nonce, *refusal);
    co_return;
  }
  const GatewayFront::Relayed relayed{
    .terms_ = *terms,
    .signOutcome_ =
      [rpc, nonce](const RelayOutcome& aOutcome, HttpResponse& aResponse) {
        rpc->SignOutcome(nonce, RelayOutcomeToJson(aOutcome), aResponse);
      }
  };
  co_await parts_.front_.HandleRelayed(aExchange, relayed);
}

asio::awaitable<void> RelayServer::Refuse(HttpExchange& aExchange,
                                          std::string aNonce,
                                          Error aError)
{
  aError.retryAfter_ = RandomRetryDelay();
  HttpResponse response = ErrorResponse(aError, {});
  RelayOutcome outcome;
  outcome.error_ = aError;
  parts_.peers_.Rpc()->SignOutcome(
    aNonce, RelayOutcomeToJson(outcome), response);
  co_await aExchange.Send(std::move(response));
}

} // namespace gooseberrylift
