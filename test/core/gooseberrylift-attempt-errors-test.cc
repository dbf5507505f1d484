#include "gooseberrylift/gooseberrylift-attempt-errors.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;

TEST_GROUP(AttemptErrorsTest){};

// The first endpoint received the request and failed; the second was
// unreachable and reports "not run". The caller must not receive that state,
// because the first endpoint may have run the request.
TEST(AttemptErrorsTest, NeverSaysNotRunAfterAnEndpointTookTheRequest)
{
  AttemptErrors attempts;
  attempts.OnFailed(
    { .code_ = ResultCode::kEndpointBroken, .ran_ = RanState::kUnknown });
  attempts.OnFailed({ .code_ = ResultCode::kEndpointUnreachable });
  const Error error = attempts.FinalError();
  CHECK(error.code_ == ResultCode::kEndpointUnreachable);
  CHECK(error.ran_ == RanState::kUnknown);
}

TEST(AttemptErrorsTest, SaysNotRunWhenNoEndpointTookTheRequest)
{
  AttemptErrors attempts;
  attempts.OnFailed({ .code_ = ResultCode::kEndpointUnreachable });
  CHECK(attempts.FinalError().ran_ == RanState::kNo);
}

TEST(AttemptErrorsTest, NamesTheFailureRatherThanNoneLeft)
{
  AttemptErrors attempts;
  attempts.OnFailed({ .code_ = ResultCode::kEndpointRefused });
  attempts.OnRefused({ .code_ = ResultCode::kNoEndpoint });
  CHECK(attempts.FinalError().code_ == ResultCode::kEndpointRefused);
  attempts.OnRefused({ .code_ = ResultCode::kRetryBudgetSpent });
  CHECK(attempts.FinalError().code_ == ResultCode::kRetryBudgetSpent);
}
