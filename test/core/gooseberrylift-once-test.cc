#include "gooseberrylift/gooseberrylift-once-committer.h"

#include <map>
#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

const WallTime kWall{ std::chrono::hours(1000) };
const TimePoint kNow{ std::chrono::hours(1) };

OnceIntent MakeIntent(const std::string& aKey,
                      const std::string& aNonce,
                      const std::string& aDigest = "digest")
{
  return { .key_ = aKey,
           .digest_ = aDigest,
           .nonce_ = aNonce,
           .leaseUntil_ = kWall + std::chrono::seconds(10) };
}

OnceOp MakeOperation(OnceOpKind aKind, const OnceIntent& aIntent)
{
  return { .kind_ = aKind,
           .intent_ = aIntent,
           .result_ = "result",
           .deadline_ = kNow + std::chrono::hours(1) };
}

// In-memory store of one object, with conditional updates.
struct SingleObjectStore
{
  int version_ = 0; // 0: absent
  json spec_;

  bool Write(const OnceStoreCall& aCall)
  {
    const std::string expected =
      aCall.kind_ == OnceStoreCallKind::kCreate ? "0" : aCall.version_;
    if (expected != std::to_string(version_)) {
      return false;
    }
    ++version_;
    spec_ = aCall.spec_;
    return true;
  }
};

// Executes a store call without faults and reports its result.
void PerformCall(OnceCommitter& aCommitter,
                 const OnceStoreCall& aCall,
                 SingleObjectStore& aStore)
{
  if (aCall.kind_ == OnceStoreCallKind::kRead) {
    if (aStore.version_ == 0) {
      aCommitter.OnNotFound();
    } else {
      aCommitter.OnRead(std::to_string(aStore.version_), aStore.spec_);
    }
  } else if (aStore.Write(aCall)) {
    aCommitter.OnWritten(std::to_string(aStore.version_), kNow);
  } else {
    aCommitter.OnConflict();
  }
}

std::vector<OnceReply> RunUntilIdle(OnceCommitter& aCommitter,
                                    SingleObjectStore& aStore,
                                    TimePoint aNow = kNow,
                                    WallTime aWall = kWall)
{
  while (const auto call = aCommitter.NextStoreCall(aNow, aWall)) {
    PerformCall(aCommitter, *call, aStore);
  }
  return aCommitter.TakeReplies();
}

OnceBeginStatus BeginAndCommit(OnceCommitter& aCommitter,
                               SingleObjectStore& aStore,
                               const OnceIntent& aIntent,
                               WallTime aWall = kWall)
{
  aCommitter.Submit(MakeOperation(OnceOpKind::kBegin, aIntent));
  const auto replies = RunUntilIdle(aCommitter, aStore, kNow, aWall);
  LONGS_EQUAL(1, replies.size());
  CHECK_TRUE(replies.front().committed_);
  return replies.front().beginResult_.beginStatus_;
}

} // namespace

TEST_GROUP(OnceTest)
{
  SingleObjectStore store_;
  OnceCommitter firstCommitter_{ OnceCommitter::Options{} };
  OnceCommitter secondCommitter_{ OnceCommitter::Options{} };

  void CheckStatus(OnceBeginStatus aExpected, OnceBeginStatus aActual)
  {
    LONGS_EQUAL(static_cast<int>(aExpected), static_cast<int>(aActual));
  }
};

TEST(OnceTest, GrantsAKeyToOneAttemptOnly)
{
  CheckStatus(OnceBeginStatus::kBegun,
              BeginAndCommit(firstCommitter_, store_, MakeIntent("k", "a")));
  CheckStatus(OnceBeginStatus::kPending,
              BeginAndCommit(secondCommitter_, store_, MakeIntent("k", "b")));
  CheckStatus(OnceBeginStatus::kPending,
              BeginAndCommit(firstCommitter_, store_, MakeIntent("k", "c")));
}

// An owner that crashes after writing its intent may have dispatched the call.
// A retry after the lease has expired must not dispatch it again; it is
// reported as unknown for as long as the record is retained.
TEST(OnceTest, NeverReassignsAnExpiredIntent)
{
  BeginAndCommit(firstCommitter_, store_, MakeIntent("k", "a"));
  const WallTime later = kWall + std::chrono::hours(23);
  CheckStatus(
    OnceBeginStatus::kUnknown,
    BeginAndCommit(secondCommitter_, store_, MakeIntent("k", "b"), later));
}

TEST(OnceTest, ReplaysTheRecordedOutcome)
{
  BeginAndCommit(firstCommitter_, store_, MakeIntent("k", "a"));
  firstCommitter_.Submit(
    MakeOperation(OnceOpKind::kFinish, MakeIntent("k", "a")));
  RunUntilIdle(firstCommitter_, store_);
  secondCommitter_.Submit(
    MakeOperation(OnceOpKind::kBegin, MakeIntent("k", "b")));
  const auto replies = RunUntilIdle(secondCommitter_, store_);
  CheckStatus(OnceBeginStatus::kReplay,
              replies.front().beginResult_.beginStatus_);
  STRCMP_EQUAL("result", replies.front().beginResult_.result_.c_str());
}

TEST(OnceTest, RefusesTheSameKeyWithAnotherRequest)
{
  BeginAndCommit(firstCommitter_, store_, MakeIntent("k", "a"));
  CheckStatus(
    OnceBeginStatus::kKeyReused,
    BeginAndCommit(secondCommitter_, store_, MakeIntent("k", "b", "other")));
}

TEST(OnceTest, AllowsBeginAfterRelease)
{
  BeginAndCommit(firstCommitter_, store_, MakeIntent("k", "a"));
  firstCommitter_.Submit(
    MakeOperation(OnceOpKind::kRelease, MakeIntent("k", "a")));
  RunUntilIdle(firstCommitter_, store_);
  CheckStatus(OnceBeginStatus::kBegun,
              BeginAndCommit(secondCommitter_, store_, MakeIntent("k", "b")));
}

// Hosts cache the bucket. If a host decided on a stale copy, a key that another
// host has released since would appear taken and the call would be refused.
TEST(OnceTest, RereadsBeforeReportingAKeyAsTaken)
{
  BeginAndCommit(firstCommitter_, store_, MakeIntent("k", "a"));
  CheckStatus(OnceBeginStatus::kPending,
              BeginAndCommit(secondCommitter_, store_, MakeIntent("k", "b")));
  firstCommitter_.Submit(
    MakeOperation(OnceOpKind::kRelease, MakeIntent("k", "a")));
  RunUntilIdle(firstCommitter_, store_);
  CheckStatus(OnceBeginStatus::kBegun,
              BeginAndCommit(secondCommitter_, store_, MakeIntent("k", "c")));
}

TEST(OnceTest, CommitsQueuedOperationsInOneWrite)
{
  for (int key = 0; key < 100; ++key) {
    firstCommitter_.Submit(
      MakeOperation(OnceOpKind::kBegin, MakeIntent(std::to_string(key), "n")));
  }
  LONGS_EQUAL(100, RunUntilIdle(firstCommitter_, store_).size());
  LONGS_EQUAL(1, store_.version_);
}

// An outcome with a later write time is written together with the next intent,
// or by itself if no intent is submitted before that time.
TEST(OnceTest, CommitsAnOutcomeWithTheNextIntent)
{
  BeginAndCommit(firstCommitter_, store_, MakeIntent("k", "a"));
  OnceOp outcome = MakeOperation(OnceOpKind::kFinish, MakeIntent("k", "a"));
  outcome.flushAt_ = kNow + milliseconds(20);
  firstCommitter_.Submit(outcome);
  CHECK_FALSE(firstCommitter_.NextStoreCall(kNow, kWall).has_value());
  CHECK_TRUE(firstCommitter_.NextWakeTime() == kNow + milliseconds(20));
  firstCommitter_.Submit(
    MakeOperation(OnceOpKind::kBegin, MakeIntent("other", "b")));
  LONGS_EQUAL(2, RunUntilIdle(firstCommitter_, store_).size());
  LONGS_EQUAL(2, store_.version_);
  firstCommitter_.Submit(outcome);
  LONGS_EQUAL(
    1, RunUntilIdle(firstCommitter_, store_, kNow + milliseconds(20)).size());
}

// If a write succeeds but its response is lost, the host must recognize its own
// intent when it reads the bucket, and must not write it a second time.
TEST(OnceTest, ResolvesALostResponseByReadingBack)
{
  firstCommitter_.Submit(
    MakeOperation(OnceOpKind::kBegin, MakeIntent("k", "a")));
  PerformCall(
    firstCommitter_, *firstCommitter_.NextStoreCall(kNow, kWall), store_);
  const auto write = firstCommitter_.NextStoreCall(kNow, kWall);
  CHECK_TRUE(store_.Write(*write));
  firstCommitter_.OnFailed(RanState::kUnknown, kNow);
  const auto replies =
    RunUntilIdle(firstCommitter_, store_, kNow + std::chrono::seconds(2));
  LONGS_EQUAL(1, replies.size());
  CheckStatus(OnceBeginStatus::kBegun,
              replies.front().beginResult_.beginStatus_);
  LONGS_EQUAL(1, store_.version_);
}

// The response to a write is lost and the store then fails, so the caller is
// told that the call did not run. Unless the written intent is released, a
// retry would be refused as unknown although the call never ran.
TEST(OnceTest, ReleasesTheIntentOfARefusedCall)
{
  firstCommitter_.Submit(
    MakeOperation(OnceOpKind::kBegin, MakeIntent("k", "a")));
  PerformCall(
    firstCommitter_, *firstCommitter_.NextStoreCall(kNow, kWall), store_);
  CHECK_TRUE(store_.Write(*firstCommitter_.NextStoreCall(kNow, kWall)));
  TimePoint now = kNow;
  firstCommitter_.OnFailed(RanState::kUnknown, now);
  for (int failure = 0; failure < 2; ++failure) {
    now += std::chrono::seconds(2);
    CHECK_TRUE(firstCommitter_.NextStoreCall(now, kWall).has_value());
    firstCommitter_.OnFailed(RanState::kNo, now);
  }
  const auto refused = firstCommitter_.TakeReplies();
  LONGS_EQUAL(1, refused.size());
  CHECK_FALSE(refused.front().committed_);
  RunUntilIdle(firstCommitter_, store_, now + std::chrono::seconds(2));
  CheckStatus(OnceBeginStatus::kBegun,
              BeginAndCommit(secondCommitter_, store_, MakeIntent("k", "b")));
}

// A write is delayed, its call is refused, and the write reaches the store
// after the host has read the bucket without finding the intent. The release
// advances the version, so that the delayed write is rejected.
TEST(OnceTest, FencesAWriteThatArrivesAfterItsRefusal)
{
  firstCommitter_.Submit(
    MakeOperation(OnceOpKind::kBegin, MakeIntent("k", "a")));
  PerformCall(
    firstCommitter_, *firstCommitter_.NextStoreCall(kNow, kWall), store_);
  const auto delayedWrite = firstCommitter_.NextStoreCall(kNow, kWall);
  TimePoint now = kNow + std::chrono::hours(2); // past the operation's deadline
  firstCommitter_.OnTick(now);
  CHECK_FALSE(firstCommitter_.TakeReplies().front().committed_);
  firstCommitter_.OnFailed(RanState::kUnknown, now);
  RunUntilIdle(firstCommitter_, store_, now + std::chrono::seconds(2));
  CHECK_FALSE(store_.Write(*delayedWrite));
}

TEST(OnceTest, RefusesAnIntentPastItsDeadlineWhileTheStoreHangs)
{
  OnceOp op = MakeOperation(OnceOpKind::kBegin, MakeIntent("k", "a"));
  op.deadline_ = kNow + milliseconds(100);
  firstCommitter_.Submit(op);
  CHECK_TRUE(firstCommitter_.NextStoreCall(kNow, kWall)
               .has_value()); // no response arrives
  firstCommitter_.OnTick(kNow + milliseconds(99));
  LONGS_EQUAL(0, firstCommitter_.TakeReplies().size());
  firstCommitter_.OnTick(kNow + milliseconds(100));
  const auto replies = firstCommitter_.TakeReplies();
  LONGS_EQUAL(1, replies.size());
  CHECK_FALSE(replies.front().committed_);
}

// Intents are refused after a few failed store calls. Outcomes are retried
// through an outage, since losing one would make the call's result unknown.
TEST(OnceTest, RetriesAnOutcomeThroughAnOutage)
{
  BeginAndCommit(firstCommitter_, store_, MakeIntent("k", "a"));
  firstCommitter_.Submit(
    MakeOperation(OnceOpKind::kFinish, MakeIntent("k", "a")));
  TimePoint now = kNow;
  for (int failure = 0; failure < 50; ++failure) {
    now += std::chrono::seconds(2);
    CHECK_TRUE(firstCommitter_.NextStoreCall(now, kWall).has_value());
    firstCommitter_.OnFailed(RanState::kNo, now);
  }
  RunUntilIdle(firstCommitter_, store_, now + std::chrono::seconds(2));
  CheckStatus(OnceBeginStatus::kReplay,
              BeginAndCommit(secondCommitter_, store_, MakeIntent("k", "b")));
}

TEST(OnceTest, DropsResultsBeforeRecordsAtTheSizeLimit)
{
  OnceBucket bucket({ .maxBytes_ = 1000 });
  int begun = 0;
  OnceBeginStatus last = OnceBeginStatus::kBegun;
  for (int key = 0; key < 100 && last == OnceBeginStatus::kBegun; ++key) {
    const std::string name = std::to_string(key);
    last = bucket.Begin(MakeIntent(name, "n"), kWall).beginStatus_;
    bucket.Finish(name,
                  "n",
                  OnceState::kDone,
                  std::string(300, 'r'),
                  kWall + milliseconds(key));
    begun += last == OnceBeginStatus::kBegun ? 1 : 0;
  }
  CheckStatus(OnceBeginStatus::kBucketFull, last);
  CHECK_TRUE(begun > 5); // more records than fit with their results
  LONGS_EQUAL(begun, bucket.Size());
  CheckStatus(OnceBeginStatus::kResultDropped,
              bucket.Begin(MakeIntent("0", "x"), kWall).beginStatus_);
}

TEST(OnceTest, RemovesRecordsOnlyAfterTheRetention)
{
  OnceBucket bucket(OnceBucket::Options{});
  bucket.Begin(MakeIntent("k", "a"), kWall);
  CHECK_FALSE(bucket.Sweep(kWall + std::chrono::hours(24)));
  CHECK_TRUE(bucket.Sweep(kWall + std::chrono::hours(25)));
}

TEST(OnceTest, RoundTripsThroughJson)
{
  OnceBucket bucket(OnceBucket::Options{});
  bucket.Begin(MakeIntent("k", "a"), kWall);
  bucket.Finish("k", "a", OnceState::kDone, "r", kWall);
  const OnceBucket read = OnceBucket::Parse(bucket.Spec(), {});
  CHECK_TRUE(read.Spec() == bucket.Spec());
  LONGS_EQUAL(bucket.Bytes(), read.Bytes());
}

namespace {

// Simulates three hosts that share one bucket, and a store with conflicts,
// failures, lost responses and delayed writes. Counts the dispatches of each
// key.
class FaultSimulation
{
public:
  explicit FaultSimulation(std::uint64_t aSeed)
    : random_(aSeed)
    , hosts_(3, OnceCommitter(OnceCommitter::Options{}))
    , callsInFlight_(3)
    , attempts_(3)
  {
  }

  void Step()
  {
    now_ += milliseconds(RandomBelow(40));
    const std::size_t host = RandomBelow(hosts_.size());
    if (RandomBelow(4) == 0) {
      SubmitBegin(host);
    } else if (RandomBelow(400) == 0) {
      CrashHost(host);
    } else if (callsInFlight_[host]) {
      CompleteCall(host);
    } else {
      callsInFlight_[host] = hosts_[host].NextStoreCall(now_, kWall);
    }
    TakeReplies(host);
  }

  std::map<std::string, int> dispatched_;
  std::map<std::string, int> refused_;

private:
  std::uint64_t RandomBelow(std::uint64_t aBelow) { return random_() % aBelow; }

  void SubmitBegin(std::size_t aHost)
  {
    const std::string key = std::to_string(RandomBelow(60));
    const std::string nonce = std::to_string(++lastNonce_);
    OnceOp op = MakeOperation(OnceOpKind::kBegin, MakeIntent(key, nonce));
    op.deadline_ = now_ + milliseconds(50 + RandomBelow(500));
    attempts_[aHost][hosts_[aHost].Submit(op)] = op;
  }

  void CrashHost(std::size_t aHost)
  {
    if (callsInFlight_[aHost] && RandomBelow(2) == 0) {
      delayedWrites_.push_back(*callsInFlight_[aHost]);
    }
    hosts_[aHost] = OnceCommitter(OnceCommitter::Options{});
    callsInFlight_[aHost].reset();
    attempts_[aHost].clear();
  }

  void CompleteCall(std::size_t aHost)
  {
    const OnceStoreCall call =
      *std::exchange(callsInFlight_[aHost], std::nullopt);
    const std::uint64_t fault = RandomBelow(10);
    if (!delayedWrites_.empty() && RandomBelow(5) == 0) {
      store_.Write(delayedWrites_.back());
      delayedWrites_.pop_back();
    }
    if (fault == 0) {
      hosts_[aHost].OnFailed(RanState::kNo, now_);
    } else if (fault <= 2 && call.kind_ != OnceStoreCallKind::kRead) {
      if (fault == 1) {
        store_.Write(call); // succeeds, but the response is lost
      } else {
        delayedWrites_.push_back(call);
      }
      hosts_[aHost].OnFailed(RanState::kUnknown, now_);
    } else {
      PerformCall(hosts_[aHost], call, store_);
    }
  }

  void TakeReplies(std::size_t aHost)
  {
    for (const OnceReply& reply : hosts_[aHost].TakeReplies()) {
      const auto found = attempts_[aHost].find(reply.id_);
      if (found == attempts_[aHost].end()) {
        continue;
      }
      OnceOp op = found->second;
      attempts_[aHost].erase(found);
      if (!reply.committed_) {
        ++refused_[op.intent_.key_];
      } else if (reply.beginResult_.beginStatus_ == OnceBeginStatus::kBegun) {
        FinishAttempt(aHost, op);
      }
    }
  }

  void FinishAttempt(std::size_t aHost, OnceOp aOp)
  {
    const bool dispatches = RandomBelow(3) != 0;
    dispatched_[aOp.intent_.key_] += dispatches ? 1 : 0;
    aOp.kind_ = dispatches ? OnceOpKind::kFinish : OnceOpKind::kRelease;
    aOp.deadline_ = now_ + std::chrono::hours(1);
    hosts_[aHost].Submit(aOp);
  }

  std::mt19937_64 random_;
  std::vector<OnceCommitter> hosts_;
  std::vector<std::optional<OnceStoreCall>> callsInFlight_;
  std::vector<std::map<std::uint64_t, OnceOp>> attempts_;
  std::vector<OnceStoreCall> delayedWrites_;
  SingleObjectStore store_;
  TimePoint now_ = kNow;
  std::uint64_t lastNonce_ = 0;
};

} // namespace

// Callers repeatedly send the same keys through three hosts that race, crash
// and encounter every simulated fault of the store. No key may be dispatched
// twice.
TEST(OnceTest, DispatchesNoKeyTwiceUnderRandomFaults)
{
  std::size_t dispatched = 0;
  std::size_t refused = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    FaultSimulation run(seed);
    for (int step = 0; step < 3000; ++step) {
      run.Step();
    }
    for (const auto& [key, count] : run.dispatched_) {
      CHECK_TEXT(count <= 1, ("seed " + std::to_string(seed)).c_str());
      dispatched += count;
    }
    refused += run.refused_.size();
  }
  CHECK_TRUE(dispatched > 1000);
  CHECK_TRUE(refused > 100);
}
