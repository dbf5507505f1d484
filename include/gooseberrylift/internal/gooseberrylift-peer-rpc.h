// Signed remote procedure calls between entry hosts: JSON-RPC 2.0 over HTTP,
// each body authenticated by an HMAC under a key that all hosts share.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PEER_RPC_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PEER_RPC_H_

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "gooseberrylift/gooseberrylift-replay-guard.h"
#include "gooseberrylift/internal/gooseberrylift-http-client.h"
#include "gooseberrylift/internal/gooseberrylift-http-server.h"
#include "gooseberrylift/internal/gooseberrylift-json-rpc.h"

namespace gooseberrylift {

// Client and server of these calls. Messages are signed with the first key and
// accepted with any of the keys. To rotate keys, append the new key on all
// hosts, then move it to the front on all hosts, then remove the old one.
// Without keys, which the settings allow only on the loopback address, nothing
// is signed. Thread-safe.
//
//   PeerRpc rpc(client, { .host_ = "entry-1", .keys_ = keys });
//   rpc.Add("exchange", [](const json& aParams) { return json(...); });
//   const auto result = co_await rpc.Call(peer, "exchange", params, deadline);
class PeerRpc
{
public:
  struct Options
  {
    std::string host_;
    std::vector<std::string> keys_;
  };

  struct Target
  {
    std::string host_;
    std::string address_; // IP:port
  };

  using Method = std::function<nlohmann::json(const nlohmann::json& aParams)>;

  PeerRpc(HttpClient& aClient, Options aOptions);

  /// Registers a method. To be called before the first request.
  void Add(const std::string& aName, Method aMethod);

  /// Sets the keys. To be called before the first request.
  void SetKeys(std::vector<std::string> aKeys)
  {
    options_.keys_ = std::move(aKeys);
  }

  /// Sets the addresses that callers may use as the receiver of a call in place
  /// of this host's name, if they do not know the name. To be called before the
  /// first request.
  void SetAddresses(std::set<std::string> aAddresses)
  {
    addresses_ = std::move(aAddresses);
  }

  /// Returns whether an HTTP request is a call from a peer.
  static bool IsRpcRequest(const HttpRequest& aRequest);

  /// Calls a method on a peer.
  /// @return the result, or an error with kPeerUnreachable or kPeerRefused
  boost::asio::awaitable<Outcome<nlohmann::json>> Call(Target aTarget,
                                                       std::string aMethod,
                                                       nlohmann::json aParams,
                                                       TimePoint aDeadline);

  /// Handles one request of the HTTP server.
  boost::asio::awaitable<void> Handle(HttpExchange& aExchange);

  /// Signs a request that a peer is to receive as it is, in additional header
  /// fields. They replace those of the same name.
  /// @return the nonce, by which the peer's outcome is recognized
  std::string SignRelayed(const Target& aTarget,
                          nlohmann::json aTerms,
                          HttpRequest& aRequest);

  // What accompanies a request that was signed by SignRelayed.
  struct RelayedEnvelope
  {
    std::string nonce_;
    nlohmann::json terms_;
  };

  /// Returns whether a request was signed by SignRelayed.
  static bool IsRelayed(const HttpRequest& aRequest);

  /// Verifies a relayed request and removes the added header fields.
  /// @return the envelope, or kPeerRefused if the request is not from a host
  /// with the same keys, is meant for another host, or is a replay
  Outcome<RelayedEnvelope> VerifyRelayed(HttpRequest& aRequest);

  /// Signs the outcome of a relayed request and adds it to the response, which
  /// must not contain an endpoint's response.
  void SignOutcome(const std::string& aNonce,
                   nlohmann::json aOutcome,
                   HttpResponse& aResponse) const;

  /// Returns the outcome in the response to a relayed request; nothing if it
  /// has none that the peer signed for this request.
  std::optional<nlohmann::json> VerifyOutcome(
    const std::string& aNonce,
    const HttpResponse& aResponse) const;

  /// Sets which endpoint the response to a relayed request is from. It replaces
  /// what the endpoint itself sent in that field.
  /// @param aEndpoint empty to only remove the field
  static void SetResponder(const std::string& aEndpoint,
                           HttpResponse& aResponse);

  /// Returns the endpoint that the response to a relayed request is from; empty
  /// if the peer doesn't name it.
  static std::string ResponderOf(const HttpResponse& aResponse);

  /// Returns the total size of the bodies sent and received so far.
  std::uint64_t ByteCount() const { return byteCount_; }

private:
  std::string Sign(const std::string& aBody) const;
  bool IsSigned(const std::string& aBody, std::string_view aSignature) const;
  std::string Dispatch(const Method& aMethod, const std::string& aParams);
  std::optional<std::string> CheckEnvelope(const nlohmann::json& aEnvelope);
  nlohmann::json MakeEnvelope(const Target& aTarget, nlohmann::json aParams);

  HttpClient& client_;
  Options options_;
  std::set<std::string> addresses_;
  JsonRpcServer server_;
  std::string noncePrefix_; // unique to this process
  std::atomic<std::uint64_t> nextNonce_ = 0;
  std::atomic<std::uint64_t> byteCount_ = 0;
  std::mutex mutex_; // guards replayGuard_
  ReplayGuard replayGuard_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PEER_RPC_H_
