#include "gooseberrylift/routing/gooseberrylift-fleet-load.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;
using std::chrono::microseconds;

TEST_GROUP(FleetLoadTest)
{
  FleetLoad load_{ FleetLoad::Options{} };
  TimePoint now_{ 1000s };

  std::int64_t BacklogMs() const
  {
    return load_.Of("engine", now_).backlog_.count() / 1000;
  }
};

TEST(FleetLoadTest, CountsPrefillUntilTheFirstToken)
{
  load_.OnSent("engine", 1, { .prefill_ = 800ms }, now_);
  now_ += 300ms;
  LONGS_EQUAL(500, BacklogMs());
  now_ += 5s;
  LONGS_EQUAL(400, BacklogMs()); // no first token yet, whatever was predicted
  load_.OnStarted("engine", 1, now_);
  LONGS_EQUAL(0, BacklogMs());
  LONGS_EQUAL(1, load_.Of("engine", now_).running_);
  load_.OnEnded("engine", 1);
  LONGS_EQUAL(0, load_.Of("engine", now_).running_);
}

TEST(FleetLoadTest, AddsThePeersAndDropsThoseWithoutMessages)
{
  load_.OnPeerSnapshot(
    "peer", { { .id_ = "engine", .running_ = 3, .tightGap_ = 2 } }, now_);
  LONGS_EQUAL(3, load_.Of("engine", now_).running_);
  LONGS_EQUAL(2, load_.Of("engine", now_).tightGap_);
  LONGS_EQUAL(0, load_.Of("engine", now_ + 3s).running_);
}

TEST(FleetLoadTest, KeepsTheNewerOfTwoMessages)
{
  load_.OnPeerSnapshot("peer", { { .id_ = "engine", .running_ = 3 } }, now_);
  load_.OnPeerSnapshot(
    "peer", { { .id_ = "engine", .running_ = 9 } }, now_ - 1s);
  LONGS_EQUAL(3, load_.Of("engine", now_).running_);
}

// A prompt that several engines prefill occupies memory at its helpers until it
// ends, but no slot there.
TEST(FleetLoadTest, CountsAHelperAsMemoryOnly)
{
  load_.OnSent("engine",
               1,
               { .memoryTokens_ = 500, .prefill_ = 1s, .isHelper_ = true },
               now_);
  LONGS_EQUAL(0, load_.Of("engine", now_).running_);
  LONGS_EQUAL(500, load_.Of("engine", now_).memoryTokens_);
}

TEST(FleetLoadTest, ReturnsForHowLongAnEndpointWasSilent)
{
  LONGS_EQUAL(0, load_.SilentFor("engine", now_).count());
  load_.OnSent("engine", 1, {}, now_);
  LONGS_EQUAL(700, load_.SilentFor("engine", now_ + 700ms).count());
  load_.OnDataReceived("engine", now_ + 600ms);
  LONGS_EQUAL(100, load_.SilentFor("engine", now_ + 700ms).count());
}

// Of two requests of this host that wait at an engine, the later one is
// answered first: the engine has lost the earlier one.
TEST(FleetLoadTest, DetectsThatALaterRequestWasStartedFirst)
{
  load_.OnSent("engine", 1, {}, now_);
  load_.OnSent("engine", 2, {}, now_ + 1ms);
  CHECK_FALSE(load_.IsOvertaken("engine", 1));
  load_.OnStarted("engine", 2, now_ + 50ms);
  CHECK_TRUE(load_.IsOvertaken("engine", 1));
  CHECK_FALSE(load_.IsOvertaken("engine", 2));
}

TEST(FleetLoadTest, DoesNotReportADeferredRequestAsOvertakenByOthers)
{
  load_.OnSent("engine", 1, { .deferred_ = true }, now_);
  load_.OnSent("engine", 2, {}, now_ + 1ms);
  LONGS_EQUAL(1, load_.Of("engine", now_).deferred_);
  load_.OnStarted("engine", 2, now_ + 50ms);
  CHECK_FALSE(load_.IsOvertaken("engine", 1));
  load_.OnStarted("engine", 1, now_ + 60ms);
  LONGS_EQUAL(0, load_.Of("engine", now_).deferred_); // no longer waiting
}

TEST(FleetLoadTest, ReturnsForHowLongAnEndpointWasSilentToPeers)
{
  CHECK_FALSE(load_.ShortestPeerSilence("engine", now_).has_value());
  load_.OnPeerSnapshot("one", { { .id_ = "engine", .silent_ = 900ms } }, now_);
  load_.OnPeerSnapshot("two", { { .id_ = "engine", .silent_ = 70ms } }, now_);
  LONGS_EQUAL(170, load_.ShortestPeerSilence("engine", now_ + 100ms)->count());
  CHECK_FALSE(load_.ShortestPeerSilence("engine", now_ + 3s).has_value());
}

// Several hosts report the same rejections, and a host without requests there
// has no silence to report.
TEST(FleetLoadTest, CombinesReportedRejectionsAndBackoffs)
{
  load_.OnPeerSnapshot(
    "one", { { .id_ = "engine", .rejections_ = 2, .backoff_ = 900ms } }, now_);
  load_.OnPeerSnapshot("two", { { .id_ = "engine", .rejections_ = 3 } }, now_);
  CHECK_FALSE(load_.ShortestPeerSilence("engine", now_).has_value());
  const auto sum =
    load_.Sum([](const std::string&) { return true; }, now_ + 100ms);
  LONGS_EQUAL(1, sum.size());
  LONGS_EQUAL(3, sum.front().rejections_);
  LONGS_EQUAL(800, sum.front().backoff_.count());
}

TEST(FleetLoadTest, DoesNotCountAnEndAsReceivedData)
{
  load_.OnSent("engine", 1, {}, now_);
  load_.OnSent("engine", 2, {}, now_);
  load_.OnEnded("engine", 1);
  LONGS_EQUAL(700, load_.SilentFor("engine", now_ + 700ms).count());
}

TEST(FleetLoadTest, AddsFurtherPartsOfAPeersSnapshot)
{
  load_.OnPeerSnapshot("peer", { { .id_ = "engine", .running_ = 3 } }, now_);
  load_.OnPeerSnapshotContinued("peer", { { .id_ = "other", .running_ = 2 } });
  LONGS_EQUAL(3, load_.Of("engine", now_).running_);
  LONGS_EQUAL(2, load_.Of("other", now_).running_);
  load_.OnPeerSnapshot("peer", {}, now_ + 1ms);
  LONGS_EQUAL(0, load_.Of("other", now_ + 1ms).running_);
}

// Guards against each host crediting the engine's work to its own request: the
// backlog of five hosts would shrink five times as fast as the engine works.
TEST(FleetLoadTest, CountsThePrefillOfAllHostsAsOneQueue)
{
  load_.OnSent("engine", 1, { .prefill_ = 200ms }, now_);
  for (int peer = 0; peer < 4; ++peer) {
    load_.OnPeerDelta(
      "peer-" + std::to_string(peer),
      { { .id_ = "engine", .backlog_ = 200ms, .unstarted_ = 200ms } },
      now_);
  }
  LONGS_EQUAL(1'000, BacklogMs());
  now_ += 300ms;
  LONGS_EQUAL(700, BacklogMs());
}

TEST(FleetLoadTest, DoesNotCreditAnEngineWithWorkBeforeARequestWasSent)
{
  load_.OnPeerDelta("peer",
                    { { .id_ = "engine",
                        .backlog_ = 100ms,
                        .unstarted_ = 100ms,
                        .unstartedFor_ = 800ms } },
                    now_);
  load_.OnSent("engine", 1, { .prefill_ = 500ms }, now_);
  LONGS_EQUAL(500, BacklogMs());
}

TEST(FleetLoadTest, UnderstandsPeersThatReportOnlyTheirBacklog)
{
  load_.OnPeerDelta("peer", { { .id_ = "engine", .backlog_ = 300ms } }, now_);
  load_.OnSent("engine", 1, { .prefill_ = 100ms }, now_);
  LONGS_EQUAL(400, BacklogMs());
  now_ += 100ms;
  LONGS_EQUAL(250, BacklogMs());
}

TEST(FleetLoadTest, ReportsUnstartedPrefillUntilTheFirstToken)
{
  load_.OnSent("engine", 1, { .prefill_ = 200ms }, now_);
  now_ += 150ms;
  load_.OnSent("engine", 2, { .prefill_ = 300ms }, now_);
  EndpointShare share = load_.OwnShare("engine", now_);
  LONGS_EQUAL(500, share.unstarted_.count());
  LONGS_EQUAL(150, share.unstartedFor_.count());
  load_.OnStarted("engine", 1, now_);
  share = load_.OwnShare("engine", now_);
  LONGS_EQUAL(300, share.unstarted_.count());
  LONGS_EQUAL(0, share.unstartedFor_.count());
}

// A request that was just sent, or a first sign of life after a pause, does not
// show that the endpoints respond.
TEST(FleetLoadTest, EndpointsRespondOnceTheyHaveSentDataForAWhile)
{
  load_.OnSent("engine", 1, {}, now_);
  CHECK_FALSE(load_.AreResponding(now_));
  load_.OnStarted("engine", 1, now_);
  CHECK_FALSE(load_.AreResponding(now_));
  now_ += 300ms;
  load_.OnDataReceived("engine", now_);
  CHECK_TRUE(load_.AreResponding(now_));
  now_ += 1s;
  CHECK_FALSE(load_.AreResponding(now_));
  load_.OnDataReceived("engine", now_);
  CHECK_FALSE(load_.AreResponding(now_ + 100ms));
  CHECK_TRUE(load_.AreResponding(now_ + 300ms));
}

TEST(FleetLoadTest, AnIdleEndpointIsUnprovenUntilItsFirstData)
{
  CHECK_FALSE(load_.IsUnproven("engine"));
  load_.OnSent("engine", 1, {}, now_);
  CHECK_TRUE(load_.IsUnproven("engine"));
  load_.OnDataReceived("engine", now_);
  CHECK_FALSE(load_.IsUnproven("engine"));
}
