// Tests of endpoints that ask a host to back off.

#include "harness-callers.h"

#include <algorithm>
#include <future>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kHosts = 3;
constexpr std::int64_t kBackoffMs = 2000;
// Requests that were sent before the host had the response may still arrive.
constexpr std::int64_t kInFlightMs = 500;
// The number of other requests that may arrive during a backoff.
constexpr int kMaxDuringBackoff = 2;

constexpr std::chrono::milliseconds kLoad{ 5'000 };
// Hosts tell each other of backoffs, so that each backoff may be asked of
// another host, and a ramp as long follows it.
constexpr std::chrono::milliseconds kUsedAgainWithin{ kHosts * 2 * kBackoffMs };

json RejectsAllAndAsksForBackoff(const std::string& aRetryAfter)
{
  return { { "fault", "full" },
           { "times", 1'000'000 },
           { "retry_after", aRetryAfter } };
}

// Returns the highest number of requests from one host in a backoff that the
// host was asked for.
int MaxArrivalsDuringBackoff(Fake& aEndpoint)
{
  std::map<std::size_t, std::vector<json>> byHost;
  const json stats = aEndpoint.Stats();
  for (const json& arrival : stats.at("arrivals")) {
    byHost[HostOf(arrival.at("attempt"))].push_back(arrival);
  }
  int most = 0;
  for (const auto& [host, arrivals] : byHost) {
    for (const json& request : arrivals) {
      if (!request.at("backoff").get<bool>()) {
        continue;
      }
      const auto askedAt = request.at("at_ms").get<std::int64_t>();
      const auto during =
        std::count_if(arrivals.begin(), arrivals.end(), [&](const json& aOne) {
          const auto after = aOne.at("at_ms").get<std::int64_t>() - askedAt;
          return after > kInFlightMs && after < kBackoffMs;
        });
      most = std::max(most, static_cast<int>(during));
    }
  }
  return most;
}

// Returns whether a host has sent another request after a backoff.
bool IsUsedAfterABackoff(Fake& aEndpoint)
{
  const json stats = aEndpoint.Stats();
  std::set<std::size_t> hosts;
  for (const json& arrival : stats.at("arrivals")) {
    hosts.insert(HostOf(arrival.at("attempt")));
  }
  return stats.at("arrivals").size() > hosts.size();
}

// Makes an endpoint reject all requests and ask for backoffs under load.
void CheckKeepsBackoffs(GatewayDeployment& aDeployment,
                        Fake& aEndpoint,
                        MakeCallerRequest aMake)
{
  aEndpoint.Control(
    RejectsAllAndAsksForBackoff(std::to_string(kBackoffMs / 1000)));
  Callers callers(HostsOf(aDeployment, kHosts), aMake, 20ms);
  std::this_thread::sleep_for(kLoad);
  CHECK_TRUE(WaitUntil(kUsedAgainWithin - kLoad, [&aEndpoint] {
    return IsUsedAfterABackoff(aEndpoint);
  }));
  callers.Stop();
  CHECK_TRUE(MaxArrivalsDuringBackoff(aEndpoint) <= kMaxDuringBackoff);
  LONGS_EQUAL(callers.Asked(), callers.Served());
}

int CodeOf(const HttpResponse& aResponse)
{
  return json::parse(aResponse.body_).at("error").at("code").get<int>();
}

double RetryAfterOf(const HttpResponse& aResponse)
{
  return std::stod(std::string(aResponse.Field("Retry-After")));
}

} // namespace

TEST_GROUP(EndpointBackoffTest){};

TEST(EndpointBackoffTest, SendsNothingToAnEngineThatAskedForABackoff)
{
  GatewayDeployment deployment(
    { .hosts_ = kHosts, .engines_ = 4, .engine_ = { { "event_ms", 2 } } });
  CheckKeepsBackoffs(deployment, deployment.Engine(0), MakeShortPrompt);
}

TEST(EndpointBackoffTest, SendsNothingToAPlainEndpointThatAskedForABackoff)
{
  GatewayDeployment deployment({ .hosts_ = kHosts, .boards_ = 3 });
  CheckKeepsBackoffs(deployment, deployment.Board(0), MakeSafeRequest);
}

// Guards against a prompt that is sent during a backoff because its endpoint
// was chosen before the backoff began, while memory was being reserved.
TEST(EndpointBackoffTest, SendsNoPromptThatWasPlacedBeforeTheBackoff)
{
  GatewayDeployment deployment({ .engines_ = 3 });
  for (std::size_t engine = 0; engine < 3; ++engine) {
    json control = RejectsAllAndAsksForBackoff("5");
    control["order_ms"] = 350;
    deployment.Engine(engine).Control(control);
  }
  auto prompt = std::async(std::launch::async, [&deployment] {
    return deployment.SendToFirstHost(StreamRequest("at-long", 600'000));
  });
  std::this_thread::sleep_for(50ms);
  for (int number = 0; number < 6; ++number) {
    (void)deployment.SendToFirstHost(MakeShortPrompt(AttemptIdOf(0, number)));
  }
  const HttpResponse refused = prompt.get().value();
  LONGS_EQUAL(503, refused.status_);
  CHECK_TRUE(RetryAfterOf(refused) > 0);
  LONGS_EQUAL(0, deployment.Count("arrived", "at-long"));
}

TEST(EndpointBackoffTest, RefusesAtOnceWhileAllEndpointsAreBackedOff)
{
  GatewayDeployment deployment({ .boards_ = 1 });
  Fake& board = deployment.Board(0);
  board.Control(RejectsAllAndAsksForBackoff("2"));
  (void)deployment.SendToFirstHost(MakeSafeRequest("at-0"));
  const std::int64_t asked = NowMs();
  const HttpResponse refused =
    deployment.SendToFirstHost(MakeSafeRequest("at-1")).value();
  CHECK_TRUE(NowMs() - asked < 500);
  LONGS_EQUAL(503, refused.status_);
  LONGS_EQUAL(71, CodeOf(refused));
  CHECK_TRUE(RetryAfterOf(refused) > 0);
  LONGS_EQUAL(0, deployment.Count("arrived", "at-1"));
  board.Control({ { "fault", "" } });
  CHECK_TRUE(WaitUntil(5s, [&deployment] {
    const auto answer = deployment.SendToFirstHost(MakeSafeRequest("at-2"));
    return answer && answer.value().status_ == 200;
  }));
  CHECK_TRUE(NowMs() - asked > 1000);
}

TEST(EndpointBackoffTest, WaitsOutTheEndOfABackoff)
{
  GatewayDeployment deployment({ .boards_ = 1 });
  deployment.Board(0).Control(
    { { "fault", "full" }, { "times", 1 }, { "retry_after", "0.08" } });
  const std::int64_t asked = NowMs();
  LONGS_EQUAL(
    200, deployment.SendToFirstHost(MakeSafeRequest("at-0")).value().status_);
  CHECK_TRUE(NowMs() - asked >= 80);
}

TEST(EndpointBackoffTest, IgnoresABackoffThatCannotBeRead)
{
  GatewayDeployment deployment({ .boards_ = 1 });
  for (const char* value : { "soon", "-2", "0" }) {
    deployment.Board(0).Control(RejectsAllAndAsksForBackoff(value));
    (void)deployment.SendToFirstHost(MakeSafeRequest("at-0"));
    const std::string attempt = std::string("at-") + value;
    (void)deployment.SendToFirstHost(MakeSafeRequest(attempt));
    CHECK_TRUE(deployment.Count("arrived", attempt) >= 1);
  }
}
