// Simulates a deployment under load and prints the results per request class:
//
//   pass-bench --site notes --strategy placed --seeds 8

#include <cmath>
#include <cstdio>
#include <iostream>
#include <map>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "gooseberrylift-pass-bench.h"

namespace {

using namespace gooseberrylift;
using namespace gooseberrylift::bench;

void Add(PassResult& aSum, const PassResult& aOne)
{
  aSum.name_ = aOne.name_;
  aSum.asked_ += aOne.asked_;
  aSum.inTime_ += aOne.inTime_;
  aSum.late_ += aOne.late_;
  aSum.lateFirst_ += aOne.lateFirst_;
  aSum.lost_ += aOne.lost_;
  aSum.worth_ += aOne.worth_;
  aSum.maxWorth_ += aOne.maxWorth_;
  aSum.firstP50Ms_ += aOne.firstP50Ms_;
  aSum.firstP99Ms_ += aOne.firstP99Ms_;
  aSum.retries_ += aOne.retries_;
  aSum.refused_ += aOne.refused_;
  aSum.engineRejections_ += aOne.engineRejections_;
  aSum.failedReservations_ += aOne.failedReservations_;
  aSum.largestAsked_ += aOne.largestAsked_;
  aSum.largestServed_ += aOne.largestServed_;
}

nlohmann::json JsonOf(const PassResult& aResult, int aSeeds)
{
  return { { "name", aResult.name_ },
           { "asked", aResult.asked_ },
           { "in_time", aResult.inTime_ },
           { "late", aResult.late_ },
           { "lost", aResult.lost_ },
           { "worth", aResult.worth_ / aResult.maxWorth_ },
           { "first_p50_ms", aResult.firstP50Ms_ / aSeeds },
           { "first_p99_ms", aResult.firstP99Ms_ / aSeeds },
           { "repeats", aResult.retries_ },
           { "turned_away", aResult.engineRejections_ },
           { "no_memory", aResult.failedReservations_ },
           { "largest_served",
             1.0 * aResult.largestServed_ /
               std::max(aResult.largestAsked_, 1) } };
}

void Print(const std::vector<PassResult>& aSums, int aSeeds, bool aJson)
{
  double worth = 0;
  double owed = 0;
  for (const PassResult& sum : aSums) {
    worth += sum.worth_;
    owed += sum.maxWorth_;
    if (aJson) {
      std::cout << JsonOf(sum, aSeeds).dump() << std::endl;
      continue;
    }
    std::printf("%-8s asked %6d in time %5.1f%% late %5.1f%% (first %5.1f%%) "
                "lost %4.1f%% refused %d "
                "worth %.3f first p50 %6.0f p99 %6.0f ms repeats %d "
                "largest served %.1f%% turned away %d no memory %d\n",
                sum.name_.c_str(),
                sum.asked_,
                100.0 * sum.inTime_ / sum.asked_,
                100.0 * sum.late_ / sum.asked_,
                100.0 * sum.lateFirst_ / sum.asked_,
                100.0 * sum.lost_ / sum.asked_,
                sum.refused_,
                sum.worth_ / sum.maxWorth_,
                sum.firstP50Ms_ / aSeeds,
                sum.firstP99Ms_ / aSeeds,
                sum.retries_,
                100.0 * sum.largestServed_ / std::max(sum.largestAsked_, 1),
                sum.engineRejections_,
                sum.failedReservations_);
  }
  if (!aJson) {
    std::printf("all      worth %.3f\n", worth / owed);
  }
}

} // namespace

int main(int aCount, char** aArguments)
{
  CLI::App app("What callers get from placements, on virtual time");
  std::string site = "notes";
  int seeds = 4;
  int first = 1;
  double load = 1;
  bool json = false;
  int hosts = 0;
  int zones = 0;
  int engines = 0;
  PassOptions options;
  std::int64_t round = options.round_.count();
  std::int64_t harm = options.placement_.tightGapPenalty_.count();
  const std::map<std::string, PassStrategy> strategies = {
    { "placed", PassStrategy::kPlaced },
    { "least-outstanding", PassStrategy::kLeastOutstanding },
    { "round-robin", PassStrategy::kRoundRobin }
  };
  std::int64_t missed = options.placement_.missedObjectivePenalty_.count();
  std::int64_t holdWait = options.hold_.allowedWait_.count();
  std::int64_t harmOther = options.placement_.otherGapPenalty_.count();
  app.add_option(
    "--site",
    site,
    "notes, checks, contracts, contracts-large, notes-large, notes-fleet");
  app.add_option("--strategy", options.strategy_, "how requests are placed")
    ->transform(CLI::CheckedTransformer(strategies));
  app.add_option("--seeds", seeds, "how many loads");
  app.add_option("--first-seed", first, "of the loads");
  app.add_option("--load", load, "times the usual number of requests");
  app.add_option("--block", options.block_, "engines in a block");
  app.add_option("--round-ms", round, "between words of load");
  app.add_option("--partners", options.partners_, "hosts told a round");
  app.add_option(
    "--tells", options.announcesLong_, "tell long prompts at once");
  app.add_option(
    "--tells-short", options.announcesShort_, "the same of short ones");
  const std::map<std::string, PassRemoteLoad> fars = {
    { "all", PassRemoteLoad::kAll },
    { "sample", PassRemoteLoad::kSample },
    { "sums", PassRemoteLoad::kAggregates },
    { "none", PassRemoteLoad::kNone }
  };
  app
    .add_option(
      "--far", options.remoteLoad_, "how hosts hear of those of other zones")
    ->transform(CLI::CheckedTransformer(fars));
  std::int64_t betweenSums = options.aggregateInterval_.count();
  std::int64_t whole = options.snapshotInterval_.count();
  app.add_option("--sums-ms", betweenSums, "between two sums of a zone");
  app.add_option("--whole-ms", whole, "between whole words; 0: by rounds");
  app.add_option("--hosts", hosts, "in place of the site's");
  app.add_option("--zones", zones, "in place of the site's");
  app.add_option("--engines", engines, "in place of the site's");
  app.add_option("--harm-ms", harm, "weight of a request made late");
  app.add_option("--comfortable", options.placement_.targetOccupancy_);
  app.add_option("--wait-share", options.placement_.acceptableWaitShare_);
  app.add_option("--read-share", options.placement_.prefillTargetShare_);
  app.add_option("--most-engines", options.placement_.maxEngines_);
  app.add_option("--harm-other-ms", harmOther, "the same with longer gaps");
  app.add_option("--missed-ms", missed, "weight of a missed objective");
  app.add_option("--alike-share", options.placement_.tieMarginShare_);
  app.add_option("--useful-share", options.placement_.missThresholdShare_);
  app.add_option("--holds", options.holds_, "hold long prompts");
  app.add_option("--hold-wait-ms", holdWait, "allowed wait of a long one");
  app.add_option("--hold-latest", options.hold_.maxHoldShare_);
  app.add_option("--hold-least", options.hold_.minFactor_);
  app.add_option(
    "--hold-own-read", options.hold_.ownPrefillFactor_, "kept for its read");
  std::int64_t lastWait = options.hold_.finalAllowedWait_.count();
  app.add_option("--hold-last-wait-ms", lastWait, "allowed wait at the end");
  app.add_option("--hold-most", options.hold_.maxFactor_);
  app.add_option("--lane-spare", options.placement_.laneHeadroom_);
  app.add_option("--kept-for-long", options.placement_.reservedForLongShare_);
  app.add_option("--spare-for-short", options.placement_.spareForShortShare_);
  app.add_option("--spare-beyond", options.placement_.spareThresholdFactor_);
  app.add_option("--defers", options.defers_, "late ones go last");
  app.add_option("--knows-queues", options.knowsQueues_, "bear queues");
  app.add_option("--in-time-share", options.placement_.inTimeShare_);
  app.add_option("--long-read", options.placement_.longPrefillShare_);
  app.add_option("--held-harm", options.placement_.waitPenaltyShare_);
  app.add_option("--late-factor", options.hold_.missedObjectiveFactor_);
  const std::map<std::string, PassLimitMode> modes = {
    { "ignored", PassLimitMode::kIgnored },
    { "avoided", PassLimitMode::kAvoided },
    { "even-parts", PassLimitMode::kEvenParts },
    { "permits", PassLimitMode::kPermits }
  };
  app.add_option("--limited", options.limits_.engines_, "engines with a limit");
  app.add_option("--limit", options.limits_.perSecond_, "requests a second");
  app.add_option("--limit-mode", options.limits_.mode_, "how hosts keep to it")
    ->transform(CLI::CheckedTransformer(modes));
  std::int64_t wordDelay = 0;
  app.add_option(
    "--slow-every", options.slowdown_.every_, "every nth engine is slow");
  app.add_option("--slow-factor", options.slowdown_.factor_, "times as slow");
  app.add_option("--slow-from", options.slowdown_.fromSeconds_, "in seconds");
  app.add_option("--slow-to", options.slowdown_.toSeconds_, "in seconds");
  bool steady = false;
  app.add_flag("--steady", steady, "without the site's phases");
  app.add_option("--jitter", options.passJitter_, "of passes, relative");
  const std::map<std::string, PassPace> paces = {
    { "unknown", PassPace::kUnknown },
    { "observed", PassPace::kObserved },
    { "known", PassPace::kKnown }
  };
  app.add_option("--pace", options.pace_, "what hosts know of engines' pace")
    ->transform(CLI::CheckedTransformer(paces));
  app.add_flag("--bounded",
               options.bounded_,
               "engines run out of memory, queue and parts");
  app.add_option("--word-delay-ms", wordDelay, "mean over hosts");
  app.add_option("--word-loss", options.messageLoss_, "part of words lost");
  app.add_flag("--json", json, "a JSON object a line");
  CLI11_PARSE(app, aCount, aArguments);
  options.round_ = std::chrono::milliseconds(round);
  options.placement_.tightGapPenalty_ = std::chrono::milliseconds(harm);
  options.placement_.missedObjectivePenalty_ =
    std::chrono::milliseconds(missed);
  options.hold_.finalAllowedWait_ = std::chrono::milliseconds(lastWait);
  options.hold_.allowedWait_ = std::chrono::milliseconds(holdWait);
  options.placement_.otherGapPenalty_ = std::chrono::milliseconds(harmOther);
  options.aggregateInterval_ = std::chrono::milliseconds(betweenSums);
  options.messageDelay_ = std::chrono::milliseconds(wordDelay);
  options.snapshotInterval_ = std::chrono::milliseconds(whole);
  PassSite played = SiteByName(site);
  played.hosts_ = hosts > 0 ? hosts : played.hosts_;
  played.engines_ = engines > 0 ? engines : played.engines_;
  played.zones_ = zones > 0 ? zones : played.zones_;
  if (steady) {
    played.phases_.clear();
  }
  for (PassClass& kind : played.classes_) {
    kind.perSecond_ *= load;
  }
  std::vector<PassResult> sums(played.classes_.size());
  PassLimitCount limited;
  for (int seed = first; seed < first + seeds; ++seed) {
    options.seed_ = static_cast<std::uint64_t>(seed);
    PassLimitCount count;
    const std::vector<PassResult> results =
      SimulateSite(played, options, &count);
    limited.sent_ += count.sent_;
    limited.maxInWindow_ = std::max(limited.maxInWindow_, count.maxInWindow_);
    for (std::size_t kind = 0; kind < sums.size(); ++kind) {
      Add(sums[kind], results[kind]);
    }
  }
  Print(sums, seeds, json);
  if (options.limits_.engines_ > 0) {
    std::printf(
      "limited  sent %zu, most at one engine in 4 s %zu, allowed %.0f\n",
      limited.sent_ / static_cast<std::size_t>(seeds),
      limited.maxInWindow_,
      std::floor(1.5 * options.limits_.perSecond_ * 4 + 5));
  }
  return 0;
}
