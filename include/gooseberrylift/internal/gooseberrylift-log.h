// Structured logging: numbered events, written to standard output as one JSON
// object per line. docs/LOG-EVENTS.md lists the events.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_LOG_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_LOG_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace gooseberrylift {

enum class LogLevel
{
  kDebug,
  kInfo,
  kWarning,
  kError
};

// Number ranges by component: 1000 host, 1100 configuration and store, 1200
// endpoints, 1300 callers' requests, 1400 decisions, 1500 at-most-once calls
// and jobs, 1600 peers, 1700 engine orders, 1800 reports.
enum class LogEvent
{
  kStarted = 1000,
  kDrainStarted = 1001,
  kDrainFinished = 1002,
  kSettingsReloaded = 1003,
  kSettingsRefused = 1004,
  kStopped = 1005,
  kHostPaused = 1006,
  kTaskFailed = 1007,
  kSettingsAwaited = 1008,
  kSettingsUnavailable = 1013,
  kSettingsNeedRestart = 1014,
  kConnectionsClosing = 1017,
  kConnectionsClosed = 1018,
  kMemoryFull = 1019,
  kListenerAwaited = 1009,
  kAcceptFailed = 1015,
  kListenerOpened = 1016,
  kConfigurationApplied = 1100,
  kConfigurationRejected = 1101,
  kStoreLost = 1102,
  kStoreReached = 1103,
  kConfigurationOlder = 1104,
  kConfigurationAccepted = 1105,
  kConfigurationConflicted = 1106,
  kKeysUnproven = 1107,
  kKeysProven = 1108,
  kStoreReading = 1109,
  kZoneAggregatorChanged = 1110,
  kStoreObjectUnreadable = 1112,
  kHostListLost = 1200,
  kEndpointState = 1201,
  kEntryRefused = 1202,
  kEndpointRestarted = 1203,
  kEndpointRate = 1204,
  kZoneEvacuated = 1205,
  kEndpointNotice = 1206,
  kEndpointBackoffEnded = 1207,
  kEndpointCold = 1208,
  kEndpointPressureBegan = 1210,
  kEndpointPressureEnded = 1211,
  kLinkState = 1212,
  kEndpointListUpdated = 1213,
  kEndpointListLate = 1214,
  kEndpointListCurrent = 1215,
  kRemovalsDeferred = 1216,
  kRequestFinished = 1300,
  kRequestFailed = 1301,
  kAttemptFailed = 1302,
  kRequestServed = 1303,
  kRelayFailed = 1304,
  kResponseTruncated = 1305,
  kAttemptStalled = 1306,
  kRequestPlaced = 1400,
  kRequestRefused = 1401,
  kRequestWaits = 1403,
  kPoisonRequestDetected = 1402,
  kRequestRelayed = 1404,
  kEndpointCrashed = 1405,
  kExitUnconfirmed = 1406,
  kQuarantineReleased = 1407,
  kRetryDenied = 1408,
  kQuarantineProbed = 1409,
  kReturnPromised = 1420,
  kReturnClaimed = 1421,
  kJobEnded = 1520,
  kJobClaimLost = 1521,
  kPeerRefused = 1600,
  kLoadPortUnavailable = 1601,
};

// Description of a log event.
struct LogEventInfo
{
  LogEvent event_;
  LogLevel level_;
  std::string_view name_;
  std::string_view meaning_;
};

/// Returns all events in ascending order of their numbers.
std::span<const LogEventInfo> AllLogEvents();

/// Initializes logging and sets the minimum level of all components.
/// @param aLevel "debug", "info", "warning" or "error"
/// @param aHost the host's name, added to each event
void StartLogging(std::string_view aLevel, std::string aHost);

/// Returns the number of lines that could not be written since the start,
/// because the reader of standard output had ended or was too slow, its file
/// could not grow, or they were longer than a pipe takes at once.
std::uint64_t CountUnwrittenLogLines();

/// Writes a line to standard error without blocking. A line longer than a pipe
/// takes at once is cut; one that can't be written is dropped.
void WriteToStandardError(std::string aLine);

// A component, which owns a range of 100 event numbers.
struct LogComponent
{
  int hundreds_; // 10 for the events from 1000 to 1099
  std::string_view name_;
};

/// Returns all components in ascending order of their event numbers.
std::span<const LogComponent> AllLogComponents();

/// Changes the minimum level at runtime.
/// @param aComponent a component's name, or "all"
/// @param aLevel "debug", "info", "warning" or "error"
/// @return false if the component or level is unknown
bool SetLogLevel(std::string_view aComponent, std::string_view aLevel);

/// Returns the name of a component's minimum level.
std::string_view LogLevelOf(const LogComponent& aComponent);

/// Returns the name of a level.
std::string_view NameOf(LogLevel aLevel);

/// Writes an event, unless it is below its component's minimum level or over
/// its rate limit. The field "left_out" of the next event with the same number
/// counts those suppressed by the rate limit. The texts of a line that would be
/// too long are cut. A line is dropped if the reader of standard output is too
/// slow; the field "unwritten" of the next line
/// counts the dropped lines.
/// @param aEvent the event
/// @param aFields a JSON object with the fields of this occurrence
void Log(LogEvent aEvent, nlohmann::json aFields = nlohmann::json::object());

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_LOG_H_
