// Tests that the HTTP client sends no request whose head the server would read
// as something else.

#include "harness-raw-endpoint.h"
#include "harness.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;

namespace {

void CheckRejected(const HttpRequest& aRequest)
{
  RawEndpoint endpoint({ .body_ = "received" });
  const auto answer = Send(endpoint.Port(), aRequest);
  CHECK_TRUE(answer.has_error());
  CHECK_TRUE(answer.error().code_ == ResultCode::kInternal);
  CHECK_TRUE(answer.error().ran_ == RanState::kNo);
  LONGS_EQUAL(0, endpoint.Received());
}

} // namespace

TEST_GROUP(RequestHeadTest){};

// Guards against fields and requests that a text from a document adds.
TEST(RequestHeadTest, RejectsCharactersThatEndALineOrAPartOfIt)
{
  for (const char* text :
       { "a\r\nX-A: b", "a\nX-A: b", "a\rb", "\x01", "\x7f" }) {
    CheckRejected({ .target_ = std::string("/") + text });
    CheckRejected({ .fields_ = { { "X-Name", text } } });
    CheckRejected({ .fields_ = { { text, "value" } } });
    CheckRejected({ .method_ = text });
  }
  CheckRejected({ .target_ = "/a b" });
  CheckRejected({ .target_ = std::string("/\0", 2) });
  CheckRejected({ .target_ = "" });
  CheckRejected({ .fields_ = { { "X-Name", std::string("\0", 1) } } });
  CheckRejected({ .fields_ = { { "X Name", "value" } } });
  CheckRejected({ .fields_ = { { "X-Name:", "value" } } });
  CheckRejected({ .fields_ = { { "", "value" } } });
  CheckRejected({ .method_ = "G ET" });
  CheckRejected({ .method_ = "" });
}

// Guards against the same through an address, which becomes the field Host.
TEST(RequestHeadTest, RejectsAddressesWithOtherTexts)
{
  RawEndpoint endpoint({ .body_ = "received" });
  const std::string port = std::to_string(endpoint.Port());
  for (const std::string& address :
       { endpoint.Address() + "\r\nX-A",
         endpoint.Address() + " ",
         endpoint.Address() + "x",
         "::ffff:127.0.0.1%1\r\nX-A: b:" + port }) {
    const auto answer = Send(address, HttpRequest{});
    CHECK_TRUE(answer.has_error());
    CHECK_TRUE(answer.error().code_ == ResultCode::kEndpointUnreachable);
  }
  LONGS_EQUAL(0, endpoint.Received());
}

TEST(RequestHeadTest, SendsOtherCharactersAsTheyAre)
{
  RawEndpoint endpoint(
    { .fields_ = "Content-Length: 8\r\n", .body_ = "received" });
  const HttpRequest request{ .method_ = "M-SEARCH",
                             .target_ = "/a;b=%zz?\"<>{}|\\^`\xc3\xa4",
                             .fields_ = {
                               { "x-!#$%&'*+.^_`|~09", "" },
                               { "X-Name", "a\tb \"\xc3\xa4\xff" } } };
  const auto answer = Send(endpoint.Port(), request);
  STRCMP_EQUAL("received", answer.value().body_.c_str());
}
