#include "gooseberrylift/routing/gooseberrylift-fleet-placement.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "gooseberrylift-placement-candidates.h"

namespace gooseberrylift {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

// Returns the engines without a rate limit. A long prompt prefers these,
// because each of its parts is one request to the engine that prefills it.
std::vector<const PlacementCandidate*> WithoutLimited(
  const std::vector<const PlacementCandidate*>& aCandidates)
{
  std::vector<const PlacementCandidate*> unlimited;
  std::copy_if(
    aCandidates.begin(),
    aCandidates.end(),
    std::back_inserter(unlimited),
    [](const PlacementCandidate* aCandidate) { return !aCandidate->limited_; });
  return unlimited;
}

// Moves limited engines to the front, into the short lane, and returns their
// number. A limited engine is a candidate for a single request, by a permit
// that is lost if it is not used; and only an answer shows that the limit has
// ended.
std::size_t MoveLimitedFirst(
  std::vector<const PlacementCandidate*>& aCandidates)
{
  const auto others = std::stable_partition(
    aCandidates.begin(),
    aCandidates.end(),
    [](const PlacementCandidate* aCandidate) { return aCandidate->limited_; });
  return static_cast<std::size_t>(others - aCandidates.begin());
}

// Returns the number of requests that precede a new one which is not deferred.
int CountNotDeferred(const EndpointLoad& aLoad)
{
  return aLoad.running_ - aLoad.deferred_;
}

// Returns the duration of work at an engine of which the usual duration is
// known.
microseconds AtPace(microseconds aTime, const EndpointLoad& aLoad)
{
  return aLoad.pace_ > 1 ? Scaled(aTime, aLoad.pace_) : aTime;
}

// An engine that decodes may delay a prompt by this much more than an idle one:
// about one pass.
constexpr std::chrono::milliseconds kDecodingWaitMargin{ 60 };

} // namespace

// A request to be placed, with the values derived from it.
struct EnginePlacement::Task
{
  const EngineProfile& profile_;
  const PlacementRequest& request_;
  microseconds prefill_; // prefill time on one engine
  microseconds shortestGap_;
  microseconds nextGap_;
  bool isLong_;
  std::uint64_t totalTokens_;
};

// How the engines, in the order shared by all hosts, are divided between short
// and long requests.
struct EnginePlacement::LaneSplit
{
  std::size_t shortCount_ = 0; // leading engines that take short requests
  bool hasSpare_ = false;      // spare engines extend the short lane
};

microseconds EnginePlacement::PredictWait(const EngineProfile& aProfile,
                                          const EndpointLoad& aLoad,
                                          int aQueuedAhead)
{
  const int decodingCount = std::min(aLoad.running_, aProfile.slots_);
  const microseconds pass =
    aProfile.PassTime(decodingCount, aLoad.memoryTokens_);
  // A request starts after the current pass, half of which remains on average.
  microseconds wait = aLoad.backlog_;
  if (decodingCount > 0) {
    wait += pass / 2;
  }
  const int excess = aQueuedAhead - aProfile.slots_ + 1;
  if (excess > 0) {
    const double passes = static_cast<double>(aProfile.typicalAnswerTokens_) /
                          std::max(aProfile.stepsPerPass_, 1);
    // Assumes that the ends of running requests are spread evenly over the
    // duration of one request.
    wait += Scaled(pass, passes * excess / std::max(aProfile.slots_, 1));
  }
  return AtPace(wait, aLoad);
}

// Returns the penalty for the requests that decode at an engine. They are late
// if a pass, including all prefill in it, takes longer than their gap limit.
microseconds EnginePlacement::DelayPenalty(const Task& aTask,
                                           const EndpointLoad& aLoad,
                                           microseconds aPrefill) const
{
  const microseconds pass = AtPace(
    aTask.profile_.PassTime(aLoad.running_, aLoad.memoryTokens_) + aPrefill,
    aLoad);
  microseconds penalty(0);
  if (pass > aTask.shortestGap_) {
    penalty +=
      duration_cast<microseconds>(options_.tightGapPenalty_) * aLoad.tightGap_;
  }
  if (pass + AtPace(aLoad.backlog_, aLoad) > aTask.nextGap_) {
    penalty += duration_cast<microseconds>(options_.otherGapPenalty_) *
               (aLoad.running_ - aLoad.tightGap_);
  }
  return penalty;
}

// Predicts the first answer of a prompt that engines of usual pace prefill in
// parts; the first of them answers.
NominalTime EnginePlacement::PredictNominalFirst(
  const Task& aTask,
  microseconds aPart,
  const std::vector<const PlacementCandidate*>& aEngines)
{
  const EndpointLoad& load = aEngines.front()->load_;
  if (load.running_ >= aTask.profile_.slots_) {
    return {};
  }
  const microseconds shortest =
    aPart + aTask.profile_.PassTime(load.running_ + 1, load.memoryTokens_);
  microseconds wait(0);
  for (const PlacementCandidate* engine : aEngines) {
    wait = std::max(wait, NominalGap(aTask.profile_, engine->load_).longest_);
  }
  return { .shortest_ = shortest, .longest_ = shortest + wait };
}

// Returns whether an engine has memory for an equal part of the request.
bool EnginePlacement::HasMemory(const Task& aTask,
                                const EndpointLoad& aLoad,
                                std::size_t aEngines) const
{
  if (aTask.profile_.memoryTokens_ == 0) {
    return true;
  }
  const double part =
    static_cast<double>(aTask.totalTokens_) / static_cast<double>(aEngines);
  return static_cast<double>(aLoad.memoryTokens_) + part <=
         static_cast<double>(aTask.profile_.memoryTokens_) *
           options_.usableMemoryShare_;
}

std::optional<PlacementChoice> EnginePlacement::Choose(
  const EngineProfile& aProfile,
  const ServiceGaps& aGaps,
  const std::vector<PlacementCandidate>& aCandidates,
  const PlacementRequest& aRequest) const
{
  const microseconds read = aProfile.PrefillTime(aRequest.promptTokens_);
  const auto gap = duration_cast<microseconds>(aGaps.shortest_);
  const Task task{ .profile_ = aProfile,
                   .request_ = aRequest,
                   .prefill_ = read,
                   .shortestGap_ = gap,
                   .nextGap_ = duration_cast<microseconds>(aGaps.next_),
                   .isLong_ = read > Scaled(gap, options_.longPrefillShare_),
                   .totalTokens_ =
                     aRequest.promptTokens_ + aRequest.answerTokens_ };
  std::vector<const PlacementCandidate*> candidates =
    PreferredCandidates(aCandidates);
  std::size_t maxEngines = static_cast<std::size_t>(options_.maxEngines_);
  if (task.isLong_) {
    const auto unlimited = WithoutLimited(candidates);
    if (unlimited.empty()) {
      maxEngines = 1;
    } else {
      candidates = unlimited;
    }
  }
  LaneSplit lanes = SplitLanes(task, candidates);
  if (!task.isLong_) {
    lanes.shortCount_ += MoveLimitedFirst(candidates);
  }
  auto choice = task.isLong_ ? ChooseLong(task, candidates, lanes, maxEngines)
                             : ChooseShort(task, candidates, lanes.shortCount_);
  if (!choice && task.isLong_) {
    // The prompt also needs the memory of engines in the short lane.
    choice = ChooseLong(task, candidates, {}, maxEngines);
  }
  if (choice) {
    choice->cost_.tightGap_ =
      aRequest.maxGap_.count() > 0 && aRequest.maxGap_ <= aGaps.shortest_;
    choice->helperCost_.isHelper_ = true;
    choice->helperCost_.memoryTokens_ = choice->reservedTokens_;
    choice->cost_.memoryTokens_ =
      task.totalTokens_ - choice->reservedTokens_ * choice->helpers_.size();
  }
  return choice;
}

EnginePlacement::LaneSplit EnginePlacement::SplitLanes(
  const Task& aTask,
  const std::vector<const PlacementCandidate*>& aCandidates) const
{
  const std::size_t all = aCandidates.size();
  if (aTask.request_.peerLoadUnknown_) {
    const double part =
      static_cast<double>(all) * options_.unknownLoadLaneShare_;
    return { .shortCount_ =
               std::max<std::size_t>(static_cast<std::size_t>(part), 1) };
  }
  int tight = 0;
  std::size_t longEngines = 0; // engines used by long prompts
  for (const PlacementCandidate* candidate : aCandidates) {
    const EndpointLoad& load = candidate->load_;
    tight += load.tightGap_;
    longEngines +=
      load.running_ > load.tightGap_ || load.backlog_.count() > 0 ? 1 : 0;
  }
  const double perEngine = aTask.profile_.slots_ * options_.targetOccupancy_;
  const auto needed = static_cast<std::size_t>(
    std::ceil((tight + options_.laneHeadroom_) / std::max(perEngine, 1.0)));
  const auto reserved = static_cast<std::size_t>(
    std::ceil(static_cast<double>(all) * options_.reservedForLongShare_));
  const auto oneLong = static_cast<std::size_t>(options_.maxEngines_);
  const double used =
    static_cast<double>(needed + std::max(longEngines, oneLong)) *
    options_.spareThresholdFactor_;
  const double spare = std::max(static_cast<double>(all) - used, 0.0);
  const auto extra =
    static_cast<std::size_t>(spare * options_.spareForShortShare_);
  const std::size_t most =
    std::max<std::size_t>(all - std::min(reserved, all), 1);
  return { .shortCount_ = std::clamp<std::size_t>(needed + extra, 1, most),
           .hasSpare_ = extra > 0 };
}

// An engine that could take a short request, and its predicted first answer.
struct EnginePlacement::ShortCandidate
{
  const PlacementCandidate* candidate_ = nullptr;
  microseconds first_; // predicted time until the first answer
};

std::optional<PlacementChoice> EnginePlacement::ChooseShort(
  const Task& aTask,
  const std::vector<const PlacementCandidate*>& aCandidates,
  std::size_t aLaneSize) const
{
  const EngineProfile& profile = aTask.profile_;
  const auto objective = duration_cast<microseconds>(aTask.request_.objective_);
  const microseconds acceptableWait =
    Scaled(objective, options_.acceptableWaitShare_);
  std::vector<ShortCandidate> shortCandidates;
  microseconds bestFirst = microseconds::max();
  // Without the load of other hosts, all hosts would start at the first engine.
  const std::size_t start =
    aTask.request_.peerLoadUnknown_ ? aTask.request_.draw_ % aLaneSize : 0;
  for (std::size_t number = 0; number < aCandidates.size(); ++number) {
    const std::size_t index =
      number < aLaneSize ? (start + number) % aLaneSize : number;
    const EndpointLoad& load = aCandidates[index]->load_;
    if (!HasMemory(aTask, load, 1)) {
      continue;
    }
    if (index >= aLaneSize && !shortCandidates.empty() &&
        bestFirst - aTask.prefill_ <= acceptableWait) {
      break; // an engine of the lane is fast enough
    }
    const microseconds first =
      PredictWait(profile, load, CountNotDeferred(load)) +
      AtPace(aTask.prefill_ +
               profile.PassTime(load.running_ + 1, load.memoryTokens_),
             load);
    shortCandidates.push_back(
      { .candidate_ = aCandidates[index], .first_ = first });
    bestFirst = std::min(bestFirst, first);
  }
  if (shortCandidates.empty()) {
    return std::nullopt;
  }
  const microseconds tieMargin = Scaled(objective, options_.tieMarginShare_);
  const double targetRequests = profile.slots_ * options_.targetOccupancy_;
  std::erase_if(shortCandidates, [&](const ShortCandidate& aShort) {
    const bool pastTarget = aShort.candidate_->load_.running_ > targetRequests;
    return aShort.first_ >
           bestFirst + (pastTarget ? microseconds(0) : tieMargin);
  });
  const bool permitted = std::any_of(
    shortCandidates.begin(),
    shortCandidates.end(),
    [](const ShortCandidate& aShort) { return aShort.candidate_->limited_; });
  if (permitted) {
    std::erase_if(shortCandidates, [](const ShortCandidate& aShort) {
      return !aShort.candidate_->limited_;
    });
  }
  const ShortCandidate& drawn =
    shortCandidates[aTask.request_.draw_ % shortCandidates.size()];
  const PlacementCandidate* best = drawn.candidate_;
  bestFirst = drawn.first_;
  const bool late = bestFirst > Scaled(objective, options_.inTimeShare_);
  if (late) {
    const EndpointLoad& load = best->load_;
    bestFirst += PredictWait(profile, load, load.running_) -
                 PredictWait(profile, load, CountNotDeferred(load));
  }
  return PlacementChoice{
    .endpoint_ = best->endpoint_,
    .firstAnswer_ = bestFirst,
    .nominalFirst_ = PredictNominalFirst(aTask, aTask.prefill_, { best }),
    .deferred_ = late,
    .cost_ = { .prefill_ = aTask.prefill_, .deferred_ = late }
  };
}

// An engine considered for prefilling a part of a prompt.
struct EnginePlacement::RankedEngine
{
  const PlacementCandidate* candidate_;
  microseconds wait_;
  microseconds penalty_;
  std::size_t order_; // of equals, the lowest is preferred

  // Returns when the engine has prefilled its part.
  microseconds FinishTime(microseconds aPart) const
  {
    return wait_ + AtPace(aPart, candidate_->load_);
  }
};

// Returns the best engines for prefilling the parts of a prompt, best first;
// fewer than requested if too few have memory. Each must have memory for one of
// aStoringEngines equal parts.
std::vector<EnginePlacement::RankedEngine>
EnginePlacement::SelectPrefillEngines(const Task& aTask,
                                      const std::vector<RankedEngine>& aEngines,
                                      std::size_t aStoringEngines,
                                      std::size_t aPrefillEngines) const
{
  const microseconds part =
    aTask.prefill_ / static_cast<std::int64_t>(aPrefillEngines);
  std::vector<RankedEngine> ranked;
  ranked.reserve(aEngines.size());
  for (const RankedEngine& engine : aEngines) {
    const EndpointLoad& load = engine.candidate_->load_;
    if (HasMemory(aTask, load, aStoringEngines)) {
      ranked.push_back(engine);
      ranked.back().penalty_ = DelayPenalty(aTask, load, part);
    }
  }
  const std::size_t selected = std::min(ranked.size(), aPrefillEngines);
  std::partial_sort(
    ranked.begin(),
    ranked.begin() + static_cast<std::ptrdiff_t>(selected),
    ranked.end(),
    [part](const RankedEngine& aLeft, const RankedEngine& aRight) {
      return std::pair(aLeft.FinishTime(part) + aLeft.penalty_, aLeft.order_) <
             std::pair(aRight.FinishTime(part) + aRight.penalty_,
                       aRight.order_);
    });
  ranked.resize(selected);
  return ranked;
}

// Moves an engine that already decodes, and tolerates the prefill of its own
// part, to the front of the selection, so that it runs the request; if it was
// not selected, it replaces the last one. The other engines then only prefill,
// in short steps because nothing decodes there: prefill and decoding are
// separated as far as there are engines for it.
void EnginePlacement::PreferDecodingEngine(
  const Task& aTask,
  const std::vector<const PlacementCandidate*>& aCandidates,
  microseconds aPart,
  std::vector<RankedEngine>& aChosen) const
{
  microseconds latest(0);
  for (const RankedEngine& one : aChosen) {
    latest = std::max(latest, one.FinishTime(aPart));
  }
  const PlacementCandidate* decoding = nullptr;
  for (const PlacementCandidate* candidate : aCandidates) {
    const EndpointLoad& load = candidate->load_;
    const bool eligible =
      load.running_ > 0 && load.tightGap_ == 0 &&
      load.running_ < aTask.profile_.slots_ && HasMemory(aTask, load, 1) &&
      DelayPenalty(aTask, load, aPart).count() == 0 &&
      PredictWait(aTask.profile_, load, CountNotDeferred(load)) +
          AtPace(aPart, load) <=
        latest + duration_cast<microseconds>(kDecodingWaitMargin);
    if (eligible &&
        (decoding == nullptr || load.running_ > decoding->load_.running_)) {
      decoding = candidate;
    }
  }
  if (decoding == nullptr) {
    return;
  }
  const auto found = std::find_if(
    aChosen.begin(), aChosen.end(), [decoding](const RankedEngine& aRanked) {
      return aRanked.candidate_ == decoding;
    });
  if (found == aChosen.end()) {
    aChosen.back() = { .candidate_ = decoding,
                       .wait_ = PredictWait(aTask.profile_,
                                            decoding->load_,
                                            CountNotDeferred(decoding->load_)),
                       .penalty_ = microseconds(0),
                       .order_ = 0 };
    std::rotate(aChosen.begin(), aChosen.end() - 1, aChosen.end());
    return;
  }
  std::rotate(aChosen.begin(), found, found + 1);
}

std::optional<PlacementChoice> EnginePlacement::ChooseLong(
  const Task& aTask,
  const std::vector<const PlacementCandidate*>& aCandidates,
  const LaneSplit& aLanes,
  std::size_t aMaxEngines) const
{
  const EngineProfile& profile = aTask.profile_;
  std::vector<const PlacementCandidate*> candidates(
    aCandidates.begin() +
      static_cast<std::ptrdiff_t>(
        aLanes.shortCount_ < aCandidates.size() ? aLanes.shortCount_ : 0),
    aCandidates.end());
  const std::size_t maxEngines = std::min(aMaxEngines, candidates.size());
  const microseconds target =
    Scaled(duration_cast<microseconds>(aTask.request_.objective_),
           options_.prefillTargetShare_);
  const microseconds missThreshold =
    Scaled(duration_cast<microseconds>(aTask.request_.objective_),
           options_.missThresholdShare_);
  const bool fitsOneEngine = std::any_of(
    candidates.begin(), candidates.end(), [&](const auto* aCandidate) {
      return HasMemory(aTask, aCandidate->load_, 1);
    });
  // Starts at the end of the order that is farthest from the short lane.
  std::vector<RankedEngine> all;
  all.reserve(candidates.size());
  // Keeps hosts with delayed load data from choosing the same idle engines.
  const std::size_t start =
    aLanes.hasSpare_ ? aTask.request_.draw_ % candidates.size() : 0;
  for (auto candidate = candidates.rbegin(); candidate != candidates.rend();
       ++candidate) {
    const EndpointLoad& load = (*candidate)->load_;
    all.push_back({ .candidate_ = *candidate,
                    .wait_ = PredictWait(profile, load, CountNotDeferred(load)),
                    .penalty_ = microseconds(0),
                    .order_ = (all.size() + start) % candidates.size() });
  }
  std::vector<RankedEngine> best;
  microseconds bestValue = microseconds::max();
  for (std::size_t engines = 1; engines <= maxEngines; ++engines) {
    std::vector<RankedEngine> ranked =
      SelectPrefillEngines(aTask, all, fitsOneEngine ? 1 : engines, engines);
    if (ranked.size() < engines) {
      continue; // too few engines have memory for parts of this size
    }
    const microseconds part =
      aTask.prefill_ / static_cast<std::int64_t>(engines);
    // The parts are equal in size, so the slowest engine decides.
    microseconds first(0);
    microseconds penalty(0);
    for (const RankedEngine& one : ranked) {
      first = std::max(first, one.FinishTime(part));
      penalty += one.penalty_;
    }
    microseconds value = first + penalty;
    if (first > missThreshold) {
      value += duration_cast<microseconds>(options_.missedObjectivePenalty_);
    }
    if (value < bestValue) {
      best = std::move(ranked);
      bestValue = value;
    }
    if (bestValue <= target) {
      break;
    }
  }
  if (best.empty()) {
    return std::nullopt;
  }
  const microseconds part =
    aTask.prefill_ / static_cast<std::int64_t>(best.size());
  if (fitsOneEngine) {
    PreferDecodingEngine(aTask, candidates, part, best);
  }
  const EndpointLoad& load = best.front().candidate_->load_;
  PlacementChoice choice{ .endpoint_ = best.front().candidate_->endpoint_,
                          .cost_ = { .prefill_ = part },
                          .helperCost_ = { .prefill_ = part } };
  microseconds prefilled(0);
  microseconds penalty(0);
  std::vector<const PlacementCandidate*> engines;
  engines.reserve(best.size());
  for (const RankedEngine& one : best) {
    engines.push_back(one.candidate_);
    prefilled = std::max(prefilled, one.FinishTime(part));
    penalty += one.penalty_;
    if (&one != &best.front()) {
      choice.helpers_.push_back(one.candidate_->endpoint_);
    }
  }
  if (!fitsOneEngine) {
    choice.reservedTokens_ =
      (aTask.totalTokens_ + best.size() - 1) / best.size();
  }
  choice.nominalFirst_ = PredictNominalFirst(aTask, part, engines);
  choice.slowsDecoding_ = true;
  // Includes the delay of its part by a slow engine.
  choice.wait_ = prefilled - part + Scaled(penalty, options_.waitPenaltyShare_);
  choice.firstAnswer_ =
    prefilled +
    AtPace(profile.PassTime(load.running_ + 1, load.memoryTokens_), load);
  return choice;
}

} // namespace gooseberrylift
