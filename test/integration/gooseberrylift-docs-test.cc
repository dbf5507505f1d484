// Tests that the pages under docs/ match the code that they describe.

#include "harness.h"

#include <fstream>
#include <iterator>

#include <boost/leaf/handle_errors.hpp>

#include "gooseberrylift/gooseberrylift-config.h"
#include "gooseberrylift/gooseberrylift-settings.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;

namespace {

std::string ReadFile(const std::string& aPath)
{
  std::ifstream file(std::string(SOURCE_ROOT) + "/" + aPath);
  CHECK_TRUE_TEXT(file.good(), aPath.c_str());
  return { std::istreambuf_iterator<char>(file), {} };
}

std::size_t TableRows(const std::string& aPage)
{
  std::size_t rows = 0;
  for (std::size_t position = aPage.find("\n| "); position != std::string::npos;
       position = aPage.find("\n| ", position + 1)) {
    ++rows;
  }
  return rows - 2; // without the header and the separator row
}

// Calls aCallback with the name of each property, such as "deadline_ms",
// at all levels of the schema.
template<typename Callback>
void ForEachField(const json& aSchema, const Callback& aCallback)
{
  const json properties = aSchema.value("properties", json::object());
  for (const auto& [name, property] : properties.items()) {
    aCallback(name);
    ForEachField(property, aCallback);
  }
  if (aSchema.contains("items")) {
    ForEachField(aSchema.at("items"), aCallback);
  }
}

void CheckFieldsAreDescribed(std::string_view aSchema)
{
  const std::string page = ReadFile("docs/CONFIGURATION.md");
  ForEachField(json::parse(aSchema), [&page](const std::string& aName) {
    CHECK_TRUE_TEXT(page.find("`" + aName + "`") != std::string::npos,
                    aName.c_str());
  });
}

} // namespace

TEST_GROUP(DocsTest){};

// After a result code or log event is added, run `make tables` to update the
// tables that the next two tests check.
TEST(DocsTest, ResultCodesHaveTheRowsOfTheCode)
{
  const std::string page = ReadFile("docs/RESULT-CODES.md");
  for (const ResultInfo& info : AllResults()) {
    const std::string row =
      "\n| " + std::to_string(static_cast<int>(info.code_)) + " | " +
      std::string(info.name_) + " | " + std::to_string(info.httpStatus_) +
      " | " + std::string(info.meaning_) + " |\n";
    CHECK_TRUE_TEXT(page.find(row) != std::string::npos, row.c_str());
  }
  LONGS_EQUAL(AllResults().size(), TableRows(page));
}

TEST(DocsTest, LogEventsHaveTheRowsOfTheCode)
{
  const std::string page = ReadFile("docs/LOG-EVENTS.md");
  for (const LogEventInfo& info : AllLogEvents()) {
    const std::string row =
      "\n| " + std::to_string(static_cast<int>(info.event_)) + " | " +
      std::string(info.name_) + " | " + std::string(NameOf(info.level_)) +
      " | " + std::string(info.meaning_) + " |\n";
    CHECK_TRUE_TEXT(page.find(row) != std::string::npos, row.c_str());
  }
  LONGS_EQUAL(AllLogEvents().size(), TableRows(page));
}

TEST(DocsTest, EveryFieldOfConfigurationAndSettingsIsDescribed)
{
  CheckFieldsAreDescribed(Configuration::Schema());
  CheckFieldsAreDescribed(Settings::Schema());
}

TEST(DocsTest, TheSamplesOfBothDeploymentsPassTheCheck)
{
  for (const char* path :
       { "samples/huonetila.json", "samples/vatuvola.json" }) {
    Process process(PRODUCT_BINARY,
                    { "check", std::string(SOURCE_ROOT) + "/" + path });
    LONGS_EQUAL(0, process.WaitForExit(std::chrono::seconds(10)));
  }
}
