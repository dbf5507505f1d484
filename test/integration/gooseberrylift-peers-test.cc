// Tests peer discovery and the exchange of digests between entry hosts.

#include "harness.h"

#include <csignal>
#include <cstdio>

#include "gooseberrylift/internal/gooseberrylift-json-rpc.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;

namespace {

constexpr std::chrono::seconds kLimit(30);

std::size_t PeersOf(Host& aHost)
{
  return aHost.Status().value("peers", json::array()).size();
}

bool WaitForPeers(Deployment& aDeployment, std::size_t aCount)
{
  return WaitUntil(kLimit, [&] {
    for (std::size_t index = 0; index < aDeployment.Hosts(); ++index) {
      if (PeersOf(aDeployment.At(index)) != aCount) {
        return false;
      }
    }
    return true;
  });
}

json PeerKeySettings(const json& aKeys)
{
  return { { "peer", { { "port", 0 }, { "keys", aKeys } } } };
}

std::uint16_t PeerPort(Host& aHost)
{
  const json started = json::parse(
    aHost.Handle().WaitForLine("\"event\":1000", kLimit), nullptr, false);
  return started.value("peer_port", std::uint16_t{ 0 });
}

} // namespace

TEST_GROUP(PeersTest){};

// The store fails within the first second after the hosts discovered each
// other. They must keep exchanging digests, detect that one host is paused, and
// detect its return.
TEST(PeersTest, HearOneAnotherWhileTheStoreIsDownAndAfterAPause)
{
  Deployment deployment({ .hosts_ = 4 });
  CHECK_TRUE(WaitForPeers(deployment, 3));
  deployment.Store().Control({ { "outage", true } });
  deployment.At(3).Handle().Signal(SIGSTOP);
  CHECK_TRUE(WaitUntil(kLimit, [&] { return PeersOf(deployment.At(0)) == 2; }));
  deployment.At(3).Handle().Signal(SIGCONT);
  CHECK_TRUE(WaitForPeers(deployment, 3));
}

// During a key rotation a host has the new key first and still accepts the old
// one. It must be able to communicate with hosts that have only the old or only
// the new key.
TEST(PeersTest, ExchangeDigestsDuringAKeyRotation)
{
  Deployment deployment({ .hosts_ = 2,
                          .host_ = PeerKeySettings(
                            { "old-key-0123456789", "new-key-0123456789" }) });
  deployment.AddHost(
    PeerKeySettings({ "new-key-0123456789", "old-key-0123456789" }));
  CHECK_TRUE(WaitForPeers(deployment, 2));
}

// A host with a different key is registered in the store, but must neither
// receive digests nor have its own accepted.
TEST(PeersTest, RejectAHostWithAnotherKey)
{
  Deployment deployment(
    { .hosts_ = 2, .host_ = PeerKeySettings({ "good-key-0123456789" }) });
  Host& unauthorized =
    deployment.AddHost(PeerKeySettings({ "evil-key-0123456789" }));
  const auto refused = [](Host& aHost) {
    return aHost.Handle().Output().find("\"event\":1600") != std::string::npos;
  };
  CHECK_TRUE(WaitUntil(kLimit, [&] {
    return refused(unauthorized) || refused(deployment.At(0));
  }));
  CHECK_TRUE(WaitUntil(kLimit, [&] { return PeersOf(deployment.At(0)) == 1; }));
  LONGS_EQUAL(0, PeersOf(unauthorized));
}

// Guards against replay attacks: a recorded message is sent again. Its
// signature would be valid (this test uses no key), but its nonce was already
// used, so it must be ignored.
TEST(PeersTest, RejectReplayedMessages)
{
  Deployment deployment({ .hosts_ = 1 });
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  json params = { { "to", "entry-0" },
                  { "at", now.count() },
                  { "nonce", "n-1" },
                  { "p", json::object() } };
  const std::string body = MakeJsonRpcRequest("exchange", params.dump());
  const std::uint16_t port = PeerPort(deployment.At(0));
  const auto first = Send(port, MakeRequest("POST", "/rpc", body));
  STRCMP_CONTAINS("\"f\":", first.value().body_.c_str());
  const auto second = Send(port, MakeRequest("POST", "/rpc", body));
  STRCMP_CONTAINS("refused", second.value().body_.c_str());
  params["nonce"] = "n-2";
  params["at"] = now.count() - 120'000;
  const auto old = Send(
    port,
    MakeRequest("POST", "/rpc", MakeJsonRpcRequest("exchange", params.dump())));
  STRCMP_CONTAINS("refused", old.value().body_.c_str());
}

// Bounds the load on the store, as the platform counts each call to it. When
// idle, after all have joined, nine hosts poll once a second each; apart from
// that they only renew watches and member lists, and write nothing.
TEST(PeersTest, CallTheStoreLittleWhenNothingChanges)
{
  constexpr int kHosts = 9;
  constexpr int kSeconds = 10;
  Deployment deployment({ .hosts_ = kHosts });
  CHECK_TRUE(WaitForPeers(deployment, kHosts - 1));
  const json before = deployment.Store().Stats();
  CHECK_FALSE(WaitUntil(std::chrono::seconds(kSeconds), [] { return false; }));
  const json after = deployment.Store().Stats();
  for (const char* kind : { "read", "list", "watch", "write" }) {
    const double calls = after.value(kind, 0.0) - before.value(kind, 0.0);
    std::printf("store calls per second and host when idle: %s %.2f\n",
                kind,
                calls / kHosts / kSeconds);
  }
  LONGS_EQUAL(before.value("write", 0), after.value("write", 0));
  CHECK_TRUE(after.value("read", 0) - before.value("read", 0) <=
             2 * kHosts * kSeconds);
  const auto metrics =
    Send(deployment.At(0).AdminPort(), MakeRequest("/metrics"));
  STRCMP_CONTAINS("gooseberrylift_store_calls_total{kind=\"read\"}",
                  metrics.value().body_.c_str());
}
