// Tests of callers that return after a rejection when they were told to.

#include "harness-callers.h"

#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;

namespace {

HttpResponse SendTo(Host& aHost, const std::string& aAttempt)
{
  HttpRequest request = RouteRequest("POST", "/safe/returning", aAttempt);
  request.body_ = "what identifies it";
  return Send(aHost.Port(), request).value();
}

bool HasMetric(Host& aHost, const std::string& aLine)
{
  const auto metrics =
    Send(aHost.AdminPort(), MakeRequest("GET", "/metrics", ""));
  return metrics.value().body_.find("\n" + aLine) != std::string::npos;
}

} // namespace

TEST_GROUP(ReturnPromiseTest)
{
  GatewayDeployment deployment_{ { .hosts_ = 2, .boards_ = 1 } };
  Host& first_ = deployment_.At(0);
  Host& second_ = deployment_.At(1);

  // Sends a request that is rejected, and returns what its caller is told.
  std::chrono::duration<double> Reject()
  {
    CHECK_TRUE(WaitUntil(10s, [this] { // the hosts know each other
      (void)SendTo(first_, "at-warm");
      return HasMetric(second_, "gooseberrylift_load_words_total ");
    }));
    deployment_.Board(0).Control({ { "fault", "full" }, { "times", 1'000 } });
    const HttpResponse refused = SendTo(first_, "at-first");
    deployment_.Board(0).Control({ { "fault", "" } });
    LONGS_EQUAL(503, refused.status_);
    const double seconds = std::stod(std::string(refused.Field("Retry-After")));
    CHECK_TRUE(seconds > 0 && seconds < 5);
    CHECK_TRUE(HasMetric(first_, "gooseberrylift_return_promises_total 1"));
    return std::chrono::duration<double>(seconds);
  }
};

TEST(ReturnPromiseTest, KnowsACallerThatReturnsToAnotherHostAsTold)
{
  std::this_thread::sleep_for(Reject());
  LONGS_EQUAL(200, SendTo(second_, "at-second").status_);
  const std::string line = second_.Handle().WaitForLine("return-claimed", 5s);
  CHECK_TRUE(line.find("at-second") != std::string::npos);
  CHECK_TRUE(HasMetric(second_, "gooseberrylift_return_claims_total 1"));
}

TEST(ReturnPromiseTest, CountsAPromiseWhoseCallerStaysAway)
{
  (void)Reject();
  CHECK_TRUE(WaitUntil(10s, [this] {
    return HasMetric(first_, "gooseberrylift_return_promises_unused_total 1");
  }));
}
