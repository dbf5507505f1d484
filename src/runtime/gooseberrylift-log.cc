#include "gooseberrylift/internal/gooseberrylift-log.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <mutex>
#include <optional>

#include <easylogging++.h>
#include <unistd.h>

#include "gooseberrylift-log-sink.h"
#include "gooseberrylift/gooseberrylift-event-rate-limiter.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

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
  LogEventInfo{ kSettingsReloaded,
                LogLevel::kInfo,
                "settings-reloaded",
                "The settings file changed; its new bounds are in force." },
  LogEventInfo{ kSettingsRefused,
                LogLevel::kError,
                "settings-refused",
                "The changed settings file is wrong; the old ones stay." },
  LogEventInfo{ kStopped,
                LogLevel::kInfo,
                "stopped",
                "The host ends; 'tasks_left' counts coroutines that did not "
                "end in time, 'elapsed_ms' is the time since the drain." },
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
  LogEventInfo{ kConfigurationOlder,
                LogLevel::kError,
                "configuration-older",
                "The store shows an older generation than the one in force; it "
                "was refused. The store may have been put back." },
  LogEventInfo{ kConfigurationAccepted,
                LogLevel::kInfo,
                "configuration-accepted",
                "A change by an operator is stored and will be in force." },
  LogEventInfo{ kConfigurationConflicted,
                LogLevel::kInfo,
                "configuration-conflicted",
                "A change by an operator was refused: its base has changed." },
  LogEventInfo{ kKeysUnproven,
                LogLevel::kWarning,
                "keys-unproven",
                "Too long without a proof that no key was taken away; requests "
                "with keys are refused." },
  LogEventInfo{ kKeysProven,
                LogLevel::kInfo,
                "keys-proven",
                "The store has shown the newest keys again." },
  LogEventInfo{ kStoreReading,
                LogLevel::kInfo,
                "store-reading",
                "The host begins or ends to read the store for itself and "
                "others; in between it hears from them what they read." },
  LogEventInfo{ kZoneAggregatorChanged,
                LogLevel::kInfo,
                "zone-summed",
                "The host begins or ends to tell other availability zones what "
                "its own has in work." },
  LogEventInfo{ kHostListLost,
                LogLevel::kWarning,
                "host-list-lost",
                "The host list can't be read; the last one stays in use." },
  LogEventInfo{ kEndpointState,
                LogLevel::kInfo,
                "endpoint-state",
                "An endpoint appeared or changed its state." },
  LogEventInfo{ kEntryRefused,
                LogLevel::kWarning,
                "entry-refused",
                "An endpoint's entry in the store is wrong and was left out." },
  LogEventInfo{ kEndpointRestarted,
                LogLevel::kInfo,
                "endpoint-reborn",
                "An endpoint started again under the id that it had; what was "
                "known of its former life is forgotten." },
  LogEventInfo{ kEndpointRate,
                LogLevel::kInfo,
                "endpoint-rate",
                "An endpoint's rate limit was learnt, has changed or ended." },
  LogEventInfo{ kZoneEvacuated,
                LogLevel::kInfo,
                "zone-evacuated",
                "An availability zone is evacuated, so that its endpoints get "
                "no new requests, or is taken back." },
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
  LogEventInfo{ kRequestServed,
                LogLevel::kInfo,
                "request-served",
                "A routed request was answered whole; the fields give its "
                "times." },
  LogEventInfo{ kRequestPlaced,
                LogLevel::kInfo,
                "request-placed",
                "An endpoint was chosen; the fields give what decided it." },
  LogEventInfo{ kRequestRefused,
                LogLevel::kInfo,
                "request-refused",
                "A request was refused without being sent; the fields give "
                "what decided it." },
  LogEventInfo{ kPoisonRequestDetected,
                LogLevel::kWarning,
                "request-suspected",
                "A request ended two endpoints; all hosts refuse it now." },
  LogEventInfo{ kJobEnded,
                LogLevel::kInfo,
                "job-ended",
                "A job ended; 'code' is 0 when it has a result." },
  LogEventInfo{ kJobClaimLost,
                LogLevel::kWarning,
                "job-claim-lost",
                "Another host took the job over, or its caller removed it." },
  LogEventInfo{ kPeerRefused,
                LogLevel::kWarning,
                "peer-refused",
                "A message from another host was refused: wrong signature, "
                "sent twice, or clocks that differ." },
  LogEventInfo{ kLoadPortUnavailable,
                LogLevel::kError,
                "peer-words-failed",
                "The port for words of load could not be had; hosts hear of "
                "each other's requests later, with their exchanges." },
};

constexpr std::array kComponents = {
  LogComponent{ 10, "host" },      LogComponent{ 11, "configuration" },
  LogComponent{ 12, "endpoints" }, LogComponent{ 13, "requests" },
  LogComponent{ 14, "decisions" }, LogComponent{ 15, "jobs" },
  LogComponent{ 16, "peers" },     LogComponent{ 17, "orders" },
  LogComponent{ 18, "reports" },
};

constexpr std::array<std::string_view, 4> kLevelNames = { "debug",
                                                          "info",
                                                          "warning",
                                                          "error" };

// By component, in the order of kComponents.
using Levels = std::array<std::atomic<LogLevel>, kComponents.size()>;
Levels sLowest{};
std::string sHost; // written once, before any thread starts

struct LimitedEvent
{
  std::mutex mutex_;
  EventRateLimiter limit_{ EventRateLimiter::Options{} };
};

// By event, in the order of kEvents.
std::array<LimitedEvent, kEvents.size()> sLimits;

std::optional<LogLevel> LevelOf(std::string_view aName)
{
  const auto* found = std::find(kLevelNames.begin(), kLevelNames.end(), aName);
  if (found == kLevelNames.end()) {
    return std::nullopt;
  }
  return static_cast<LogLevel>(found - kLevelNames.begin());
}

std::size_t ComponentOf(LogEvent aEvent)
{
  return static_cast<std::size_t>(static_cast<int>(aEvent) / 100 -
                                  kComponents.front().hundreds_);
}

// Nothing when the event is over its rate, else how many were before.
std::optional<std::uint64_t> PassLimit(const LogEventInfo& aInfo)
{
  LimitedEvent& event =
    sLimits.at(static_cast<std::size_t>(&aInfo - kEvents.data()));
  const std::lock_guard lock(event.mutex_);
  return event.limit_.Admit(TimerService::Now());
}

// Lines that their reader had no room for; the next one written tells.
std::atomic<std::uint64_t> sUnwritten = 0;

class StandardOutput : public el::LogDispatchCallback
{
protected:
  void handle(const el::LogDispatchData* aData) override
  {
    if (!WriteNonBlocking(STDOUT_FILENO, aData->logMessage()->message())) {
      sUnwritten.fetch_add(1, std::memory_order_relaxed);
    }
  }
};

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

std::span<const LogComponent> AllLogComponents()
{
  return kComponents;
}

bool SetLogLevel(std::string_view aComponent, std::string_view aLevel)
{
  const auto level = LevelOf(aLevel);
  if (!level) {
    return false;
  }
  bool known = false;
  for (std::size_t index = 0; index < kComponents.size(); ++index) {
    if (aComponent == "all" || aComponent == kComponents.at(index).name_) {
      sLowest.at(index).store(*level, std::memory_order_relaxed);
      known = true;
    }
  }
  return known;
}

std::string_view LogLevelOf(const LogComponent& aComponent)
{
  const auto index = static_cast<std::size_t>(aComponent.hundreds_ -
                                              kComponents.front().hundreds_);
  return NameOf(sLowest.at(index).load(std::memory_order_relaxed));
}

std::string_view NameOf(LogLevel aLevel)
{
  return kLevelNames.at(static_cast<std::size_t>(aLevel));
}

void StartLogging(std::string_view aLevel, std::string aHost)
{
  SetLogLevel("all", aLevel);
  sHost = std::move(aHost);
  el::Configurations configurations;
  configurations.setToDefault();
  configurations.setGlobally(el::ConfigurationType::Format, "%msg");
  configurations.setGlobally(el::ConfigurationType::ToFile, "false");
  configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  el::Loggers::reconfigureAllLoggers(configurations);
  el::Helpers::uninstallLogDispatchCallback<
    el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<StandardOutput>("StandardOutput");
}

void Log(LogEvent aEvent, nlohmann::json aFields)
{
  const LogEventInfo& info = InfoOf(aEvent);
  const auto& lowest = sLowest.at(ComponentOf(aEvent));
  if (info.level_ < lowest.load(std::memory_order_relaxed)) {
    return;
  }
  const auto leftOut = PassLimit(info);
  if (!leftOut) {
    return;
  }
  if (*leftOut > 0) {
    aFields["left_out"] = *leftOut;
  }
  const std::uint64_t unwritten = sUnwritten.exchange(0);
  if (unwritten > 0) {
    aFields["unwritten"] = unwritten;
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
