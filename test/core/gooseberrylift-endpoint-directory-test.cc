#include "gooseberrylift/routing/gooseberrylift-endpoint-directory.h"

#include "gooseberrylift/routing/gooseberrylift-outlier-detector.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

TEST_GROUP(EndpointDirectoryTest)
{
  EndpointDirectory directory_{ EndpointDirectory::Options{} };
  TimePoint now_{ 1000s };

  static ListedEndpoint Listed(const std::string& aId, bool aLeaving = false)
  {
    return { .id_ = aId, .service_ = "engines", .leaving_ = aLeaving };
  }

  static ListedEndpoint ListedAt(const std::string& aId,
                                 std::chrono::milliseconds aStart,
                                 bool aLeaving = false)
  {
    ListedEndpoint listed = Listed(aId, aLeaving);
    listed.startTime_ = StartTime(aStart);
    return listed;
  }

  std::size_t Usable() const
  {
    return directory_.Usable("engines").size();
  }
};

TEST(EndpointDirectoryTest, ReturnsOnlyListedEndpoints)
{
  for (const char* name : { "a", "b", "c" }) {
    directory_.OnListed(Listed(name));
  }
  directory_.OnRemoved("a", now_);
  LONGS_EQUAL(2, Usable());
  POINTERS_EQUAL(nullptr, directory_.Find("a"));
}

// Guards against requests to an endpoint that is leaving. A delayed update of
// its earlier state, for example from a read that began before, must not make
// it usable again.
TEST(EndpointDirectoryTest, KeepsALeavingEndpointUnusable)
{
  directory_.OnListed(Listed("a", true));
  directory_.OnListed(Listed("a", false));
  LONGS_EQUAL(0, Usable());
}

// Guards against an engine that stays unusable after it crashed while leaving
// and restarted under the same id. Events: the old incarnation is listed as
// leaving, the new one as live, and a delayed update of the old one arrives
// last. Leaving belongs to one incarnation only.
TEST(EndpointDirectoryTest, UsesARestartedEndpointWhosePredecessorWasLeaving)
{
  directory_.OnListed(ListedAt("a", 100ms, true));
  CHECK_TRUE(directory_.OnListed(ListedAt("a", 200ms)));
  LONGS_EQUAL(1, Usable());
  CHECK_FALSE(directory_.OnListed(ListedAt("a", 100ms, true)));
  LONGS_EQUAL(1, Usable());
  directory_.OnListed(ListedAt("a", 200ms, true));
  LONGS_EQUAL(0, Usable());
}

// Guards against a restart that is not detected. Events: the entry expires
// during a network partition, an answer shows that the incarnation is gone, and
// the restarted engine is listed again.
TEST(EndpointDirectoryTest, DetectsARestartAfterTheEntryWasMissing)
{
  CHECK_FALSE(directory_.OnListed(ListedAt("a", 100ms)));
  CHECK_TRUE(directory_.OnLeaving(ListedAt("a", 100ms).IncarnationId()));
  directory_.OnRemoved("a", now_);
  LONGS_EQUAL(0, Usable());
  CHECK_TRUE(directory_.OnListed(ListedAt("a", 300ms)));
  LONGS_EQUAL(1, Usable());
}

// Guards against a delayed update of the old incarnation that restores it or
// drops the new one.
TEST(EndpointDirectoryTest, IgnoresADelayedUpdateOfAnOlderIncarnation)
{
  directory_.OnListed(ListedAt("a", 200ms));
  CHECK_FALSE(directory_.OnListed(ListedAt("a", 100ms, true)));
  LONGS_EQUAL(1, Usable());
  LONGS_EQUAL(200, directory_.Find("a")->startTime_.time_since_epoch().count());
}

TEST(EndpointDirectoryTest,
     DropsAnEndpointWhoseAddressAnswersAsAnotherIncarnation)
{
  directory_.OnListed(Listed("a"));
  directory_.OnLeaving({ .id_ = "a" });
  LONGS_EQUAL(0, Usable());
}

TEST(EndpointDirectoryTest, KeepsAnEndpointUnusableThatStatedThatItIsLeaving)
{
  const Incarnation stated = Listed("a").IncarnationId();
  directory_.OnListed(Listed("a"));
  CHECK_TRUE(directory_.IsUsable(stated));
  CHECK_TRUE(directory_.OnLeaving(stated));
  CHECK_FALSE(directory_.OnLeaving(stated));
  directory_.OnListed(Listed("a"));
  directory_.OnRemoved("a", now_);
  directory_.OnListed(Listed("a"));
  CHECK_FALSE(directory_.IsUsable(stated));
  LONGS_EQUAL(0, Usable());
}

// Guards against a late response of an old incarnation that makes the new one
// unusable.
TEST(EndpointDirectoryTest, UsesARestartedEndpointWhosePredecessorStatedLeaving)
{
  directory_.OnListed(ListedAt("a", 200ms));
  CHECK_TRUE(directory_.OnLeaving(ListedAt("a", 100ms).IncarnationId()));
  LONGS_EQUAL(1, Usable());
  CHECK_TRUE(directory_.IsUsable(ListedAt("a", 200ms).IncarnationId()));
  CHECK_FALSE(directory_.IsUsable(ListedAt("a", 100ms).IncarnationId()));
}

TEST(EndpointDirectoryTest, FindsNoUnlistedOrEvacuatedEndpointUsable)
{
  const Incarnation endpoint = Listed("a").IncarnationId();
  CHECK_FALSE(directory_.IsUsable(endpoint));
  directory_.OnListed(Listed("a"));
  directory_.OnEvacuated("");
  CHECK_FALSE(directory_.IsUsable(endpoint));
  LONGS_EQUAL(1, directory_.OnEvacuationEnded("").size());
  CHECK_TRUE(directory_.IsUsable(endpoint));
  LONGS_EQUAL(0, directory_.OnEvacuationEnded("").size());
  directory_.OnRemoved("a", now_);
  CHECK_FALSE(directory_.IsUsable(endpoint));
}

TEST(EndpointDirectoryTest, DropsARemovedEntryAtOnceWithoutAnOutage)
{
  directory_.OnListed(Listed("a"));
  directory_.OnRemoved("a", now_);
  LONGS_EQUAL(0, Usable());
}

// Guards against two seconds of refused requests after each outage of the store
// although all endpoints are alive. Events: the entries expire during the
// outage, the store returns without them, and the endpoints are listed again
// within two seconds.
TEST(EndpointDirectoryTest, KeepsExpiredEntriesForAGracePeriodAfterAnOutage)
{
  directory_.OnListed(Listed("a"));
  directory_.OnListed(Listed("b"));
  directory_.OnStoreReturned(now_);
  directory_.OnRemoved("a", now_);
  directory_.OnRemoved("b", now_);
  LONGS_EQUAL(2, Usable());
  directory_.OnListed(Listed("a"));
  directory_.Sweep(now_ + 2'300ms);
  LONGS_EQUAL(1, Usable());
  CHECK_TRUE(directory_.Find("a") != nullptr);
}

TEST_GROUP(OutlierDetectorTest)
{
  OutlierDetector trust_{ OutlierDetector::Options{} };
  TimePoint now_{ 1000s };

  void RecordOutcomes(
    const std::string& aId, EndpointOutcome aOutcome, int aTimes)
  {
    for (int count = 0; count < aTimes; ++count) {
      trust_.OnOutcome(aId, aOutcome, now_);
    }
  }
};

TEST(OutlierDetectorTest, DoublesTheEjectionOfAnUnreachableEndpoint)
{
  RecordOutcomes("a", EndpointOutcome::kUnreachable, 1);
  CHECK_TRUE(trust_.IsEjected("a", now_ + 400ms));
  CHECK_FALSE(trust_.IsEjected("a", now_ + 600ms));
  RecordOutcomes("a", EndpointOutcome::kUnreachable, 1);
  CHECK_TRUE(trust_.IsEjected("a", now_ + 900ms));
}

// An endpoint that fails while the others serve is ejected. If all endpoints
// fail as often, the cause lies elsewhere, and ejecting all of them would leave
// none.
TEST(OutlierDetectorTest, EjectsOnlyAnEndpointThatFailsMoreThanTheOthers)
{
  RecordOutcomes("good", EndpointOutcome::kServed, 200);
  RecordOutcomes("bad", EndpointOutcome::kFailed, 3);
  CHECK_TRUE(trust_.IsEjected("bad", now_));
  CHECK_FALSE(trust_.IsEjected("good", now_));
  RecordOutcomes("good", EndpointOutcome::kFailed, 300);
  now_ += 10s;
  RecordOutcomes("other", EndpointOutcome::kFailed, 3);
  CHECK_FALSE(trust_.IsEjected("other", now_));
}

TEST(OutlierDetectorTest, DoesNotCountRefusalsAsFailures)
{
  RecordOutcomes("a", EndpointOutcome::kRefused, 50);
  CHECK_FALSE(trust_.IsEjected("a", now_));
}

// Guards against requests to endpoints of an evacuated zone.
TEST(EndpointDirectoryTest, ExcludesAZoneUntilItsEvacuationEnds)
{
  ListedEndpoint inZone = Listed("a");
  inZone.zone_ = "zone-a";
  ListedEndpoint elsewhere = Listed("b");
  elsewhere.zone_ = "zone-b";
  directory_.OnListed(inZone);
  directory_.OnListed(elsewhere);
  const std::uint64_t before = directory_.Changes();
  directory_.OnEvacuated("zone-a");
  CHECK_TRUE(directory_.Changes() > before);
  LONGS_EQUAL(1, Usable());
  ListedEndpoint late = Listed("c");
  late.zone_ = "zone-a";
  directory_.OnListed(late);
  LONGS_EQUAL(1, Usable());
  directory_.OnEvacuated("zone-b");
  LONGS_EQUAL(0, Usable());
  directory_.OnEvacuationEnded("zone-a");
  LONGS_EQUAL(2, Usable());
}
