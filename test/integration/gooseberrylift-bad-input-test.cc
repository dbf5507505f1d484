// What callers do wrong, slowly or halfway: each gets a numbered code, and no
// other caller notices.

#include "harness.h"

#include "harness-wire.h"

#include "../../fakes/gooseberrylift-fake-tokens.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using enum ResultCode;

namespace {

Deployment::Options SmallLimits()
{
  return { .engines_ = 1,
           .host_ = { { "caller",
                        { { "port", 0 },
                          { "max_body_bytes", 65'536 },
                          { "max_header_bytes", 4096 },
                          { "header_timeout_ms", 400 },
                          { "body_timeout_ms", 400 } } } } };
}

const char* const kGoodBody =
  R"({"model":"m","max_tokens":4,"messages":[{"role":"user","content":"hi"}]})";

} // namespace

TEST_GROUP(BadInputTest)
{
  Deployment deployment_{ SmallLimits() };

  // Sends bytes and expects one refusal; then a proper request must work.
  void Refuses(const std::string& aBytes, int aStatus, ResultCode aCode)
  {
    Wire wire(deployment_.At(0).Port());
    wire.Write(aBytes);
    CHECK_TRUE(wire.ReadUntil("\"code\":"));
    LONGS_EQUAL(aStatus, wire.Status());
    LONGS_EQUAL(static_cast<int>(aCode), wire.Code());
  }

  void RefusesBody(const std::string& aBody, ResultCode aCode)
  {
    Refuses(RawChat(aBody), 400, aCode);
  }

  void StillServes()
  {
    const auto answer =
      Send(deployment_.At(0).Port(), ChatRequest("hi", 2, false));
    CHECK_TRUE(answer.has_value());
    LONGS_EQUAL(200, answer.value().status_);
  }
};

TEST(BadInputTest, RefusesWhatIsNotHttp)
{
  Refuses("\x16\x03\x01 garbage\r\n\r\n", 400, kMalformedHttp);
  Refuses("GET /v1 HTTP/9.9\r\n\r\n", 400, kMalformedHttp);
  Refuses("POST /v1/completions HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
          400,
          kMalformedHttp);
  StillServes();
}

// With two ways to tell where the body ends, this host and one behind it could
// disagree, and a smuggled request would run under another caller's key.
TEST(BadInputTest, RefusesALengthBesideChunks)
{
  Refuses("POST /v1/completions HTTP/1.1\r\nContent-Length: 3\r\n"
          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
          400,
          kMalformedHttp);
  Refuses("POST /v1/completions HTTP/1.1\r\nContent-Length: 3\r\n"
          "Content-Length: 4\r\n\r\nabcd",
          400,
          kMalformedHttp);
}

TEST(BadInputTest, RefusesMalformedJsonAndBadFields)
{
  RefusesBody("{\"model\":", kMalformedJson);
  RefusesBody("[1,2]", kMalformedJson);
  RefusesBody(std::string(30'000, '['), kMalformedJson);
  RefusesBody(R"({"model":7,"messages":[]})", kBadField);
  RefusesBody(R"({"model":"m","messages":[]})", kBadField);
  RefusesBody(R"({"model":"m","messages":[{"content":7}]})", kBadField);
  RefusesBody(R"({"model":"m","messages":[{"content":"a"}],"max_tokens":-1})",
              kBadField);
  RefusesBody(R"({"model":"m","messages":[{"content":"a"}],"stream":"yes"})",
              kBadField);
  Refuses(RawChat(kGoodBody, "X-Deadline-Ms: soon\r\n"), 400, kBadField);
  StillServes();
}

TEST(BadInputTest, RefusesUnknownNamesAndKeys)
{
  Refuses(RawChat(R"({"model":"none","messages":[{"content":"a"}]})"),
          404,
          kUnknownModel);
  const std::string key = "Authorization: Bearer team-one-key\r\n\r\n";
  Refuses("GET /services/none/x HTTP/1.1\r\n" + key, 404, kUnknownService);
  Refuses("GET /elsewhere HTTP/1.1\r\n" + key, 404, kUnknownRoute);
  Refuses("GET /v1/completions HTTP/1.1\r\n" + key, 405, kMethodNotAllowed);
  Refuses("GET /services/board/x HTTP/1.1\r\n\r\n", 401, kMissingTeamKey);
  Refuses("GET /services/board/x HTTP/1.1\r\n"
          "Authorization: Bearer wrong\r\n\r\n",
          403,
          kUnknownTeamKey);
  LONGS_EQUAL(0, deployment_.Service(0).Stats().value("total", -1));
}

TEST(BadInputTest, RefusesABodyOverTheLimit)
{
  Refuses("POST /v1/completions HTTP/1.1\r\nContent-Length: 70000\r\n\r\n",
          413,
          kBodyTooLarge);
  // Chunks don't tell the length beforehand; reading must stop at the limit.
  const std::string chunk = "4000\r\n" + std::string(0x4000, 'x') + "\r\n";
  Refuses(
    "POST /v1/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
      chunk + chunk + chunk + chunk + chunk,
    413,
    kBodyTooLarge);
  StillServes();
}

TEST(BadInputTest, RefusesAFloodOfHeaderFields)
{
  std::string flood = "GET /services/board/x HTTP/1.1\r\n";
  for (int field = 0; field < 2000; ++field) {
    flood += "X-Flood-" + std::to_string(field) + ": 1\r\n";
  }
  Refuses(flood + "\r\n", 431, kHeadersTooLarge);
  Refuses("GET /" + std::string(20'000, 'a') + " HTTP/1.1\r\n\r\n",
          431,
          kHeadersTooLarge);
  StillServes();
}

// A caller opens a request and then sends next to nothing. Without a limit in
// time, each such connection would hold a place for ever.
TEST(BadInputTest, GivesUpOnSlowHeadersAndSlowBodies)
{
  Refuses("POST /v1/completions HTTP/1.1\r\nX-Slow", 408, kCallerTooSlow);
  Refuses("POST /v1/completions HTTP/1.1\r\nContent-Length: 50\r\n\r\nhalf",
          408,
          kCallerTooSlow);
  StillServes();
}

TEST(BadInputTest, SaysSoWhenABodyEndsTooSoon)
{
  Wire wire(deployment_.At(0).Port());
  wire.Write("POST /v1/completions HTTP/1.1\r\nContent-Length: 50\r\n\r\nhalf");
  wire.HalfClose();
  CHECK_TRUE(wire.ReadToEnd());
  LONGS_EQUAL(static_cast<int>(kMalformedHttp), wire.Code());
}

// The caller sends a request and closes its sending half. That can't be told
// from a caller that left, so the engine is freed; a caller that still reads
// sees the code instead of an empty close.
TEST(BadInputTest, TellsAHalfClosedCallerThatItCountsAsGone)
{
  deployment_.Engine(0).Control({ { "slowdown", 400.0 } });
  Wire wire(deployment_.At(0).Port());
  wire.Write(RawChat(kGoodBody));
  CHECK_TRUE(WaitUntil(std::chrono::seconds(10), [this] {
    return deployment_.Engine(0).Stats().value("running", 0) == 1;
  }));
  wire.HalfClose();
  CHECK_TRUE(wire.ReadToEnd());
  LONGS_EQUAL(static_cast<int>(kCallerLeft), wire.Code());
  CHECK_TRUE(WaitUntil(std::chrono::seconds(10), [this] {
    return deployment_.Engine(0).Stats().value("kv_used", -1) == 0;
  }));
}

TEST(BadInputTest, AnswersPipelinedRequestsInTheirOrder)
{
  const auto call = [](const std::string& aPath) {
    return "GET /services/board/" + aPath +
           " HTTP/1.1\r\nAuthorization: Bearer team-one-key\r\n\r\n";
  };
  Wire wire(deployment_.At(0).Port());
  wire.Write(call("first") + call("second") + RawChat("no json") +
             call("third"));
  CHECK_TRUE(wire.ReadUntil("/third"));
  const std::string& text = wire.Received();
  CHECK_TRUE(text.find("/first") < text.find("/second"));
  CHECK_TRUE(text.find("/second") < text.find("malformed-json"));
  CHECK_TRUE(text.find("malformed-json") < text.find("/third"));
}

TEST(BadInputTest, ReadsAChunkedBody)
{
  const std::string body = kGoodBody;
  std::string request = "POST /v1/chat/completions HTTP/1.1\r\n"
                        "Authorization: Bearer team-one-key\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n";
  for (const char letter : body) {
    request += std::string("1\r\n") + letter + "\r\n";
  }
  Wire wire(deployment_.At(0).Port());
  wire.Write(request + "0\r\n\r\n");
  CHECK_TRUE(wire.ReadUntil(fakes::ReferenceAnswer("hi", 4)));
  LONGS_EQUAL(200, wire.Status());
}
