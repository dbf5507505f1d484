// End-to-end tests of requests from a caller through an entry host to an
// endpoint.

#include "harness.h"

#include <csignal>
#include <future>

#include "../../fakes/gooseberrylift-fake-tokens.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;

TEST_GROUP(PathTest){};

TEST(PathTest, AnswersAPlainAndAStreamedCompletion)
{
  Deployment deployment({});
  const std::string prompt = "Is room 12 ready?";
  const std::string expected = fakes::ReferenceAnswer(prompt, 8);

  const auto whole =
    Send(deployment.At(0).Port(), ChatRequest(prompt, 8, false));
  CHECK_TRUE(whole.has_value());
  const json body = json::parse(whole.value().body_, nullptr, false);
  LONGS_EQUAL(200, whole.value().status_);
  STRCMP_EQUAL(
    expected.c_str(),
    body["choices"][0]["message"]["content"].get<std::string>().c_str());

  const auto streamed =
    Send(deployment.At(0).Port(), ChatRequest(prompt, 8, true));
  CHECK_TRUE(streamed.has_value());
  bool ended = false;
  STRCMP_EQUAL(expected.c_str(),
               StreamText(streamed.value().body_, &ended).c_str());
  CHECK_TRUE(ended);
}

// Guards against a race between the first concurrent requests for a pool. One
// of them creates the pool's shard; if the others were admitted before the
// shard knows its endpoints, they would be rejected with "no live endpoint"
// although all endpoints are live.
TEST(PathTest, AnswersTheFirstRequestsOfAPoolThatComeTogether)
{
  constexpr int kHosts = 6;
  constexpr int kCallsEach = 16;
  Deployment deployment({ .hosts_ = kHosts });
  std::vector<std::future<int>> calls;
  for (int call = 0; call < kHosts * kCallsEach; ++call) {
    const std::uint16_t port = deployment.At(call / kCallsEach).Port();
    calls.push_back(std::async(std::launch::async, [port] {
      const auto answer = Send(port, ChatRequest("hello", 1, false));
      return answer ? answer.value().status_ : 0;
    }));
  }
  for (std::future<int>& call : calls) {
    LONGS_EQUAL(200, call.get());
  }
}

TEST(PathTest, PassesACallToAPlainService)
{
  Deployment deployment({});
  const auto answer = Send(deployment.At(0).Port(),
                           BoardRequest("POST", "/rooms/12?full=1", "ready"));
  CHECK_TRUE(answer.has_value());
  const json body = json::parse(answer.value().body_, nullptr, false);
  STRCMP_EQUAL("/rooms/12?full=1", body.value("path", "").c_str());
  STRCMP_EQUAL("ready", body.value("body", "").c_str());
  LONGS_EQUAL(1, deployment.Service(0).Stats().value("total", 0));
}

// The engine accepts the request and sends nothing until the deadline. The
// final response must have a Retry-After field; without it all callers of a
// hanging engine would retry at the same moment.
TEST(PathTest, SendsRetryAfterWhenTheDeadlineExpires)
{
  Deployment deployment({ .engines_ = 1 });
  deployment.Engine(0).Control({ { "hang", true } });
  HttpRequest request = ChatRequest("hello", 1, false);
  request.fields_.push_back({ "X-Deadline-Ms", "800" });
  const auto answer = Send(deployment.At(0).Port(), std::move(request));
  CHECK_TRUE(answer.has_value());
  CHECK(answer.value().status_ >= 500);
  CHECK_FALSE(answer.value().Field("Retry-After").empty());
}

// The same for a non-idempotent call without a key: it may have run, so the
// response must not ask the caller to retry.
TEST(PathTest, OmitsRetryAfterForACallThatMayHaveRun)
{
  Deployment deployment({});
  deployment.Service(0).Control({ { "hang", true } });
  HttpRequest request = BoardRequest("POST", "/rooms/12", "ready");
  request.fields_.push_back({ "X-Deadline-Ms", "800" });
  const auto answer = Send(deployment.At(0).Port(), std::move(request));
  CHECK_TRUE(answer.has_value());
  LONGS_EQUAL(504, answer.value().status_);
  CHECK_TRUE(answer.value().Field("Retry-After").empty());
}

TEST(PathTest, RecordsTheTimeToFirstToken)
{
  Deployment deployment({});
  (void)Send(deployment.At(0).Port(), ChatRequest("hello", 2, true));
  const auto metrics =
    Send(deployment.At(0).AdminPort(), MakeRequest("/metrics"));
  CHECK_TRUE(metrics.has_value());
  STRCMP_CONTAINS("gooseberrylift_first_token_seconds_count{service=\"chat\","
                  "prompt=\"le4k\"} 1",
                  metrics.value().body_.c_str());
}

// The engine closes the stream after five tokens. The host must resume at
// another engine from the sixth, so that the caller gets one complete response
// with each token once.
TEST(PathTest, ResumesAStreamThatAnEngineCuts)
{
  Deployment deployment({ .engines_ = 2 });
  const std::string prompt = "A summary of the night, please.";
  deployment.Engine(0).Control({ { "cut_after", 5 } });
  const auto answer =
    Send(deployment.At(0).Port(), ChatRequest(prompt, 12, true));
  CHECK_TRUE(answer.has_value());
  bool ended = false;
  STRCMP_EQUAL(fakes::ReferenceAnswer(prompt, 12).c_str(),
               StreamText(answer.value().body_, &ended).c_str());
  CHECK_TRUE(ended);
}

TEST(PathTest, RefusesBadSettingsWithThePathOfTheFault)
{
  Process process(PRODUCT_BINARY,
                  { "serve", "--settings", R"({"host":{"name":"a"}})" });
  LONGS_EQUAL(static_cast<int>(ResultCode::kSettingsInvalid),
              process.WaitForExit(std::chrono::seconds(10)));
  STRCMP_CONTAINS("settings-invalid (11)", process.Output().c_str());
}
