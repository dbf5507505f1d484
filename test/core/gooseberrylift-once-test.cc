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

OnceIntent Intent(const std::string& aKey,
                  const std::string& aNonce,
                  const std::string& aDigest = "digest")
{
  return { .key_ = aKey,
           .digest_ = aDigest,
           .nonce_ = aNonce,
           .leaseUntil_ = kWall + std::chrono::seconds(10) };
}

OnceOp Op(OnceOpKind aKind, const OnceIntent& aIntent)
{
  return { .kind_ = aKind,
           .intent_ = aIntent,
           .result_ = "result",
           .deadline_ = kNow + std::chrono::hours(1) };
}

// One object of the store, with conditional updates.
struct ModelStore
{
  int version_ = 0; // 0: absent
  json spec_;

  bool Write(const OnceStoreCall& aIo)
  {
    const std::string expected =
      aIo.kind_ == OnceStoreCallKind::kCreate ? "0" : aIo.version_;
    if (expected != std::to_string(version_)) {
      return false;
    }
    ++version_;
    spec_ = aIo.spec_;
    return true;
  }
};

// Makes a call without faults.
void Perform(OnceCommitter& aCommitter,
             const OnceStoreCall& aIo,
             ModelStore& aStore)
{
  if (aIo.kind_ == OnceStoreCallKind::kRead) {
    if (aStore.version_ == 0) {
      aCommitter.OnNotFound();
    } else {
      aCommitter.OnRead(std::to_string(aStore.version_), aStore.spec_);
    }
  } else if (aStore.Write(aIo)) {
    aCommitter.OnWritten(std::to_string(aStore.version_), kNow);
  } else {
    aCommitter.OnConflict();
  }
}

std::vector<OnceReply> Drain(OnceCommitter& aCommitter,
                             ModelStore& aStore,
                             TimePoint aNow = kNow,
                             WallTime aWall = kWall)
{
  while (const auto io = aCommitter.NextStoreCall(aNow, aWall)) {
    Perform(aCommitter, *io, aStore);
  }
  return aCommitter.TakeReplies();
}

OnceBeginStatus BeginAt(OnceCommitter& aCommitter,
                        ModelStore& aStore,
                        const OnceIntent& aIntent,
                        WallTime aWall = kWall)
{
  aCommitter.Submit(Op(OnceOpKind::kBegin, aIntent));
  const auto replies = Drain(aCommitter, aStore, kNow, aWall);
  LONGS_EQUAL(1, replies.size());
  CHECK_TRUE(replies.front().committed_);
  return replies.front().beginResult_.beginStatus_;
}

} // namespace

TEST_GROUP(OnceTest)
{
  ModelStore store_;
  OnceCommitter one_{ OnceCommitter::Options{} };
  OnceCommitter two_{ OnceCommitter::Options{} };

  void CheckVerdict(OnceBeginStatus aExpected, OnceBeginStatus aSeen)
  {
    LONGS_EQUAL(static_cast<int>(aExpected), static_cast<int>(aSeen));
  }
};

TEST(OnceTest, GivesAKeyToOneAttemptOnly)
{
  CheckVerdict(OnceBeginStatus::kBegun,
               BeginAt(one_, store_, Intent("k", "a")));
  CheckVerdict(OnceBeginStatus::kPending,
               BeginAt(two_, store_, Intent("k", "b")));
  CheckVerdict(OnceBeginStatus::kPending,
               BeginAt(one_, store_, Intent("k", "c")));
}

// The owner dies after its intent. The caller sends again once the lease is
// over: the call may have run, so it is told "unknown" for as long as the
// record is kept, and nobody dispatches.
TEST(OnceTest, NeverGivesAnIntentPastItsLeaseToAnother)
{
  BeginAt(one_, store_, Intent("k", "a"));
  const WallTime later = kWall + std::chrono::hours(23);
  CheckVerdict(OnceBeginStatus::kUnknown,
               BeginAt(two_, store_, Intent("k", "b"), later));
}

TEST(OnceTest, ReplaysTheRecordedOutcome)
{
  BeginAt(one_, store_, Intent("k", "a"));
  one_.Submit(Op(OnceOpKind::kFinish, Intent("k", "a")));
  Drain(one_, store_);
  two_.Submit(Op(OnceOpKind::kBegin, Intent("k", "b")));
  const auto replies = Drain(two_, store_);
  CheckVerdict(OnceBeginStatus::kReplay,
               replies.front().beginResult_.beginStatus_);
  STRCMP_EQUAL("result", replies.front().beginResult_.result_.c_str());
}

TEST(OnceTest, RefusesTheSameKeyWithAnotherRequest)
{
  BeginAt(one_, store_, Intent("k", "a"));
  CheckVerdict(OnceBeginStatus::kKeyReused,
               BeginAt(two_, store_, Intent("k", "b", "other")));
}

TEST(OnceTest, LetsAReleasedKeyBeginAgain)
{
  BeginAt(one_, store_, Intent("k", "a"));
  one_.Submit(Op(OnceOpKind::kRelease, Intent("k", "a")));
  Drain(one_, store_);
  CheckVerdict(OnceBeginStatus::kBegun,
               BeginAt(two_, store_, Intent("k", "b")));
}

// A host keeps its copy of the bucket. If it decided on that copy, a key that
// another host released meanwhile would look taken and the call would be lost.
TEST(OnceTest, LooksAgainBeforeItSaysThatAKeyIsTaken)
{
  BeginAt(one_, store_, Intent("k", "a"));
  CheckVerdict(OnceBeginStatus::kPending,
               BeginAt(two_, store_, Intent("k", "b")));
  one_.Submit(Op(OnceOpKind::kRelease, Intent("k", "a")));
  Drain(one_, store_);
  CheckVerdict(OnceBeginStatus::kBegun,
               BeginAt(two_, store_, Intent("k", "c")));
}

TEST(OnceTest, WritesWhatGatheredInOneCall)
{
  for (int key = 0; key < 100; ++key) {
    one_.Submit(Op(OnceOpKind::kBegin, Intent(std::to_string(key), "n")));
  }
  LONGS_EQUAL(100, Drain(one_, store_).size());
  LONGS_EQUAL(1, store_.version_);
}

// An outcome that nobody waits for yet joins the next intent's write, and is
// written by itself when none comes.
TEST(OnceTest, WritesAnOutcomeTogetherWithTheNextIntent)
{
  BeginAt(one_, store_, Intent("k", "a"));
  OnceOp outcome = Op(OnceOpKind::kFinish, Intent("k", "a"));
  outcome.flushAt_ = kNow + milliseconds(20);
  one_.Submit(outcome);
  CHECK_FALSE(one_.NextStoreCall(kNow, kWall).has_value());
  CHECK_TRUE(one_.NextWakeTime() == kNow + milliseconds(20));
  one_.Submit(Op(OnceOpKind::kBegin, Intent("other", "b")));
  LONGS_EQUAL(2, Drain(one_, store_).size());
  LONGS_EQUAL(2, store_.version_);
  one_.Submit(outcome);
  LONGS_EQUAL(1, Drain(one_, store_, kNow + milliseconds(20)).size());
}

// The write takes effect and its answer is lost. The host must not take its
// own intent for another's, nor write it a second time.
TEST(OnceTest, SettlesALostAnswerByReadingBack)
{
  one_.Submit(Op(OnceOpKind::kBegin, Intent("k", "a")));
  Perform(one_, *one_.NextStoreCall(kNow, kWall), store_);
  const auto write = one_.NextStoreCall(kNow, kWall);
  CHECK_TRUE(store_.Write(*write));
  one_.OnFailed(RanState::kUnknown, kNow);
  const auto replies = Drain(one_, store_, kNow + std::chrono::seconds(2));
  LONGS_EQUAL(1, replies.size());
  CheckVerdict(OnceBeginStatus::kBegun,
               replies.front().beginResult_.beginStatus_);
  LONGS_EQUAL(1, store_.version_);
}

// The store is down after a write whose answer was lost. The caller is told
// "not run" and sends again later: the intent that took effect must be undone,
// or the call would be refused as unknown although it never ran.
TEST(OnceTest, UndoesTheIntentOfARefusedCall)
{
  one_.Submit(Op(OnceOpKind::kBegin, Intent("k", "a")));
  Perform(one_, *one_.NextStoreCall(kNow, kWall), store_);
  CHECK_TRUE(store_.Write(*one_.NextStoreCall(kNow, kWall)));
  TimePoint now = kNow;
  one_.OnFailed(RanState::kUnknown, now);
  for (int failure = 0; failure < 2; ++failure) {
    now += std::chrono::seconds(2);
    CHECK_TRUE(one_.NextStoreCall(now, kWall).has_value());
    one_.OnFailed(RanState::kNo, now);
  }
  const auto refused = one_.TakeReplies();
  LONGS_EQUAL(1, refused.size());
  CHECK_FALSE(refused.front().committed_);
  Drain(one_, store_, now + std::chrono::seconds(2));
  CheckVerdict(OnceBeginStatus::kBegun,
               BeginAt(two_, store_, Intent("k", "b")));
}

// The write hangs on its way, the call is refused, and the write arrives after
// the host looked and found nothing. The refusal's release moves the version
// on, so the late write has no effect.
TEST(OnceTest, FencesAWriteThatArrivesAfterItsRefusal)
{
  one_.Submit(Op(OnceOpKind::kBegin, Intent("k", "a")));
  Perform(one_, *one_.NextStoreCall(kNow, kWall), store_);
  const auto late = one_.NextStoreCall(kNow, kWall);
  TimePoint now = kNow + std::chrono::hours(2); // past the operation's deadline
  one_.OnTick(now);
  CHECK_FALSE(one_.TakeReplies().front().committed_);
  one_.OnFailed(RanState::kUnknown, now);
  Drain(one_, store_, now + std::chrono::seconds(2));
  CHECK_FALSE(store_.Write(*late));
}

TEST(OnceTest, RefusesAnIntentWhoseTimeIsOverWhileTheStoreHangs)
{
  OnceOp op = Op(OnceOpKind::kBegin, Intent("k", "a"));
  op.deadline_ = kNow + milliseconds(100);
  one_.Submit(op);
  CHECK_TRUE(
    one_.NextStoreCall(kNow, kWall).has_value()); // and no answer comes
  one_.OnTick(kNow + milliseconds(99));
  LONGS_EQUAL(0, one_.TakeReplies().size());
  one_.OnTick(kNow + milliseconds(100));
  const auto replies = one_.TakeReplies();
  LONGS_EQUAL(1, replies.size());
  CHECK_FALSE(replies.front().committed_);
}

// An outcome is worth more than an intent: it is kept trying through an outage
// in which intents are refused after a few failures.
TEST(OnceTest, KeepsAnOutcomeThroughAnOutage)
{
  BeginAt(one_, store_, Intent("k", "a"));
  one_.Submit(Op(OnceOpKind::kFinish, Intent("k", "a")));
  TimePoint now = kNow;
  for (int failure = 0; failure < 50; ++failure) {
    now += std::chrono::seconds(2);
    CHECK_TRUE(one_.NextStoreCall(now, kWall).has_value());
    one_.OnFailed(RanState::kNo, now);
  }
  Drain(one_, store_, now + std::chrono::seconds(2));
  CheckVerdict(OnceBeginStatus::kReplay,
               BeginAt(two_, store_, Intent("k", "b")));
}

TEST(OnceTest, DropsResultsBeforeRecordsAtTheSizeLimit)
{
  OnceBucket bucket({ .maxBytes_ = 1000 });
  int begun = 0;
  OnceBeginStatus last = OnceBeginStatus::kBegun;
  for (int key = 0; key < 100 && last == OnceBeginStatus::kBegun; ++key) {
    const std::string name = std::to_string(key);
    last = bucket.Begin(Intent(name, "n"), kWall).beginStatus_;
    bucket.Finish(name,
                  "n",
                  OnceState::kDone,
                  std::string(300, 'r'),
                  kWall + milliseconds(key));
    begun += last == OnceBeginStatus::kBegun ? 1 : 0;
  }
  CheckVerdict(OnceBeginStatus::kBucketFull, last);
  CHECK_TRUE(begun > 5); // more than fit with their results
  LONGS_EQUAL(begun, bucket.Size());
  CheckVerdict(OnceBeginStatus::kResultDropped,
               bucket.Begin(Intent("0", "x"), kWall).beginStatus_);
}

TEST(OnceTest, SweepsRecordsAfterTheRetentionOnly)
{
  OnceBucket bucket(OnceBucket::Options{});
  bucket.Begin(Intent("k", "a"), kWall);
  CHECK_FALSE(bucket.Sweep(kWall + std::chrono::hours(24)));
  CHECK_TRUE(bucket.Sweep(kWall + std::chrono::hours(25)));
}

TEST(OnceTest, SurvivesAWriteAndARead)
{
  OnceBucket bucket(OnceBucket::Options{});
  bucket.Begin(Intent("k", "a"), kWall);
  bucket.Finish("k", "a", OnceState::kDone, "r", kWall);
  const OnceBucket read = OnceBucket::Parse(bucket.Spec(), {});
  CHECK_TRUE(read.Spec() == bucket.Spec());
  LONGS_EQUAL(bucket.Bytes(), read.Bytes());
}

namespace {

// Three hosts, one bucket, a store that conflicts, fails, loses answers and
// delivers writes late. Counts how often each key was dispatched.
class FaultRun
{
public:
  explicit FaultRun(std::uint64_t aSeed)
    : random_(aSeed)
    , hosts_(3, OnceCommitter(OnceCommitter::Options{}))
    , flying_(3)
    , attempts_(3)
  {
  }

  void Step()
  {
    now_ += milliseconds(Draw(40));
    const std::size_t host = Draw(hosts_.size());
    if (Draw(4) == 0) {
      Send(host);
    } else if (Draw(400) == 0) {
      Kill(host);
    } else if (flying_[host]) {
      Land(host);
    } else {
      flying_[host] = hosts_[host].NextStoreCall(now_, kWall);
    }
    TakeReplies(host);
  }

  std::map<std::string, int> dispatched_;
  std::map<std::string, int> refused_;

private:
  std::uint64_t Draw(std::uint64_t aBelow) { return random_() % aBelow; }

  void Send(std::size_t aHost)
  {
    const std::string key = std::to_string(Draw(60));
    const std::string nonce = std::to_string(++lastNonce_);
    OnceOp op = Op(OnceOpKind::kBegin, Intent(key, nonce));
    op.deadline_ = now_ + milliseconds(50 + Draw(500));
    attempts_[aHost][hosts_[aHost].Submit(op)] = op;
  }

  void Kill(std::size_t aHost)
  {
    if (flying_[aHost] && Draw(2) == 0) {
      late_.push_back(*flying_[aHost]);
    }
    hosts_[aHost] = OnceCommitter(OnceCommitter::Options{});
    flying_[aHost].reset();
    attempts_[aHost].clear();
  }

  void Land(std::size_t aHost)
  {
    const OnceStoreCall io = *std::exchange(flying_[aHost], std::nullopt);
    const std::uint64_t fault = Draw(10);
    if (!late_.empty() && Draw(5) == 0) {
      store_.Write(late_.back());
      late_.pop_back();
    }
    if (fault == 0) {
      hosts_[aHost].OnFailed(RanState::kNo, now_);
    } else if (fault <= 2 && io.kind_ != OnceStoreCallKind::kRead) {
      if (fault == 1) {
        store_.Write(io); // took effect, nobody is told
      } else {
        late_.push_back(io);
      }
      hosts_[aHost].OnFailed(RanState::kUnknown, now_);
    } else {
      Perform(hosts_[aHost], io, store_);
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
        End(aHost, op);
      }
    }
  }

  void End(std::size_t aHost, OnceOp aOp)
  {
    const bool runs = Draw(3) != 0;
    dispatched_[aOp.intent_.key_] += runs ? 1 : 0;
    aOp.kind_ = runs ? OnceOpKind::kFinish : OnceOpKind::kRelease;
    aOp.deadline_ = now_ + std::chrono::hours(1);
    hosts_[aHost].Submit(aOp);
  }

  std::mt19937_64 random_;
  std::vector<OnceCommitter> hosts_;
  std::vector<std::optional<OnceStoreCall>> flying_;
  std::vector<std::map<std::uint64_t, OnceOp>> attempts_;
  std::vector<OnceStoreCall> late_;
  ModelStore store_;
  TimePoint now_ = kNow;
  std::uint64_t lastNonce_ = 0;
};

} // namespace

// Callers send the same keys again and again through three hosts that race,
// die and meet every fault of the store. No key may be dispatched twice.
TEST(OnceTest, DispatchesNoKeyTwiceUnderRandomFaults)
{
  std::size_t dispatched = 0;
  std::size_t refused = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    FaultRun run(seed);
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
