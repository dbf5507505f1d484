#include "gooseberrylift/gooseberrylift-attempts.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;

TEST_GROUP(AttemptsTest){};

// The first endpoint received the request and failed; the second was
// unreachable and reports "not run". The caller must not receive that state,
// because the first endpoint may have run the request.
TEST(AttemptsTest, NeverSaysNotRunAfterAnEndpointTookTheRequest)
{
  Attempts attempts;
  attempts.OnFailed(
    { .code_ = ResultCode::kEndpointBroken, .ran_ = RanState::kUnknown });
  attempts.OnFailed({ .code_ = ResultCode::kEndpointUnreachable });
  const Error error = attempts.Final();
  CHECK(error.code_ == ResultCode::kEndpointUnreachable);
  CHECK(error.ran_ == RanState::kUnknown);
}

TEST(AttemptsTest, SaysNotRunWhenNoEndpointTookTheRequest)
{
  Attempts attempts;
  attempts.OnFailed({ .code_ = ResultCode::kEndpointUnreachable });
  CHECK(attempts.Final().ran_ == RanState::kNo);
}

TEST(AttemptsTest, NamesTheFailureRatherThanNoneLeft)
{
  Attempts attempts;
  attempts.OnFailed({ .code_ = ResultCode::kEndpointRefused });
  attempts.OnRefused({ .code_ = ResultCode::kNoEndpoint });
  CHECK(attempts.Final().code_ == ResultCode::kEndpointRefused);
  attempts.OnRefused({ .code_ = ResultCode::kRetryBudgetSpent });
  CHECK(attempts.Final().code_ == ResultCode::kRetryBudgetSpent);
}
