#include "bench/gooseberrylift-pass-bench.h"
#include "gooseberrylift/limits/gooseberrylift-long-prompt-hold.h"
#include "gooseberrylift/limits/gooseberrylift-route-admission.h"
#include "gooseberrylift/routing/gooseberrylift-fleet-order.h"
#include "gooseberrylift/routing/gooseberrylift-fleet-placement.h"
#include "gooseberrylift/routing/gooseberrylift-priority-class.h"

#include <algorithm>
#include <map>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

EngineProfile Profile()
{
  return { .slots_ = 16,
           .memoryTokens_ = 450'000,
           .stepMs_ = 1,
           .prefillTokensPerMs_ = 250,
           .prefillMsPerMillionPairs_ = 0.1,
           .prefillTokensPerStep_ = 2048,
           .stepsPerPass_ = 46,
           .typicalAnswerTokens_ = 1500 };
}

constexpr ServiceGaps kGaps{ .shortest_ = 200ms, .next_ = 500ms };

} // namespace

TEST_GROUP(FleetPlacementTest)
{
  std::vector<ListedEndpoint> engines_;
  std::vector<PlacementCandidate> candidates_;
  EnginePlacement placement_{ EnginePlacement::Options{} };

  void AddEngines(int aCount)
  {
    for (int index = 0; index < aCount; ++index) {
      engines_.push_back({ .id_ = std::to_string(index), .slots_ = 16 });
    }
    for (const ListedEndpoint& engine : engines_) {
      candidates_.push_back({ .endpoint_ = &engine });
    }
  }

  static PlacementRequest ShortRequest()
  {
    return { .promptTokens_ = 5'000,
             .answerTokens_ = 1'500,
             .objective_ = 300ms,
             .maxGap_ = 200ms };
  }

  static PlacementRequest LongRequest(std::uint64_t aTokens)
  {
    return { .promptTokens_ = aTokens,
             .answerTokens_ = 800,
             .objective_ = 3s,
             .maxGap_ = 800ms };
  }

  std::optional<PlacementChoice> Choose(const PlacementRequest& aRequest) const
  {
    return placement_.Choose(Profile(), kGaps, candidates_, aRequest);
  }
};

TEST(FleetPlacementTest, PredictsPrefillTimeFromTokensAndPairs)
{
  // 100,000 tokens: 400 ms for the linear part, 500 ms for 5,000 million pairs.
  LONGS_EQUAL(900'000, Profile().PrefillTime(100'000).count());
  LONGS_EQUAL(225'000, Profile().PrefillTime(100'000, 4).count());
  LONGS_EQUAL(46'000, Profile().PassTime(0, 0).count());
}

TEST(FleetPlacementTest, SeparatesShortAndLongRequestsIntoLanes)
{
  AddEngines(8);
  candidates_[0].load_ = { .running_ = 4, .tightGap_ = 4 };
  STRCMP_EQUAL("0", Choose(ShortRequest())->endpoint_->id_.c_str());
  const auto choice = Choose(LongRequest(200'000));
  CHECK_TRUE(choice->slowsDecoding_);
  CHECK_TRUE(choice->endpoint_->id_ != "0");
  for (const ListedEndpoint* helper : choice->helpers_) {
    CHECK_TRUE(helper->id_ != "0");
  }
}

// Engines under pressure are no room for short requests, nor long prompts.
TEST(FleetPlacementTest, ExtendsTheLaneByTheEnginesUnderPressure)
{
  AddEngines(8);
  for (std::size_t index = 0; index < 4; ++index) {
    candidates_[index].load_ = { .running_ = 48, .pressure_ = 48 };
  }
  STRCMP_EQUAL("4", Choose(ShortRequest())->endpoint_->id_.c_str());
  const auto choice = Choose(LongRequest(200'000));
  CHECK_TRUE(choice->endpoint_->id_ > "4");
  for (const ListedEndpoint* helper : choice->helpers_) {
    CHECK_TRUE(helper->id_ > "4");
  }
}

TEST(FleetPlacementTest, WidensTheLaneWithTheNumberOfShortRequests)
{
  AddEngines(8);
  for (int index = 0; index < 3; ++index) {
    candidates_[static_cast<std::size_t>(index)].load_ = { .running_ = 15,
                                                           .tightGap_ = 15 };
  }
  // Three engines are full, so the fourth joins the lane.
  STRCMP_EQUAL("3", Choose(ShortRequest())->endpoint_->id_.c_str());
}

// All slots are taken and requests wait at each engine, so the next one is late
// at every engine. It is deferred: it counts behind the waiting requests, and
// the request after it does not.
TEST(FleetPlacementTest, DefersAShortRequestThatIsLateAtEveryEngine)
{
  AddEngines(2);
  CHECK_FALSE(Choose(ShortRequest())->deferred_);
  for (PlacementCandidate& candidate : candidates_) {
    candidate.load_ = { .running_ = 20, .tightGap_ = 20 };
  }
  const auto late = Choose(ShortRequest());
  CHECK_TRUE(late->deferred_);
  CHECK_TRUE(late->cost_.deferred_);
  CHECK_TRUE(late->firstAnswer_ > 300ms);
  for (PlacementCandidate& candidate : candidates_) {
    candidate.load_.deferred_ = 5;
  }
  const auto inTime = Choose(ShortRequest());
  CHECK_FALSE(inTime->deferred_);
  CHECK_TRUE(inTime->firstAnswer_ < late->firstAnswer_);
}

TEST(FleetPlacementTest, AddsThePenaltyForShortRequestsToTheWaitOfALongOne)
{
  AddEngines(1);
  const auto alone = Choose(LongRequest(200'000))->wait_;
  candidates_[0].load_ = { .running_ = 10, .tightGap_ = 10 };
  CHECK_TRUE(Choose(LongRequest(200'000))->wait_ > alone + 200ms);
}

TEST(FleetPlacementTest, UsesALimitedEngineOutsideTheShortLane)
{
  AddEngines(20);
  candidates_[13].limited_ = true;
  for (std::uint64_t draw = 0; draw < 10; ++draw) {
    PlacementRequest request = ShortRequest();
    request.draw_ = draw;
    const auto choice =
      placement_.Choose(Profile(), kGaps, candidates_, request);
    STRCMP_EQUAL("13", choice->endpoint_->id_.c_str());
  }
}

TEST(FleetPlacementTest, DoesNotMakeAShortRequestLateToUseAPermit)
{
  AddEngines(20);
  candidates_[13].limited_ = true;
  candidates_[13].load_.backlog_ = 2s;
  const auto choice =
    placement_.Choose(Profile(), kGaps, candidates_, ShortRequest());
  STRCMP_EQUAL("0", choice->endpoint_->id_.c_str());
}

TEST(FleetPlacementTest, DoesNotSplitALongPromptOverLimitedEngines)
{
  AddEngines(6);
  for (const std::size_t limited : { 0U, 2U, 5U }) {
    candidates_[limited].limited_ = true;
  }
  const auto choice =
    placement_.Choose(Profile(), kGaps, candidates_, LongRequest(200'000));
  CHECK_TRUE(choice->helpers_.size() <= 2);
  for (const ListedEndpoint* helper : choice->helpers_) {
    CHECK_TRUE(helper->id_ == "1" || helper->id_ == "3" || helper->id_ == "4");
  }
  for (PlacementCandidate& candidate : candidates_) {
    candidate.limited_ = true;
  }
  const auto alone =
    placement_.Choose(Profile(), kGaps, candidates_, LongRequest(200'000));
  LONGS_EQUAL(0, alone->helpers_.size());
}

// Guards against a short lane that counts limited engines twice and so exceeds
// the number of engines.
TEST(FleetPlacementTest, DividesTheUnlimitedEnginesWhenMostAreLimited)
{
  AddEngines(20);
  for (std::size_t index = 0; index < 15; ++index) {
    candidates_[index].limited_ = true;
    candidates_[index].load_.backlog_ = 2s;
  }
  std::set<std::string> chosen;
  for (std::uint64_t draw = 0; draw < 100; ++draw) {
    PlacementRequest request = ShortRequest();
    request.peerLoadUnknown_ = true;
    request.draw_ = draw;
    chosen.insert(Choose(request)->endpoint_->id_);
  }
  CHECK_TRUE(chosen == (std::set<std::string>{ "15", "16" }));
}

// Guards against a host that knows no other host's load and uses only every
// second engine of the short lane.
TEST(FleetPlacementTest, SpreadsShortRequestsEvenlyWithoutTheLoadOfOtherHosts)
{
  AddEngines(8);
  std::map<std::string, int> chosen;
  for (std::uint64_t draw = 0; draw < 400; ++draw) {
    PlacementRequest request = ShortRequest();
    request.peerLoadUnknown_ = true;
    request.draw_ = draw;
    ++chosen[Choose(request)->endpoint_->id_];
  }
  CHECK_TRUE(chosen ==
             (std::map<std::string, int>{
               { "0", 100 }, { "1", 100 }, { "2", 100 }, { "3", 100 } }));
}

TEST(FleetPlacementTest, UsesAColdEngineOnlyWhereItServesCallersBetter)
{
  AddEngines(4);
  candidates_[2].limited_ = true;
  candidates_[2].cold_ = true;
  const auto choose = [this] {
    return ChooseSparingCold(
      candidates_, ShortRequest(), [this](const auto& aCandidates) {
        return placement_.Choose(Profile(), kGaps, aCandidates, ShortRequest());
      });
  };
  CHECK_TRUE(choose()->endpoint_->id_ != "2");
  // The others are too slow for the objective.
  for (const std::size_t warm : { 0U, 1U, 3U }) {
    candidates_[warm].load_.backlog_ = 2s;
  }
  STRCMP_EQUAL("2", choose()->endpoint_->id_.c_str());
  candidates_[2].load_.backlog_ = 3s;
  CHECK_TRUE(choose()->endpoint_->id_ != "2");
  // The others fail.
  for (const std::size_t warm : { 0U, 1U, 3U }) {
    candidates_[warm].avoided_ = true;
  }
  STRCMP_EQUAL("2", choose()->endpoint_->id_.c_str());
}

TEST_GROUP(PriorityClassTest){};

TEST(PriorityClassTest, PutsDeferredRequestsBehindAllOthers)
{
  LONGS_EQUAL(0, PriorityClassOf(0, false));
  LONGS_EQUAL(2, PriorityClassOf(2, false));
  CHECK_TRUE(PriorityClassOf(0, true) > PriorityClassOf(99, false));
  LONGS_EQUAL(9, PriorityClassOf(99, true));
  LONGS_EQUAL(0, PriorityClassOf(-1, false));
}

TEST(FleetPlacementTest, SpreadsALongPromptOverIdleEngines)
{
  AddEngines(8);
  const auto choice = Choose(LongRequest(200'000));
  CHECK_TRUE(choice->helpers_.size() >= 3);
  CHECK_TRUE(choice->firstAnswer_ < Profile().PrefillTime(200'000) / 3);
  LONGS_EQUAL(0, choice->reservedTokens_);
}

TEST(FleetPlacementTest, ReservesMemoryOnlyForPromptsBeyondOneEngine)
{
  AddEngines(8);
  const auto choice = Choose(LongRequest(800'000));
  CHECK_TRUE(choice->reservedTokens_ > 0);
  const auto holders = choice->helpers_.size() + 1;
  CHECK_TRUE(choice->reservedTokens_ * holders >= 800'800);
  CHECK_TRUE(choice->cost_.memoryTokens_ <= 405'000);
}

TEST(FleetPlacementTest, UsesTheShortLaneForAPromptThatNeedsItsMemory)
{
  AddEngines(3);
  const auto choice = Choose(LongRequest(1'000'000));
  LONGS_EQUAL(2, choice->helpers_.size());
}

TEST(FleetPlacementTest, ReturnsNothingWhenAllEnginesLackMemory)
{
  AddEngines(2);
  CHECK_FALSE(Choose(LongRequest(1'000'000)).has_value());
}

TEST(FleetPlacementTest, UsesAnAvoidedEngineOnlyAsALastResort)
{
  AddEngines(2);
  candidates_[0].avoided_ = true;
  STRCMP_EQUAL("1", Choose(ShortRequest())->endpoint_->id_.c_str());
  candidates_[1].tried_ = true;
  STRCMP_EQUAL("0", Choose(ShortRequest())->endpoint_->id_.c_str());
}

TEST(FleetPlacementTest, DividesEnginesIntoTheSameBlocksForAllHosts)
{
  AddEngines(8);
  const FleetOrderOptions options;
  const auto ids = [&](const std::vector<ListedEndpoint>& aOrder) {
    std::vector<std::string> block;
    for (std::size_t index = 0; index < options.block_; ++index) {
      block.push_back(aOrder[index].id_);
    }
    std::sort(block.begin(), block.end());
    return block;
  };
  CHECK_TRUE(ids(OrderForHost(engines_, "one", options)) ==
             ids(OrderForHost(engines_, "two", options)));
}

TEST_GROUP(LongHoldTest)
{
  HoldInput question_{ .wait_ = 900ms,
                       .prefill_ = 3s,
                       .sinceArrival_ = 0ms,
                       .remaining_ = 15s,
                       .callerStallTimeout_ = 12s };

  HoldDecision Evaluate() const
  {
    return DecideLongPromptHold(question_, HoldOptions{});
  }
};

TEST(LongHoldTest, HoldsALongPrefillButNotAShortOne)
{
  CHECK_TRUE(Evaluate() == HoldDecision::kHold);
  question_.wait_ = 300ms;
  CHECK_TRUE(Evaluate() == HoldDecision::kHold);
  question_.prefill_ = 300ms;
  CHECK_TRUE(Evaluate() == HoldDecision::kSend);
}

TEST(LongHoldTest, YieldsToPromptsThatCanStillBeInTime)
{
  question_.wait_ = 150ms;
  question_.prefill_ = 1s;
  question_.partialPrefill_ = 500ms;
  question_.objective_ = 3s;
  CHECK_TRUE(Evaluate() == HoldDecision::kSend);
  question_.sinceArrival_ = 2'600ms;
  CHECK_TRUE(Evaluate() == HoldDecision::kHold);
}

// A host that has just started receives the first load messages a moment later.
TEST(LongHoldTest, WaitsForTheFirstLoadMessageOfOtherHosts)
{
  question_.wait_ = 0ms;
  question_.objective_ = 3s;
  CHECK_TRUE(Evaluate() == HoldDecision::kSend);
  question_.peerLoadUnknown_ = true;
  CHECK_TRUE(Evaluate() == HoldDecision::kHold);
  question_.sinceArrival_ = 700ms; // no message arrives: it may be disconnected
  CHECK_TRUE(Evaluate() == HoldDecision::kSend);
}

TEST(LongHoldTest, SendsAPromptBeforeItsCallerTimesOut)
{
  question_.sinceArrival_ = 11s;
  question_.remaining_ = 4s;
  question_.wait_ = 140ms;
  CHECK_TRUE(Evaluate() == HoldDecision::kSend);
}

// Guards against a large prompt that is held during a burst until its caller
// can no longer retry, or that is sent to engines where it would make a hundred
// others late. Its engines stay full; it is held as long as its own prefill
// time allows, and then rejected.
TEST(LongHoldTest, RejectsALargePromptWhileItsCallerCanStillRetry)
{
  question_.prefill_ = 27s;
  question_.partialPrefill_ = 1'700ms;
  question_.sinceArrival_ = 9s;
  question_.remaining_ = 6s;
  CHECK_TRUE(Evaluate() == HoldDecision::kHold);
  question_.sinceArrival_ = 9'200ms;
  question_.remaining_ = 5'800ms;
  CHECK_TRUE(Evaluate() == HoldDecision::kReject);
  CHECK_TRUE(MaxRetryDelay(question_.remaining_) > 1'900ms);
}

TEST_GROUP(RouteAdmissionTest){};

// Guards against sending a prompt that has waited for engines until its caller
// is about to time out.
TEST(RouteAdmissionTest, RefusesRequestsThatWereHeldTooLong)
{
  AdmissionInput question{
    .predicted_ = 3s, .remaining_ = 6s, .callerStallTimeout_ = 12s, .held_ = 8s
  };
  CHECK_FALSE(RetryDelayIfRefused(question).has_value());
  question.held_ = 10s;
  CHECK_TRUE(RetryDelayIfRefused(question).has_value());
}

TEST(RouteAdmissionTest, RefusesUnservableRequestsWithARetryDelay)
{
  AdmissionInput question{ .predicted_ = 1s,
                           .remaining_ = 10s,
                           .callerStallTimeout_ = 2s,
                           .draw_ = 12345 };
  CHECK_FALSE(RetryDelayIfRefused(question).has_value());
  question.predicted_ = 3s;
  const auto wait = RetryDelayIfRefused(question);
  CHECK_TRUE(*wait >= 1'400ms && *wait < 2'800ms);
}

namespace {

double ScoreOf(const bench::PassSite& aSite,
               bench::PassOptions aOptions,
               std::uint64_t aSeeds)
{
  double score = 0;
  double owed = 0;
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    aOptions.seed_ = seed;
    for (const bench::PassResult& result :
         bench::SimulateSite(aSite, aOptions)) {
      score += result.worth_;
      owed += result.maxWorth_;
    }
  }
  return score / owed;
}

double ScoreOf(double aLoad, const bench::PassOptions& aOptions)
{
  bench::PassSite site = bench::SiteByName("checks");
  for (bench::PassClass& kind : site.classes_) {
    kind.perSecond_ *= aLoad;
  }
  return ScoreOf(site, aOptions, 8);
}

} // namespace

// Simulates ten seconds each of long and of short prompts over a fleet of 18
// engines behind nine hosts. Average score of 8 seeds, where 1 is the maximum:
// 0.94 with this placement, 0.63 with least outstanding requests, 0.55 with
// round robin. The bounds leave a margin for future changes, but do not accept
// a regression.
TEST(FleetPlacementTest, ServesBurstsBetterThanTheBaselines)
{
  const double placed = ScoreOf(1, {});
  CHECK_TRUE(placed > 0.92);
  CHECK_TRUE(
    ScoreOf(1, { .strategy_ = bench::PassStrategy::kLeastOutstanding }) <
    placed - 0.1);
  CHECK_TRUE(ScoreOf(1, { .strategy_ = bench::PassStrategy::kRoundRobin }) <
             placed - 0.1);
}

// Sixty hosts in five zones share 40 engines. Each host learns of the requests
// of its own zone at once, and every 50 ms of a sum of those of the other
// zones. Average score of 2 seeds, where 1 is the maximum: 0.865, against 0.879
// if all hosts learn of all requests at once, 0.747 if each host takes the
// engine that looks best, which is the same one for all, and 0.494 if zones
// know nothing of each other.
TEST(FleetPlacementTest, ServesManyHostsWithDelayedLoadMessages)
{
  bench::PassSite site = bench::SiteByName("notes-large");
  site.hosts_ = 60;
  site.engines_ = 40;
  for (bench::PassClass& kind : site.classes_) {
    kind.perSecond_ *= 0.205;
  }
  const auto score = [&site](bench::PassOptions aOptions) {
    aOptions.snapshotInterval_ = 700ms;
    aOptions.aggregateInterval_ = 50ms;
    return ScoreOf(site, aOptions, 2);
  };
  const double sums =
    score({ .remoteLoad_ = bench::PassRemoteLoad::kAggregates });
  CHECK_TRUE(sums >
             score({ .remoteLoad_ = bench::PassRemoteLoad::kAll }) - 0.03);
  CHECK_TRUE(sums >
             score({ .placement_ = { .tieMarginShare_ = 0 },
                     .remoteLoad_ = bench::PassRemoteLoad::kAggregates }) +
               0.05);
  CHECK_TRUE(sums >
             score({ .remoteLoad_ = bench::PassRemoteLoad::kNone }) + 0.2);
}

// The workload of ServesBurstsBetterThanTheBaselines at 1.8 times the load,
// which fills every slot in the bursts of short requests and all prefill
// capacity in those of long prompts. Score: 0.682; 0.600 if long prompts are
// not held while the engines are full, and 0.662 and 0.647 if late long prompts
// at the host and late short requests at the engine do not yield to the others.
TEST(FleetPlacementTest, LimitsLateRequestsDuringOverload)
{
  constexpr double kLoad = 1.8;
  const double served = ScoreOf(kLoad, {});
  CHECK_TRUE(served > 0.66);
  CHECK_TRUE(ScoreOf(kLoad, { .placement_ = { .waitPenaltyShare_ = 0 } }) <
             served - 0.05);
  CHECK_TRUE(ScoreOf(kLoad, { .hold_ = { .missedObjectiveFactor_ = 1 } }) <
             served);
  CHECK_TRUE(ScoreOf(kLoad, { .defers_ = false }) < served);
}

// Guards against hosts with delayed load data choosing the same few engines
// while all others are idle.
TEST(FleetPlacementTest, SpreadsRequestsWhereMostEnginesAreIdle)
{
  bench::PassSite site = bench::SiteByName("notes-fleet");
  site.hosts_ = 200;
  site.engines_ = 300;
  site.seconds_ = 8;
  for (bench::PassClass& kind : site.classes_) {
    kind.perSecond_ *= 0.3;
  }
  const auto score = [&site](bench::PassOptions aOptions) {
    aOptions.snapshotInterval_ = 700ms;
    aOptions.aggregateInterval_ = 200ms;
    aOptions.remoteLoad_ = bench::PassRemoteLoad::kAggregates;
    return ScoreOf(site, aOptions, 2);
  };
  const double spread = score({});
  CHECK_TRUE(spread > 0.99);
  CHECK_TRUE(score({ .placement_ = { .spareForShortShare_ = 0 } }) < spread);
}
