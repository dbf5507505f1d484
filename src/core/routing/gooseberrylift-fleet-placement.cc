#include "gooseberrylift/routing/gooseberrylift-fleet-placement.h"

#include <algorithm>

namespace gooseberrylift {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

microseconds Scaled(microseconds aTime, double aFactor)
{
  return microseconds(
    static_cast<std::int64_t>(static_cast<double>(aTime.count()) * aFactor));
}

// Those that were not tried and are not set aside; when there is none, those
// that were not tried; when there is none of these, all.
std::vector<const PlacementCandidate*> BestOf(
  const std::vector<PlacementCandidate>& aCandidates)
{
  std::vector<const PlacementCandidate*> best;
  int bestRank = 0;
  for (const PlacementCandidate& candidate : aCandidates) {
    const int rank = candidate.tried_ ? 1 : (candidate.setAside_ ? 2 : 3);
    if (rank > bestRank) {
      best.clear();
      bestRank = rank;
    }
    if (rank == bestRank) {
      best.push_back(&candidate);
    }
  }
  return best;
}

} // namespace

// One request as the choice sees it.
struct EnginePlacement::Task
{
  const EngineFigures& figures_;
  const PlacementRequest& request_;
  microseconds read_; // on one engine
  microseconds tightestGap_;
  bool isLong_;
  std::uint64_t memory_;
};

microseconds EnginePlacement::WaitAt(const EngineFigures& aFigures,
                                     const EndpointLoad& aLoad)
{
  const int writers = std::min(aLoad.running_, aFigures.slots_);
  const microseconds pass = aFigures.PassTime(writers, aLoad.memoryTokens_);
  // A request joins at the end of the pass under way: half of one on average.
  microseconds wait = aLoad.backlog_;
  if (writers > 0) {
    wait += pass / 2;
  }
  const int over = aLoad.running_ - aFigures.slots_ + 1;
  if (over > 0) {
    const double passes = static_cast<double>(aFigures.usualAnswerTokens_) /
                          std::max(aFigures.stride_, 1);
    // Requests end evenly spread over the time of one.
    wait += Scaled(pass, passes * over / std::max(aFigures.slots_, 1));
  }
  return wait;
}

// Those that bear only the shortest gaps are late when a pass, with what is
// read in it, takes longer than these.
microseconds EnginePlacement::HarmAt(const Task& aTask,
                                     const EndpointLoad& aLoad,
                                     microseconds aRead) const
{
  const microseconds pass =
    aTask.figures_.PassTime(aLoad.running_, aLoad.memoryTokens_);
  if (aLoad.tight_ == 0 || pass + aRead <= aTask.tightestGap_) {
    return microseconds(0);
  }
  return duration_cast<microseconds>(options_.harm_) * aLoad.tight_;
}

// Says whether an engine has room for a part of the request.
bool EnginePlacement::HasMemory(const Task& aTask,
                                const EndpointLoad& aLoad,
                                std::size_t aEngines) const
{
  if (aTask.figures_.memoryTokens_ == 0) {
    return true;
  }
  const double part =
    static_cast<double>(aTask.memory_) / static_cast<double>(aEngines);
  return static_cast<double>(aLoad.memoryTokens_) + part <=
         static_cast<double>(aTask.figures_.memoryTokens_) *
           options_.memoryShare_;
}

std::optional<PlacementChoice> EnginePlacement::Choose(
  const EngineFigures& aFigures,
  std::chrono::milliseconds aTightestGap,
  const std::vector<PlacementCandidate>& aCandidates,
  const PlacementRequest& aRequest) const
{
  const microseconds read = aFigures.ReadTime(aRequest.promptTokens_);
  const auto gap = duration_cast<microseconds>(aTightestGap);
  const Task task{ .figures_ = aFigures,
                   .request_ = aRequest,
                   .read_ = read,
                   .tightestGap_ = gap,
                   .isLong_ = read > Scaled(gap, options_.longRead_),
                   .memory_ = aRequest.promptTokens_ + aRequest.answerTokens_ };
  const std::vector<const PlacementCandidate*> candidates =
    BestOf(aCandidates);
  auto choice =
    task.isLong_ ? ChooseLong(task, candidates) : ChooseShort(task, candidates);
  if (choice) {
    choice->cost_.tight_ =
      aRequest.maxGap_.count() > 0 && aRequest.maxGap_ <= aTightestGap;
    choice->helperCost_.helping_ = true;
    choice->helperCost_.memoryTokens_ = choice->heldTokens_;
    choice->cost_.memoryTokens_ =
      task.memory_ - choice->heldTokens_ * choice->helpers_.size();
  }
  return choice;
}

std::optional<PlacementChoice> EnginePlacement::ChooseShort(
  const Task& aTask,
  const std::vector<const PlacementCandidate*>& aCandidates) const
{
  const EngineFigures& figures = aTask.figures_;
  const microseconds enough = Scaled(
    duration_cast<microseconds>(aTask.request_.objective_), options_.waitShare_);
  const PlacementCandidate* best = nullptr;
  microseconds bestFirst = microseconds::max();
  for (const PlacementCandidate* candidate : aCandidates) {
    const EndpointLoad& load = candidate->load_;
    if (!HasMemory(aTask, load, 1)) {
      continue;
    }
    const microseconds wait = WaitAt(figures, load);
    const microseconds first =
      wait + aTask.read_ +
      figures.PassTime(load.running_ + 1, load.memoryTokens_);
    const bool comfortable =
      load.running_ < figures.slots_ * options_.comfortable_;
    if (comfortable && wait <= enough) {
      best = candidate;
      bestFirst = first;
      break;
    }
    if (first < bestFirst) {
      best = candidate;
      bestFirst = first;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return PlacementChoice{ .endpoint_ = best->endpoint_,
                          .firstAnswer_ = bestFirst,
                          .cost_ = { .read_ = aTask.read_ } };
}

// An engine as one that might read a part.
struct EnginePlacement::Ranked
{
  const PlacementCandidate* candidate_;
  microseconds wait_;
  microseconds harm_;
};

// Gives the engines with room for the part of one holder, best reader first.
std::vector<EnginePlacement::Ranked> EnginePlacement::RankForPart(
  const Task& aTask,
  const std::vector<const PlacementCandidate*>& aCandidates,
  std::size_t aHolders,
  std::size_t aReaders) const
{
  const microseconds part = aTask.read_ / static_cast<std::int64_t>(aReaders);
  std::vector<Ranked> ranked;
  ranked.reserve(aCandidates.size());
  for (auto candidate = aCandidates.rbegin(); candidate != aCandidates.rend();
       ++candidate) {
    const EndpointLoad& load = (*candidate)->load_;
    if (HasMemory(aTask, load, aHolders)) {
      ranked.push_back({ .candidate_ = *candidate,
                         .wait_ = WaitAt(aTask.figures_, load),
                         .harm_ = HarmAt(aTask, load, part) });
    }
  }
  std::stable_sort(ranked.begin(),
                   ranked.end(),
                   [](const Ranked& aLeft, const Ranked& aRight) {
                     return aLeft.wait_ + aLeft.harm_ <
                            aRight.wait_ + aRight.harm_;
                   });
  return ranked;
}

std::optional<PlacementChoice> EnginePlacement::ChooseLong(
  const Task& aTask,
  const std::vector<const PlacementCandidate*>& aCandidates) const
{
  const EngineFigures& figures = aTask.figures_;
  const auto mostEngines =
    std::min<std::size_t>(static_cast<std::size_t>(options_.mostEngines_),
                          aCandidates.size());
  const microseconds target = Scaled(
    duration_cast<microseconds>(aTask.request_.objective_), options_.readShare_);
  const bool fitsOne = std::any_of(
    aCandidates.begin(), aCandidates.end(), [&](const auto* aCandidate) {
      return HasMemory(aTask, aCandidate->load_, 1);
    });
  std::vector<Ranked> best;
  microseconds bestValue = microseconds::max();
  for (std::size_t engines = 1; engines <= mostEngines; ++engines) {
    std::vector<Ranked> ranked =
      RankForPart(aTask, aCandidates, fitsOne ? 1 : engines, engines);
    if (ranked.size() < engines) {
      continue; // too few have room for parts of this size
    }
    ranked.resize(engines);
    microseconds wait(0);
    microseconds harm(0);
    for (const Ranked& one : ranked) {
      wait = std::max(wait, one.wait_);
      harm += one.harm_;
    }
    const microseconds value =
      wait + harm + aTask.read_ / static_cast<std::int64_t>(engines);
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
    aTask.read_ / static_cast<std::int64_t>(best.size());
  const EndpointLoad& load = best.front().candidate_->load_;
  PlacementChoice choice{ .endpoint_ = best.front().candidate_->endpoint_,
                          .cost_ = { .read_ = part },
                          .helperCost_ = { .read_ = part } };
  microseconds wait(0);
  for (const Ranked& one : best) {
    wait = std::max(wait, one.wait_);
    if (&one != &best.front()) {
      choice.helpers_.push_back(one.candidate_->endpoint_);
    }
  }
  if (!fitsOne) {
    choice.heldTokens_ = (aTask.memory_ + best.size() - 1) / best.size();
  }
  choice.firstAnswer_ =
    wait + part + figures.PassTime(load.running_ + 1, load.memoryTokens_);
  return choice;
}

std::optional<PlacementChoice> ServicePlacement::Choose(
  microseconds aUsual,
  const std::vector<PlacementCandidate>& aCandidates,
  const PlacementRequest& aRequest) const
{
  const PlacementCandidate* best = nullptr;
  double bestLoad = 0;
  for (const PlacementCandidate* candidate : BestOf(aCandidates)) {
    const int slots = std::max(candidate->endpoint_->slots_, 1);
    // A request under way in each slot is as much as the way to another zone
    // costs only for the fastest services; half a request decides.
    const double abroad =
      candidate->endpoint_->zone_ == aRequest.zone_ ? 0 : 0.5;
    const double load = (candidate->load_.running_ + abroad) / slots;
    if (best == nullptr || load < bestLoad) {
      best = candidate;
      bestLoad = load;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  const int slots = std::max(best->endpoint_->slots_, 1);
  const int over = std::max(best->load_.running_ - slots + 1, 0);
  return PlacementChoice{ .endpoint_ = best->endpoint_,
                          .firstAnswer_ =
                            aUsual + Scaled(aUsual, 1.0 * over / slots),
                          .cost_ = { .read_ = aUsual } };
}

} // namespace gooseberrylift
