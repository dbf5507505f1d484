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

// Moves limited engines to the front and returns their number.
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

// Returns how many leading engines contain the given number of engines that are
// not under pressure.
std::size_t CountWithPressed(
  const std::vector<const PlacementCandidate*>& aCandidates,
  std::size_t aUsable)
{
  std::size_t usable = 0;
  std::size_t count = 0;
  while (count < aCandidates.size() && usable < aUsable) {
    usable += aCandidates[count]->load_.pressure_ == 0 ? 1 : 0;
    ++count;
  }
  return count;
}

// An engine that decodes may delay a prompt by this much more than an idle one:
// about one pass.
constexpr std::chrono::milliseconds kDecodingWaitMargin{ 60 };

// An engine is free for a long prompt if it waits for less than this there and
// this share of the memory is not in use: about two passes.
constexpr std::chrono::milliseconds kFreeWait{ 120 };
constexpr double kFreeMemoryShare = 0.5;

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
  // Leading engines that take short requests: at most all, and at least one
  // unless there are none.
  std::size_t shortCount_ = 0;
  bool hasSpare_ = false; // spare engines extend the short lane
};

std::size_t EnginePlacement::EnginesNeeded(
  const EngineProfile& aProfile,
  const PlacementRequest& aRequest) const
{
  const auto most = static_cast<std::size_t>(options_.maxEngines_);
  const auto inParts = [](double aWhole, double aPart) {
    return aPart > 0 ? static_cast<std::size_t>(std::ceil(aWhole / aPart))
                     : std::size_t{ 1 };
  };
  const double tokens =
    static_cast<double>(aRequest.promptTokens_ + aRequest.answerTokens_);
  const std::size_t forMemory = inParts(
    tokens,
    static_cast<double>(aProfile.memoryTokens_) * options_.usableMemoryShare_);
  const std::size_t forTime = inParts(
    static_cast<double>(aProfile.PrefillTime(aRequest.promptTokens_).count()),
    static_cast<double>(
      duration_cast<microseconds>(aRequest.objective_).count()) /
      2);
  return std::clamp<std::size_t>(std::max(forMemory, forTime), 1, most);
}

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
    // Without a typical answer, waiting requests count as instant. Pressure
    // must count even then.
    const double minPasses = aLoad.pressure_ > 0 ? 1 : 0;
    const double passes =
      std::max(static_cast<double>(aProfile.typicalAnswerTokens_) /
                 std::max(aProfile.stepsPerPass_, 1),
               minPasses);
    // Assumes that the ends of running requests are spread evenly over the
    // duration of one request.
    wait += Scaled(pass, passes * excess / std::max(aProfile.slots_, 1));
  }
  return wait;
}

// Returns the penalty for the requests that decode at an engine. They are late
// if a pass, including all prefill in it, takes longer than their gap limit.
microseconds EnginePlacement::DelayPenalty(const Task& aTask,
                                           const EndpointLoad& aLoad,
                                           microseconds aPrefill) const
{
  const microseconds pass =
    aTask.profile_.PassTime(aLoad.running_, aLoad.memoryTokens_) + aPrefill;
  microseconds penalty(0);
  if (pass > aTask.shortestGap_) {
    penalty +=
      duration_cast<microseconds>(options_.tightGapPenalty_) * aLoad.tightGap_;
  }
  if (pass + aLoad.backlog_ > aTask.nextGap_) {
    penalty += duration_cast<microseconds>(options_.otherGapPenalty_) *
               (aLoad.running_ - aLoad.tightGap_);
  }
  return penalty;
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
  const auto candidates = PreferredCandidates(aCandidates);
  if (candidates.empty()) {
    return std::nullopt;
  }
  auto choice =
    task.isLong_ ? PlaceLong(task, candidates) : PlaceShort(task, candidates);
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

// Limited engines come in addition to the short lane: a permit is lost if it is
// not used, and only an answer shows that the limit has ended. The lane is
// sized for the load of all engines; where that is unknown, it is a share of
// the engines without a limit.
std::optional<PlacementChoice> EnginePlacement::PlaceShort(
  const Task& aTask,
  std::vector<const PlacementCandidate*> aCandidates) const
{
  std::size_t count = SplitLanes(aTask, aCandidates).shortCount_;
  const std::size_t limited = MoveLimitedFirst(aCandidates);
  if (aTask.request_.peerLoadUnknown_) {
    const std::vector<const PlacementCandidate*> unlimited(
      aCandidates.begin() + static_cast<std::ptrdiff_t>(limited),
      aCandidates.end());
    count = SplitLanes(aTask, unlimited).shortCount_;
  }
  return ChooseShort(
    aTask, aCandidates, std::min(limited + count, aCandidates.size()));
}

// Limited engines prefill no parts. One of them runs a prompt alone if there
// are no others.
std::optional<PlacementChoice> EnginePlacement::PlaceLong(
  const Task& aTask,
  const std::vector<const PlacementCandidate*>& aCandidates) const
{
  const auto unlimited = WithoutLimited(aCandidates);
  const auto& candidates = unlimited.empty() ? aCandidates : unlimited;
  const std::size_t maxEngines =
    unlimited.empty() ? 1 : static_cast<std::size_t>(options_.maxEngines_);
  auto choice =
    ChooseLong(aTask, candidates, SplitLanes(aTask, candidates), maxEngines);
  if (!choice) {
    // The prompt also needs the memory of engines in the short lane.
    choice = ChooseLong(aTask, candidates, {}, maxEngines);
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
    const auto count = std::max<std::size_t>(static_cast<std::size_t>(part), 1);
    return { .shortCount_ = std::min(count, all) };
  }
  int tight = 0;
  std::size_t longEngines = 0; // engines used by long prompts
  std::size_t pressed = 0;     // engines under pressure, which are no spare
  for (const PlacementCandidate* candidate : aCandidates) {
    const EndpointLoad& load = candidate->load_;
    tight += load.tightGap_;
    const int running = load.running_ - load.pressure_;
    longEngines +=
      running > load.tightGap_ || load.backlog_.count() > 0 ? 1 : 0;
    pressed += load.pressure_ > 0 ? 1 : 0;
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
  const double spare = std::max(static_cast<double>(all - pressed) - used, 0.0);
  const auto extra =
    static_cast<std::size_t>(spare * options_.spareForShortShare_);
  const std::size_t most =
    std::max<std::size_t>(all - std::min(reserved, all), 1);
  return { .shortCount_ = std::min(
             CountWithPressed(aCandidates,
                              std::clamp<std::size_t>(needed + extra, 1, most)),
             most),
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
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    const EndpointLoad& load = aCandidates[index]->load_;
    if (!HasMemory(aTask, load, 1)) {
      continue;
    }
    if (index >= aLaneSize && !shortCandidates.empty() &&
        bestFirst - aTask.prefill_ <= acceptableWait) {
      break; // an engine of the lane is fast enough
    }
    const microseconds first =
      PredictWait(profile, load, CountNotDeferred(load)) + aTask.prefill_ +
      profile.PassTime(load.running_ + 1, load.memoryTokens_);
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
  return PlacementChoice{ .endpoint_ = best->endpoint_,
                          .firstAnswer_ = bestFirst,
                          .deferred_ = late,
                          .cost_ = { .prefill_ = aTask.prefill_,
                                     .deferred_ = late } };
}

// An engine considered for prefilling a part of a prompt.
struct EnginePlacement::RankedEngine
{
  const PlacementCandidate* candidate_;
  microseconds wait_;
  microseconds penalty_;
  std::size_t order_; // of equals, the lowest is preferred
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
    [](const RankedEngine& aLeft, const RankedEngine& aRight) {
      return std::pair(aLeft.wait_ + aLeft.penalty_, aLeft.order_) <
             std::pair(aRight.wait_ + aRight.penalty_, aRight.order_);
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
  microseconds longest(0);
  for (const RankedEngine& one : aChosen) {
    longest = std::max(longest, one.wait_);
  }
  const PlacementCandidate* decoding = nullptr;
  for (const PlacementCandidate* candidate : aCandidates) {
    const EndpointLoad& load = candidate->load_;
    const bool eligible =
      load.running_ > 0 && load.tightGap_ == 0 &&
      load.running_ < aTask.profile_.slots_ && HasMemory(aTask, load, 1) &&
      DelayPenalty(aTask, load, aPart).count() == 0 &&
      PredictWait(aTask.profile_, load, CountNotDeferred(load)) <=
        longest + duration_cast<microseconds>(kDecodingWaitMargin);
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

// Returns the number of engines that could start to prefill a long prompt now.
std::size_t EnginePlacement::CountFree(
  const Task& aTask,
  const std::vector<RankedEngine>& aEngines)
{
  const double memory = static_cast<double>(aTask.profile_.memoryTokens_);
  return static_cast<std::size_t>(std::count_if(
    aEngines.begin(), aEngines.end(), [&](const RankedEngine& aEngine) {
      const EndpointLoad& load = aEngine.candidate_->load_;
      return aEngine.wait_ <= kFreeWait &&
             (memory == 0 || static_cast<double>(load.memoryTokens_) <=
                               memory * (1 - kFreeMemoryShare));
    }));
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
    microseconds wait(0);
    microseconds penalty(0);
    for (const RankedEngine& one : ranked) {
      wait = std::max(wait, one.wait_);
      penalty += one.penalty_;
    }
    const microseconds first =
      wait + aTask.prefill_ / static_cast<std::int64_t>(engines);
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
  microseconds wait(0);
  microseconds penalty(0);
  for (const RankedEngine& one : best) {
    wait = std::max(wait, one.wait_);
    penalty += one.penalty_;
    if (&one != &best.front()) {
      choice.helpers_.push_back(one.candidate_->endpoint_);
    }
  }
  if (!fitsOneEngine) {
    choice.reservedTokens_ =
      (aTask.totalTokens_ + best.size() - 1) / best.size();
  }
  choice.slowsDecoding_ = true;
  choice.freeEngines_ = CountFree(aTask, all);
  choice.wait_ = wait + Scaled(penalty, options_.waitPenaltyShare_);
  choice.firstAnswer_ =
    wait + part + profile.PassTime(load.running_ + 1, load.memoryTokens_);
  return choice;
}

} // namespace gooseberrylift
