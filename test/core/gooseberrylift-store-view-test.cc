#include "gooseberrylift/membership/gooseberrylift-store-view.h"

#include <array>
#include <map>
#include <random>

#include "gooseberrylift/membership/gooseberrylift-freshness-lease.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

TEST_GROUP(StoreViewTest)
{
  StoreView view_{ StoreView::Options{ .maxRemovals_ = 4 } };

  using Versions = std::map<std::string, std::string>; // versions by name

  static CachedObject Object(const std::string& aName,
                             const std::string& aVersion)
  {
    return { .name_ = aName, .version_ = aVersion, .spec_ = aVersion };
  }

  static std::vector<CachedObject> Objects(const Versions& aVersions)
  {
    std::vector<CachedObject> objects;
    for (const auto& [name, version] : aVersions) {
      objects.push_back(Object(name, version));
    }
    return objects;
  }

  // Applies what a view reported.
  static void Record(Versions & aVersions, const ViewUpdate& aUpdate)
  {
    for (const CachedObject& object : aUpdate.objects_) {
      aVersions[object.name_] = object.version_;
    }
    for (const std::string& removed : aUpdate.removed_) {
      aVersions.erase(removed);
    }
  }
};

TEST(StoreViewTest, ReturnsEverythingSinceRevisionZero)
{
  view_.OnList({ Object("a", "3"), Object("b", "7") }, 10);
  const StoreDelta changes = view_.Since(0);
  LONGS_EQUAL(2, changes.names_->size());
  LONGS_EQUAL(2, changes.objects_.size());
  LONGS_EQUAL(10, changes.revision_);
}

TEST(StoreViewTest, AppliesOnlyTheObjectsOfAnIncompleteList)
{
  view_.OnList({ Object("a", "3"), Object("b", "7") }, 10);
  const ViewUpdate update =
    view_.OnIncompleteList({ Object("a", "12"), Object("c", "11") }, 13);
  LONGS_EQUAL(2, update.objects_.size());
  LONGS_EQUAL(0, update.removed_.size());
  LONGS_EQUAL(10, view_.Revision());
  const StoreDelta changes = view_.Since(10);
  LONGS_EQUAL(10, changes.revision_);
  LONGS_EQUAL(2, changes.objects_.size());
  CHECK_FALSE(changes.names_.has_value());
  CHECK_TRUE(
    view_.OnIncompleteList({ Object("a", "2"), Object("d", "9") }, 9).Empty());
  const ViewUpdate next = view_.OnList({ Object("a", "12") }, 14);
  LONGS_EQUAL(0, next.objects_.size());
  LONGS_EQUAL(2, next.removed_.size());
}

TEST(StoreViewTest, ReturnsOnlyChangesSinceARevision)
{
  view_.OnList({ Object("a", "3"), Object("b", "7") }, 10);
  view_.ApplyDelta({ .revision_ = 12,
                     .objects_ = { Object("c", "12") },
                     .removed_ = { "a" } });
  const StoreDelta changes = view_.Since(10);
  CHECK_FALSE(changes.names_.has_value());
  LONGS_EQUAL(1, changes.objects_.size());
  STRCMP_EQUAL("c", changes.objects_.front().name_.c_str());
  LONGS_EQUAL(1, changes.removed_.size());
  CHECK_TRUE(view_.Since(12).objects_.empty());
}

TEST(StoreViewTest, ReportsWhatAListChanged)
{
  view_.OnList({ Object("a", "3"), Object("b", "7") }, 10);
  const ViewUpdate update = view_.OnList({ Object("b", "15") }, 20);
  LONGS_EQUAL(1, update.objects_.size());
  STRCMP_EQUAL("b", update.objects_.front().name_.c_str());
  LONGS_EQUAL(1, update.removed_.size());
  STRCMP_EQUAL("a", update.removed_.front().c_str());
  const StoreDelta changes = view_.Since(10);
  STRCMP_EQUAL("b", changes.objects_.front().name_.c_str());
  LONGS_EQUAL(1, changes.names_->size()); // "a" is not among them
}

TEST(StoreViewTest, IgnoresUpdatesOlderThanTheView)
{
  view_.ApplyDelta({ .revision_ = 20, .objects_ = { Object("a", "20") } });
  CHECK_TRUE(view_.OnList({}, 19).Empty());
  CHECK_TRUE(
    view_.ApplyDelta({ .revision_ = 19, .removed_ = { "a" } }).Empty());
  LONGS_EQUAL(20, view_.Revision());
  LONGS_EQUAL(1, view_.Since(0).objects_.size());
}

TEST(StoreViewTest, ReturnsAllNamesWhenRemovalsWereDiscarded)
{
  view_.OnList({ Object("keep", "1") }, 10);
  for (std::uint64_t revision = 11; revision < 20; ++revision) {
    const std::string name = std::to_string(revision);
    view_.ApplyDelta(
      { .revision_ = revision, .objects_ = { Object(name, name) } });
    view_.ApplyDelta({ .revision_ = revision, .removed_ = { name } });
  }
  LONGS_EQUAL(1, view_.Since(10).names_->size());
  LONGS_EQUAL(0, view_.Since(10).objects_.size());
  CHECK_FALSE(view_.Since(18).names_.has_value());
}

// An object that was removed and created again must not be reported as removed.
TEST(StoreViewTest, ReportsARecreatedObjectAsPresent)
{
  view_.OnList({ Object("a", "1") }, 10);
  view_.ApplyDelta({ .revision_ = 11, .removed_ = { "a" } });
  view_.ApplyDelta({ .revision_ = 12, .objects_ = { Object("a", "12") } });
  const StoreDelta changes = view_.Since(10);
  LONGS_EQUAL(1, changes.objects_.size());
  LONGS_EQUAL(0, changes.removed_.size());
}

// A removed endpoint must not keep receiving requests. A host reads a list in
// two pages, and an entry of the second page is removed between them, after the
// list's revision. Another host that has the entry and is up to date to exactly
// that revision must receive the removal when it asks again.
TEST(StoreViewTest, ReportsARemovalBetweenTwoPagesOfAList)
{
  view_.OnList({ Object("a", "1"), Object("z", "2") }, 5);
  // "z" was removed at revision 11, after the first page.
  view_.OnList({ Object("a", "1") }, 10);
  view_.OnList({ Object("a", "1"), Object("b", "12") }, 12);
  const StoreDelta changes = view_.Since(10);
  CHECK_TRUE(changes.names_.has_value());
  LONGS_EQUAL(2, changes.names_->size());
}

// Guards against an endpoint that is taken for ready again, since the next
// update is older than a later page of the last list.
TEST(StoreViewTest, KeepsAnObjectThatIsNewerThanAnUpdate)
{
  view_.OnList({ Object("a", "1"), Object("z", "14") }, 10);
  const ViewUpdate older =
    view_.ApplyDelta({ .revision_ = 12, .objects_ = { Object("z", "11") } });
  CHECK_TRUE(older.Empty());
  STRCMP_EQUAL("14", view_.Since(12).objects_.front().version_.c_str());
}

// Guards against the loss of an object that was created after an update was
// read elsewhere.
TEST(StoreViewTest, KeepsAnObjectThatIsNewerThanItsRemoval)
{
  view_.OnList({ Object("a", "1"), Object("z", "14") }, 10);
  CHECK_TRUE(
    view_.ApplyDelta({ .revision_ = 12, .removed_ = { "z" } }).Empty());
  CHECK_TRUE(view_.OnList({ Object("a", "1") }, 13).Empty());
  LONGS_EQUAL(1, view_.OnList({ Object("a", "1") }, 14).removed_.size());
}

// All hosts must converge to the state of the store, whichever host reads it.
// The store changes at random; any host lists it at any time, or fetches
// changes from any host with a higher revision. It holds because each change is
// recorded with a revision at or after the actual one.
TEST(StoreViewTest, ConvergesOnAllHostsInRandomSchedules)
{
  constexpr std::size_t kHosts = 5;
  struct Host
  {
    StoreView view_{ StoreView::Options{ .maxRemovals_ = 3 } };
    Versions versions_; // built up from the updates that the view reported
  };
  const auto record = [](Host& aHost, const ViewUpdate& aUpdate) {
    Record(aHost.versions_, aUpdate);
  };
  for (unsigned seed = 0; seed < 300; ++seed) {
    std::mt19937 random(seed);
    Versions store;
    std::uint64_t revision = 1;
    std::array<Host, kHosts> hosts;
    const auto list = [&](Host& aHost) {
      record(aHost, aHost.view_.OnList(Objects(store), revision));
    };
    const auto fetch = [&](Host& aHost, const Host& aFrom) {
      if (aFrom.view_.Revision() > aHost.view_.Revision()) {
        StoreDelta changes = aFrom.view_.Since(aHost.view_.Revision());
        if (random() % 4 == 0) {
          list(aHost); // the changes arrive after a newer list
        }
        record(aHost, aHost.view_.ApplyDelta(std::move(changes)));
      }
    };
    for (int step = 0; step < 300; ++step) {
      const std::string name(1, static_cast<char>('a' + random() % 6));
      if (random() % 3 == 0 && store.contains(name)) {
        store.erase(name);
        ++revision;
      } else {
        store[name] = std::to_string(++revision);
      }
      if (random() % 4 == 0) {
        list(hosts[random() % kHosts]);
      }
      fetch(hosts[random() % kHosts], hosts[random() % kHosts]);
    }
    list(hosts[0]);
    for (Host& host : hosts) {
      fetch(host, hosts[0]);
      CHECK_TRUE(host.versions_ == store);
    }
  }
}

// Guards against a claim to be complete up to the newest page of a list whose
// other pages are older.
TEST(StoreViewTest, ConvergesFromListsWhosePagesDifferInAge)
{
  constexpr std::size_t kPage = 3;
  constexpr std::uint64_t kMaxLag = 7;
  for (unsigned seed = 0; seed < 300; ++seed) {
    std::mt19937 random(seed);
    std::vector<Versions> states(1); // of the store, by revision
    StoreView upToDate{ StoreView::Options{ .maxRemovals_ = 3 } };
    for (int step = 0; step < 60; ++step) {
      Versions next = states.back();
      const std::string name(1, static_cast<char>('a' + random() % 12));
      if (random() % 4 != 0 || next.erase(name) == 0) {
        next[name] = std::to_string(states.size());
      }
      states.push_back(next);
      if (random() % 3 == 0) {
        upToDate.OnList(Objects(next), states.size() - 1);
      }
    }
    upToDate.OnList(Objects(states.back()), states.size() - 1);
    std::vector<CachedObject> listed;
    std::vector<std::size_t> pageSizes;
    for (std::string after; pageSizes.empty() || pageSizes.back() == kPage;) {
      const std::size_t lag = random() % (kMaxLag + 1);
      const Versions& state = states[states.size() - 1 - lag];
      pageSizes.push_back(0);
      for (auto entry = state.upper_bound(after);
           entry != state.end() && pageSizes.back() < kPage;
           ++entry) {
        listed.push_back(Object(entry->first, entry->second));
        ++pageSizes.back();
        after = entry->first;
      }
    }
    StoreView started{ StoreView::Options{} };
    const std::uint64_t revision = CompleteRevision(listed, pageSizes);
    Versions versions;
    Record(versions, started.OnList(std::move(listed), revision));
    Record(versions, started.ApplyDelta(upToDate.Since(started.Revision())));
    CHECK_TRUE(versions == states.back());
  }
}

// A proof of freshness is relayed from host to host. No host may accept a key
// for longer than the revocation time after it was revoked.
TEST_GROUP(RelayedProofTest){};

// Whether the key was accepted in a schedule.
struct KeyUse
{
  bool accepted_ = false;
  bool tooLate_ = false; // accepted beyond the revocation time
};

// Runs a random schedule: the first host reads the store; each further host
// requests the proof from the one before it, the response may be late, and the
// host may be paused before it processes the response. The last host checks the
// key at some later time. The key is revoked right after the read started, so
// the read does not show it.
KeyUse RelayProof(std::mt19937_64& aRandom, bool aCountFromRequest)
{
  constexpr auto kRevokeWithin = 5'000ms;
  const auto randomDuration = [&aRandom](int aBound) {
    return std::chrono::milliseconds(aRandom() % aBound);
  };
  struct Clock
  {
    std::chrono::milliseconds offset_{ 0 }; // differs between machines
    BootTime At(std::chrono::milliseconds aTime) const
    {
      return BootTime(aTime + offset_);
    }
  };
  const auto readStart = 10'000ms + randomDuration(1000);
  auto now = readStart + randomDuration(500); // the response is processed
  Clock holder{ randomDuration(1'000'000) };
  BootTime proof = holder.At(readStart);
  const std::size_t hops = 1 + aRandom() % 4;
  for (std::size_t hop = 0; hop < hops; ++hop) {
    const Clock requester{ randomDuration(1'000'000) };
    const auto requestSent = now + randomDuration(400);
    const auto responseSent = requestSent + randomDuration(10) +
                              (aRandom() % 8 == 0 ? randomDuration(3000) : 0ms);
    const auto age = holder.At(responseSent) - proof;
    now = responseSent + randomDuration(10) +
          (aRandom() % 8 == 0 ? randomDuration(3000) : 0ms);
    proof = requester.At(aCountFromRequest ? requestSent : now) - age;
    holder = requester;
  }
  const auto used = now + randomDuration(4000);
  FreshnessLease lease(
    FreshnessLease::Options{ .revokeWithin_ = kRevokeWithin });
  lease.OnProof(proof);
  const bool accepted = lease.IsValid(holder.At(used));
  return { .accepted_ = accepted,
           .tooLate_ = accepted && used - readStart > kRevokeWithin };
}

// It holds because the age is measured after the request arrived, and the
// requester counts it back from when it sent the request.
TEST(RelayedProofTest, NeverAcceptsARevokedKeyTooLongInRandomSchedules)
{
  std::mt19937_64 random(7);
  int accepted = 0;
  for (int round = 0; round < 20'000; ++round) {
    const KeyUse use = RelayProof(random, true);
    accepted += use.accepted_ ? 1 : 0;
    CHECK_FALSE(use.tooLate_);
  }
  CHECK_TRUE(accepted > 1'000); // the schedules do accept keys
}

// Verifies that the schedules above detect the error of counting a proof's age
// from the arrival of the response.
TEST(RelayedProofTest, DetectsProofsCountedFromTheResponse)
{
  std::mt19937_64 random(7);
  int tooLate = 0;
  for (int round = 0; round < 20'000; ++round) {
    tooLate += RelayProof(random, false).tooLate_ ? 1 : 0;
  }
  CHECK_TRUE(tooLate > 0);
}
