// What the attempts of one request come to, whether it goes to an engine or to
// a plain service.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_ATTEMPTS_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_ATTEMPTS_H_

#include "gooseberrylift/gooseberrylift-result.h"

namespace gooseberrylift {

// Gathers the errors of a request's attempts into the one that its caller gets:
//
//   attempts.OnFailed(error);    // an endpoint failed it
//   attempts.OnRefused(refusal); // no further endpoint is to be had
//   co_return attempts.Final();
class Attempts
{
public:
  /// Takes in the scheduler's refusal to place another attempt. With endpoints
  /// tried in vain, their failure says more to the caller than "none left".
  void OnRefused(const Error& aRefusal);

  /// Takes in what became of an attempt at an endpoint.
  void OnFailed(const Error& aError);

  /// Gives the last error. Once a byte was given to an endpoint, "not run" is
  /// never true any more, whatever the last attempt said.
  Error Final() const;

private:
  Error last_{ .code_ = ResultCode::kNoEndpoint };
  RanState ran_ = RanState::kNo;
  bool tried_ = false;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_ATTEMPTS_H_
