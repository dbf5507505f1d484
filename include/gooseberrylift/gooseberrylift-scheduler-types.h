// What goes into the scheduler of a pool and what comes out, as plain data.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_SCHEDULER_TYPES_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_SCHEDULER_TYPES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "gooseberrylift/gooseberrylift-config.h"
#include "gooseberrylift/gooseberrylift-endpoint.h"
#include "gooseberrylift/gooseberrylift-result.h"

namespace gooseberrylift {

// What the scheduler needs to know of a request.
struct RequestInfo
{
  std::uint64_t id_ = 0; // unique within this process
  std::string team_;
  std::string service_;
  ServiceClass class_ = ServiceClass::kNormal;
  std::uint64_t promptTokens_ = 0;
  std::uint64_t maxTokens_ = 0;
  std::uint64_t prefixHash_ = 0;        // of the prompt's head; 0 is none
  TimePoint deadline_;                  // for the whole answer
  std::vector<std::string> excluded_{}; // endpoints already tried
  // A second try that the budget is not charged for: the endpoint before took
  // no work, or the caller already has tokens of the answer.
  bool freeRetry_ = false;

  /// Says whether no attempt came before. A stream that waits for a new engine
  /// forgets those it tried, so an empty list alone does not tell.
  bool IsFirstTry() const { return excluded_.empty() && !freeRetry_; }
};

// What came of a request at an endpoint.
struct RequestOutcome
{
  bool succeeded_ = false;
  bool endpointAtFault_ = false; // unreachable, broken, crossed or too slow
  std::chrono::milliseconds timeToFirstToken_{ 0 };
};

// A decision: start the request at an endpoint, or refuse it.
struct SchedulerAction
{
  std::uint64_t id_ = 0;
  std::string endpoint_; // name; empty when refused
  Error refusal_;        // set when endpoint_ is empty
  int priority_ = 0;     // for the engine; lower runs first
  // An answer that has not begun by then is given up on, so that an endpoint
  // that accepts and never answers can't hold a request to its deadline.
  std::chrono::microseconds firstTokenLimit_{ 0 }; // 0 is none
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_SCHEDULER_TYPES_H_
