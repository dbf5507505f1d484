#include "bench/gooseberrylift-pass-bench.h"
#include "gooseberrylift/limits/gooseberrylift-long-hold.h"
#include "gooseberrylift/limits/gooseberrylift-route-admission.h"
#include "gooseberrylift/routing/gooseberrylift-fleet-order.h"
#include "gooseberrylift/routing/gooseberrylift-fleet-placement.h"
#include "gooseberrylift/routing/gooseberrylift-urgency.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

EngineFigures Figures()
{
  return { .slots_ = 16,
           .memoryTokens_ = 450'000,
           .stepMs_ = 1,
           .readTokensPerMs_ = 250,
           .readPerMillionPairsMs_ = 0.1,
           .readTokensPerStep_ = 2048,
           .stride_ = 46,
           .usualAnswerTokens_ = 1500 };
}

constexpr ServiceGaps kGaps{ .shortest_ = 200ms, .next_ = 500ms };

} // namespace

TEST_GROUP(FleetPlacementTest)
{
  std::vector<ListedEndpoint> engines_;
  std::vector<PlacementCandidate> candidates_;
  EnginePlacement placement_{ EnginePlacement::Options{} };

  void Engines(int aCount)
  {
    for (int index = 0; index < aCount; ++index) {
      engines_.push_back({ .id_ = std::to_string(index), .slots_ = 16 });
    }
    for (const ListedEndpoint& engine : engines_) {
      candidates_.push_back({ .endpoint_ = &engine });
    }
  }

  static PlacementRequest Short()
  {
    return { .promptTokens_ = 5'000,
             .answerTokens_ = 1'500,
             .objective_ = 300ms,
             .maxGap_ = 200ms };
  }

  static PlacementRequest Long(std::uint64_t aTokens)
  {
    return { .promptTokens_ = aTokens,
             .answerTokens_ = 800,
             .objective_ = 3s,
             .maxGap_ = 800ms };
  }

  std::optional<PlacementChoice> Choose(const PlacementRequest& aRequest) const
  {
    return placement_.Choose(Figures(), kGaps, candidates_, aRequest);
  }
};

TEST(FleetPlacementTest, PredictsReadsByTokensAndPairs)
{
  // 100,000 tokens: 400 ms for themselves, 500 ms for 5,000 million pairs.
  LONGS_EQUAL(900'000, Figures().ReadTime(100'000).count());
  LONGS_EQUAL(225'000, Figures().ReadTime(100'000, 4).count());
  LONGS_EQUAL(46'000, Figures().PassTime(0, 0).count());
}

TEST(FleetPlacementTest, KeepsShortRequestsInTheirLaneAndLongOnesOut)
{
  Engines(8);
  candidates_[0].load_ = { .running_ = 4, .tight_ = 4 };
  STRCMP_EQUAL("0", Choose(Short())->endpoint_->id_.c_str());
  const auto choice = Choose(Long(200'000));
  CHECK_TRUE(choice->long_);
  CHECK_TRUE(choice->endpoint_->id_ != "0");
  for (const ListedEndpoint* helper : choice->helpers_) {
    CHECK_TRUE(helper->id_ != "0");
  }
}

TEST(FleetPlacementTest, WidensTheLaneWithTheNumberOfShortRequests)
{
  Engines(8);
  for (int index = 0; index < 3; ++index) {
    candidates_[static_cast<std::size_t>(index)].load_ = { .running_ = 15,
                                                           .tight_ = 15 };
  }
  // Three full engines: the fourth joins the lane.
  STRCMP_EQUAL("3", Choose(Short())->endpoint_->id_.c_str());
}

// All slots are taken and two requests wait at each engine: the next one is
// late wherever it goes. It is counted behind those that wait, and the one
// after it is not.
TEST(FleetPlacementTest, DefersAShortRequestThatIsLateWhereverItGoes)
{
  Engines(2);
  CHECK_FALSE(Choose(Short())->deferred_);
  for (PlacementCandidate& candidate : candidates_) {
    candidate.load_ = { .running_ = 20, .tight_ = 20 };
  }
  const auto late = Choose(Short());
  CHECK_TRUE(late->deferred_);
  CHECK_TRUE(late->cost_.deferred_);
  CHECK_TRUE(late->firstAnswer_ > 300ms);
  for (PlacementCandidate& candidate : candidates_) {
    candidate.load_.deferred_ = 5;
  }
  const auto inTime = Choose(Short());
  CHECK_FALSE(inTime->deferred_);
  CHECK_TRUE(inTime->firstAnswer_ < late->firstAnswer_);
}

TEST(FleetPlacementTest, CountsTheHarmToShortRequestsAsAWaitOfALongOne)
{
  Engines(1);
  const auto alone = Choose(Long(200'000))->wait_;
  candidates_[0].load_ = { .running_ = 10, .tight_ = 10 };
  CHECK_TRUE(Choose(Long(200'000))->wait_ > alone + 200ms);
}

TEST(FleetPlacementTest, StarvesNoLimitedEngineOutsideTheShortLane)
{
  Engines(20);
  candidates_[13].limited_ = true;
  for (std::uint64_t draw = 0; draw < 10; ++draw) {
    PlacementRequest request = Short();
    request.draw_ = draw;
    const auto choice =
      placement_.Choose(Figures(), kGaps, candidates_, request);
    STRCMP_EQUAL("13", choice->endpoint_->id_.c_str());
  }
}

TEST(FleetPlacementTest, MakesNoShortRequestLateForAPermit)
{
  Engines(20);
  candidates_[13].limited_ = true;
  candidates_[13].load_.backlog_ = 2s;
  const auto choice = placement_.Choose(Figures(), kGaps, candidates_, Short());
  STRCMP_EQUAL("0", choice->endpoint_->id_.c_str());
}

TEST(FleetPlacementTest, ReadsNoPartOfALongPromptAtLimitedEngines)
{
  Engines(6);
  for (const std::size_t limited : { 0U, 2U, 5U }) {
    candidates_[limited].limited_ = true;
  }
  const auto choice =
    placement_.Choose(Figures(), kGaps, candidates_, Long(200'000));
  CHECK_TRUE(choice->helpers_.size() <= 2);
  for (const ListedEndpoint* helper : choice->helpers_) {
    CHECK_TRUE(helper->id_ == "1" || helper->id_ == "3" || helper->id_ == "4");
  }
  for (PlacementCandidate& candidate : candidates_) {
    candidate.limited_ = true;
  }
  const auto alone =
    placement_.Choose(Figures(), kGaps, candidates_, Long(200'000));
  LONGS_EQUAL(0, alone->helpers_.size());
}

TEST_GROUP(UrgencyTest){};

TEST(UrgencyTest, PutsDeferredRequestsBehindAllOthers)
{
  LONGS_EQUAL(0, UrgencyOf(0, false));
  LONGS_EQUAL(2, UrgencyOf(2, false));
  CHECK_TRUE(UrgencyOf(0, true) > UrgencyOf(99, false));
  LONGS_EQUAL(9, UrgencyOf(99, true));
  LONGS_EQUAL(0, UrgencyOf(-1, false));
}

TEST(FleetPlacementTest, SpreadsALongPromptOverIdleEngines)
{
  Engines(8);
  const auto choice = Choose(Long(200'000));
  CHECK_TRUE(choice->helpers_.size() >= 3);
  CHECK_TRUE(choice->firstAnswer_ < Figures().ReadTime(200'000) / 3);
  LONGS_EQUAL(0, choice->heldTokens_);
}

TEST(FleetPlacementTest, SetsMemoryAsideOnlyForPromptsBeyondOneEngine)
{
  Engines(8);
  const auto choice = Choose(Long(800'000));
  CHECK_TRUE(choice->heldTokens_ > 0);
  const auto holders = choice->helpers_.size() + 1;
  CHECK_TRUE(choice->heldTokens_ * holders >= 800'800);
  CHECK_TRUE(choice->cost_.memoryTokens_ <= 405'000);
}

TEST(FleetPlacementTest, TakesTheShortLanesEnginesForAPromptThatNeedsThem)
{
  Engines(3);
  const auto choice = Choose(Long(1'000'000));
  LONGS_EQUAL(2, choice->helpers_.size());
}

TEST(FleetPlacementTest, GivesNothingWhenNoEnginesTogetherHaveRoom)
{
  Engines(2);
  CHECK_FALSE(Choose(Long(1'000'000)).has_value());
}

TEST(FleetPlacementTest, TakesAnEngineThatIsSetAsideOnlyWhenThereIsNoOther)
{
  Engines(2);
  candidates_[0].setAside_ = true;
  STRCMP_EQUAL("1", Choose(Short())->endpoint_->id_.c_str());
  candidates_[1].tried_ = true;
  STRCMP_EQUAL("0", Choose(Short())->endpoint_->id_.c_str());
}

TEST(FleetPlacementTest, StandsEnginesInTheSameBlocksForAllHosts)
{
  Engines(8);
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
  HoldQuestion question_{ .wait_ = 900ms,
                          .read_ = 3s,
                          .waited_ = 0ms,
                          .remaining_ = 15s,
                          .patience_ = 12s };

  HoldVerdict Judged() const
  {
    return HoldLong(question_, HoldOptions{});
  }
};

TEST(LongHoldTest, SendsAShortReadWhereItHoldsALongOne)
{
  CHECK_TRUE(Judged() == HoldVerdict::kHold);
  question_.wait_ = 300ms;
  CHECK_TRUE(Judged() == HoldVerdict::kHold);
  question_.read_ = 300ms;
  CHECK_TRUE(Judged() == HoldVerdict::kSend);
}

TEST(LongHoldTest, LetsPromptsGoFirstThatCanBeInTime)
{
  question_.wait_ = 150ms;
  question_.read_ = 1s;
  question_.part_ = 500ms;
  question_.objective_ = 3s;
  CHECK_TRUE(Judged() == HoldVerdict::kSend);
  question_.waited_ = 2'600ms;
  CHECK_TRUE(Judged() == HoldVerdict::kHold);
}

// A host that has just started hears of the others a moment later.
TEST(LongHoldTest, WaitsAMomentForTheWordOfOtherHosts)
{
  question_.wait_ = 0ms;
  question_.objective_ = 3s;
  CHECK_TRUE(Judged() == HoldVerdict::kSend);
  question_.blind_ = true;
  CHECK_TRUE(Judged() == HoldVerdict::kHold);
  question_.waited_ = 700ms; // it hears nothing: it may be cut off from them
  CHECK_TRUE(Judged() == HoldVerdict::kSend);
}

TEST(LongHoldTest, SendsAPromptBeforeItsCallerLeaves)
{
  question_.waited_ = 11s;
  question_.remaining_ = 4s;
  question_.wait_ = 140ms;
  CHECK_TRUE(Judged() == HoldVerdict::kSend);
}

// What a caller with one of the largest prompts gets in a burst: an answer at a
// time at which it can still return. The order: its engines stay full; it is
// held for as long as its own read leaves; then it is given up, and not sent to
// where a hundred others would be late by it.
TEST(LongHoldTest, GivesALargePromptUpWhileItsCallerCanStillReturn)
{
  question_.read_ = 27s;
  question_.part_ = 1'700ms;
  question_.waited_ = 9s;
  question_.remaining_ = 6s;
  CHECK_TRUE(Judged() == HoldVerdict::kHold);
  question_.waited_ = 9'200ms;
  question_.remaining_ = 5'800ms;
  CHECK_TRUE(Judged() == HoldVerdict::kGiveUp);
  CHECK_TRUE(LatestReturnOf(question_.remaining_) > 1'900ms);
}

TEST_GROUP(RouteAdmissionTest){};

// A prompt waited for its engines until its caller is about to leave.
TEST(RouteAdmissionTest, RefusesWhatWasHeldForTooLongToBeInTime)
{
  AdmissionQuestion question{
    .predicted_ = 3s, .remaining_ = 6s, .patience_ = 12s, .held_ = 8s
  };
  CHECK_FALSE(RefuseFor(question).has_value());
  question.held_ = 10s;
  CHECK_TRUE(RefuseFor(question).has_value());
}

TEST(RouteAdmissionTest, RefusesAtOnceWhatCannotBeServedAndSaysWhenToReturn)
{
  AdmissionQuestion question{
    .predicted_ = 1s, .remaining_ = 10s, .patience_ = 2s, .draw_ = 12345
  };
  CHECK_FALSE(RefuseFor(question).has_value());
  question.predicted_ = 3s;
  const auto wait = RefuseFor(question);
  CHECK_TRUE(*wait >= 1'400ms && *wait < 2'800ms);
}

namespace {

double WorthOf(const bench::PassSite& aSite,
               bench::PassOptions aOptions,
               std::uint64_t aSeeds)
{
  double worth = 0;
  double owed = 0;
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    aOptions.seed_ = seed;
    for (const bench::PassResult& result : bench::PlayPasses(aSite, aOptions)) {
      worth += result.worth_;
      owed += result.owed_;
    }
  }
  return worth / owed;
}

double WorthOf(double aLoad, const bench::PassOptions& aOptions)
{
  bench::PassSite site = bench::SiteByName("checks");
  for (bench::PassClass& kind : site.classes_) {
    kind.perSecond_ *= aLoad;
  }
  return WorthOf(site, aOptions, 8);
}

} // namespace

// Plays ten seconds each of long and of short prompts over a fleet of 18
// engines behind nine hosts. What callers get, in worth of 1 (8 seeds): 0.94
// placed, 0.63 with the fewest outstanding, 0.55 in turn. The bounds leave room
// for the next change, not for a loss.
TEST(FleetPlacementTest, ServesBurstsBetterThanTheBaselines)
{
  const double placed = WorthOf(1, {});
  CHECK_TRUE(placed > 0.92);
  CHECK_TRUE(
    WorthOf(1, { .strategy_ = bench::PassStrategy::kLeastOutstanding }) <
    placed - 0.1);
  CHECK_TRUE(WorthOf(1, { .strategy_ = bench::PassStrategy::kRoundRobin }) <
             placed - 0.1);
}

// Sixty hosts in five zones before 40 engines: each hears at once of the
// requests of its own zone, and every 50 ms in a sum of those of the others.
// What callers get, in worth of 1 (2 seeds): 0.865 of the 0.879 that they get
// where all hear of all at once; 0.747 where each host takes the engine that
// looks best, which is the same one for all, and 0.494 where zones know nothing
// of each other.
TEST(FleetPlacementTest, ServesManyHostsThatHearOfEachOtherALittleLate)
{
  bench::PassSite site = bench::SiteByName("notes-large");
  site.hosts_ = 60;
  site.engines_ = 40;
  for (bench::PassClass& kind : site.classes_) {
    kind.perSecond_ *= 0.205;
  }
  const auto worth = [&site](bench::PassOptions aOptions) {
    aOptions.whole_ = 700ms;
    aOptions.sums_ = 50ms;
    return WorthOf(site, aOptions, 2);
  };
  const double sums = worth({ .far_ = bench::PassFar::kSums });
  CHECK_TRUE(sums > worth({ .far_ = bench::PassFar::kAll }) - 0.03);
  CHECK_TRUE(sums > worth({ .placement_ = { .alikeShare_ = 0 },
                            .far_ = bench::PassFar::kSums }) +
                      0.05);
  CHECK_TRUE(sums > worth({ .far_ = bench::PassFar::kNone }) + 0.2);
}

// The same at 1.8 times the load, which fills every slot in the bursts of short
// requests and all of the reading in those of long ones. In worth of 1 callers
// get 0.682; 0.600 when long prompts don't wait until the engines bear them,
// and 0.662 and 0.647 when long prompts at the host and short requests at the
// engine that are late don't let the others go first.
TEST(FleetPlacementTest, KeepsAnOverloadFromMakingEverybodyLate)
{
  constexpr double kLoad = 1.8;
  const double served = WorthOf(kLoad, {});
  CHECK_TRUE(served > 0.66);
  CHECK_TRUE(WorthOf(kLoad, { .placement_ = { .heldHarm_ = 0 } }) <
             served - 0.05);
  CHECK_TRUE(WorthOf(kLoad, { .hold_ = { .lateFactor_ = 1 } }) < served);
  CHECK_TRUE(WorthOf(kLoad, { .defers_ = false }) < served);
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
  const auto worth = [&site](bench::PassOptions aOptions) {
    aOptions.whole_ = 700ms;
    aOptions.sums_ = 200ms;
    aOptions.far_ = bench::PassFar::kSums;
    return WorthOf(site, aOptions, 2);
  };
  const double spread = worth({});
  CHECK_TRUE(spread > 0.99);
  CHECK_TRUE(worth({ .placement_ = { .spareForShort_ = 0 } }) < spread);
}
