// Tests of hosts that lose the links to their endpoints while callers, the
// store and the other hosts still reach them.

#include "harness-callers.h"
#include "harness-links.h"

#include <algorithm>
#include <cstdint>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;

namespace {

// First tries of callers: each request is sent once.
struct FirstTries
{
  int asked_ = 0;
  int served_ = 0;

  double Share() const
  {
    return asked_ == 0 ? 1.0 : static_cast<double>(served_) / asked_;
  }
};

// The time from the beginning of a cut after which hosts that lost their links
// must serve their callers about as well as the others.
constexpr std::chrono::milliseconds kStableWindow{ 3'000 };

// Concurrent callers of each host.
constexpr std::size_t kCallers = 6;

FirstTries SendFor(std::chrono::milliseconds aDuration,
                   const std::vector<Host*>& aHosts,
                   MakeCallerRequest aMake,
                   std::size_t aCallersPerHost)
{
  std::vector<Host*> callersOf;
  for (std::size_t caller = 0; caller < aCallersPerHost; ++caller) {
    callersOf.insert(callersOf.end(), aHosts.begin(), aHosts.end());
  }
  Callers callers(callersOf, aMake, 20ms);
  std::this_thread::sleep_for(aDuration);
  callers.Stop();
  return { .asked_ = callers.Asked(), .served_ = callers.Served() };
}

// The links that are cut; by default all.
struct LinkRange
{
  std::size_t begin_ = 0;
  std::size_t end_ = SIZE_MAX;
};

// Warms few connections up, keeps callers of the linked hosts busy through the
// beginning of a cut, then compares the first tries at these hosts with those
// at the others.
void CheckServedDespiteCut(GatewayDeployment& aDeployment,
                           LinkFault aFault,
                           MakeCallerRequest aMake,
                           std::size_t aLinked,
                           std::size_t aHosts,
                           LinkRange aLinks = {})
{
  std::vector<Host*> cut;
  std::vector<Host*> others;
  for (std::size_t host = 0; host < aHosts; ++host) {
    (host < aLinked ? cut : others).push_back(&aDeployment.At(host));
  }
  CHECK_EQUAL(1.0, SendFor(1s, cut, aMake, 1).Share());
  CutLinks(aDeployment,
           aFault,
           aLinks.begin_,
           std::min(aLinks.end_, aDeployment.CountLinks()));
  (void)SendFor(kStableWindow, cut, aMake, kCallers);
  FirstTries atOthers;
  std::thread caller([&] { atOthers = SendFor(3s, others, aMake, kCallers); });
  const FirstTries atCut = SendFor(3s, cut, aMake, kCallers);
  caller.join();
  CHECK_TRUE(atCut.asked_ >= 20);
  CHECK_TRUE(atCut.Share() >= atOthers.Share() * 2 / 3);
  const int failed = atCut.asked_ - atCut.served_;
  CHECK_TRUE(failed <= 10 + (atCut.asked_ + atOthers.asked_) / 50);
}

} // namespace

TEST_GROUP(LinkLossTest){};

TEST(LinkLossTest, ServesStreamsWhileAllLinksHang)
{
  GatewayDeployment deployment(ThreeHosts(1));
  CheckServedDespiteCut(deployment, LinkFault::kHang, MakeShortPrompt, 1, 3);
}

TEST(LinkLossTest, ServesStreamsWhileAllLinksAreReset)
{
  GatewayDeployment deployment(ThreeHosts(1));
  CheckServedDespiteCut(deployment, LinkFault::kReset, MakeShortPrompt, 1, 3);
}

TEST(LinkLossTest, ServesStreamsWhileNewConnectionsAreRefused)
{
  GatewayDeployment deployment(ThreeHosts(1));
  CheckServedDespiteCut(
    deployment, LinkFault::kRefuseNew, MakeShortPrompt, 1, 3);
}

TEST(LinkLossTest, ServesStreamsWhileResponsesAreLost)
{
  GatewayDeployment deployment(ThreeHosts(1));
  CheckServedDespiteCut(deployment, LinkFault::kOneWay, MakeShortPrompt, 1, 3);
}

TEST(LinkLossTest, ServesPlainRequestsWhileAllLinksHang)
{
  GatewayDeployment deployment(ThreeHosts(1));
  CheckServedDespiteCut(deployment, LinkFault::kHang, MakeSafeRequest, 1, 3);
}

TEST(LinkLossTest, ServesPlainRequestsWhileAllLinksAreReset)
{
  GatewayDeployment deployment(ThreeHosts(1));
  CheckServedDespiteCut(deployment, LinkFault::kReset, MakeSafeRequest, 1, 3);
}

// Guards against failing callers when most hosts of a fleet lose their links.
TEST(LinkLossTest, ServesStreamsWhileMostHostsAreCutOff)
{
  GatewayDeployment deployment(ThreeHosts(2));
  CheckServedDespiteCut(deployment, LinkFault::kHang, MakeShortPrompt, 2, 3);
}

// Guards against sending all requests to the few endpoints in reach.
TEST(LinkLossTest, ServesStreamsWhileMostEndpointsAreOutOfReach)
{
  GatewayDeployment deployment(ThreeHosts(1));
  CheckServedDespiteCut(
    deployment, LinkFault::kHang, MakeShortPrompt, 1, 3, { 0, 5 });
}

TEST(LinkLossTest, ServesPlainRequestsWhileOneServiceIsOutOfReach)
{
  GatewayDeployment deployment(ThreeHosts(1));
  CheckServedDespiteCut(
    deployment, LinkFault::kHang, MakeSafeRequest, 1, 3, { 6, 9 });
  const FirstTries others =
    SendFor(1s, { &deployment.At(0) }, MakeShortPrompt, 1);
  CHECK_EQUAL(1.0, others.Share());
}

// Guards against taking one silent endpoint for lost links.
TEST(LinkLossTest, KeepsItsLinksWhileOneEndpointIsSilent)
{
  GatewayDeployment deployment(ThreeHosts(1));
  CutLinks(deployment, LinkFault::kHang, 0, 1);
  (void)SendFor(2s, { &deployment.At(0) }, MakeShortPrompt, kCallers);
  CHECK_TRUE(
    deployment.At(0).Handle().WaitForLine("\"links\":\"lost\"", 0ms).empty());
}

// Guards against failing the first requests of a host that learns of the loss
// of its links only from them.
TEST(LinkLossTest, ServesTheFirstRequestsOfAnIdleHost)
{
  GatewayDeployment deployment(ThreeHosts(1));
  std::this_thread::sleep_for(1s);
  CutAllLinks(deployment, LinkFault::kHang);
  std::this_thread::sleep_for(kStableWindow);
  for (int number = 0; number < 5; ++number) {
    const auto answer =
      Send(deployment.At(0).Port(), MakeShortPrompt(AttemptIdOf(0, number)));
    LONGS_EQUAL(200, answer.value().status_);
  }
}

// Guards against failing a request because no endpoint is left to this host.
TEST(LinkLossTest, RelaysRequestsThatAllEndpointsOfASmallServiceRefused)
{
  GatewayDeployment::Options options = ThreeHosts(1);
  options.boards_ = 2;
  GatewayDeployment deployment(options);
  CutAllLinks(deployment, LinkFault::kReset);
  // Relayed prompts show that the first host knows another one.
  CHECK_TRUE(WaitUntil(5s, [&] {
    const auto prompt = deployment.SendToFirstHost(MakeShortPrompt("at-0"));
    return prompt && prompt.value().status_ == 200;
  }));
  const auto answer = deployment.SendToFirstHost(MakeSafeRequest("at-1"));
  LONGS_EQUAL(200, answer.value().status_);
}

// Guards against a host that takes the loss of its links for a failure of the
// endpoints, and against one that doesn't notice the end of it.
TEST(LinkLossTest, ReportsThatItsLinksAreLostAndThatTheyAreUpAgain)
{
  GatewayDeployment deployment(ThreeHosts(1));
  CutAllLinks(deployment, LinkFault::kHang);
  Process& host = deployment.At(0).Handle();
  (void)SendFor(kStableWindow, { &deployment.At(0) }, MakeShortPrompt, 1);
  CHECK_FALSE(host.WaitForLine("\"links\":\"lost\"", 0ms).empty());
  CHECK_FALSE(deployment.At(0).Status().at("links_lost").empty());
  RestoreLinks(deployment);
  CHECK_FALSE(host.WaitForLine("\"links\":\"up\"", kStableWindow).empty());
  CHECK_TRUE(deployment.At(0).Status().at("links_lost").empty());
}
