#include "gooseberrylift/membership/gooseberrylift-store-view.h"

#include <algorithm>
#include <random>
#include <set>

#include "gooseberrylift/membership/gooseberrylift-freshness-lease.h"
#include "gooseberrylift/membership/gooseberrylift-reader-choice.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

TEST_GROUP(StoreViewTest)
{
  StoreView view_{ StoreView::Options{ .removals_ = 4 } };

  using Known = std::map<std::string, std::string>; // versions by name

  static void TakeIn(const ViewChanges& aChanges, Known& aKnown)
  {
    for (const ViewedObject& object : aChanges.objects_) {
      aKnown[object.name_] = object.version_;
    }
    for (const std::string& gone : aChanges.removed_) {
      aKnown.erase(gone);
    }
    std::erase_if(aKnown, [&aChanges](const auto& aEntry) {
      return aChanges.names_ &&
             std::find(aChanges.names_->begin(),
                       aChanges.names_->end(),
                       aEntry.first) == aChanges.names_->end();
    });
  }

  static ViewedObject Object(const std::string& aName,
                             const std::string& aVersion)
  {
    return { .name_ = aName, .version_ = aVersion, .spec_ = aVersion };
  }
};

TEST(StoreViewTest, GivesTheWholeKindToWhoKnowsNothing)
{
  view_.OnList({ Object("a", "3"), Object("b", "7") }, 10);
  const ViewChanges changes = view_.Since(0);
  LONGS_EQUAL(2, changes.names_->size());
  LONGS_EQUAL(2, changes.objects_.size());
  LONGS_EQUAL(10, changes.revision_);
}

TEST(StoreViewTest, GivesOnlyWhatChangedToWhoKnowsTheRest)
{
  view_.OnList({ Object("a", "3"), Object("b", "7") }, 10);
  view_.OnChanges({ Object("c", "12") }, { "a" }, 12);
  const ViewChanges changes = view_.Since(10);
  CHECK_FALSE(changes.names_.has_value());
  LONGS_EQUAL(1, changes.objects_.size());
  STRCMP_EQUAL("c", changes.objects_.front().name_.c_str());
  LONGS_EQUAL(1, changes.removed_.size());
  CHECK_TRUE(view_.Since(12).objects_.empty());
}

TEST(StoreViewTest, NoticesInAListWhatAWatchDidNotTell)
{
  view_.OnList({ Object("a", "3"), Object("b", "7") }, 10);
  view_.OnList({ Object("b", "15") }, 20);
  const ViewChanges changes = view_.Since(10);
  STRCMP_EQUAL("b", changes.objects_.front().name_.c_str());
  LONGS_EQUAL(1, changes.names_->size()); // "a" is not among them
}

TEST(StoreViewTest, GivesAllNamesWhenItForgotWhatWasRemoved)
{
  view_.OnList({ Object("keep", "1") }, 10);
  for (std::uint64_t revision = 11; revision < 20; ++revision) {
    const std::string name = std::to_string(revision);
    view_.OnChanges({ Object(name, name) }, {}, revision);
    view_.OnChanges({}, { name }, revision);
  }
  LONGS_EQUAL(1, view_.Since(10).names_->size());
  LONGS_EQUAL(0, view_.Since(10).objects_.size());
  CHECK_FALSE(view_.Since(18).names_.has_value());
}

// An object that came back must not be told as removed.
TEST(StoreViewTest, TellsAnObjectThatCameBackAsThere)
{
  view_.OnList({ Object("a", "1") }, 10);
  view_.OnChanges({}, { "a" }, 11);
  view_.OnChanges({ Object("a", "12") }, {}, 12);
  const ViewChanges changes = view_.Since(10);
  LONGS_EQUAL(1, changes.objects_.size());
  LONGS_EQUAL(0, changes.removed_.size());
}

// Callers see the same endpoints whichever hosts read for theirs. The order: a
// store changes at random; two readers see it by lists and by watches that are
// late by a random time; a host asks one or the other at random. Why it holds:
// each change is stamped at or after its own revision.
TEST(StoreViewTest, KeepsAHostRightThatAsksNowThisReaderNowThat)
{
  for (unsigned seed = 0; seed < 300; ++seed) {
    std::mt19937 random(seed);
    Known store;
    Known known;
    std::uint64_t revision = 1;
    std::uint64_t knownRevision = 0;
    StoreView readers[2] = { StoreView(StoreView::Options{ .removals_ = 3 }),
                             StoreView(StoreView::Options{ .removals_ = 3 }) };
    // What a reader's watch has not told it yet.
    Known unseen[2];
    const auto list = [&](int aReader) {
      std::vector<ViewedObject> objects;
      for (const auto& [name, version] : store) {
        objects.push_back(Object(name, version));
      }
      readers[aReader].OnList(std::move(objects), revision);
      unseen[aReader].clear();
    };
    const auto watch = [&](int aReader) {
      std::vector<ViewedObject> objects;
      std::vector<std::string> removed;
      for (const auto& [name, version] : unseen[aReader]) {
        if (version.empty()) {
          removed.push_back(name);
        } else {
          objects.push_back(Object(name, version));
        }
      }
      readers[aReader].OnChanges(std::move(objects), removed, revision);
      unseen[aReader].clear();
    };
    list(0);
    list(1);
    for (int step = 0; step < 200; ++step) {
      const std::string name(1, static_cast<char>('a' + random() % 6));
      if (random() % 3 == 0 && store.contains(name)) {
        store.erase(name);
        ++revision;
      } else {
        store[name] = std::to_string(++revision);
      }
      for (Known& news : unseen) {
        news[name] = store.contains(name) ? store[name] : "";
      }
      const int reader = static_cast<int>(random() % 2);
      if (random() % 6 == 0) {
        list(reader);
      } else if (random() % 2 == 0) {
        watch(reader);
      }
      const ViewChanges changes = readers[random() % 2].Since(knownRevision);
      if (changes.revision_ >= knownRevision) {
        knownRevision = changes.revision_;
        TakeIn(changes, known);
      }
    }
    watch(0);
    TakeIn(readers[0].Since(knownRevision), known);
    CHECK_TRUE(known == store);
  }
}

TEST_GROUP(ReaderChoiceTest){ static std::vector<std::string> Hosts(int aCount){
  std::vector<std::string> hosts;
hosts.reserve(static_cast<std::size_t>(aCount));
for (int host = 0; host < aCount; ++host) {
  hosts.push_back("host-" + std::to_string(host));
}
return hosts;
}

static ReaderChoice ChoiceOf(const std::string& aSelf,
                             std::vector<std::string> aHosts)
{
  std::erase(aHosts, aSelf);
  return ChooseReaders(aSelf, aHosts, ReaderOptions{});
}

static std::set<std::string> ReadersOf(const std::vector<std::string>& aHosts)
{
  std::set<std::string> readers;
  for (const std::string& host : aHosts) {
    if (ChoiceOf(host, aHosts).reads_) {
      readers.insert(host);
    }
  }
  return readers;
}
}
;

TEST(ReaderChoiceTest, LetsEachHostOfASmallZoneRead)
{
  for (const std::string& host : Hosts(4)) {
    CHECK_TRUE(ChoiceOf(host, Hosts(4)).reads_);
  }
}

TEST(ReaderChoiceTest, GivesALargeZoneTwoReadersWhomAllAsk)
{
  const std::vector<std::string> hosts = Hosts(60);
  const std::set<std::string> readers = ReadersOf(hosts);
  LONGS_EQUAL(2, readers.size());
  for (const std::string& host : hosts) {
    for (const std::string& reader : ChoiceOf(host, hosts).readers_) {
      CHECK_TRUE(readers.contains(reader));
    }
  }
}

TEST(ReaderChoiceTest, MovesOneReaderAtMostWhenAHostIsLost)
{
  const std::vector<std::string> hosts = Hosts(60);
  const std::set<std::string> before = ReadersOf(hosts);
  for (const std::string& lost : before) {
    std::vector<std::string> left = hosts;
    std::erase(left, lost);
    std::set<std::string> after = ReadersOf(left);
    LONGS_EQUAL(2, after.size());
    CHECK_TRUE(
      std::any_of(before.begin(), before.end(), [&](const auto& aName) {
        return after.contains(aName);
      }));
  }
}

// A proof that goes from a reader to another host: what the users must never
// see is a key that is honoured longer than the bound after it was taken away.
TEST_GROUP(RelayedProofTest)
{
  // A machine's clock: it starts at some time of its own and counts
  // suspension.
  struct Clock
  {
    std::chrono::milliseconds offset_{ 0 };
    BootTime At(std::chrono::milliseconds aTrue) const
    {
      return BootTime(aTrue + offset_);
    }
  };
};

// The order, at random: the reader reads, stands still, is asked, stands still
// again, answers; the answer is late; the asker stands still before it takes it
// in, and checks the key at some later time. The key is taken away at some time
// after the read began, unseen. Why it holds: the age is measured after the
// question came, so it is counted from the question on at the latest.
TEST(RelayedProofTest, HonoursNoKeyBeyondTheBoundWhateverStandsStill)
{
  std::mt19937_64 random(7);
  const auto span = [&random](int aMost) {
    return std::chrono::milliseconds(random() % aMost);
  };
  constexpr auto kRevoke = 5'000ms;
  int honoured = 0;
  for (int round = 0; round < 20'000; ++round) {
    const Clock reader{ span(1'000'000) };
    const Clock asker{ span(1'000'000) };
    const auto readBegan = 10'000ms + span(1000);
    const auto asked = readBegan + span(3000) - 1'000ms;
    const auto questionCame = std::max(asked, readBegan) + span(1500);
    const auto answered = questionCame + span(4000); // stands still
    const auto age = reader.At(answered) - reader.At(readBegan);
    const auto takenIn = answered + span(4000);
    const auto used = takenIn + span(6000);
    FreshnessLease lease(FreshnessLease::Options{ .revokeWithin_ = kRevoke });
    lease.OnProof(asker.At(asked) - age);
    // A key that was taken away right after the read began is not seen in it.
    const bool mayHonour = used - readBegan <= kRevoke;
    const bool honours = lease.IsValid(asker.At(used));
    honoured += honours ? 1 : 0;
    CHECK_TRUE(!honours || mayHonour);
  }
  CHECK_TRUE(honoured > 100); // the check is not empty
}
