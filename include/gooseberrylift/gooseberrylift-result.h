// Numeric result codes and the error type that carries them.
// docs/RESULT-CODES.md documents them for callers and operators.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_RESULT_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_RESULT_H_

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace gooseberrylift {

// The value is also the exit status of a command that ends with this result,
// so all codes are below 256. Ranges: 1-9 general, 10-29 settings and command
// line, 30-59 invalid requests, 60-89 admission and scheduling, 90-125 store,
// configuration, peers and orders, 126-165 endpoints, 170-209 at-most-once
// calls, jobs and quarantine, 210-239 reports.
enum class ResultCode
{
  kOk = 0,
  kInternal = 1,
  kUsage = 2,
  kSettingsUnreadable = 10,
  kSettingsInvalid = 11,
  kListenFailed = 12,
  kHostsSilent = 13,
  kAdminRefused = 14,
  kRequestNotLogged = 15,
  kMalformedHttp = 30,
  kMalformedJson = 31,
  kBodyTooLarge = 32,
  kHeadersTooLarge = 33,
  kUnknownRoute = 34,
  kUnknownModel = 35,
  kUnknownService = 36,
  kMissingTeamKey = 37,
  kUnknownTeamKey = 38,
  kBadField = 39,
  kCallerTooSlow = 40,
  kMethodNotAllowed = 41,
  kCallerLeft = 42,
  kNoEndpoint = 60,
  kQueueFull = 61,
  kDeadlineUnreachable = 62,
  kDeadlineExceeded = 63,
  kShuttingDown = 64,
  kNoConfiguration = 65,
  kPromptTooLarge = 66,
  kRetryBudgetSpent = 67,
  kTeamLimit = 68,
  kSuspectRequest = 69,
  kEndpointsLimited = 70,
  kEndpointsBackedOff = 71,
  kNoEndpointInRegions = 72,
  kLinksLost = 73,
  kRelayFull = 74,
  kSuspectPart = 75,
  kConnectionLimit = 76,
  kMemoryFull = 77,
  kStoreUnavailable = 90,
  kStoreConflict = 91,
  kStoreNotFound = 92,
  kStoreGone = 93,
  kConfigurationInvalid = 94,
  kConfigurationUnreadable = 95,
  kConfigurationConflict = 96,
  kConfigurationLagging = 97,
  kConfigurationBaseMissing = 98,
  kWriteUnsettled = 99,
  kPeerUnreachable = 100,
  kPeerRefused = 101,
  kStoreBudget = 102,
  kHostUnreachable = 103,
  kEntryInvalid = 104,
  kFreshnessLost = 105,
  kEndpointUnreachable = 126,
  kEndpointBroken = 127,
  kEndpointRefused = 128,
  kEndpointCrossed = 129,
  kStreamCut = 130,
  kAnswerEndUnknown = 131,
  kEndpointSilent = 132,
  kEndpointFailed = 133,
  kEndpointWithdrawn = 134,
  kEndpointOverlong = 135,
  kOnceStoreUnavailable = 170,
  kOnceKeyReused = 171,
  kOncePending = 172,
  kOnceUnknown = 173,
  kOnceResultDropped = 174,
  kOnceBucketFull = 175,
  kJobStoreUnavailable = 180,
  kJobUnknown = 181,
  kJobTeamFull = 182,
  kJobClaimsUsed = 183,
  kJobExpired = 184,
  kReportPartial = 210,
};

// Whether an endpoint may have started to execute a request. kNo is reported
// only if no byte of the request was written to an endpoint's socket, or if the
// endpoint confirmed that it did not start.
enum class RanState
{
  kNo,
  kUnknown,
  kYes
};

// The name, HTTP status and description of a result code.
struct ResultInfo
{
  ResultCode code_;
  std::string_view name_;
  int httpStatus_;
  std::string_view meaning_;
};

// An error that is reported to a caller or an operator.
struct Error
{
  ResultCode code_ = ResultCode::kInternal;
  std::string text_;
  RanState ran_ = RanState::kNo;
  std::optional<std::chrono::milliseconds> retryAfter_ = std::nullopt;
};

/// Creates an error for a request that was not executed (RanState::kNo).
Error MakeError(ResultCode aCode, std::string aText = {});

/// Returns all result codes in ascending order.
std::span<const ResultInfo> AllResults();

/// Returns the description of a code, or that of kInternal for an unknown code.
const ResultInfo& InfoOf(ResultCode aCode);

/// Returns the value of the "ran" field in responses: "no", "unknown" or "yes".
std::string_view NameOf(RanState aRan);

/// Renders an error as the JSON body of a response.
/// @param aError the error
/// @param aRequestId the request's identifier, empty if none is assigned yet
/// @return a JSON object whose "error" has code, name, message and ran, and if
/// they are set request_id and retry_after_ms
std::string ErrorBody(const Error& aError, std::string_view aRequestId);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_RESULT_H_
