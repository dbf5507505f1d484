// Calls that may not be repeated, on real processes: a plain service counts
// each run, and callers send again through other hosts at every step.

#include "once-calls.h"

#include <csignal>
#include <future>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds kPatience{ 20 };

int CodeNumber(ResultCode aCode)
{
  return static_cast<int>(aCode);
}

std::future<OnceAnswer> CallInBackground(std::uint16_t aPort,
                                         const std::string& aKey,
                                         milliseconds aDeadline)
{
  return std::async(std::launch::async, [aPort, aKey, aDeadline] {
    return CallOnce(aPort, aKey, aDeadline);
  });
}

// One place at the service, so that a call can be held between its intent and
// its dispatch.
json OnePlace()
{
  return json::parse(
    R"({"pools": [{"name": "llm"}, {"name": "board", "max_concurrency": 1}]})");
}

} // namespace

TEST_GROUP(OnceCallTest){
  void CheckRanOnce(const OnceAnswer& aAnswer){ CHECK_FALSE(aAnswer.late_);
LONGS_EQUAL(200, aAnswer.status_);
LONGS_EQUAL(1, aAnswer.body_.value("runs", 0));
}

void CheckRefused(const OnceAnswer& aAnswer, ResultCode aCode, const char* aRan)
{
  CHECK_TRUE(aAnswer.answered_);
  CHECK_FALSE(aAnswer.late_);
  LONGS_EQUAL(CodeNumber(aCode), aAnswer.code_);
  STRCMP_EQUAL(aRan, aAnswer.ran_.c_str());
}

// Fills the service's one place, so that the next call waits behind it with
// its intent written. The place is free again once the service stops to hang.
std::future<OnceAnswer> HoldThePlace(Deployment& aDeployment)
{
  aDeployment.Service(0).Control({ { "hang", true } });
  auto held =
    CallInBackground(aDeployment.At(0).Port(), "holds-the-place", seconds(15));
  CHECK_TRUE(WaitUntil(kPatience, [&] {
    return RunsOf(aDeployment.Service(0), "holds-the-place") == 1;
  }));
  return held;
}
}
;

// The answer is lost on its way to the caller, who sends again through another
// host: it gets the recorded answer, and the service sees nothing.
TEST(OnceCallTest, ReplaysTheAnswerThroughAnotherHost)
{
  Deployment deployment({ .hosts_ = 2 });
  CheckRanOnce(CallOnce(deployment.At(0).Port(), "k"));
  const OnceAnswer again = CallOnce(deployment.At(1).Port(), "k");
  CheckRanOnce(again);
  CHECK_TRUE(again.replayed_);
  LONGS_EQUAL(1, RunsOf(deployment.Service(0), "k"));
}

TEST(OnceCallTest, RefusesAKeyThatCameWithAnotherBody)
{
  Deployment deployment({ .hosts_ = 2 });
  CheckRanOnce(CallOnce(deployment.At(0).Port(), "k"));
  CheckRefused(CallOnce(deployment.At(1).Port(), "k", seconds(5), "other"),
               ResultCode::kOnceKeyReused,
               "no");
  LONGS_EQUAL(1, RunsOf(deployment.Service(0), "k"));
}

// An impatient caller sends again through every host while the call runs. All
// wait for the one run and get its answer.
TEST(OnceCallTest, MakesDuplicatesWaitForTheOneRun)
{
  Deployment deployment({ .hosts_ = 3 });
  deployment.Service(0).Control({ { "delay_ms", 500 } });
  std::vector<std::future<OnceAnswer>> calls;
  for (std::size_t call = 0; call < 12; ++call) {
    calls.push_back(
      CallInBackground(deployment.At(call % 3).Port(), "k", seconds(10)));
  }
  for (auto& call : calls) {
    CheckRanOnce(call.get());
  }
  LONGS_EQUAL(1, RunsOf(deployment.Service(0), "k"));
}

// The host dies while the service works on the call, and the caller sees its
// connection break. Whether the call ran can't be known from outside, so it is
// told "unknown" once the intent's lease is over, and nothing runs again.
TEST(OnceCallTest, SaysUnknownAfterTheHostDiedInDispatch)
{
  Deployment deployment({ .hosts_ = 2 });
  deployment.Service(0).Control({ { "hang", true } });
  auto first = CallInBackground(deployment.At(0).Port(), "k", seconds(2));
  CHECK_TRUE(WaitUntil(
    kPatience, [&] { return RunsOf(deployment.Service(0), "k") == 1; }));
  deployment.At(0).Handle().Signal(SIGKILL);
  CHECK_FALSE(first.get().answered_);
  CheckRefused(CallOnce(deployment.At(1).Port(), "k", seconds(10)),
               ResultCode::kOnceUnknown,
               "unknown");
  LONGS_EQUAL(1, RunsOf(deployment.Service(0), "k"));
}

// The host dies after it wrote the intent and before it sent anything. Nobody
// can tell this from the case above, so the answer is the same and the call
// never runs.
TEST(OnceCallTest, SaysUnknownAfterTheHostDiedWithAnIntent)
{
  Deployment deployment({ .hosts_ = 2, .config_ = OnePlace() });
  auto held = HoldThePlace(deployment);
  auto first = CallInBackground(deployment.At(0).Port(), "k", seconds(2));
  CHECK_TRUE(
    WaitUntil(kPatience, [&] { return RecordsIn(deployment.Store()) == 2; }));
  deployment.At(0).Handle().Signal(SIGKILL);
  CHECK_FALSE(first.get().answered_);
  deployment.Service(0).Control({ { "hang", false } });
  CheckRefused(CallOnce(deployment.At(1).Port(), "k", seconds(10)),
               ResultCode::kOnceUnknown,
               "unknown");
  LONGS_EQUAL(0, RunsOf(deployment.Service(0), "k"));
}

// The host is stopped with an intent written, its deadline and lease pass, and
// the caller is told "unknown" by another host. When the stopped host goes on,
// its place is free, but it must not send: its time is over.
TEST(OnceCallTest, DoesNotDispatchAfterAPausePastDeadlineAndLease)
{
  Deployment deployment({ .hosts_ = 2, .config_ = OnePlace() });
  auto held = HoldThePlace(deployment);
  auto first = CallInBackground(deployment.At(0).Port(), "k", seconds(2));
  CHECK_TRUE(
    WaitUntil(kPatience, [&] { return RecordsIn(deployment.Store()) == 2; }));
  deployment.At(0).Handle().Signal(SIGSTOP);
  deployment.Service(0).Control({ { "hang", false } });
  CheckRefused(CallOnce(deployment.At(1).Port(), "k", seconds(10)),
               ResultCode::kOnceUnknown,
               "unknown");
  deployment.At(0).Handle().Signal(SIGCONT);
  const OnceAnswer answer = first.get();
  CHECK_TRUE(answer.answered_);
  STRCMP_EQUAL("no", answer.ran_.c_str());
  LONGS_EQUAL(200, held.get().status_);
  LONGS_EQUAL(0, RunsOf(deployment.Service(0), "k"));
}

// A call whose deadline passes in the queue is answered "not run", and that
// frees its key: the caller may send it again, and it runs.
TEST(OnceCallTest, FreesTheKeyOfACallThatWasNotRun)
{
  Deployment deployment({ .hosts_ = 2, .config_ = OnePlace() });
  auto held = HoldThePlace(deployment);
  const OnceAnswer first = CallOnce(deployment.At(0).Port(), "k", seconds(1));
  CHECK_TRUE(first.answered_);
  STRCMP_EQUAL("no", first.ran_.c_str());
  LONGS_EQUAL(0, RunsOf(deployment.Service(0), "k"));
  deployment.Service(0).Control({ { "hang", false } });
  CheckRanOnce(CallOnce(deployment.At(1).Port(), "k", seconds(10)));
}

// The deadline passes while the service works. The caller is told at once that
// the call may have run; it did, so "no" would be a lie.
TEST(OnceCallTest, SaysUnknownAtTheDeadlineOfADispatchedCall)
{
  Deployment deployment({ .hosts_ = 1 });
  deployment.Service(0).Control({ { "delay_ms", 3000 } });
  CheckRefused(CallOnce(deployment.At(0).Port(), "k", seconds(1)),
               ResultCode::kDeadlineExceeded,
               "unknown");
  LONGS_EQUAL(1, RunsOf(deployment.Service(0), "k"));
}

// The caller leaves while its call runs. The outcome is recorded all the same
// and waits for the caller's return.
TEST(OnceCallTest, RecordsTheOutcomeOfACallerWhoLeft)
{
  Deployment deployment({ .hosts_ = 2 });
  deployment.Service(0).Control({ { "delay_ms", 600 } });
  (void)Send(
    deployment.At(0).Port(), KeyedCall("k", seconds(10)), milliseconds(300));
  const OnceAnswer again = CallOnce(deployment.At(1).Port(), "k", seconds(10));
  CheckRanOnce(again);
  CHECK_TRUE(again.replayed_);
  LONGS_EQUAL(1, RunsOf(deployment.Service(0), "k"));
}

// The store takes the intent and its answer is lost. The host reads back,
// finds its own nonce, and runs the call once.
TEST(OnceCallTest, RunsOnceWhenTheStoresAnswersAreLost)
{
  Deployment deployment({ .hosts_ = 2 });
  for (int call = 0; call < 10; ++call) {
    const std::string key = "k" + std::to_string(call);
    deployment.Store().Control({ { "lose_answers", 1 } });
    CheckRanOnce(CallOnce(deployment.At(call % 2).Port(), key));
    CheckRanOnce(CallOnce(deployment.At((call + 1) % 2).Port(), key));
    LONGS_EQUAL(1, RunsOf(deployment.Service(0), key));
  }
}

// Without the store no intent can be written: the caller is refused well before
// its deadline and nothing is sent. After the outage the same key runs.
TEST(OnceCallTest, RefusesWhenTheStoreIsDownOrSilent)
{
  Deployment deployment({ .hosts_ = 1 });
  for (const char* fault : { "outage", "hang" }) {
    deployment.Store().Control({ { fault, true } });
    const OnceAnswer refused =
      CallOnce(deployment.At(0).Port(), fault, seconds(3));
    CheckRefused(refused, ResultCode::kOnceStoreUnavailable, "no");
    CHECK_TRUE(refused.retryAfter_);
    LONGS_EQUAL(0, RunsOf(deployment.Service(0), fault));
    deployment.Store().Control({ { fault, false } });
    OnceAnswer answer;
    CHECK_TRUE(WaitUntil(kPatience, [&] {
      answer = CallOnce(deployment.At(0).Port(), fault, seconds(5));
      return answer.status_ == 200;
    }));
    LONGS_EQUAL(1, RunsOf(deployment.Service(0), fault));
  }
}

// The store goes down between intent and outcome. The caller gets its answer;
// the outcome is recorded when the store is back, and until then no host runs
// the call again.
TEST(OnceCallTest, RecordsTheOutcomeAfterAnOutageInTheMiddle)
{
  Deployment deployment({ .hosts_ = 2 });
  deployment.Service(0).Control({ { "delay_ms", 500 } });
  auto first = CallInBackground(deployment.At(0).Port(), "k", seconds(10));
  CHECK_TRUE(WaitUntil(
    kPatience, [&] { return RunsOf(deployment.Service(0), "k") == 1; }));
  deployment.Store().Control({ { "outage", true } });
  CheckRanOnce(first.get());
  CheckRefused(CallOnce(deployment.At(1).Port(), "k", seconds(3)),
               ResultCode::kOnceStoreUnavailable,
               "no");
  deployment.Store().Control({ { "outage", false } });
  OnceAnswer again;
  CHECK_TRUE(WaitUntil(kPatience, [&] {
    again = CallOnce(deployment.At(1).Port(), "k", seconds(5));
    return again.status_ == 200;
  }));
  CHECK_TRUE(again.replayed_);
  LONGS_EQUAL(1, RunsOf(deployment.Service(0), "k"));
}

// Three hosts write the same buckets at the same time; every conditional
// update but one fails each round. All calls end, each key with one run.
TEST(OnceCallTest, EndsEveryCallWhenHostsWriteTheSameBuckets)
{
  Deployment deployment({ .hosts_ = 3 });
  std::vector<std::future<OnceAnswer>> calls;
  for (std::size_t call = 0; call < 180; ++call) {
    calls.push_back(CallInBackground(deployment.At(call % 3).Port(),
                                     "k" + std::to_string(call / 3),
                                     seconds(15)));
  }
  for (auto& call : calls) {
    CheckRanOnce(call.get());
  }
  LONGS_EQUAL(60, deployment.Service(0).Stats().value("total", 0));
  CHECK_TRUE(deployment.Store().Stats().value("conflict", 0) > 0);
}

// The endpoint dies with the call in its hands. Another endpoint is there, but
// the call may have run, so it is not sent on and the caller is told so; with
// or without a key.
TEST(OnceCallTest, DoesNotSendACallOnAfterItsEndpointDied)
{
  Deployment deployment({ .hosts_ = 1, .services_ = 2 });
  for (int service = 0; service < 2; ++service) {
    deployment.Service(service).Control({ { "hang", true } });
  }
  auto call = CallInBackground(deployment.At(0).Port(), "k", seconds(10));
  int holder = -1;
  CHECK_TRUE(WaitUntil(kPatience, [&] {
    holder = RunsOf(deployment.Service(0), "k") == 1   ? 0
             : RunsOf(deployment.Service(1), "k") == 1 ? 1
                                                       : -1;
    return holder >= 0;
  }));
  deployment.Service(holder).Handle().Signal(SIGKILL);
  const OnceAnswer answer = call.get();
  CHECK_TRUE(answer.answered_);
  STRCMP_EQUAL("unknown", answer.ran_.c_str());
  LONGS_EQUAL(0, deployment.Service(1 - holder).Stats().value("total", -1));
  CheckRefused(CallOnce(deployment.At(0).Port(), "k", seconds(5)),
               ResultCode::kOnceUnknown,
               "unknown");
}

// A planned stop right after the answer: the outcome is still recorded, so that
// the caller's second try is replayed and not "unknown".
TEST(OnceCallTest, RecordsOutcomesBeforeAPlannedStop)
{
  Deployment deployment({ .hosts_ = 2 });
  deployment.Store().Control({ { "delay_ms", 100 } });
  CheckRanOnce(CallOnce(deployment.At(0).Port(), "k"));
  deployment.At(0).Handle().Signal(SIGTERM);
  LONGS_EQUAL(0, deployment.At(0).Handle().WaitForExit(kPatience));
  CHECK_TRUE(CallOnce(deployment.At(1).Port(), "k").replayed_);
}
