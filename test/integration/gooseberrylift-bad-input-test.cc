// Tests of malformed, slow and incomplete requests: each is refused with a
// result code, and other callers are not affected.

#include "harness.h"

#include "harness-raw-connection.h"

#include "../../fakes/gooseberrylift-fake-tokens.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using enum ResultCode;

namespace {

Deployment::Options OptionsWithSmallLimits()
{
  return { .engines_ = 1,
           .host_ = { { "caller",
                        { { "port", 0 },
                          { "max_body_bytes", 65'536 },
                          { "max_header_bytes", 4096 },
                          { "header_timeout_ms", 400 },
                          { "body_timeout_ms", 400 } } } } };
}

const char* const kValidBody =
  R"({"model":"m","max_tokens":4,"messages":[{"role":"user","content":"hi"}]})";

} // namespace

TEST_GROUP(BadInputTest)
{
  Deployment deployment_{ OptionsWithSmallLimits() };

  // Sends raw bytes and expects a refusal with this status and result code.
  void ExpectRefusal(const std::string& aBytes, int aStatus, ResultCode aCode)
  {
    RawConnection wire(deployment_.At(0).Port());
    wire.Write(aBytes);
    CHECK_TRUE(wire.ReadUntil("\"code\":"));
    LONGS_EQUAL(aStatus, wire.Status());
    LONGS_EQUAL(static_cast<int>(aCode), wire.Code());
  }

  void ExpectBodyRefusal(const std::string& aBody, ResultCode aCode)
  {
    ExpectRefusal(RawChatRequest(aBody), 400, aCode);
  }

  void ExpectServed()
  {
    const auto answer =
      Send(deployment_.At(0).Port(), ChatRequest("hi", 2, false));
    CHECK_TRUE(answer.has_value());
    LONGS_EQUAL(200, answer.value().status_);
  }
};

TEST(BadInputTest, RefusesWhatIsNotHttp)
{
  ExpectRefusal("\x16\x03\x01 garbage\r\n\r\n", 400, kMalformedHttp);
  ExpectRefusal("GET /v1 HTTP/9.9\r\n\r\n", 400, kMalformedHttp);
  ExpectRefusal("POST /v1/completions HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
                400,
                kMalformedHttp);
  ExpectServed();
}

// With two ways to tell where the body ends, this host and one behind it could
// disagree, and a smuggled request would run under another caller's key.
TEST(BadInputTest, RefusesALengthBesideChunks)
{
  ExpectRefusal("POST /v1/completions HTTP/1.1\r\nContent-Length: 3\r\n"
                "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                400,
                kMalformedHttp);
  ExpectRefusal("POST /v1/completions HTTP/1.1\r\nContent-Length: 3\r\n"
                "Content-Length: 4\r\n\r\nabcd",
                400,
                kMalformedHttp);
}

// Guards against a body that is read as further requests, because the parser
// doesn't know its coding.
TEST(BadInputTest, RefusesABodyInAnotherTransferCoding)
{
  for (const char* coding : { "identity",
                              "gzip",
                              "xchunked",
                              "gzip, chunked",
                              "chunked, identity",
                              "chunked, chunked",
                              "chunked;q=1",
                              "" }) {
    RawConnection wire(deployment_.At(0).Port());
    wire.Write("POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
               "Transfer-Encoding: " +
               std::string(coding) +
               "\r\n\r\nGET /v1/inner HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK_TRUE(wire.ReadToEnd());
    LONGS_EQUAL(400, wire.Status());
    LONGS_EQUAL(static_cast<int>(kMalformedHttp), wire.Code());
    LONGS_EQUAL(wire.Received().find("HTTP/1.1"),
                wire.Received().rfind("HTTP/1.1"));
  }
  ExpectServed();
}

TEST(BadInputTest, RefusesMalformedJsonAndBadFields)
{
  ExpectBodyRefusal("{\"model\":", kMalformedJson);
  ExpectBodyRefusal("[1,2]", kMalformedJson);
  ExpectBodyRefusal(std::string(30'000, '['), kMalformedJson);
  ExpectBodyRefusal(R"({"model":7,"messages":[]})", kBadField);
  ExpectBodyRefusal(R"({"model":"m","messages":[]})", kBadField);
  ExpectBodyRefusal(R"({"model":"m","messages":[{"content":7}]})", kBadField);
  ExpectBodyRefusal(
    R"({"model":"m","messages":[{"content":"a"}],"max_tokens":-1})", kBadField);
  ExpectBodyRefusal(
    R"({"model":"m","messages":[{"content":"a"}],"stream":"yes"})", kBadField);
  ExpectRefusal(
    RawChatRequest(kValidBody, "X-Deadline-Ms: soon\r\n"), 400, kBadField);
  ExpectServed();
}

TEST(BadInputTest, RefusesUnknownNamesAndKeys)
{
  ExpectRefusal(
    RawChatRequest(R"({"model":"none","messages":[{"content":"a"}]})"),
    404,
    kUnknownModel);
  const std::string key = "Authorization: Bearer team-one-key\r\n\r\n";
  ExpectRefusal(
    "GET /services/none/x HTTP/1.1\r\n" + key, 404, kUnknownService);
  ExpectRefusal("GET /elsewhere HTTP/1.1\r\n" + key, 404, kUnknownRoute);
  ExpectRefusal(
    "GET /v1/completions HTTP/1.1\r\n" + key, 405, kMethodNotAllowed);
  ExpectRefusal("GET /services/board/x HTTP/1.1\r\n\r\n", 401, kMissingTeamKey);
  ExpectRefusal("GET /services/board/x HTTP/1.1\r\n"
                "Authorization: Bearer wrong\r\n\r\n",
                403,
                kUnknownTeamKey);
  LONGS_EQUAL(0, deployment_.Service(0).Stats().value("total", -1));
}

TEST(BadInputTest, RefusesABodyOverTheLimit)
{
  ExpectRefusal(
    "POST /v1/completions HTTP/1.1\r\nContent-Length: 70000\r\n\r\n",
    413,
    kBodyTooLarge);
  // A chunked body has no declared length, so reading must stop at the limit.
  const std::string chunk = "4000\r\n" + std::string(0x4000, 'x') + "\r\n";
  const std::string chunks = chunk + chunk + chunk + chunk + chunk;
  ExpectRefusal("POST /v1/completions HTTP/1.1\r\n"
                "Authorization: Bearer team-one-key\r\n"
                "Transfer-Encoding: chunked\r\n\r\n" +
                  chunks,
                413,
                kBodyTooLarge);
  ExpectServed();
}

// Guards against reading a body only to refuse its request by the head.
TEST(BadInputTest, RefusesByTheHeadBeforeTheBody)
{
  ExpectRefusal("POST /v1/completions HTTP/1.1\r\n"
                "Transfer-Encoding: chunked\r\n\r\n",
                401,
                kMissingTeamKey);
  ExpectRefusal("POST /v1/completions HTTP/1.1\r\n"
                "Authorization: Bearer wrong\r\nExpect: 100-continue\r\n"
                "Transfer-Encoding: chunked\r\n\r\n",
                403,
                kUnknownTeamKey);
  ExpectRefusal("POST /elsewhere HTTP/1.1\r\n"
                "Authorization: Bearer team-one-key\r\n"
                "Transfer-Encoding: chunked\r\n\r\n",
                404,
                kUnknownRoute);
  ExpectServed();
}

TEST(BadInputTest, RefusesAFloodOfHeaderFields)
{
  std::string flood = "GET /services/board/x HTTP/1.1\r\n";
  for (int field = 0; field < 2000; ++field) {
    flood += "X-Flood-" + std::to_string(field) + ": 1\r\n";
  }
  ExpectRefusal(flood + "\r\n", 431, kHeadersTooLarge);
  ExpectRefusal("GET /" + std::string(20'000, 'a') + " HTTP/1.1\r\n\r\n",
                431,
                kHeadersTooLarge);
  ExpectServed();
}

// Guards against connections that are held forever by a caller that starts a
// request and does not complete it: reading has a time limit.
TEST(BadInputTest, GivesUpOnSlowHeadersAndSlowBodies)
{
  ExpectRefusal("POST /v1/completions HTTP/1.1\r\nX-Slow", 408, kCallerTooSlow);
  ExpectRefusal(
    "POST /v1/completions HTTP/1.1\r\nContent-Length: 50\r\n\r\nhalf",
    408,
    kCallerTooSlow);
  ExpectServed();
}

TEST(BadInputTest, SaysSoWhenABodyEndsTooSoon)
{
  RawConnection wire(deployment_.At(0).Port());
  wire.Write("POST /v1/completions HTTP/1.1\r\nContent-Length: 50\r\n\r\nhalf");
  wire.ShutdownSend();
  CHECK_TRUE(wire.ReadToEnd());
  LONGS_EQUAL(static_cast<int>(kMalformedHttp), wire.Code());
}

// A caller that sends a request and half-closes its connection cannot be
// distinguished from one that disconnected, so the engine is freed. A caller
// that still reads receives the result code instead of an empty response.
TEST(BadInputTest, TellsAHalfClosedCallerThatItCountsAsGone)
{
  deployment_.Engine(0).Control({ { "slowdown", 400.0 } });
  RawConnection wire(deployment_.At(0).Port());
  wire.Write(RawChatRequest(kValidBody));
  CHECK_TRUE(WaitUntil(std::chrono::seconds(10), [this] {
    return deployment_.Engine(0).Stats().value("running", 0) == 1;
  }));
  wire.ShutdownSend();
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
  RawConnection wire(deployment_.At(0).Port());
  wire.Write(call("first") + call("second") + RawChatRequest("no json") +
             call("third"));
  CHECK_TRUE(wire.ReadUntil("/third"));
  const std::string& text = wire.Received();
  CHECK_TRUE(text.find("/first") < text.find("/second"));
  CHECK_TRUE(text.find("/second") < text.find("malformed-json"));
  CHECK_TRUE(text.find("malformed-json") < text.find("/third"));
}

TEST(BadInputTest, ReadsAChunkedBody)
{
  const std::string body = kValidBody;
  std::string request = "POST /v1/chat/completions HTTP/1.1\r\n"
                        "Authorization: Bearer team-one-key\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n";
  for (const char letter : body) {
    request += std::string("1\r\n") + letter + "\r\n";
  }
  RawConnection wire(deployment_.At(0).Port());
  wire.Write(request + "0\r\n\r\n");
  CHECK_TRUE(wire.ReadUntil(fakes::ReferenceAnswer("hi", 4)));
  LONGS_EQUAL(200, wire.Status());
}

// The host appends its own fields to the caller's JSON. A caller that sets the
// same fields must not control the engine with them: a different request_id
// would make the tokens look like those of another request, and a different
// resume_from would drop the first tokens.
TEST(BadInputTest, OverrulesACallersFieldsThatAreItsOwn)
{
  const std::string own =
    R"({"request_id":"x","resume_from":2,"priority":-9,"max_tokens":4,)"
    R"("messages":[{"role":"user","content":"hi"}],"model":"m"} )";
  const std::string twice =
    R"({"resume_from":2,"resume_from":1,"max_tokens":9,"max_tokens":4,)"
    R"("messages":[{"role":"user","content":"hi"}],"model":"m"}  )";
  for (const std::string& body :
       { own, twice, std::string(kValidBody) + " " }) {
    RawConnection wire(deployment_.At(0).Port());
    wire.Write(RawChatRequest(body));
    CHECK_TRUE(wire.ReadUntil("\"" + fakes::ReferenceAnswer("hi", 4) + "\""));
    LONGS_EQUAL(200, wire.Status());
  }
}
