#include "gooseberrylift/gooseberrylift-attempts.h"

namespace gooseberrylift {

void Attempts::OnRefused(const Error& aRefusal)
{
  if (!anyFailed_ || aRefusal.code_ != ResultCode::kNoEndpoint) {
    last_ = aRefusal;
  }
}

void Attempts::OnFailed(const Error& aError)
{
  anyFailed_ = true;
  last_ = aError;
  if (aError.ran_ != RanState::kNo) {
    ran_ = RanState::kUnknown;
  }
}

Error Attempts::Final() const
{
  Error error = last_;
  if (error.ran_ == RanState::kNo) {
    error.ran_ = ran_;
  }
  return error;
}

} // namespace gooseberrylift
