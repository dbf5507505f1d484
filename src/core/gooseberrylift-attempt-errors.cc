#include "gooseberrylift/gooseberrylift-attempt-errors.h"

namespace gooseberrylift {

void AttemptErrors::OnRefused(const Error& aRefusal)
{
  if (!anyFailed_ || aRefusal.code_ != ResultCode::kNoEndpoint) {
    last_ = aRefusal;
  }
}

void AttemptErrors::OnFailed(const Error& aError)
{
  anyFailed_ = true;
  last_ = aError;
  if (aError.ran_ != RanState::kNo) {
    ran_ = RanState::kUnknown;
  }
}

Error AttemptErrors::FinalError() const
{
  Error error = last_;
  if (error.ran_ == RanState::kNo) {
    error.ran_ = ran_;
  }
  return error;
}

} // namespace gooseberrylift
