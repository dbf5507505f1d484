// Tests of the settings file with real processes: where it is looked for.

#include "harness-gateway.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include <sys/stat.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;
namespace fs = std::filesystem;

namespace {

constexpr const char* kVariable = "GOOSEBERRYLIFT_SETTINGS";
// Longer than the time for which a host waits for its settings.
constexpr std::chrono::seconds kEndLimit{ 9 };

json SettingsWith(const json& aChange = json::object())
{
  json settings = { { "host", { { "name", "a" }, { "zone", "z" } } },
                    { "caller", { { "port", 0 } } },
                    { "store", { { "addresses", { "127.0.0.1:1" } } } },
                    { "drain", { { "lag_ms", 1 }, { "limit_ms", 100 } } },
                    { "gateway", json::object() } };
  settings.merge_patch(aChange);
  return settings;
}

void WriteFile(const std::string& aPath, const std::string& aText)
{
  std::ofstream(aPath) << aText;
}

} // namespace

TEST_GROUP(SettingsFileTest)
{
  std::string path_ =
    "/tmp/settings-test-" + std::to_string(::getpid()) + ".json";

  void teardown() override
  {
    ::unsetenv(kVariable);
    fs::remove(path_);
  }

  Process Serve() const
  {
    return Process(PRODUCT_BINARY, { "serve", "--settings", path_ });
  }

  static void ExpectStarted(Process & aHost)
  {
    CHECK_FALSE(aHost.WaitForLine("\"event\":1000", kEndLimit).empty());
  }

  static void ExpectEnd(Process & aHost, ResultCode aCode)
  {
    LONGS_EQUAL(static_cast<int>(aCode), aHost.WaitForExit(kEndLimit));
  }

  static void ExpectEvent(Process & aHost, const char* aName)
  {
    const std::string text = "\"name\":\"" + std::string(aName) + "\"";
    CHECK_TRUE_TEXT(!aHost.WaitForLine(text, 6s).empty(), aName);
  }

  static int CountEvents(const Process& aHost, const std::string& aName)
  {
    const std::string text = "\"name\":\"" + aName + "\"";
    const std::string output = aHost.Output();
    int count = 0;
    for (std::size_t at = output.find(text); at != std::string::npos;
         at = output.find(text, at + 1)) {
      ++count;
    }
    return count;
  }

  // Stops a host and checks that it ended by this signal alone.
  static void ExpectStops(Process & aHost)
  {
    aHost.Signal(SIGTERM);
    LONGS_EQUAL(0, aHost.WaitForExit(kEndLimit));
  }
};

TEST(SettingsFileTest, IsFoundWhereTheVariableSays)
{
  WriteFile(path_, SettingsWith().dump());
  ::setenv(kVariable, path_.c_str(), 1);
  Process host(PRODUCT_BINARY, { "serve" });
  ExpectStarted(host);
  ExpectStops(host);
}

TEST(SettingsFileTest, IsThatOfTheOptionIfBothAreGiven)
{
  WriteFile(path_, SettingsWith().dump());
  ::setenv(kVariable, path_.c_str(), 1);
  Process host(PRODUCT_BINARY, { "serve", "--settings", path_ + ".none" });
  ExpectEnd(host, ResultCode::kSettingsUnreadable);
  STRCMP_CONTAINS(".none", host.Output().c_str());
}
