#include "gooseberrylift/limits/gooseberrylift-started-response.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;

TEST_GROUP(StartedResponseTest){};

TEST(StartedResponseTest, EndsForReasonsThatStay)
{
  CHECK_TRUE(EndsStartedResponse(ResultCode::kCallerLeft));
  CHECK_TRUE(EndsStartedResponse(ResultCode::kDeadlineExceeded));
  CHECK_TRUE(EndsStartedResponse(ResultCode::kSuspectRequest));
  CHECK_TRUE(EndsStartedResponse(ResultCode::kSuspectPart));
}

TEST(StartedResponseTest, WaitsWhileItCannotBeSent)
{
  CHECK_FALSE(EndsStartedResponse(ResultCode::kFreshnessLost));
  CHECK_FALSE(EndsStartedResponse(ResultCode::kLinksLost));
  CHECK_FALSE(EndsStartedResponse(ResultCode::kNoEndpoint));
  CHECK_FALSE(EndsStartedResponse(ResultCode::kRetryBudgetSpent));
  CHECK_FALSE(EndsStartedResponse(ResultCode::kEndpointsBackedOff));
}
