// Plays rejected callers that return to many hosts in virtual time, with
// messages that are late, lost or doubled, beside random retry delays.

#include "gooseberrylift/limits/gooseberrylift-return-promises.h"
#include "gooseberrylift/limits/gooseberrylift-route-admission.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kStep{ 5 };
constexpr int kEngines = 20;
constexpr milliseconds kPrefill{ 100 };
constexpr milliseconds kObjective{ 400 };
constexpr milliseconds kPatience{ 1'000 };
constexpr milliseconds kTimeout{ 6'000 };
constexpr int kMaxReturns = 3;
constexpr std::size_t kToldAtOnce = 8;
constexpr double kFaultyShare = 0.1; // of messages: lost, late, doubled

struct Schedule
{
  int hosts_ = 10;
  double load_ = 0; // of fresh requests, as a share of the engines' time
  int burst_ = 0;   // requests that arrive at the start
  milliseconds duration_{ 10'000 };
  bool random_ = false; // random retry delays and no claims, to compare
  bool nobodyReturns_ = false;
  double pollers_ = 0;        // share that returns every 100 ms instead
  milliseconds restart_{ 0 }; // when half of the hosts lose their state
};

struct Outcomes
{
  int asked_ = 0;
  int onFirst_ = 0;  // served at the first attempt
  int onReturn_ = 0; // served on return
  int again_ = 0;    // rejections of callers that returned
  int lost_ = 0;
  int pollersAsked_ = 0;
  int pollersServed_ = 0;
  int unused_ = 0; // places kept for nobody
  int claims_ = 0;
  int maxPerSlot_ = 0; // returns in 100 ms

  double ServedShare() const { return 1.0 * (onFirst_ + onReturn_) / asked_; }
};

class Play
{
public:
  Play(const Schedule& aSchedule, std::uint64_t aSeed)
    : schedule_(aSchedule)
    , random_(aSeed)
    , arrivals_(aSeed + 1)
  {
    for (int host = 0; host < schedule_.hosts_; ++host) {
      hosts_.push_back(NewHost());
    }
  }

  Outcomes Run()
  {
    Arrive(schedule_.burst_);
    const double perStep =
      schedule_.load_ * kEngines * (1.0 * kStep.count() / kPrefill.count());
    for (; now_ < start_ + schedule_.duration_ + kTimeout; now_ += kStep) {
      backlog_ = std::max(backlog_ - kStep * kEngines, milliseconds(0));
      if (now_ < start_ + schedule_.duration_ && perStep > 0) {
        Arrive(std::poisson_distribution<>(perStep)(arrivals_));
      }
      if (schedule_.restart_ > 0ms && now_ == start_ + schedule_.restart_) {
        std::generate_n(
          hosts_.begin(), hosts_.size() / 2, [this] { return NewHost(); });
      }
      Deliver();
      Tell();
      while (!returns_.empty() && returns_.begin()->first <= now_) {
        const Caller caller = returns_.begin()->second;
        returns_.erase(returns_.begin());
        Try(caller);
      }
    }
    for (ReturnPromises& host : hosts_) {
      outcomes_.unused_ += static_cast<int>(host.TakeUnused(now_));
    }
    for (const auto& [slot, count] : perSlot_) {
      outcomes_.maxPerSlot_ = std::max(outcomes_.maxPerSlot_, count);
    }
    return outcomes_;
  }

private:
  struct Caller
  {
    std::uint64_t request_ = 0;
    TimePoint firstArrived_{};
    int returns_ = 0;
    bool polls_ = false;
  };
  struct Message
  {
    std::size_t to_ = 0;
    std::vector<ReturnPromise> promises_;
  };

  bool Chance(double aOf)
  {
    return std::uniform_real_distribution<>(0, 1)(random_) < aOf;
  }

  ReturnPromises NewHost() const
  {
    ReturnPromises host{ ReturnPromises::Options{} };
    host.SetHosts(static_cast<std::size_t>(schedule_.hosts_));
    return host;
  }

  void Arrive(int aCallers)
  {
    outcomes_.asked_ += aCallers;
    for (; aCallers > 0; --aCallers) {
      const bool polls = Chance(schedule_.pollers_);
      outcomes_.pollersAsked_ += polls ? 1 : 0;
      Try({ .request_ = random_(), .firstArrived_ = now_, .polls_ = polls });
    }
  }

  void Try(Caller aCaller)
  {
    ReturnPromises& host = hosts_[random_() % hosts_.size()];
    if (aCaller.returns_ > 0) {
      ++perSlot_[(now_ - start_) / 100ms];
    }
    ArrivedReturn arrived;
    if (!schedule_.random_) {
      arrived = host.OnArrived(aCaller.request_, now_);
    }
    const bool claim = arrived.kind_ == ReturnKind::kClaim;
    outcomes_.claims_ += claim ? 1 : 0;
    const milliseconds remaining =
      duration_cast<milliseconds>(aCaller.firstArrived_ + kTimeout - now_);
    AdmissionInput input{ .predicted_ = backlog_ / kEngines + kPrefill,
                          .remaining_ = remaining,
                          .callerStallTimeout_ = kPatience };
    if (schedule_.random_) {
      input.draw_ = random_();
    } else if (!claim) {
      input.kept_ = host.KeptPrefill(1, input.predicted_, now_) / kEngines;
      input.objective_ = kObjective;
      input.returnedEarly_ = arrived.kind_ == ReturnKind::kEarly;
    }
    const auto wait = RetryDelayIfRefused(input);
    if (!wait) {
      backlog_ += kPrefill;
      ++(aCaller.returns_ == 0 ? outcomes_.onFirst_ : outcomes_.onReturn_);
      outcomes_.pollersServed_ += aCaller.polls_ ? 1 : 0;
      return;
    }
    outcomes_.again_ += aCaller.returns_ > 0 ? 1 : 0;
    milliseconds delay = *wait;
    if (!schedule_.random_) {
      delay =
        host
          .Promise({ .request_ = aCaller.request_,
                     .service_ = 1,
                     .expectedWait_ = *wait,
                     .maxDelay_ = MaxRetryDelay(remaining),
                     .prefill_ = kPrefill,
                     .engines_ = kEngines,
                     .firstArrived_ = claim ? arrived.firstArrived_ : now_ },
                   random_(),
                   now_)
          .delay_;
      CHECK_TRUE(delay <= MaxRetryDelay(remaining));
    }
    const int maxReturns = aCaller.polls_ ? 60 : kMaxReturns;
    if (schedule_.nobodyReturns_ || ++aCaller.returns_ > maxReturns ||
        delay > remaining) {
      ++outcomes_.lost_;
      return;
    }
    returns_.emplace(now_ + (aCaller.polls_ ? 100ms : delay + 5ms), aCaller);
  }

  // Each host tells the others at an interval that grows with their number, as
  // for load messages.
  void Tell()
  {
    const std::int64_t step = now_.time_since_epoch() / kStep;
    const auto interval =
      std::clamp<std::int64_t>(schedule_.hosts_ * 2 / 3, 4, 28);
    for (std::size_t from = 0; from < hosts_.size(); ++from) {
      if ((step + static_cast<std::int64_t>(from)) % interval != 0) {
        continue;
      }
      const auto news = hosts_[from].TakeOwnNews(kToldAtOnce, now_);
      for (std::size_t to = 0; to < hosts_.size() && !news.empty(); ++to) {
        if (to == from || Chance(kFaultyShare)) {
          continue;
        }
        const milliseconds delay = Chance(kFaultyShare) ? 1'000ms : 20ms;
        messages_.emplace(now_ + delay, Message{ to, news });
        if (Chance(kFaultyShare)) {
          messages_.emplace(now_ + 300ms, Message{ to, news });
        }
      }
    }
  }

  void Deliver()
  {
    while (!messages_.empty() && messages_.begin()->first <= now_) {
      const Message& message = messages_.begin()->second;
      hosts_[message.to_].OnPeer(message.promises_, true, now_);
      messages_.erase(messages_.begin());
    }
  }

  Schedule schedule_;
  std::mt19937_64 random_;
  std::mt19937_64 arrivals_; // the same in plays that are compared
  const TimePoint start_{ 1'000s };
  TimePoint now_ = start_;
  std::vector<ReturnPromises> hosts_;
  milliseconds backlog_{ 0 };
  std::multimap<TimePoint, Caller> returns_;
  std::multimap<TimePoint, Message> messages_;
  std::map<std::int64_t, int> perSlot_;
  Outcomes outcomes_;
};

// Plays a schedule with promises, and with random retry delays.
std::pair<Outcomes, Outcomes> Compare(const char* aName, Schedule aSchedule)
{
  std::pair<Outcomes, Outcomes> both;
  both.first = Play(aSchedule, 1).Run();
  aSchedule.random_ = true;
  both.second = Play(aSchedule, 1).Run();
  for (const Outcomes& one : { both.first, both.second }) {
    std::printf("%s, %d hosts: of %d at once %d, on return %d, lost %d; again "
                "%d, unused %d, claims %d, in a slot %d, pollers %d of %d\n",
                aName,
                aSchedule.hosts_,
                one.asked_,
                one.onFirst_,
                one.onReturn_,
                one.lost_,
                one.again_,
                one.unused_,
                one.claims_,
                one.maxPerSlot_,
                one.pollersServed_,
                one.pollersAsked_);
  }
  return both;
}

} // namespace

TEST_GROUP(ReturnPromisesTest)
{
  using Told = std::vector<ReturnPromise>;

  GivenPromise Reject(
    ReturnPromises & aHost, std::uint64_t aRequest, TimePoint aFirstArrived)
  {
    return aHost.Promise({ .request_ = aRequest,
                           .service_ = 1,
                           .expectedWait_ = 500ms,
                           .maxDelay_ = 2s,
                           .prefill_ = 100ms,
                           .engines_ = 4,
                           .firstArrived_ = aFirstArrived },
                         aRequest,
                         now_);
  }

  bool HasClaim(ReturnPromises & aHost, std::uint64_t aRequest, TimePoint aWhen)
  {
    return aHost.OnArrived(aRequest, aWhen).kind_ == ReturnKind::kClaim;
  }

  TimePoint now_{ 1'000s };
};

// Rejected together, 259 callers find room for about 20 in 100 ms. With random
// delays around the same expected wait, they return together.
TEST(ReturnPromisesTest, SpreadsABurstOverTheTimeInWhichThereIsRoom)
{
  for (const int hosts : { 2, 10, 30, 100 }) {
    const Schedule burst{ .hosts_ = hosts, .burst_ = 400, .duration_ = 1s };
    const Outcomes played = Compare("burst", burst).first;
    CHECK_TRUE(played.maxPerSlot_ <= 45);
    CHECK_TRUE(played.ServedShare() > 0.98);
  }
}

TEST(ReturnPromisesTest, ServesReturningCallersBesideASteadyStream)
{
  for (const int hosts : { 2, 10, 30 }) {
    const auto [promised, random] =
      Compare("steady", { .hosts_ = hosts, .load_ = 1.5 });
    CHECK_TRUE(promised.onReturn_ > 3 * random.onReturn_);
    CHECK_TRUE(promised.lost_ < random.lost_ / 2);
    CHECK_TRUE(promised.again_ < random.again_);
    CHECK_TRUE(promised.unused_ < promised.claims_ / 3);
  }
}

TEST(ReturnPromisesTest, ChangesNothingWhileNobodyIsRejected)
{
  const auto [promised, random] = Compare("idle", { .load_ = 0.8 });
  LONGS_EQUAL(random.onFirst_, promised.onFirst_);
  LONGS_EQUAL(0, promised.claims_ + promised.unused_);
}

// Guards against places that are kept for callers who have left.
TEST(ReturnPromisesTest, KeepsLittleForCallersThatNeverReturn)
{
  const auto [promised, random] =
    Compare("nobody returns", { .load_ = 1.5, .nobodyReturns_ = true });
  CHECK_TRUE(promised.ServedShare() > random.ServedShare() - 0.01);
}

TEST(ReturnPromisesTest, GivesPollingCallersNoAdvantage)
{
  const auto [promised, random] =
    Compare("pollers", { .load_ = 1.5, .pollers_ = 0.1 });
  const double polling = 1.0 * promised.pollersServed_ / promised.pollersAsked_;
  CHECK_TRUE(polling < promised.ServedShare());
}

// Callers of the restarted hosts return as if they came for the first time.
TEST(ReturnPromisesTest, GoesOnWhenHalfOfTheHostsLoseTheirState)
{
  const auto [promised, random] =
    Compare("restart", { .load_ = 1.5, .restart_ = 5s });
  CHECK_TRUE(promised.lost_ < random.lost_ / 2);
}

TEST(ReturnPromisesTest, GivesOneClaimOverAllHostsThatKnowOfIt)
{
  ReturnPromises giver({});
  ReturnPromises other({});
  ReturnPromises third({});
  const TimePoint due = now_ + Reject(giver, 7, now_).delay_;
  const Told given = giver.TakeOwnNews(8, now_);
  LONGS_EQUAL(1, given.size());
  other.OnPeer(given, true, now_ + 20ms);
  third.OnPeer(given, true, now_ + 200ms);
  const ArrivedReturn arrived = other.OnArrived(7, due + 10ms);
  CHECK_TRUE(arrived.kind_ == ReturnKind::kClaim);
  CHECK_TRUE(arrived.firstArrived_ <= now_ + 21ms);
  CHECK_FALSE(HasClaim(other, 7, due + 15ms));
  const Told used = other.TakeOwnNews(8, due + 20ms);
  giver.OnPeer(used, true, due + 30ms);
  third.OnPeer(used, true, due + 30ms);
  // A late copy of the promise does not renew it.
  third.OnPeer(given, true, due + 35ms);
  CHECK_FALSE(HasClaim(giver, 7, due + 40ms));
  CHECK_FALSE(HasClaim(third, 7, due + 40ms));
}

TEST(ReturnPromisesTest, GivesNothingToACallerThatIsEarlyOrLate)
{
  ReturnPromises host({});
  const GivenPromise first = Reject(host, 7, now_);
  const TimePoint due = now_ + first.delay_;
  CHECK_TRUE(host.KeptPrefill(1, 2s, now_) > 0us);
  now_ += 200ms;
  CHECK_TRUE(host.OnArrived(7, now_).kind_ == ReturnKind::kEarly);
  LONGS_EQUAL(0, host.KeptPrefill(1, 2s, now_).count());
  // It is told no better time, and has no claim then.
  const GivenPromise again = Reject(host, 7, now_);
  CHECK_FALSE(again.isNew_);
  CHECK_TRUE(now_ + again.delay_ > due - 2ms);
  CHECK_FALSE(HasClaim(host, 7, due));
  const TimePoint dueOfLate = now_ + Reject(host, 8, now_).delay_;
  CHECK_FALSE(HasClaim(host, 8, dueOfLate + 500ms));
  LONGS_EQUAL(1, host.TakeUnused(dueOfLate + 3s));
}

TEST(ReturnPromisesTest, KeepsTheFirstArrivalForABoundedTime)
{
  ReturnPromises host({});
  const TimePoint first = now_;
  TimePoint arrived = first;
  for (int round = 0; round < 100; ++round) {
    now_ += Reject(host, 7, arrived).delay_;
    const ArrivedReturn back = host.OnArrived(7, now_);
    CHECK_TRUE(back.kind_ == ReturnKind::kClaim);
    arrived = back.firstArrived_;
    CHECK_TRUE(now_ - arrived <= 33s);
    CHECK_TRUE(now_ - first > 30s || arrived == first);
  }
}

TEST(ReturnPromisesTest, BoundsItsStateUnderAFlood)
{
  ReturnPromises host({ .maxEntries_ = 100 });
  host.SetHosts(10);
  for (std::uint64_t request = 1; request < 10'000; ++request) {
    Reject(host, request, now_);
    host.OnPeer({ { .request_ = 1'000'000 + request,
                    .service_ = static_cast<std::uint32_t>(request),
                    .untilDue_ = 300ms,
                    .prefill_ = 100ms } },
                true,
                now_);
    CHECK_TRUE(host.Size() <= 100);
  }
  Told told = host.TakeOwnNews(1'000'000, now_);
  CHECK_TRUE(told.size() <= 100);
  now_ += 20s;
  host.TakeUnused(now_);
  LONGS_EQUAL(0, host.Size());
}

TEST(ReturnPromisesTest, IgnoresAbsurdPromisesOfAPeer)
{
  ReturnPromises host({});
  host.OnPeer({ { .request_ = 1, .untilDue_ = 3'600s, .prefill_ = 1s },
                { .request_ = 2, .untilDue_ = -3'600s, .prefill_ = 1s },
                { .request_ = 3,
                  .untilDue_ = 1s,
                  .sinceArrival_ = 3'600s,
                  .prefill_ = 1s } },
              true,
              now_);
  LONGS_EQUAL(0, host.Size());
}

TEST(ReturnPromisesTest, PassesOnWhatHostsOfItsZoneTell)
{
  ReturnPromises host({});
  Reject(host, 1, now_);
  host.OnPeer(
    { { .request_ = 2, .untilDue_ = 1s, .prefill_ = 1s } }, true, now_);
  host.OnPeer(
    { { .request_ = 3, .untilDue_ = 1s, .prefill_ = 1s } }, false, now_);
  LONGS_EQUAL(2, host.TakeZoneNews(8, now_).size());
  LONGS_EQUAL(1, host.TakeOwnNews(8, now_).size());
  // Told a few times, in case of a loss, and then no more.
  LONGS_EQUAL(2, host.TakeZoneNews(8, now_).size());
  LONGS_EQUAL(2, host.TakeZoneNews(8, now_).size());
  LONGS_EQUAL(0, host.TakeZoneNews(8, now_).size());
}

TEST_GROUP(KeptPrefillTest)
{
  AdmissionInput question_{ .predicted_ = 1s,
                            .objective_ = 500ms,
                            .remaining_ = 10s,
                            .callerStallTimeout_ = 2s };
  bool IsAdmitted() const
  {
    return !RetryDelayIfRefused(question_);
  }
};

// A request yields to those that return before it, but not if it meets its
// objective or is served soon.
TEST(KeptPrefillTest, RejectsALateRequestForThoseThatReturnBeforeIt)
{
  CHECK_TRUE(IsAdmitted());
  question_.kept_ = 10s;
  CHECK_FALSE(IsAdmitted());
  question_.objective_ = 1s;
  CHECK_TRUE(IsAdmitted());
  question_.objective_ = 500ms;
  question_.predicted_ = 700ms;
  CHECK_TRUE(IsAdmitted());
}

TEST(KeptPrefillTest, RejectsEarlyReturnsForThoseThatReturnInTime)
{
  question_.objective_ = 1s;
  question_.kept_ = 10s;
  CHECK_TRUE(IsAdmitted());
  question_.returnedEarly_ = true;
  CHECK_FALSE(IsAdmitted());
  question_.kept_ = 0s;
  CHECK_TRUE(IsAdmitted());
}
