// Tests at-most-once calls. A plain service counts the runs of each call, and
// callers retry through other hosts at every step.

#include "once-calls.h"

#include <csignal>
#include <future>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds kTimeout{ 20 };

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

// Limits the service to one concurrent call, so that a test can hold a call
// between its intent and its dispatch.
json SingleSlotConfig()
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

void CheckRejected(const OnceAnswer& aAnswer,
                   ResultCode aCode,
                   const char* aRan)
{
  CHECK_TRUE(aAnswer.answered_);
  CHECK_FALSE(aAnswer.late_);
  LONGS_EQUAL(CodeNumber(aCode), aAnswer.code_);
  STRCMP_EQUAL(aRan, aAnswer.ran_.c_str());
}

// Occupies the service's only slot, so that the next call is queued after its
// intent was written. The slot is freed when the service stops hanging.
std::future<OnceAnswer> OccupySlot(Deployment& aDeployment)
{
  aDeployment.Service(0).Control({ { "hang", true } });
  auto held =
    CallInBackground(aDeployment.At(0).Port(), "holds-the-place", seconds(15));
  CHECK_TRUE(WaitUntil(kTimeout, [&] {
    return RunsOf(aDeployment.Service(0), "holds-the-place") == 1;
  }));
  return held;
}
}
;

// Guards against a second run when the response is lost on its way to the
// caller and the caller retries through another host: the host must replay the
// recorded response without calling the service.
TEST(OnceCallTest, ReplaysTheAnswerThroughAnotherHost)
{
  Deployment deployment({ .hosts_ = 2 });
  CheckRanOnce(CallOnce(deployment.At(0).Port(), "k"));
  const OnceAnswer again = CallOnce(deployment.At(1).Port(), "k");
  CheckRanOnce(again);
  CHECK_TRUE(again.replayed_);
  LONGS_EQUAL(1, RunsOf(deployment.Service(0), "k"));
}

TEST(OnceCallTest, RejectsAKeyReusedWithAnotherBody)
{
  Deployment deployment({ .hosts_ = 2 });
  CheckRanOnce(CallOnce(deployment.At(0).Port(), "k"));
  CheckRejected(CallOnce(deployment.At(1).Port(), "k", seconds(5), "other"),
                ResultCode::kOnceKeyReused,
                "no");
  LONGS_EQUAL(1, RunsOf(deployment.Service(0), "k"));
}

// Guards against concurrent runs when a caller retries through every host while
// the call runs. All duplicates must wait for the one run and get its response.
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

// Guards against a second run when the host crashes while the service processes
// the call and the caller's connection closes. No other host can know whether
// the call ran, so a retry must be answered "unknown" after the intent's lease
// has expired.
TEST(OnceCallTest, RespondsUnknownAfterTheHostCrashedInDispatch)
{
  Deployment deployment({ .hosts_ = 2 });
  deployment.Service(0).Control({ { "hang", true } });
  auto first = CallInBackground(deployment.At(0).Port(), "k", seconds(2));
  CHECK_TRUE(WaitUntil(
    kTimeout, [&] { return RunsOf(deployment.Service(0), "k") == 1; }));
  deployment.At(0).Handle().Signal(SIGKILL);
  CHECK_FALSE(first.get().answered_);
  CheckRejected(CallOnce(deployment.At(1).Port(), "k", seconds(10)),
                ResultCode::kOnceUnknown,
                "unknown");
  LONGS_EQUAL(1, RunsOf(deployment.Service(0), "k"));
}

// The host crashes after it wrote the intent and before it sent the call. Other
// hosts can't distinguish this from the case above, so a retry must get the
// same response and the call must never run.
TEST(OnceCallTest, RespondsUnknownAfterTheHostCrashedWithAnIntent)
{
  Deployment deployment({ .hosts_ = 2, .config_ = SingleSlotConfig() });
  auto held = OccupySlot(deployment);
  auto first = CallInBackground(deployment.At(0).Port(), "k", seconds(2));
  CHECK_TRUE(
    WaitUntil(kTimeout, [&] { return RecordsIn(deployment.Store()) == 2; }));
  deployment.At(0).Handle().Signal(SIGKILL);
  CHECK_FALSE(first.get().answered_);
  deployment.Service(0).Control({ { "hang", false } });
  CheckRejected(CallOnce(deployment.At(1).Port(), "k", seconds(10)),
                ResultCode::kOnceUnknown,
                "unknown");
  LONGS_EQUAL(0, RunsOf(deployment.Service(0), "k"));
}

// Guards against a dispatch by a host that was paused after it wrote the
// intent. The deadline and the lease expire, and another host answers
// "unknown". When the paused host resumes, the slot is free, but it must not
// send the call.
TEST(OnceCallTest, DoesNotDispatchAfterAPausePastDeadlineAndLease)
{
  Deployment deployment({ .hosts_ = 2, .config_ = SingleSlotConfig() });
  auto held = OccupySlot(deployment);
  auto first = CallInBackground(deployment.At(0).Port(), "k", seconds(2));
  CHECK_TRUE(
    WaitUntil(kTimeout, [&] { return RecordsIn(deployment.Store()) == 2; }));
  deployment.At(0).Handle().Signal(SIGSTOP);
  deployment.Service(0).Control({ { "hang", false } });
  CheckRejected(CallOnce(deployment.At(1).Port(), "k", seconds(10)),
                ResultCode::kOnceUnknown,
                "unknown");
  deployment.At(0).Handle().Signal(SIGCONT);
  const OnceAnswer answer = first.get();
  CHECK_TRUE(answer.answered_);
  STRCMP_EQUAL("no", answer.ran_.c_str());
  LONGS_EQUAL(200, held.get().status_);
  LONGS_EQUAL(0, RunsOf(deployment.Service(0), "k"));
}

// A call whose deadline expires in the queue is answered "not run" and its key
// is released, so that a retry with the same key runs.
TEST(OnceCallTest, FreesTheKeyOfACallThatWasNotRun)
{
  Deployment deployment({ .hosts_ = 2, .config_ = SingleSlotConfig() });
  auto held = OccupySlot(deployment);
  const OnceAnswer first = CallOnce(deployment.At(0).Port(), "k", seconds(1));
  CHECK_TRUE(first.answered_);
  STRCMP_EQUAL("no", first.ran_.c_str());
  LONGS_EQUAL(0, RunsOf(deployment.Service(0), "k"));
  deployment.Service(0).Control({ { "hang", false } });
  CheckRanOnce(CallOnce(deployment.At(1).Port(), "k", seconds(10)));
}

// The deadline expires while the service processes the call. The caller must be
// told at once that the call may have run; "no" would be wrong, as it did run.
TEST(OnceCallTest, RespondsUnknownAtTheDeadlineOfADispatchedCall)
{
  Deployment deployment({ .hosts_ = 1 });
  deployment.Service(0).Control({ { "delay_ms", 3000 } });
  CheckRejected(CallOnce(deployment.At(0).Port(), "k", seconds(1)),
                ResultCode::kDeadlineExceeded,
                "unknown");
  LONGS_EQUAL(1, RunsOf(deployment.Service(0), "k"));
}

// The caller disconnects while its call runs. The outcome must still be
// recorded, so that a later retry gets it.
TEST(OnceCallTest, RecordsTheOutcomeAfterTheCallerDisconnects)
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

// The store writes the intent but its response is lost. The host must read the
// record back, recognize its own nonce, and run the call once.
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

// Without the store no intent can be written: the call must be rejected well
// before its deadline and not be sent. After the outage the same key must run.
TEST(OnceCallTest, RejectsCallsWhenTheStoreIsDownOrHangs)
{
  Deployment deployment({ .hosts_ = 1 });
  for (const char* fault : { "outage", "hang" }) {
    deployment.Store().Control({ { fault, true } });
    const OnceAnswer refused =
      CallOnce(deployment.At(0).Port(), fault, seconds(3));
    CheckRejected(refused, ResultCode::kOnceStoreUnavailable, "no");
    CHECK_TRUE(refused.retryAfter_);
    LONGS_EQUAL(0, RunsOf(deployment.Service(0), fault));
    deployment.Store().Control({ { fault, false } });
    OnceAnswer answer;
    CHECK_TRUE(WaitUntil(kTimeout, [&] {
      answer = CallOnce(deployment.At(0).Port(), fault, seconds(5));
      return answer.status_ == 200;
    }));
    LONGS_EQUAL(1, RunsOf(deployment.Service(0), fault));
  }
}

// The store fails between intent and outcome. The caller must get its response;
// the outcome must be recorded once the store has recovered, and until then no
// host may run the call again.
TEST(OnceCallTest, RecordsTheOutcomeAfterAnOutageInTheMiddle)
{
  Deployment deployment({ .hosts_ = 2 });
  deployment.Service(0).Control({ { "delay_ms", 500 } });
  auto first = CallInBackground(deployment.At(0).Port(), "k", seconds(10));
  CHECK_TRUE(WaitUntil(
    kTimeout, [&] { return RunsOf(deployment.Service(0), "k") == 1; }));
  deployment.Store().Control({ { "outage", true } });
  CheckRanOnce(first.get());
  CheckRejected(CallOnce(deployment.At(1).Port(), "k", seconds(3)),
                ResultCode::kOnceStoreUnavailable,
                "no");
  deployment.Store().Control({ { "outage", false } });
  OnceAnswer again;
  CHECK_TRUE(WaitUntil(kTimeout, [&] {
    again = CallOnce(deployment.At(1).Port(), "k", seconds(5));
    return again.status_ == 200;
  }));
  CHECK_TRUE(again.replayed_);
  LONGS_EQUAL(1, RunsOf(deployment.Service(0), "k"));
}

// Three hosts write to the same buckets concurrently, so that all conditional
// updates but one fail in each round. All calls must complete, with one run per
// key.
TEST(OnceCallTest, CompletesEveryCallWhenHostsWriteTheSameBuckets)
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

// Guards against a retry at a second endpoint when the first crashes while it
// processes the call. The call may have run, so the caller must be told that
// instead, with or without a key.
TEST(OnceCallTest, DoesNotRetryACallAfterItsEndpointCrashed)
{
  Deployment deployment({ .hosts_ = 1, .services_ = 2 });
  for (int service = 0; service < 2; ++service) {
    deployment.Service(service).Control({ { "hang", true } });
  }
  auto call = CallInBackground(deployment.At(0).Port(), "k", seconds(10));
  int holder = -1;
  CHECK_TRUE(WaitUntil(kTimeout, [&] {
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
  CheckRejected(CallOnce(deployment.At(0).Port(), "k", seconds(5)),
                ResultCode::kOnceUnknown,
                "unknown");
}

// Guards against losing the outcome in a graceful shutdown right after the
// response: a retry must get the replayed response and not "unknown".
TEST(OnceCallTest, RecordsOutcomesBeforeAPlannedStop)
{
  Deployment deployment({ .hosts_ = 2 });
  deployment.Store().Control({ { "delay_ms", 100 } });
  CheckRanOnce(CallOnce(deployment.At(0).Port(), "k"));
  deployment.At(0).Handle().Signal(SIGTERM);
  LONGS_EQUAL(0, deployment.At(0).Handle().WaitForExit(kTimeout));
  CHECK_TRUE(CallOnce(deployment.At(1).Port(), "k").replayed_);
}
