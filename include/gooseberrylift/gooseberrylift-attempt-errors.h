// Combines the errors of the attempts of one request, for both engines and
// plain services.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_ATTEMPT_ERRORS_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_ATTEMPT_ERRORS_H_

#include "gooseberrylift/gooseberrylift-result.h"

namespace gooseberrylift {

// Reduces the errors of a request's attempts to the one returned to its caller:
//
//   attempts.OnFailed(error);    // an attempt at an endpoint failed
//   attempts.OnRefused(refusal); // the scheduler found no other endpoint
//   co_return attempts.Final();
class AttemptErrors
{
public:
  /// Records the scheduler's refusal to place another attempt. After a failed
  /// attempt, kNoEndpoint does not replace that attempt's error, which tells
  /// the caller more.
  void OnRefused(const Error& aRefusal);

  /// Records a failed attempt at an endpoint.
  void OnFailed(const Error& aError);

  /// Returns the last error. Once an endpoint may have received part of the
  /// request, the result is never RanState::kNo, whatever the last attempt
  /// reported.
  Error FinalError() const;

private:
  Error last_{ .code_ = ResultCode::kNoEndpoint };
  RanState ran_ = RanState::kNo;
  bool anyFailed_ = false;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_ATTEMPT_ERRORS_H_
