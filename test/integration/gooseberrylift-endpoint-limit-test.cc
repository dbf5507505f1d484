// Hosts before endpoints that name a rate limit for all hosts together.

#include "harness-gateway.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kHosts = 4;
constexpr double kPerSecond = 1.5;
constexpr std::int64_t kWindowMs = 4000;
constexpr double kMostInWindow = 1.5 * kPerSecond * 4 + 5;

std::int64_t NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

// Gives when requests came to an endpoint, from some time on.
std::vector<std::int64_t> ArrivalsSince(Fake& aEndpoint, std::int64_t aFromMs)
{
  const auto all =
    aEndpoint.Stats().at("times_ms").get<std::vector<std::int64_t>>();
  std::vector<std::int64_t> since;
  std::copy_if(all.begin(),
               all.end(),
               std::back_inserter(since),
               [aFromMs](std::int64_t aAt) { return aAt >= aFromMs; });
  return since;
}

// Gives the most arrivals in a window that slides over them.
std::size_t MostInWindow(const std::vector<std::int64_t>& aArrivals)
{
  std::size_t most = 0;
  std::size_t begin = 0;
  for (std::size_t end = 0; end < aArrivals.size(); ++end) {
    while (aArrivals[end] - aArrivals[begin] > kWindowMs) {
      ++begin;
    }
    most = std::max(most, end - begin + 1);
  }
  return most;
}

// Callers at all hosts, each of which asks some times a second.
class Callers
{
public:
  Callers(GatewayDeployment& aDeployment,
          HttpRequest (*aMake)(const std::string& aAttempt),
          std::chrono::milliseconds aPause)
  {
    for (std::size_t host = 0; host < kHosts; ++host) {
      const std::uint16_t port = aDeployment.At(host).Port();
      threads_.emplace_back([this, host, port, aMake, aPause] {
        for (int number = 0; !stop_; ++number) {
          const std::string attempt =
            "at-" + std::to_string(host) + "-" + std::to_string(number);
          const auto answer = Send(port, aMake(attempt));
          ++asked_;
          served_ += answer && answer.value().status_ == 200 ? 1 : 0;
          std::this_thread::sleep_for(aPause);
        }
      });
    }
  }

  ~Callers() { Stop(); }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  void Stop()
  {
    stop_ = true;
    for (std::thread& thread : threads_) {
      thread.join();
    }
    threads_.clear();
  }

  int Asked() const { return asked_; }
  int Served() const { return served_; }

private:
  std::atomic<bool> stop_ = false;
  std::atomic<int> asked_ = 0;
  std::atomic<int> served_ = 0;
  std::vector<std::thread> threads_;
};

HttpRequest SafeCall(const std::string& aAttempt)
{
  return RouteRequest("GET", "/safe/a", aAttempt);
}

HttpRequest ShortPrompt(const std::string& aAttempt)
{
  return StreamRequest(aAttempt);
}

// Lets an endpoint name its limit and then play on; checks what it gets from
// the time on from which the promise holds.
void CheckKeepsLimit(GatewayDeployment& aDeployment,
                     Fake& aEndpoint,
                     HttpRequest (*aMake)(const std::string& aAttempt))
{
  Callers callers(aDeployment, aMake, 80ms);
  std::this_thread::sleep_for(1s);
  aEndpoint.Control({ { "limit", std::to_string(kPerSecond) } });
  std::this_thread::sleep_for(3s);
  const std::int64_t from = NowMs();
  std::this_thread::sleep_for(9s);
  callers.Stop();
  const std::vector<std::int64_t> arrivals = ArrivalsSince(aEndpoint, from);
  CHECK_TRUE(MostInWindow(arrivals) <= kMostInWindow);
  // What it takes it gets, or a limited endpoint would starve.
  CHECK_TRUE(arrivals.size() >= 5);
  LONGS_EQUAL(callers.Asked(), callers.Served());
}

} // namespace

TEST_GROUP(EndpointLimitTest){};

TEST(EndpointLimitTest, FloodsNoPlainEndpointThatNamesALimitToSeveralHosts)
{
  GatewayDeployment deployment({ .hosts_ = kHosts });
  CheckKeepsLimit(deployment, deployment.Board(0), SafeCall);
}

TEST(EndpointLimitTest, FloodsNoEngineThatNamesALimitToSeveralHosts)
{
  GatewayDeployment deployment(
    { .hosts_ = kHosts, .engine_ = { { "event_ms", 2 } } });
  CheckKeepsLimit(deployment, deployment.Engine(0), ShortPrompt);
}

TEST(EndpointLimitTest, SendsAsBeforeToAnEndpointWhoseLimitHasEnded)
{
  GatewayDeployment deployment({ .hosts_ = kHosts });
  Fake& board = deployment.Board(0);
  Callers callers(deployment, SafeCall, 80ms);
  board.Control({ { "limit", std::to_string(kPerSecond) } });
  std::this_thread::sleep_for(4s);
  board.Control({ { "limit", "" } });
  const std::int64_t ended = NowMs();
  CHECK_TRUE(
    WaitUntil(10s, [&] { return ArrivalsSince(board, ended).size() > 100; }));
}

TEST(EndpointLimitTest, RefusesAtOnceWhatNoLimitedEndpointTakes)
{
  GatewayDeployment deployment({ .hosts_ = 1, .boards_ = 1 });
  deployment.Board(0).Control({ { "limit", "0" } });
  LONGS_EQUAL(200, deployment.Ask(SafeCall("at-0")).value().status_);
  const std::int64_t asked = NowMs();
  const HttpResponse refused = deployment.Ask(SafeCall("at-1")).value();
  LONGS_EQUAL(503, refused.status_);
  CHECK_TRUE(NowMs() - asked < 500);
  CHECK_TRUE(std::stod(std::string(refused.Field("Retry-After"))) > 0);
  LONGS_EQUAL(0, deployment.Count("arrived", "at-1"));
}
