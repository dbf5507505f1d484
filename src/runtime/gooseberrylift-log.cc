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
                "The host accepts callers' connections, at most "
                "'caller_connections'; the other fields give its ports, 0 for "
                "one that is not open yet." },
  LogEventInfo{ kDrainStarted,
                LogLevel::kInfo,
                "drain-started",
                "A graceful shutdown began; the host reports not ready." },
  LogEventInfo{ kDrainFinished,
                LogLevel::kInfo,
                "drain-finished",
                "The graceful shutdown ended; 'cut' counts aborted requests." },
  LogEventInfo{ kSettingsReloaded,
                LogLevel::kInfo,
                "settings-reloaded",
                "The settings file changed; its new limits are in force." },
  LogEventInfo{
    kSettingsRefused,
    LogLevel::kError,
    "settings-refused",
    "The changed settings file is invalid; the old settings stay in "
    "force." },
  LogEventInfo{
    kStopped,
    LogLevel::kInfo,
    "stopped",
    "The host exits; 'tasks_left' counts coroutines that did not "
    "finish in time, 'elapsed_ms' is the time since the drain began." },
  LogEventInfo{ kHostPaused,
                LogLevel::kWarning,
                "host-paused",
                "This process did not run for 'paused_ms': the machine was "
                "suspended, overloaded or throttled." },
  LogEventInfo{ kTaskFailed,
                LogLevel::kError,
                "task-failed",
                "A task, timer or handler of this host failed by an exception, "
                "whose text is 'fault'; a loop is started again." },
  LogEventInfo{ kSettingsAwaited,
                LogLevel::kWarning,
                "settings-awaited",
                "The settings file is missing, unreadable or half-written; the "
                "host waits for it and ends if it stays so." },
  LogEventInfo{ kSettingsUnavailable,
                LogLevel::kWarning,
                "settings-unavailable",
                "The settings file of the running host is missing, unreadable "
                "or empty; the old settings stay in force." },
  LogEventInfo{ kSettingsNeedRestart,
                LogLevel::kWarning,
                "settings-need-restart",
                "The settings file differs from that of the start in 'fields', "
                "which take effect only when the host is started again." },
  LogEventInfo{ kConnectionsClosing,
                LogLevel::kInfo,
                "connections-closing",
                "The lag of a graceful shutdown is over: the listener and the "
                "callers' 'connections' are being closed." },
  LogEventInfo{
    kConnectionsClosed,
    LogLevel::kInfo,
    "connections-closed",
    "The callers' connections are closed; 'connections' counts those that are "
    "left at the limit. Since event 1017, 'accepted' connections were opened, "
    "'idle_closed' had no request, and 'refused' requests got 503." },
  LogEventInfo{ kListenerAwaited,
                LogLevel::kWarning,
                "listener-awaited",
                "A port can't be opened, since 'waited_ms'; the host tries "
                "again until it can." },
  LogEventInfo{ kAcceptFailed,
                LogLevel::kError,
                "accept-failed",
                "Connections can't be accepted, for example because no "
                "descriptors are left; they wait and the host tries again." },
  LogEventInfo{ kMemoryFull,
                LogLevel::kWarning,
                "memory-full",
                "Since the last such line, 'refused' requests did not fit into "
                "the memory for requests, and 'gave_way' ended so that others "
                "did; the other fields are what is held now." },
  LogEventInfo{ kListenerOpened,
                LogLevel::kInfo,
                "listener-opened",
                "A port is open that could not be opened at first." },
  LogEventInfo{ kConfigurationApplied,
                LogLevel::kInfo,
                "configuration-applied",
                "A configuration of a higher generation is in force." },
  LogEventInfo{ kConfigurationRejected,
                LogLevel::kError,
                "configuration-rejected",
                "A received configuration is invalid and was not applied." },
  LogEventInfo{ kStoreLost,
                LogLevel::kWarning,
                "store-lost",
                "The object store no longer responds to this host." },
  LogEventInfo{ kStoreReached,
                LogLevel::kInfo,
                "store-reached",
                "The object store responds to this host." },
  LogEventInfo{
    kConfigurationOlder,
    LogLevel::kError,
    "configuration-older",
    "The store has an older generation than the one in force; it "
    "was ignored. The store may have been restored from a backup." },
  LogEventInfo{ kConfigurationAccepted,
                LogLevel::kInfo,
                "configuration-accepted",
                "An operator's change was stored and is being applied." },
  LogEventInfo{ kConfigurationConflicted,
                LogLevel::kInfo,
                "configuration-conflicted",
                "An operator's change was rejected: its base generation is no "
                "longer current." },
  LogEventInfo{ kKeysUnproven,
                LogLevel::kWarning,
                "keys-unproven",
                "The host could not verify for too long that no key was "
                "revoked; requests with keys are rejected." },
  LogEventInfo{ kKeysProven,
                LogLevel::kInfo,
                "keys-proven",
                "The host has read the current keys from the store again." },
  LogEventInfo{ kStoreReading,
                LogLevel::kInfo,
                "store-reading",
                "The host starts or stops reading the store on behalf of its "
                "peers; while stopped, it receives changes from them." },
  LogEventInfo{ kZoneAggregatorChanged,
                LogLevel::kInfo,
                "zone-summed",
                "The host starts or stops sending the total load of its "
                "availability zone to other zones." },
  LogEventInfo{ kStoreObjectUnreadable,
                LogLevel::kWarning,
                "store-object-unreadable",
                "An object of the store can't be read, or a list of objects "
                "ends after it, for the reason in 'fault'; the others stay in "
                "use." },
  LogEventInfo{
    kHostListLost,
    LogLevel::kWarning,
    "host-list-lost",
    "The host list can't be read; the last known list stays in use." },
  LogEventInfo{ kEndpointState,
                LogLevel::kInfo,
                "endpoint-state",
                "An endpoint appeared or changed its state." },
  LogEventInfo{
    kEntryRefused,
    LogLevel::kWarning,
    "entry-refused",
    "An endpoint's entry in the store is invalid and was ignored." },
  LogEventInfo{ kEndpointRestarted,
                LogLevel::kInfo,
                "endpoint-reborn",
                "An endpoint restarted under the same id; the state kept for "
                "its previous incarnation is discarded." },
  LogEventInfo{ kEndpointRate,
                LogLevel::kInfo,
                "endpoint-rate",
                "An endpoint's rate limit was detected, changed or lifted." },
  LogEventInfo{ kZoneEvacuated,
                LogLevel::kInfo,
                "zone-evacuated",
                "The evacuation of an availability zone began or ended; during "
                "it the zone's endpoints get no new requests." },
  LogEventInfo{ kEndpointNotice,
                LogLevel::kInfo,
                "endpoint-notice",
                "An endpoint stated in a response that it is leaving, or asked "
                "this host to back off; 'backoff_ms' is for how long." },
  LogEventInfo{ kEndpointBackoffEnded,
                LogLevel::kInfo,
                "endpoint-backoff-ended",
                "The backoff that an endpoint asked for has ended; it gets "
                "requests again." },
  LogEventInfo{ kEndpointCold,
                LogLevel::kInfo,
                "endpoint-cold",
                "An endpoint is cold, or warm again; all hosts together send a "
                "cold one at most 'per_second' requests. 'source' tells how "
                "this host knows." },
  LogEventInfo{ kEndpointPressureBegan,
                LogLevel::kInfo,
                "endpoint-pressure-began",
                "An endpoint rejected requests, asked for a backoff, was "
                "ejected or returned; for 'remaining_ms' it gets fewer "
                "requests. 'told' says whether only other hosts saw it." },
  LogEventInfo{ kEndpointPressureEnded,
                LogLevel::kInfo,
                "endpoint-pressure-ended",
                "An endpoint gets its full share of the requests again." },
  LogEventInfo{ kLinkState,
                LogLevel::kWarning,
                "link-state",
                "This host's links to the endpoints of a service were found to "
                "be lost, or up again or after all; 'answered' of 'probes' "
                "endpoints answered." },
  LogEventInfo{ kEndpointListUpdated,
                LogLevel::kInfo,
                "endpoint-list-updated",
                "Changed entries of endpoints were applied; 'source' is where "
                "they were read, 'age_ms' how old that is (-1: unknown), and "
                "'leaving' and 'gone' name the endpoints that left." },
  LogEventInfo{ kEndpointListLate,
                LogLevel::kWarning,
                "endpoint-list-late",
                "The list of endpoints is known to be complete only up to "
                "'age_ms' ago, although requests are placed by it." },
  LogEventInfo{ kEndpointListCurrent,
                LogLevel::kInfo,
                "endpoint-list-current",
                "The list of endpoints is complete again." },
  LogEventInfo{ kRemovalsDeferred,
                LogLevel::kWarning,
                "removals-deferred",
                "The host took a gap of 'gap_ms' between two reads of the "
                "store for an outage; endpoints whose entries are missing stay "
                "in use for a short time." },
  LogEventInfo{ kRequestFinished,
                LogLevel::kDebug,
                "request-finished",
                "A request was answered completely." },
  LogEventInfo{ kRequestFailed,
                LogLevel::kInfo,
                "request-failed",
                "A request ended with an error; 'code' is its result code." },
  LogEventInfo{
    kAttemptFailed,
    LogLevel::kInfo,
    "attempt-failed",
    "An attempt at an endpoint failed; the request may be retried." },
  LogEventInfo{ kRequestServed,
                LogLevel::kInfo,
                "request-served",
                "A routed request was answered completely; the fields give its "
                "times." },
  LogEventInfo{ kRelayFailed,
                LogLevel::kInfo,
                "relay-failed",
                "A relayed request was not served by the other host; if "
                "'refused_by_host', a further host may take it." },
  LogEventInfo{ kResponseTruncated,
                LogLevel::kWarning,
                "response-truncated",
                "A response ended after a part of it had been sent; 'code' is "
                "the last error, 'reason' what aborted the request, if "
                "anything did." },
  LogEventInfo{ kAttemptStalled,
                LogLevel::kInfo,
                "attempt-stalled",
                "An attempt received nothing for its stall timeout; the fields "
                "give when the endpoint was last heard from, and 'decision' "
                "what follows." },
  LogEventInfo{ kRequestPlaced,
                LogLevel::kInfo,
                "request-placed",
                "An endpoint was selected; the fields give the reasons." },
  LogEventInfo{
    kRequestRefused,
    LogLevel::kInfo,
    "request-refused",
    "A request was rejected without being sent; the fields give the "
    "reasons." },
  LogEventInfo{ kPoisonRequestDetected,
                LogLevel::kWarning,
                "request-suspected",
                "A feature of requests, their content or a part of their "
                "prompts, crashed several endpoints; all hosts now reject "
                "requests with it." },
  LogEventInfo{ kRequestWaits,
                LogLevel::kInfo,
                "request-waits",
                "A long prompt waits for engines; the fields give its place "
                "among those that wait at all hosts." },
  LogEventInfo{ kRequestRelayed,
                LogLevel::kInfo,
                "request-relayed",
                "A request was sent to another host, since this one lacks "
                "links to endpoints; 'reason' says how it knows." },
  LogEventInfo{ kEndpointCrashed,
                LogLevel::kInfo,
                "endpoint-crashed",
                "An endpoint whose connections broke is confirmed to have "
                "exited; 'proof' says how." },
  LogEventInfo{ kExitUnconfirmed,
                LogLevel::kInfo,
                "exit-unconfirmed",
                "An endpoint's connections broke; how it responded to a new "
                "one, and the state of this host's links, don't show that it "
                "exited." },
  LogEventInfo{ kQuarantineReleased,
                LogLevel::kWarning,
                "quarantine-released",
                "Requests with a feature are sent again, since the answer to "
                "one of them went on." },
  LogEventInfo{ kRetryDenied,
                LogLevel::kInfo,
                "retry-denied",
                "A failed request is not sent again, since this host has spent "
                "its share of the retry budget; the fields are what it has "
                "counted in the window." },
  LogEventInfo{ kQuarantineProbed,
                LogLevel::kInfo,
                "quarantine-probed",
                "A request is sent once although it has a quarantined feature, "
                "to find out whether it still crashes endpoints." },
  LogEventInfo{ kReturnPromised,
                LogLevel::kInfo,
                "return-promised",
                "A rejected caller was told to return after 'due_ms'; "
                "'due_with_it' promises are due at about that time." },
  LogEventInfo{ kReturnClaimed,
                LogLevel::kInfo,
                "return-claimed",
                "A rejected caller returned when it was told to, and counts as "
                "waiting since its first attempt." },
  LogEventInfo{ kJobEnded,
                LogLevel::kInfo,
                "job-ended",
                "A job ended; 'code' is 0 when it has a result." },
  LogEventInfo{ kJobClaimLost,
                LogLevel::kWarning,
                "job-claim-lost",
                "Another host claimed the job, or its caller deleted it." },
  LogEventInfo{ kPeerRefused,
                LogLevel::kWarning,
                "peer-refused",
                "A message from another host was rejected: invalid signature, "
                "duplicate, or clock skew." },
  LogEventInfo{ kLoadPortUnavailable,
                LogLevel::kError,
                "peer-words-failed",
                "The UDP port for load messages is not open yet; load is "
                "exchanged later, with the regular peer exchange, until event "
                "1016 tells that it is." },
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

// Minimum level of each component, in the order of kComponents.
using Levels = std::array<std::atomic<LogLevel>, kComponents.size()>;
Levels sMinLevels{};
std::string sHost; // written once, before threads start

struct LimitedEvent
{
  std::mutex mutex_;
  EventRateLimiter limit_{ EventRateLimiter::Options{} };
};

// One limiter per event, in the order of kEvents.
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

// Returns nullopt if the event is over its rate limit, else the number of
// events that were suppressed before it.
std::optional<std::uint64_t> AdmitEvent(const LogEventInfo& aInfo)
{
  LimitedEvent& event =
    sLimits.at(static_cast<std::size_t>(&aInfo - kEvents.data()));
  const std::lock_guard lock(event.mutex_);
  return event.limit_.Admit(TimerService::Now());
}

LogSink sOutput{ STDOUT_FILENO };

// Number of lines that could not be written: since the start, and since the
// last written line, which reports them.
std::atomic<std::uint64_t> sAllUnwrittenLines = 0;
std::atomic<std::uint64_t> sUnwrittenLines = 0;
// The number that the line being written reports.
thread_local std::uint64_t sReportedLines = 0;

class StandardOutputCallback : public el::LogDispatchCallback
{
protected:
  void handle(const el::LogDispatchData* aData) override
  {
    if (!sOutput.Write(aData->logMessage()->message())) {
      sAllUnwrittenLines.fetch_add(1, std::memory_order_relaxed);
      sUnwrittenLines.fetch_add(1 + sReportedLines, std::memory_order_relaxed);
    }
  }
};

// Cuts the texts in a value.
void ShortenTexts(nlohmann::json& aValue)
{
  constexpr std::size_t kMaxTextBytes = 64;
  if (aValue.is_structured()) {
    for (nlohmann::json& value : aValue) {
      ShortenTexts(value);
    }
  } else if (aValue.is_string()) {
    auto& text = aValue.get_ref<std::string&>();
    text.resize(std::min(text.size(), kMaxTextBytes));
  }
}

// Names of objects of another writer can be of any length.
std::string FormatLine(nlohmann::json aFields)
{
  const auto format = [&aFields] {
    return aFields.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
  };
  std::string line = format();
  if (line.size() >= kMaxLogLineBytes) {
    ShortenTexts(aFields);
    line = format();
  }
  return line;
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
      sMinLevels.at(index).store(*level, std::memory_order_relaxed);
      known = true;
    }
  }
  return known;
}

std::string_view LogLevelOf(const LogComponent& aComponent)
{
  const auto index = static_cast<std::size_t>(aComponent.hundreds_ -
                                              kComponents.front().hundreds_);
  return NameOf(sMinLevels.at(index).load(std::memory_order_relaxed));
}

std::uint64_t CountUnwrittenLogLines()
{
  return sAllUnwrittenLines.load(std::memory_order_relaxed);
}

void WriteToStandardError(std::string aLine)
{
  aLine.resize(std::min(aLine.size(), kMaxLogLineBytes - 1));
  (void)LogSink(STDERR_FILENO).Write(std::move(aLine));
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
  el::Helpers::installLogDispatchCallback<StandardOutputCallback>(
    "StandardOutput");
}

void Log(LogEvent aEvent, nlohmann::json aFields)
{
  const LogEventInfo& info = InfoOf(aEvent);
  const auto& minLevel = sMinLevels.at(ComponentOf(aEvent));
  if (info.level_ < minLevel.load(std::memory_order_relaxed)) {
    return;
  }
  const auto suppressed = AdmitEvent(info);
  if (!suppressed) {
    return;
  }
  if (*suppressed > 0) {
    aFields["left_out"] = *suppressed;
  }
  sReportedLines = sUnwrittenLines.exchange(0, std::memory_order_relaxed);
  if (sReportedLines > 0) {
    aFields["unwritten"] = sReportedLines;
  }
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  aFields["at_ms"] =
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  aFields["event"] = static_cast<int>(aEvent);
  aFields["name"] = info.name_;
  aFields["host"] = sHost;
  const std::string line = FormatLine(std::move(aFields));
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
