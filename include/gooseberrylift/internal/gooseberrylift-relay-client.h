// Relays requests to other hosts, which send them over their own links.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_RELAY_CLIENT_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_RELAY_CLIENT_H_

#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "gooseberrylift/internal/gooseberrylift-attempt-target.h"
#include "gooseberrylift/internal/gooseberrylift-http-client.h"
#include "gooseberrylift/internal/gooseberrylift-peer-exchange.h"
#include "gooseberrylift/membership/gooseberrylift-relay-message.h"
#include "gooseberrylift/membership/gooseberrylift-relay-peers.h"
#include "gooseberrylift/routing/gooseberrylift-relay-decision.h"

namespace gooseberrylift {

// Thread-safe.
class RelayClient
{
public:
  struct Parts
  {
    HttpClient& client_;
    PeerExchange& peers_;
    Metrics& metrics_;
  };

  RelayClient(Parts aParts, RelayPeers::Options aOptions)
    : parts_(aParts)
    , relayPeers_(std::move(aOptions))
  {
  }

  /// Sets the digests of the live hosts.
  void SetPeers(std::vector<Digest> aLive);

  /// Chooses a host for a request; nothing if none can take it.
  std::optional<PeerMember> Choose(const RelayQuery& aQuery) const;

  // The host that a request was relayed to, and what it reports about it.
  class Target : public AttemptTarget
  {
  public:
    Target(RelayClient& aClient,
           PeerMember aPeer,
           std::string aService,
           std::chrono::milliseconds aStallTimeout);
    ~Target() override;
    Target(const Target&) = delete;
    Target& operator=(const Target&) = delete;

    const PeerMember& Peer() const { return peer_; }

    /// Sends a request; see HttpClient::Send.
    /// @return the call, or an error: kPeerUnreachable if nothing was sent
    boost::asio::awaitable<Outcome<std::unique_ptr<HttpCall>>> Send(
      HttpRequest aRequest,
      RelayTerms aTerms,
      TimePoint aDeadline,
      HttpClient::CallOptions aOptions);

    /// Returns what the host reported; nothing if it passed on an endpoint's
    /// response or did not respond.
    const std::optional<RelayOutcome>& Reported() const { return reported_; }

    /// Counts how the attempt ended, and remembers a host that could not take
    /// the request.
    /// @return whether another host may take it
    bool OnEnded(const Outcome<void>& aDone, RelayReason aReason);

    void OnDataReceived(bool aFirst) override;
    bool IsStalled() const override;
    std::string Name() const override { return peer_.host_; }
    EndpointActivity Activity() const override;
    std::optional<Error> FindError(const HttpResponse& aHead) override;
    void OnNotExecuted(const EndpointResponseMetadata& aFacts) override;
    // Hosts respond with a length or in chunks.
    boost::asio::awaitable<bool> HasExited() override { co_return false; }

  private:
    RelayClient& client_;
    PeerMember peer_;
    std::string service_;
    std::chrono::milliseconds stallTimeout_;
    TimePoint lastDataAt_;
    std::string nonce_; // of the request
    std::optional<RelayOutcome> reported_;
  };

private:
  Parts parts_;
  mutable std::mutex mutex_; // guards relayPeers_
  RelayPeers relayPeers_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_RELAY_CLIENT_H_
