// Numbered log events, one JSON object a line on standard output. The catalogue
// is docs/LOG-EVENTS.md.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_LOG_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_LOG_H_

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

// Ranges follow the components: 1000 host, 1100 configuration and store, 1200
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
  kHostListLost = 1200,
  kEndpointState = 1201,
  kEntryRefused = 1202,
  kEndpointRestarted = 1203,
  kEndpointRate = 1204,
  kZoneEvacuated = 1205,
  kRequestFinished = 1300,
  kRequestFailed = 1301,
  kAttemptFailed = 1302,
  kRequestServed = 1303,
  kRequestPlaced = 1400,
  kRequestRefused = 1401,
  kPoisonRequestDetected = 1402,
  kJobEnded = 1520,
  kJobClaimLost = 1521,
  kPeerRefused = 1600,
  kLoadPortUnavailable = 1601,
};

// One row of the catalogue.
struct LogEventInfo
{
  LogEvent event_;
  LogLevel level_;
  std::string_view name_;
  std::string_view meaning_;
};

/// Lists every event once, in rising order of its number.
std::span<const LogEventInfo> AllLogEvents();

/// Prepares logging and sets the lowest level that is written.
/// @param aLevel "debug", "info", "warning" or "error"
/// @param aHost the host's name, written with each event
void StartLogging(std::string_view aLevel, std::string aHost);

// What a group of a hundred event numbers belongs to.
struct LogComponent
{
  int hundreds_; // 10 for the events from 1000 to 1099
  std::string_view name_;
};

/// Lists the components in rising order of their events.
std::span<const LogComponent> AllLogComponents();

/// Sets the lowest level that is written, while running.
/// @param aComponent a component's name, or "all"
/// @param aLevel "debug", "info", "warning" or "error"
/// @return false when there is no such component or level
bool SetLogLevel(std::string_view aComponent, std::string_view aLevel);

/// Gives the lowest level that a component writes, by name.
std::string_view LogLevelOf(const LogComponent& aComponent);

/// Gives a level's name.
std::string_view NameOf(LogLevel aLevel);

/// Writes one event, unless its component's level or its rate forbids it. The
/// next one written of the same number then has the field "left_out". A line
/// that the reader of standard output has no room for is dropped, and the next
/// one written has the field "unwritten".
/// @param aEvent which
/// @param aFields an object with what is particular to this occurrence
void Log(LogEvent aEvent, nlohmann::json aFields = nlohmann::json::object());

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_LOG_H_
