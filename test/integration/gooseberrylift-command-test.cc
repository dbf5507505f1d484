// Tests of the command line against running hosts.

#include "harness.h"

#include <csignal>
#include <sstream>

#include "gooseberrylift/gooseberrylift-result.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;

namespace {

constexpr std::chrono::seconds kTimeout{ 20 };

struct CommandResult
{
  int status_ = -1;
  std::string output_;
};

CommandResult RunCommand(std::vector<std::string> aArguments)
{
  Process process(PRODUCT_BINARY, std::move(aArguments));
  const int status = process.WaitForExit(kTimeout);
  return { .status_ = status, .output_ = process.Output() };
}

std::string AdminAddress(const Host& aHost)
{
  return "127.0.0.1:" + std::to_string(aHost.AdminPort());
}

// Both objectives of "chat" allow 1 failure in 10. No endpoint of "board" runs,
// so every call to it is refused.
json ConfigurationWithObjectives()
{
  return json::parse(R"({ "services": [
    { "name": "chat", "kind": "model", "model": "m", "pool": "llm",
      "objective": { "first_token_ms": { "le4k": 20000 },
                     "first_token_share": 0.9, "success_share": 0.9 } },
    { "name": "board", "kind": "plain", "pool": "board",
      "objective": { "success_share": 0.9 } } ] })");
}

} // namespace

TEST_GROUP(CommandTest){};

TEST(CommandTest, ReportsTheBurnOfAllHostsTogether)
{
  Deployment deployment({ .hosts_ = 2,
                          .engines_ = 1,
                          .services_ = 0,
                          .config_ = ConfigurationWithObjectives() });
  for (const std::size_t host : { 0, 0, 1 }) {
    const auto answer =
      Send(deployment.At(host).Port(), ChatRequest("hello", 2, true));
    LONGS_EQUAL(200, answer.value().status_);
  }
  const auto refused =
    Send(deployment.At(1).Port(), BoardRequest("GET", "/rooms/1"));
  CHECK(refused.value().status_ >= 500);

  const std::string hosts =
    AdminAddress(deployment.At(0)) + "," + AdminAddress(deployment.At(1));
  json report;
  // A request is counted shortly after its response was sent.
  const bool complete = WaitUntil(kTimeout, [&] {
    const CommandResult commandResult =
      RunCommand({ "report", "burn", "--output", "json", "--hosts", hosts });
    report = json::parse(commandResult.output_, nullptr, false);
    return commandResult.status_ == 0 && report.is_object() &&
           report["rows"].size() == 3 &&
           report["rows"].back()["counts"][2][0] == 3;
  });
  CHECK_TRUE(complete);
  // The only call was refused and 1 in 10 may fail: the burn rate is 10. The
  // service with the highest rate comes first.
  const json& worst = report["rows"].front();
  STRCMP_EQUAL("board", worst["service"].get<std::string>().c_str());
  DOUBLES_EQUAL(10.0, worst["burn_rates"][2].get<double>(), 1e-6);
  DOUBLES_EQUAL(-9.0, worst["budget_left"].get<double>(), 1e-6);
  LONGS_EQUAL(0, worst["spent_in_minutes"].get<int>());
  STRCMP_EQUAL(
    "le4k",
    report["first_token_seconds"][0]["band"].get<std::string>().c_str());
}

// When a host does not answer, the report covers the others and the exit status
// marks it as partial, so that a script does not treat it as complete.
TEST(CommandTest, MarksAReportThatLacksAHost)
{
  Deployment deployment({ .engines_ = 1 });
  const CommandResult commandResult =
    RunCommand({ "report",
                 "burn",
                 "--hosts",
                 AdminAddress(deployment.At(0)),
                 "127.0.0.1:1" });
  LONGS_EQUAL(static_cast<int>(ResultCode::kReportPartial),
              commandResult.status_);
  STRCMP_CONTAINS("No answer, not counted: 127.0.0.1:1",
                  commandResult.output_.c_str());
  STRCMP_CONTAINS("report-partial (210)", commandResult.output_.c_str());
}

TEST(CommandTest, ShowsHostsQueuesAndEndpointsWithin80Columns)
{
  Deployment deployment({ .hosts_ = 2, .services_ = 0 });
  (void)Send(deployment.At(0).Port(), BoardRequest("GET", "/rooms/1"));
  const CommandResult commandResult =
    RunCommand({ "status",
                 "--hosts",
                 AdminAddress(deployment.At(0)),
                 AdminAddress(deployment.At(1)) });
  LONGS_EQUAL(0, commandResult.status_);
  std::istringstream lines(commandResult.output_);
  for (std::string line; std::getline(lines, line);) {
    CHECK_TRUE_TEXT(line.size() <= 80, line.c_str());
  }
  for (const char* text :
       { "entry-0", "entry-1", "engine-1", "no-endpoint", "reached" }) {
    STRCMP_CONTAINS(text, commandResult.output_.c_str());
  }
}

TEST(CommandTest, EndsWithTheCodeOfItsFault)
{
  const CommandResult silent =
    RunCommand({ "status", "--hosts", "127.0.0.1:1" });
  LONGS_EQUAL(static_cast<int>(ResultCode::kHostsSilent), silent.status_);
  const CommandResult usage = RunCommand({ "status" });
  LONGS_EQUAL(static_cast<int>(ResultCode::kUsage), usage.status_);
  STRCMP_CONTAINS("--hosts is required", usage.output_.c_str());
}

// Guards against an end by an exception or for want of memory.
TEST(CommandTest, ReportsAPathThatIsNoFileOrEndless)
{
  for (const char* path : { "/tmp", "/dev/zero" }) {
    const CommandResult settings = RunCommand({ "check", "--settings", path });
    LONGS_EQUAL(static_cast<int>(ResultCode::kSettingsUnreadable),
                settings.status_);
    const CommandResult configuration = RunCommand({ "check", path });
    LONGS_EQUAL(static_cast<int>(ResultCode::kConfigurationUnreadable),
                configuration.status_);
  }
}

TEST(CommandTest, GivesEverySubcommandHelpWithAnExample)
{
  const std::string help = RunCommand({ "--help" }).output_;
  std::istringstream lines(help.substr(help.find("Subcommands:")));
  int seen = 0;
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("  ") && !line.starts_with("   ")) {
      const std::string name = line.substr(2, line.find(' ', 2) - 2);
      const CommandResult commandResult = RunCommand({ name, "--help" });
      LONGS_EQUAL(0, commandResult.status_);
      CHECK_TRUE_TEXT(commandResult.output_.find("Example") !=
                        std::string::npos,
                      name.c_str());
      ++seen;
    }
  }
  CHECK(seen >= 9);
}

TEST(CommandTest, ChangesALogLevelWhileTheHostRuns)
{
  Deployment deployment({ .services_ = 0 });
  Host& host = deployment.At(0);
  const std::string address = AdminAddress(host);
  LONGS_EQUAL(
    0, RunCommand({ "log", "requests", "error", "--hosts", address }).status_);
  (void)Send(host.Port(), BoardRequest("GET", "/while-silenced"));
  LONGS_EQUAL(
    0, RunCommand({ "log", "requests", "info", "--hosts", address }).status_);
  (void)Send(host.Port(), BoardRequest("GET", "/heard-again"));
  CHECK_FALSE(host.Handle().WaitForLine("\"event\":1301", kTimeout).empty());
  const std::string output = host.Handle().Output();
  const std::size_t first = output.find("\"event\":1301");
  CHECK_TRUE(output.find("\"event\":1301", first + 1) == std::string::npos);
  const CommandResult wrong =
    RunCommand({ "log", "requests", "loud", "--hosts", address });
  LONGS_EQUAL(static_cast<int>(ResultCode::kAdminRefused), wrong.status_);
}

TEST(CommandTest, DrainsAHostThatThenEndsByItself)
{
  Deployment deployment({});
  Host& host = deployment.At(0);
  LONGS_EQUAL(0,
              RunCommand({ "drain", "--hosts", AdminAddress(host) }).status_);
  LONGS_EQUAL(0, host.Handle().WaitForExit(kTimeout));
}
