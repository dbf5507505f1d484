#include "gooseberrylift/limits/gooseberrylift-patience.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

TEST_GROUP(PatienceTest)
{
  // Waits for its first answer at an engine with free slots that says nothing.
  EndpointSigns signs_{ .silentHere_ = 1s, .silent_ = 1s, .slots_ = 16 };

  bool Hangs() const
  {
    return LooksHung(signs_, 1s);
  }
};

TEST(PatienceTest, LeavesAStreamItsEngineForHalfOfWhatTheCallerBears)
{
  const Route route{ .kind_ = RouteKind::kStreaming,
                     .objective_ = 300ms,
                     .maxGap_ = 200ms };
  LONGS_EQUAL(2'000, CallerPatience(route).count());
  LONGS_EQUAL(1'000, SilenceLimit(route).count());
}

TEST(PatienceTest, TakesAnEngineThatIsSilentToAllForHung)
{
  CHECK_TRUE(Hangs());
  signs_.running_ = 16;
  CHECK_TRUE(Hangs());
  signs_.silentToPeers_ = 1'200ms;
  CHECK_TRUE(Hangs());
}

TEST(PatienceTest, WaitsItsTurnAtAFullEngineThatAnswersOthers)
{
  signs_.running_ = 16;
  signs_.silentToPeers_ = 80ms;
  CHECK_FALSE(Hangs());
  signs_.running_ = 5; // nothing there to wait for
  CHECK_TRUE(Hangs());
}

TEST(PatienceTest, WaitsItsTurnAtAnEngineThatAnswersThisHost)
{
  signs_.silent_ = 60ms;
  CHECK_FALSE(Hangs());
  signs_.overtaken_ = true;
  CHECK_TRUE(Hangs());
}

// A read of a long prompt keeps the engine silent to all, but half of the limit
// more is all that it may cost: then another engine still has time.
TEST(PatienceTest, GivesALongReadSomeTime)
{
  signs_.backlog_ = 3s;
  CHECK_FALSE(Hangs());
  signs_.silent_ = 1'499ms;
  CHECK_FALSE(Hangs());
  signs_.silent_ = 1'500ms;
  CHECK_TRUE(Hangs());
}

// The caller's stream stops though its engine goes on with others: it is lost
// there, and goes on elsewhere. The pieces of one pass come one by one, so a
// moment is allowed.
TEST(PatienceTest, LeavesAStreamThatStopsWhileItsEngineWritesOthers)
{
  signs_.begun_ = true;
  signs_.silent_ = 20ms;
  CHECK_FALSE(Hangs());
  signs_.silentHere_ = 1'100ms;
  CHECK_TRUE(Hangs());
}
