// Tests of the settings file with real processes: where it is looked for, what
// a host does while it is being written, and which changes take effect.

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

// Replaces a file as deployment tools do, by a rename.
void ReplaceFile(const std::string& aPath, const std::string& aText)
{
  WriteFile(aPath + ".new", aText);
  fs::rename(aPath + ".new", aPath);
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

TEST(SettingsFileTest, IsWaitedForUntilItIsWritten)
{
  Process host = Serve();
  ExpectEvent(host, "settings-awaited");
  WriteFile(path_, "");
  std::this_thread::sleep_for(200ms);
  const std::string text = SettingsWith().dump();
  WriteFile(path_, text.substr(0, text.size() / 2));
  std::this_thread::sleep_for(200ms);
  WriteFile(path_, text);
  ExpectStarted(host);
  ExpectStops(host);
}

TEST(SettingsFileTest, EndsTheHostWithItsCodeIfItStaysAwayOrBroken)
{
  Process without = Serve();
  ExpectEnd(without, ResultCode::kSettingsUnreadable);
  STRCMP_CONTAINS("settings-unreadable (10)", without.Output().c_str());
  WriteFile(path_, "{ \"host\"");
  Process half = Serve();
  ExpectEnd(half, ResultCode::kSettingsInvalid);
  STRCMP_CONTAINS("not valid JSON", half.Output().c_str());
}

TEST(SettingsFileTest, EndsTheHostAtOnceIfItIsWholeAndWrong)
{
  WriteFile(path_, SettingsWith({ { "threads", "many" } }).dump());
  Process host = Serve();
  LONGS_EQUAL(static_cast<int>(ResultCode::kSettingsInvalid),
              host.WaitForExit(2s));
  STRCMP_CONTAINS("[threads]", host.Output().c_str());
}

TEST(SettingsFileTest, IsNoLongerWaitedForAfterSigterm)
{
  Process host = Serve();
  ExpectEvent(host, "settings-awaited");
  host.Signal(SIGHUP); // has nothing to reload
  std::this_thread::sleep_for(100ms);
  host.Signal(SIGTERM);
  LONGS_EQUAL(0, host.WaitForExit(1s));
}

// Guards against a start that hangs or exhausts memory.
TEST(SettingsFileTest, EndsTheHostIfItIsNoFileOrEndless)
{
  fs::create_directory(path_);
  Process directory = Serve();
  ExpectEnd(directory, ResultCode::kSettingsUnreadable);
  fs::remove(path_);
  LONGS_EQUAL(0, ::mkfifo(path_.c_str(), 0600));
  Process pipe = Serve();
  ExpectEnd(pipe, ResultCode::kSettingsInvalid);
  Process endless(PRODUCT_BINARY, { "serve", "--settings", "/dev/zero" });
  ExpectEnd(endless, ResultCode::kSettingsInvalid);
}

TEST(SettingsFileTest, MayComeThroughAPipe)
{
  LONGS_EQUAL(0, ::mkfifo(path_.c_str(), 0600));
  Process host = Serve();
  WriteFile(path_, SettingsWith().dump()); // opens when the host reads
  ExpectStarted(host);
  ExpectStops(host);
}

// Guards against a watch that ends as one look at the file fails.
TEST(SettingsFileTest, IsReadAgainAfterItWasAwayOrBroken)
{
  WriteFile(path_, SettingsWith().dump());
  Process host = Serve();
  ExpectStarted(host);
  fs::remove(path_);
  ExpectEvent(host, "settings-unavailable");
  LONGS_EQUAL(0, ::mkfifo(path_.c_str(), 0600));
  std::this_thread::sleep_for(1500ms);
  fs::remove(path_);
  const json changed = { { "gateway", { { "revoke_ms", 4000.0 } } } };
  ReplaceFile(path_, SettingsWith(changed).dump());
  ExpectEvent(host, "settings-reloaded");
  LONGS_EQUAL(1, CountEvents(host, "settings-unavailable"));
  LONGS_EQUAL(0, CountEvents(host, "settings-refused"));
  ExpectStops(host);
}

TEST(SettingsFileTest, IsNotRefusedWhileItIsHalfWritten)
{
  WriteFile(path_, SettingsWith().dump());
  Process host = Serve();
  ExpectStarted(host);
  const std::string text =
    SettingsWith({ { "gateway", { { "revoke_ms", 4000 } } } }).dump();
  for (std::size_t size = 0; size < text.size(); size += text.size() / 6) {
    WriteFile(path_, text.substr(0, size));
    std::this_thread::sleep_for(300ms);
  }
  WriteFile(path_, text);
  ExpectEvent(host, "settings-reloaded");
  LONGS_EQUAL(0, CountEvents(host, "settings-refused"));
  WriteFile(path_, "{ wrong");
  ExpectEvent(host, "settings-refused");
  ExpectStops(host);
}

// Guards against two changes within the granularity of file times.
TEST(SettingsFileTest, IsReloadedIfItsContentAloneHasChanged)
{
  WriteFile(path_, SettingsWith({ { "threads", 1 } }).dump());
  const auto time = fs::last_write_time(path_);
  Process host = Serve();
  ExpectStarted(host);
  WriteFile(path_, SettingsWith({ { "threads", 2 } }).dump());
  fs::last_write_time(path_, time);
  ExpectEvent(host, "settings-reloaded");
  ExpectStops(host);
}

TEST(SettingsFileTest, ReportsChangesThatNeedARestart)
{
  WriteFile(path_, SettingsWith().dump());
  Process host = Serve();
  ExpectStarted(host);
  ReplaceFile(path_,
              SettingsWith({ { "host", { { "name", "b" } } },
                             { "caller", { { "port", 1 } } } })
                .dump());
  ExpectEvent(host, "settings-reloaded");
  const std::string line = host.WaitForLine("settings-need-restart", 2s);
  STRCMP_CONTAINS("host.name", line.c_str());
  STRCMP_CONTAINS("caller", line.c_str());
  ExpectStops(host);
}

TEST(SettingsFileTest, AppliesNewTimesOfAStop)
{
  WriteFile(path_,
            SettingsWith({ { "drain", { { "lag_ms", 60'000 } } } }).dump());
  Process host = Serve();
  ExpectStarted(host);
  ReplaceFile(path_, SettingsWith().dump());
  ExpectEvent(host, "settings-reloaded");
  ExpectStops(host);
}

TEST(SettingsFileTest, IsNotWatchedIfTheSettingsAreGivenInline)
{
  Process host(PRODUCT_BINARY,
               { "serve", "--settings", SettingsWith().dump() });
  ExpectStarted(host);
  host.Signal(SIGHUP);
  std::this_thread::sleep_for(1500ms);
  LONGS_EQUAL(0, CountEvents(host, "settings-unavailable"));
  LONGS_EQUAL(0, CountEvents(host, "settings-reloaded"));
  ExpectStops(host);
}
