// Tests of percent-encoding.

#include "gooseberrylift/internal/gooseberrylift-http.h"
#include "gooseberrylift/internal/gooseberrylift-uri.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;

TEST_GROUP(UriTest){};

TEST(UriTest, EncodesAllButUnreservedCharacters)
{
  STRCMP_EQUAL("azAZ09-._~", EncodeUriComponent("azAZ09-._~").c_str());
  STRCMP_EQUAL("%20%2B%26%23%25%2F%3F%3D%3A",
               EncodeUriComponent(" +&#%/?=:").c_str());
  STRCMP_EQUAL(
    "%00%0D%0A%7F%C3%A4%FF",
    EncodeUriComponent(std::string("\0\r\n\x7f\xc3\xa4\xff", 7)).c_str());
  STRCMP_EQUAL("", EncodeUriComponent("").c_str());
}

TEST(UriTest, DecodesWhatItEncodes)
{
  std::string all;
  for (int byte = 0; byte < 256; ++byte) {
    all += static_cast<char>(byte);
  }
  CHECK_TRUE(DecodeUriComponent(EncodeUriComponent(all)) == all);
  CHECK_TRUE(DecodeUriComponent("%7a%7A+") == "zz+");
  for (const char* malformed : { "%", "%7", "%zz", "a%b" }) {
    CHECK_FALSE(DecodeUriComponent(malformed).has_value());
  }
}

TEST(UriTest, RequestsDecodeTheParametersOfTheirQuery)
{
  const HttpRequest request = MakeRequest("/x?a=1%262&b=&c&a%26=3&d=%zz");
  STRCMP_EQUAL("1&2", request.QueryParameter("a").c_str());
  STRCMP_EQUAL("", request.QueryParameter("b").c_str());
  STRCMP_EQUAL("", request.QueryParameter("c").c_str());
  STRCMP_EQUAL("", request.QueryParameter("2").c_str());
  STRCMP_EQUAL("%zz", request.QueryParameter("d").c_str());
}
