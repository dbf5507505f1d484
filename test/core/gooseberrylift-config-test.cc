#include "gooseberrylift/gooseberrylift-config.h"

#include <fstream>
#include <iterator>

#include <boost/leaf/handle_errors.hpp>

#include <CppUTest/TestHarness.h>

using gooseberrylift::Configuration;
using gooseberrylift::Error;
using gooseberrylift::ResultCode;

namespace {

// Returns the error text of Configuration::Parse, or an empty string if the
// configuration is valid.
std::string ParseError(const std::string& aText)
{
  return boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<std::string> {
      BOOST_LEAF_CHECK(Configuration::Parse(aText, 1));
      return std::string();
    },
    [](const Error& aError) {
      CHECK(aError.code_ == ResultCode::kConfigurationInvalid);
      return aError.text_;
    },
    [] { return std::string("no Error object"); });
}

std::string WithServices(const std::string& aServices)
{
  return R"({"teams":[{"name":"t","keys":["12345678"]}],)"
         R"("pools":[{"name":"p"}],"services":[)" +
         aServices + "]}";
}

} // namespace

TEST_GROUP(ConfigurationTest){};

TEST(ConfigurationTest, AcceptsASmallConfiguration)
{
  STRCMP_EQUAL(
    "",
    ParseError(WithServices(R"({"name":"s","kind":"plain","pool":"p"})"))
      .c_str());
}

TEST(ConfigurationTest, ReportsThePathOfASchemaViolation)
{
  STRCMP_CONTAINS(
    "[services][0]",
    ParseError(WithServices(R"({"name":"s","kind":"odd","pool":"p"})"))
      .c_str());
}

TEST(ConfigurationTest, RejectsAnUnknownPool)
{
  STRCMP_EQUAL(
    "services/s/pool: unknown pool 'q'",
    ParseError(WithServices(R"({"name":"s","kind":"plain","pool":"q"})"))
      .c_str());
}

TEST(ConfigurationTest, RejectsAnUnknownPlacementStrategy)
{
  STRCMP_EQUAL("pools/p/placement: unknown strategy 'best'",
               ParseError(R"({"teams":[{"name":"t","keys":["12345678"]}],)"
                          R"("pools":[{"name":"p","placement":"best"}],)"
                          R"("services":[]})")
                 .c_str());
}

TEST(ConfigurationTest, ReportsAllServicesOfADependencyCycle)
{
  const std::string error = ParseError(WithServices(
    R"({"name":"a","kind":"plain","pool":"p","depends_on":["b"]},)"
    R"({"name":"b","kind":"plain","pool":"p","depends_on":["c"]},)"
    R"({"name":"c","kind":"plain","pool":"p","depends_on":["a"]})"));
  STRCMP_EQUAL("services/c/depends_on: dependency cycle: a > b > c > a",
               error.c_str());
}

TEST(ConfigurationTest, RejectsAKeySharedByTwoTeams)
{
  const std::string error = ParseError(
    R"({"teams":[{"name":"t","keys":["12345678"]},)"
    R"({"name":"u","keys":["12345678"]}],"pools":[],"services":[]})");
  STRCMP_EQUAL("teams/u/keys: duplicate key", error.c_str());
}
