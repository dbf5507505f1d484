// Tests of how hosts track endpoints that drain, fail or disappear from the
// list, on real processes.

#include "harness.h"

#include <csignal>
#include <functional>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;

namespace {

using std::chrono::milliseconds;

std::string StateOf(Host& aHost, const std::string& aName)
{
  for (const json& view : aHost.Status().value("endpoints", json::array())) {
    if (view.value("name", "") == aName) {
      return view.value("state", "");
    }
  }
  return "absent";
}

bool AllHostsReport(Deployment& aDeployment,
                    const std::string& aName,
                    const std::string& aState,
                    milliseconds aLimit)
{
  return WaitUntil(aLimit, [&] {
    for (std::size_t index = 0; index < aDeployment.Hosts(); ++index) {
      if (StateOf(aDeployment.At(index), aName) != aState) {
        return false;
      }
    }
    return true;
  });
}

// Sends requests for two seconds while one of two endpoints rejects all of them
// and asks for a backoff of ten seconds.
void CheckBacksOff(Deployment& aDeployment,
                   Fake& aEndpoint,
                   const std::function<HttpRequest()>& aMake)
{
  aEndpoint.Control({ { "retry_after", "10" } });
  const auto start = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - start < std::chrono::seconds(2)) {
    const auto answer = Send(aDeployment.At(0).Port(), aMake());
    LONGS_EQUAL(200, answer.value().status_);
  }
  LONGS_EQUAL(1, aEndpoint.Stats().at("refused").get<int>());
}

} // namespace

TEST_GROUP(EndpointsTest){};

// The store and the list are down when an engine reports that it is leaving.
// Within 3 s every host must treat it as leaving, and all requests must
// succeed.
TEST(EndpointsTest, GiveNoNewWorkToALeavingEndpointWithStoreAndListDown)
{
  Deployment deployment({ .hosts_ = 3, .engines_ = 2 });
  deployment.Store().Control({ { "outage", true } });
  deployment.List().Control({ { "outage", true } });
  deployment.Engine(0).Control({ { "leaving", true } });
  CHECK_TRUE(
    AllHostsReport(deployment, "engine-0", "leaving", milliseconds(3000)));
  for (std::size_t index = 0; index < 12; ++index) {
    const auto answer =
      Send(deployment.At(index % 3).Port(), ChatRequest("hello", 2, false));
    LONGS_EQUAL(200, answer.value().status_);
  }
}

// An engine hangs with its connections open, which is the failure that takes
// longest to detect. Each host must mark it dead within 2 s and live again once
// it runs.
TEST(EndpointsTest, SeeAHungEndpointInTwoSecondsAndItsReturn)
{
  Deployment deployment({ .hosts_ = 2, .engines_ = 2 });
  CHECK_TRUE(
    AllHostsReport(deployment, "engine-0", "live", std::chrono::seconds(30)));
  deployment.Engine(0).Handle().Signal(SIGSTOP);
  CHECK_TRUE(
    AllHostsReport(deployment, "engine-0", "dead", milliseconds(2000)));
  deployment.Engine(0).Handle().Signal(SIGCONT);
  CHECK_TRUE(
    AllHostsReport(deployment, "engine-0", "live", std::chrono::seconds(30)));
}

// The list contains only one of three engines, and then none. All three still
// answer, so all three must stay in the pool.
TEST(EndpointsTest, KeepThePoolWhenTheListComesShortOrEmpty)
{
  Deployment deployment({ .engines_ = 3 });
  const json complete = deployment.HostList();
  json partial = json::array();
  partial.push_back(complete.at(0));
  for (const json& hosts : { partial, json::array() }) {
    json control = json::object();
    control["hosts"] = hosts;
    deployment.List().Control(control);
    // 1000 ms cover several polls of the list.
    CHECK_FALSE(WaitUntil(milliseconds(1000), [&] {
      return StateOf(deployment.At(0), "engine-2") != "live";
    }));
  }
}

TEST(EndpointsTest, SendNothingToAPlainEndpointThatAskedForABackoff)
{
  Deployment deployment({ .services_ = 2 });
  CheckBacksOff(deployment, deployment.Service(0), [] {
    return BoardRequest("GET", "/status");
  });
}

TEST(EndpointsTest, SendNothingToAnEngineThatAskedForABackoff)
{
  Deployment deployment({ .engines_ = 2 });
  CheckBacksOff(deployment, deployment.Engine(0), [] {
    return ChatRequest("hello", 2, false);
  });
}

TEST(EndpointsTest, RefuseAtOnceWhatNoEndpointTakesInTime)
{
  Deployment deployment({ .services_ = 1 });
  deployment.Service(0).Control({ { "retry_after", "600" } });
  (void)Send(deployment.At(0).Port(), BoardRequest("GET", "/status"));
  const auto start = std::chrono::steady_clock::now();
  const HttpResponse refused =
    Send(deployment.At(0).Port(), BoardRequest("GET", "/status")).value();
  CHECK_TRUE(std::chrono::steady_clock::now() - start < milliseconds(500));
  LONGS_EQUAL(503, refused.status_);
  LONGS_EQUAL(71, json::parse(refused.body_).at("error").at("code").get<int>());
  CHECK_TRUE(std::stod(std::string(refused.Field("Retry-After"))) > 500);
  LONGS_EQUAL(1, deployment.Service(0).Stats().at("refused").get<int>());
}
