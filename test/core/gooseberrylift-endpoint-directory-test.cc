#include "gooseberrylift/routing/gooseberrylift-endpoint-directory.h"

#include "gooseberrylift/routing/gooseberrylift-endpoint-trust.h"

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

  static ListedEndpoint Born(const std::string& aId,
                             std::chrono::milliseconds aBorn,
                             bool aLeaving = false)
  {
    ListedEndpoint listed = Listed(aId, aLeaving);
    listed.born_ = BirthTime(aBorn);
    return listed;
  }

  std::size_t Usable() const
  {
    return directory_.Usable("engines").size();
  }
};

TEST(EndpointDirectoryTest, GivesOnlyWhatIsStillListed)
{
  for (const char* name : { "a", "b", "c" }) {
    directory_.OnListed(Listed(name));
  }
  directory_.OnRemoved("a", now_);
  LONGS_EQUAL(2, Usable());
  POINTERS_EQUAL(nullptr, directory_.Find("a"));
}

// Callers of an endpoint that leaves must go elsewhere at once. A late word of
// its old state, such as a reading that began before, must not bring it back.
TEST(EndpointDirectoryTest, NeverUsesAnEndpointAgainThatWasLeaving)
{
  directory_.OnListed(Listed("a", true));
  directory_.OnListed(Listed("a", false));
  LONGS_EQUAL(0, Usable());
}

// Callers must reach an engine that crashed while it was leaving and is back
// under its id. The order: the former life is listed as leaving, the new one as
// live, and a late word of the former life comes last. Why: leaving belongs to
// one life, and a former life's word says nothing of the new one.
TEST(EndpointDirectoryTest, UsesAnEndpointThatStartedAgainAfterItWasLeaving)
{
  directory_.OnListed(Born("a", 100ms, true));
  CHECK_TRUE(directory_.OnListed(Born("a", 200ms)));
  LONGS_EQUAL(1, Usable());
  CHECK_FALSE(directory_.OnListed(Born("a", 100ms, true)));
  LONGS_EQUAL(1, Usable());
  directory_.OnListed(Born("a", 200ms, true));
  LONGS_EQUAL(0, Usable());
}

// The order: the entry lapses behind a cut, the engine starts again and lists
// itself, and a host that was told by its answer that the former life is gone
// must take the new one as new.
TEST(EndpointDirectoryTest, TellsARebirthAlsoAfterTheEntryWasMissing)
{
  CHECK_FALSE(directory_.OnListed(Born("a", 100ms)));
  directory_.OnReplaced("a");
  directory_.OnRemoved("a", now_);
  LONGS_EQUAL(0, Usable());
  CHECK_TRUE(directory_.OnListed(Born("a", 300ms)));
  LONGS_EQUAL(1, Usable());
}

// A word that was read before the rebirth and comes late brings the former life
// back nowhere, nor does it drop the new one.
TEST(EndpointDirectoryTest, TakesNothingFromALateWordOfAFormerLife)
{
  directory_.OnListed(Born("a", 200ms));
  CHECK_FALSE(directory_.OnListed(Born("a", 100ms, true)));
  LONGS_EQUAL(1, Usable());
  LONGS_EQUAL(200, directory_.Find("a")->born_.time_since_epoch().count());
}

TEST(EndpointDirectoryTest, DropsAnEndpointWhoseAddressAnswersAsAnother)
{
  directory_.OnListed(Listed("a"));
  directory_.OnReplaced("a");
  LONGS_EQUAL(0, Usable());
}

TEST(EndpointDirectoryTest, DropsARemovedEntryAtOnceInCalmTimes)
{
  directory_.OnListed(Listed("a"));
  directory_.OnRemoved("a", now_);
  LONGS_EQUAL(0, Usable());
}

// What callers would see without the delay: for two seconds after each outage
// of the store every request is refused, though all endpoints live. The order:
// the store is down, the entries lapse, the store returns and lists nobody, the
// endpoints list themselves again within two seconds.
TEST(EndpointDirectoryTest, KeepsLapsedEntriesForAWhileAfterAnOutage)
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

TEST_GROUP(EndpointTrustTest)
{
  EndpointTrust trust_{ EndpointTrust::Options{} };
  TimePoint now_{ 1000s };

  void Note(const std::string& aId, EndpointOutcome aOutcome, int aTimes)
  {
    for (int count = 0; count < aTimes; ++count) {
      trust_.OnOutcome(aId, aOutcome, now_);
    }
  }
};

TEST(EndpointTrustTest, RestsAnEndpointThatCannotBeReachedForLongerEachTime)
{
  Note("a", EndpointOutcome::kUnreachable, 1);
  CHECK_TRUE(trust_.IsSetAside("a", now_ + 400ms));
  CHECK_FALSE(trust_.IsSetAside("a", now_ + 600ms));
  Note("a", EndpointOutcome::kUnreachable, 1);
  CHECK_TRUE(trust_.IsSetAside("a", now_ + 900ms));
}

// One endpoint fails half of its requests while its fellows serve: it goes
// aside. When all of them fail as often, the cause lies elsewhere, and setting
// them all aside would leave nobody.
TEST(EndpointTrustTest, SetsAsideOnlyWhatFailsMoreThanItsFellows)
{
  Note("good", EndpointOutcome::kServed, 200);
  Note("bad", EndpointOutcome::kFailed, 3);
  CHECK_TRUE(trust_.IsSetAside("bad", now_));
  CHECK_FALSE(trust_.IsSetAside("good", now_));
  Note("good", EndpointOutcome::kFailed, 300);
  now_ += 10s;
  Note("other", EndpointOutcome::kFailed, 3);
  CHECK_FALSE(trust_.IsSetAside("other", now_));
}

TEST(EndpointTrustTest, HoldsNoRefusalInGoodOrderAgainstAnEndpoint)
{
  Note("a", EndpointOutcome::kRefused, 50);
  CHECK_FALSE(trust_.IsSetAside("a", now_));
}

// Guards against requests to endpoints of an evacuated zone.
TEST(EndpointDirectoryTest, UsesNoEndpointOfAZoneUntilItsEvacuationEnds)
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
