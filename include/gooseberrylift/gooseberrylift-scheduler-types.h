// Plain data types for the inputs and outputs of the scheduler.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_SCHEDULER_TYPES_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_SCHEDULER_TYPES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gooseberrylift/gooseberrylift-config.h"
#include "gooseberrylift/gooseberrylift-endpoint.h"
#include "gooseberrylift/gooseberrylift-result.h"

namespace gooseberrylift {

// The properties of a request that the scheduler uses.
struct RequestInfo
{
  std::uint64_t id_ = 0; // unique within this process
  std::string team_;
  std::string service_;
  ServiceClass class_ = ServiceClass::kNormal;
  std::uint64_t promptTokens_ = 0;
  std::uint64_t maxTokens_ = 0;
  std::uint64_t prefixHash_ = 0;        // of the prompt prefix; 0 if none
  TimePoint deadline_;                  // for the complete response
  std::vector<std::string> excluded_{}; // endpoints already tried
  // A retry that is not charged to the retry budget, because the previous
  // endpoint did no work or the caller already has part of the response.
  bool exemptFromRetryBudget_ = false;
  // Until when to wait for a place; set for a response that has begun. It is
  // not refused by predictions, since its caller can't go elsewhere.
  std::optional<TimePoint> placeBy_{};

  /// Returns whether this is the first attempt. A stream that waits for another
  /// engine clears excluded_, so an empty list alone is not sufficient.
  bool IsFirstAttempt() const
  {
    return excluded_.empty() && !exemptFromRetryBudget_;
  }
};

// The outcome of a request at an endpoint.
struct RequestOutcome
{
  bool succeeded_ = false;
  bool endpointAtFault_ =
    false; // unreachable, broken, mismatched response or too slow
  std::chrono::milliseconds timeToFirstToken_{ 0 };
  // For how long the endpoint asked this host to send it nothing; 0 if not.
  std::chrono::milliseconds backoff_{ 0 };
};

// A decision: send the request to an endpoint, or refuse it.
struct SchedulerAction
{
  std::uint64_t id_ = 0;
  std::string endpoint_; // name; empty when refused
  Error refusal_;        // set when endpoint_ is empty
  int priority_ = 0;     // for the engine; lower runs first
  // Time-out for the first token, so that an endpoint that accepts requests and
  // never answers can't hold a request until its deadline.
  std::chrono::microseconds firstTokenLimit_{ 0 }; // 0 if none
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_SCHEDULER_TYPES_H_
