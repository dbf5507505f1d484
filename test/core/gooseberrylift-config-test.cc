#include "gooseberrylift/gooseberrylift-config.h"

#include <fstream>
#include <iterator>

#include <boost/leaf/handle_errors.hpp>

#include <CppUTest/TestHarness.h>

using gooseberrylift::Configuration;
using gooseberrylift::Error;
using gooseberrylift::ResultCode;

namespace {

// The text of the fault that Parse found; empty when it found none.
std::string FaultOf(const std::string& aText)
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
    [] { return std::string("no Error was given"); });
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
    FaultOf(WithServices(R"({"name":"s","kind":"plain","pool":"p"})")).c_str());
}

TEST(ConfigurationTest, NamesThePathOfASchemaFault)
{
  STRCMP_CONTAINS(
    "[services][0]",
    FaultOf(WithServices(R"({"name":"s","kind":"odd","pool":"p"})")).c_str());
}

TEST(ConfigurationTest, RefusesAnUnknownPool)
{
  STRCMP_EQUAL(
    "services/s/pool: unknown pool 'q'",
    FaultOf(WithServices(R"({"name":"s","kind":"plain","pool":"q"})")).c_str());
}

TEST(ConfigurationTest, RefusesAnUnknownPlacementWithItsPath)
{
  STRCMP_EQUAL("pools/p/placement: unknown strategy 'best'",
               FaultOf(R"({"teams":[{"name":"t","keys":["12345678"]}],)"
                       R"("pools":[{"name":"p","placement":"best"}],)"
                       R"("services":[]})")
                 .c_str());
}

TEST(ConfigurationTest, NamesTheWholePathOfADependencyCycle)
{
  const std::string fault = FaultOf(WithServices(
    R"({"name":"a","kind":"plain","pool":"p","depends_on":["b"]},)"
    R"({"name":"b","kind":"plain","pool":"p","depends_on":["c"]},)"
    R"({"name":"c","kind":"plain","pool":"p","depends_on":["a"]})"));
  STRCMP_EQUAL("services/c/depends_on: a cycle: a > b > c > a", fault.c_str());
}

TEST(ConfigurationTest, RefusesAKeyOfTwoTeams)
{
  const std::string fault =
    FaultOf(R"({"teams":[{"name":"t","keys":["12345678"]},)"
            R"({"name":"u","keys":["12345678"]}],"pools":[],"services":[]})");
  STRCMP_EQUAL("teams/u/keys: a key stands twice", fault.c_str());
}
