// Tests of how hosts track endpoints that drain, fail or disappear from the
// list, on real processes.

#include "harness.h"

#include <csignal>

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
