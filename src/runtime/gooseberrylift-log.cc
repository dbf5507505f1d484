#include "gooseberrylift/internal/gooseberrylift-log.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace gooseberrylift {

namespace {

using enum LogEvent;

constexpr std::array kEvents = {
  LogEventInfo{ kStarted,
                LogLevel::kInfo,
                "started",
                "The host listens; the fields give its ports." },
  LogEventInfo{ kDrainStarted,
                LogLevel::kInfo,
                "drain-started",
                "A planned stop began; readiness is off." },
  LogEventInfo{ kDrainFinished,
                LogLevel::kInfo,
                "drain-finished",
                "The planned stop ended; 'cut' counts what it had to cut." },
  LogEventInfo{ kConfigurationApplied,
                LogLevel::kInfo,
                "configuration-applied",
                "A configuration of a higher generation is in force." },
  LogEventInfo{ kConfigurationRejected,
                LogLevel::kError,
                "configuration-rejected",
                "The store's configuration is wrong and was not applied." },
  LogEventInfo{ kStoreLost,
                LogLevel::kWarning,
                "store-lost",
                "The object store stopped answering this host." },
  LogEventInfo{ kStoreReached,
                LogLevel::kInfo,
                "store-reached",
                "The object store answers this host." },
  LogEventInfo{ kHostListLost,
                LogLevel::kWarning,
                "host-list-lost",
                "The host list can't be read; the last one stays in use." },
  LogEventInfo{ kEndpointState,
                LogLevel::kInfo,
                "endpoint-state",
                "An endpoint appeared or changed its state." },
  LogEventInfo{ kRequestFinished,
                LogLevel::kDebug,
                "request-finished",
                "A request was answered whole." },
  LogEventInfo{ kRequestFailed,
                LogLevel::kInfo,
                "request-failed",
                "A request ended with an error, given by its code." },
  LogEventInfo{ kAttemptFailed,
                LogLevel::kInfo,
                "attempt-failed",
                "An endpoint failed a request, which may be tried again." },
  LogEventInfo{ kJobEnded,
                LogLevel::kInfo,
                "job-ended",
                "A job ended; 'code' is 0 when it has a result." },
  LogEventInfo{ kJobClaimLost,
                LogLevel::kWarning,
                "job-claim-lost",
                "Another host took the job over, or its caller removed it." },
};

std::atomic<LogLevel> sLowest = LogLevel::kInfo;
std::string sHost; // written once, before any thread starts

LogLevel LevelOf(std::string_view aName)
{
  constexpr std::array kNames = { "debug", "info", "warning", "error" };
  const auto* found = std::find(kNames.begin(), kNames.end(), aName);
  return found == kNames.end() ? LogLevel::kInfo
                               : static_cast<LogLevel>(found - kNames.begin());
}

const LogEventInfo& InfoOf(LogEvent aEvent)
{
  return *std::find_if(
    kEvents.begin(), kEvents.end(), [aEvent](const LogEventInfo& aInfo) {
      return aInfo.event_ == aEvent;
    });
}

} // namespace

std::span<const LogEventInfo> AllLogEvents()
{
  return kEvents;
}

void StartLogging(std::string_view aLevel, std::string aHost)
{
  sLowest = LevelOf(aLevel);
  sHost = std::move(aHost);
  el::Configurations configurations;
  configurations.setToDefault();
  configurations.setGlobally(el::ConfigurationType::Format, "%msg");
  configurations.setGlobally(el::ConfigurationType::ToFile, "false");
  // The build sends easylogging's console sink to standard error.
  configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureAllLoggers(configurations);
}

void Log(LogEvent aEvent, nlohmann::json aFields)
{
  const LogEventInfo& info = InfoOf(aEvent);
  if (info.level_ < sLowest.load(std::memory_order_relaxed)) {
    return;
  }
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  aFields["at_ms"] =
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  aFields["event"] = static_cast<int>(aEvent);
  aFields["name"] = info.name_;
  aFields["host"] = sHost;
  const std::string line =
    aFields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  switch (info.level_) {
    case LogLevel::kError:
      LOG(ERROR) << line;
      break;
    case LogLevel::kWarning:
      LOG(WARNING) << line;
      break;
    default:
      LOG(INFO) << line;
  }
}

} // namespace gooseberrylift
