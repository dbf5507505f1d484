// Entry hosts that find one another and exchange digests, on real processes.

#include "harness.h"

#include <csignal>

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

bool AllSee(Deployment& aDeployment, std::size_t aCount)
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

json WithKeys(const json& aKeys)
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

// The store is down from the first second after the hosts met. They go on
// hearing one another, miss one that is paused, and find it again.
TEST(PeersTest, HearOneAnotherWhileTheStoreIsDownAndAfterAPause)
{
  Deployment deployment({ .hosts_ = 4 });
  CHECK_TRUE(AllSee(deployment, 3));
  deployment.Store().Control({ { "outage", true } });
  deployment.At(3).Handle().Signal(SIGSTOP);
  CHECK_TRUE(WaitUntil(kLimit, [&] { return PeersOf(deployment.At(0)) == 2; }));
  deployment.At(3).Handle().Signal(SIGCONT);
  CHECK_TRUE(AllSee(deployment, 3));
}

// A host whose first key is new and that still accepts the old one stands in
// the middle of a rotation; it must understand hosts on either side of it.
TEST(PeersTest, UnderstandOneAnotherInTheMiddleOfAKeyRotation)
{
  Deployment deployment(
    { .hosts_ = 2,
      .host_ = WithKeys({ "old-key-0123456789", "new-key-0123456789" }) });
  deployment.AddHost(WithKeys({ "new-key-0123456789", "old-key-0123456789" }));
  CHECK_TRUE(AllSee(deployment, 2));
}

// A process with another key reaches the store's list but must learn nothing
// and be told nothing.
TEST(PeersTest, RefuseAHostWithAnotherKey)
{
  Deployment deployment(
    { .hosts_ = 2, .host_ = WithKeys({ "good-key-0123456789" }) });
  Host& stranger = deployment.AddHost(WithKeys({ "evil-key-0123456789" }));
  const auto refused = [](Host& aHost) {
    return aHost.Handle().Output().find("\"event\":1600") != std::string::npos;
  };
  CHECK_TRUE(WaitUntil(
    kLimit, [&] { return refused(stranger) || refused(deployment.At(0)); }));
  CHECK_TRUE(WaitUntil(kLimit, [&] { return PeersOf(deployment.At(0)) == 1; }));
  LONGS_EQUAL(0, PeersOf(stranger));
}

// A recorded exchange is sent again: its signature would be good (here there
// is no key at all), but its number was used, so nothing of it is taken in.
TEST(PeersTest, RefuseAMessageThatIsSentTwice)
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
