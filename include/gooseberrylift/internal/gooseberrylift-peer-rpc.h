// Signed calls between entry hosts: JSON-RPC 2.0 in HTTP bodies, each body
// under an HMAC of a key that all hosts share.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PEER_RPC_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PEER_RPC_H_

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "gooseberrylift/gooseberrylift-replay-guard.h"
#include "gooseberrylift/internal/gooseberrylift-http-client.h"
#include "gooseberrylift/internal/gooseberrylift-http-server.h"
#include "gooseberrylift/internal/gooseberrylift-json-rpc.h"

namespace gooseberrylift {

// Both ends of the calls. The first key signs and every key is accepted; to
// rotate, add the new key last on all hosts, then move it to the front on all,
// then remove the old one. Without keys, which the settings allow only on
// the loopback address, nothing is signed. Safe to use from several threads.
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

  /// Adds a method; only before the first request.
  void Add(const std::string& aName, Method aMethod);

  /// Sets the keys; only before the first request.
  void SetKeys(std::vector<std::string> aKeys)
  {
    options_.keys_ = std::move(aKeys);
  }

  /// Sets the addresses that stand for this host beside its name, for callers
  /// that know only these; only before the first request.
  void SetAddresses(std::set<std::string> aAddresses)
  {
    addresses_ = std::move(aAddresses);
  }

  /// Says whether a request is a call of a peer.
  static bool IsRpcRequest(const HttpRequest& aRequest);

  /// Calls a method of a peer.
  /// @return the result, or an error with kPeerUnreachable or kPeerRefused
  boost::asio::awaitable<Outcome<nlohmann::json>> Call(Target aTarget,
                                                       std::string aMethod,
                                                       nlohmann::json aParams,
                                                       TimePoint aDeadline);

  /// Handles one request of the HTTP server.
  boost::asio::awaitable<void> Handle(HttpExchange& aExchange);

  /// Gives the bytes sent and received in bodies so far.
  std::uint64_t Bytes() const { return bytes_; }

private:
  std::string Sign(const std::string& aBody) const;
  bool IsSigned(const std::string& aBody, std::string_view aSignature) const;
  std::string Dispatch(const Method& aMethod, const std::string& aParams);
  nlohmann::json Envelope(const Target& aTarget, nlohmann::json aParams);

  HttpClient& client_;
  Options options_;
  std::set<std::string> addresses_;
  JsonRpcServer server_;
  std::string noncePrefix_; // unlike that of any other process
  std::atomic<std::uint64_t> nextNonce_ = 0;
  std::atomic<std::uint64_t> bytes_ = 0;
  std::mutex mutex_; // guards replay_
  ReplayGuard replay_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PEER_RPC_H_
