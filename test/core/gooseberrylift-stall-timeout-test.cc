#include "gooseberrylift/limits/gooseberrylift-stall-timeout.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

TEST_GROUP(StallTimeoutTest)
{
  // A request that waits for its first event, at an engine that has free slots
  // and sends nothing.
  EndpointActivity activity_{ .requestSilence_ = 1s,
                              .hostSilence_ = 1s,
                              .slots_ = 16 };

  bool IsStalled() const
  {
    return IsRequestStalled(activity_, 1s);
  }
};

TEST(StallTimeoutTest, EndpointTimeoutOfStreamIsHalfOfCallerTimeout)
{
  const Route route{ .kind_ = RouteKind::kStreaming,
                     .objective_ = 300ms,
                     .maxGap_ = 200ms };
  LONGS_EQUAL(2'000, CallerStallTimeout(route).count());
  LONGS_EQUAL(1'000, EndpointStallTimeout(route).count());
}

TEST(StallTimeoutTest, StalledIfEngineSendsNothingToAnyRequest)
{
  CHECK_TRUE(IsStalled());
  activity_.running_ = 16;
  CHECK_TRUE(IsStalled());
  activity_.peerSilence_ = 1'200ms;
  CHECK_TRUE(IsStalled());
}

TEST(StallTimeoutTest, QueuedAtSaturatedEngineThatAnswersPeers)
{
  activity_.running_ = 16;
  activity_.peerSilence_ = 80ms;
  CHECK_FALSE(IsStalled());
  activity_.running_ = 5; // free slots
  CHECK_TRUE(IsStalled());
}

TEST(StallTimeoutTest, QueuedAtEngineThatAnswersThisHost)
{
  activity_.hostSilence_ = 60ms;
  CHECK_FALSE(IsStalled());
  activity_.overtaken_ = true;
  CHECK_TRUE(IsStalled());
}

// An engine sends nothing while it prefills a long prompt. The timeout is
// extended for that by at most a half, so that another engine still has time.
TEST(StallTimeoutTest, LongPrefillExtendsTimeoutByHalfAtMost)
{
  activity_.backlog_ = 3s;
  CHECK_FALSE(IsStalled());
  activity_.hostSilence_ = 1'499ms;
  CHECK_FALSE(IsStalled());
  activity_.hostSilence_ = 1'500ms;
  CHECK_TRUE(IsStalled());
}

// A stream that stops while its engine continues others is lost there and has
// to be resumed elsewhere. A short delay is allowed, because the events of one
// batch step arrive one after the other.
TEST(StallTimeoutTest, StalledIfEngineContinuesOtherStreamsOnly)
{
  activity_.begun_ = true;
  activity_.hostSilence_ = 20ms;
  CHECK_FALSE(IsStalled());
  activity_.requestSilence_ = 1'100ms;
  CHECK_TRUE(IsStalled());
}
