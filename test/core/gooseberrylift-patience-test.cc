#include "gooseberrylift/limits/gooseberrylift-patience.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

TEST_GROUP(PatienceTest)
{
  // A request that waits for its first event, at an engine that has free slots
  // and sends nothing.
  EndpointSigns activity_{ .silentHere_ = 1s, .silent_ = 1s, .slots_ = 16 };

  bool IsStalled() const
  {
    return LooksHung(activity_, 1s);
  }
};

TEST(PatienceTest, EndpointTimeoutOfStreamIsHalfOfCallerTimeout)
{
  const Route route{ .kind_ = RouteKind::kStreaming,
                     .objective_ = 300ms,
                     .maxGap_ = 200ms };
  LONGS_EQUAL(2'000, CallerPatience(route).count());
  LONGS_EQUAL(1'000, SilenceLimit(route).count());
}

TEST(PatienceTest, StalledIfEngineSendsNothingToAnyRequest)
{
  CHECK_TRUE(IsStalled());
  activity_.running_ = 16;
  CHECK_TRUE(IsStalled());
  activity_.silentToPeers_ = 1'200ms;
  CHECK_TRUE(IsStalled());
}

TEST(PatienceTest, QueuedAtSaturatedEngineThatAnswersPeers)
{
  activity_.running_ = 16;
  activity_.silentToPeers_ = 80ms;
  CHECK_FALSE(IsStalled());
  activity_.running_ = 5; // free slots
  CHECK_TRUE(IsStalled());
}

TEST(PatienceTest, QueuedAtEngineThatAnswersThisHost)
{
  activity_.silent_ = 60ms;
  CHECK_FALSE(IsStalled());
  activity_.overtaken_ = true;
  CHECK_TRUE(IsStalled());
}

// An engine sends nothing while it prefills a long prompt. The timeout is
// extended for that by at most a half, so that another engine still has time.
TEST(PatienceTest, LongPrefillExtendsTimeoutByHalfAtMost)
{
  activity_.backlog_ = 3s;
  CHECK_FALSE(IsStalled());
  activity_.silent_ = 1'499ms;
  CHECK_FALSE(IsStalled());
  activity_.silent_ = 1'500ms;
  CHECK_TRUE(IsStalled());
}

// A stream that stops while its engine continues others is lost there and has
// to be resumed elsewhere. A short delay is allowed, because the events of one
// batch step arrive one after the other.
TEST(PatienceTest, StalledIfEngineContinuesOtherStreamsOnly)
{
  activity_.begun_ = true;
  activity_.silent_ = 20ms;
  CHECK_FALSE(IsStalled());
  activity_.silentHere_ = 1'100ms;
  CHECK_TRUE(IsStalled());
}
