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

// Takes away limited engines while there are others: each part of a long prompt
// is a request to the engine that reads it.
std::vector<const PlacementCandidate*> UnlimitedOf(
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

// Puts limited engines before the others, into the short lane. Each of them is
// there for one request, by a permit that is lost when it is not used; and only
// an answer tells that its limit has ended.
std::size_t LimitedFirst(std::vector<const PlacementCandidate*>& aCandidates)
{
  const auto others = std::stable_partition(
    aCandidates.begin(),
    aCandidates.end(),
    [](const PlacementCandidate* aCandidate) { return aCandidate->limited_; });
  return static_cast<std::size_t>(others - aCandidates.begin());
}

// The requests that go before a new one which is not deferred.
int Urgent(const EndpointLoad& aLoad)
{
  return aLoad.running_ - aLoad.deferred_;
}

// An engine that writes may keep a request waiting for a pass or so more than
// an idle one.
constexpr std::chrono::milliseconds kWriterWait{ 60 };

} // namespace

// One request as the choice sees it.
struct EnginePlacement::Task
{
  const EngineFigures& figures_;
  const PlacementRequest& request_;
  microseconds read_; // on one engine
  microseconds shortestGap_;
  microseconds nextGap_;
  bool isLong_;
  std::uint64_t memory_;
};

// How the engines, in the order shared by all hosts, are divided between short
// and long requests.
struct EnginePlacement::Lanes
{
  std::size_t shortCount_ = 0; // leading engines for short requests
  bool hasSpare_ = false;      // spare engines extend the short lane
};

microseconds EnginePlacement::WaitAt(const EngineFigures& aFigures,
                                     const EndpointLoad& aLoad,
                                     int aAhead)
{
  const int writers = std::min(aLoad.running_, aFigures.slots_);
  const microseconds pass = aFigures.PassTime(writers, aLoad.memoryTokens_);
  // A request joins at the end of the pass under way: half of one on average.
  microseconds wait = aLoad.backlog_;
  if (writers > 0) {
    wait += pass / 2;
  }
  const int over = aAhead - aFigures.slots_ + 1;
  if (over > 0) {
    const double passes = static_cast<double>(aFigures.usualAnswerTokens_) /
                          std::max(aFigures.stride_, 1);
    // Requests end evenly spread over the time of one.
    wait += Scaled(pass, passes * over / std::max(aFigures.slots_, 1));
  }
  return wait;
}

// Those that write at an engine are late when a pass, with all that is read in
// it, takes longer than the gap that they bear.
microseconds EnginePlacement::HarmAt(const Task& aTask,
                                     const EndpointLoad& aLoad,
                                     microseconds aRead) const
{
  const microseconds pass =
    aTask.figures_.PassTime(aLoad.running_, aLoad.memoryTokens_) + aRead;
  microseconds harm(0);
  if (pass > aTask.shortestGap_) {
    harm += duration_cast<microseconds>(options_.harm_) * aLoad.tight_;
  }
  if (pass + aLoad.backlog_ > aTask.nextGap_) {
    harm += duration_cast<microseconds>(options_.harmOther_) *
            (aLoad.running_ - aLoad.tight_);
  }
  return harm;
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
  const ServiceGaps& aGaps,
  const std::vector<PlacementCandidate>& aCandidates,
  const PlacementRequest& aRequest) const
{
  const microseconds read = aFigures.ReadTime(aRequest.promptTokens_);
  const auto gap = duration_cast<microseconds>(aGaps.shortest_);
  const Task task{ .figures_ = aFigures,
                   .request_ = aRequest,
                   .read_ = read,
                   .shortestGap_ = gap,
                   .nextGap_ = duration_cast<microseconds>(aGaps.next_),
                   .isLong_ = read > Scaled(gap, options_.longRead_),
                   .memory_ = aRequest.promptTokens_ + aRequest.answerTokens_ };
  std::vector<const PlacementCandidate*> candidates = BestOf(aCandidates);
  std::size_t mostEngines = static_cast<std::size_t>(options_.mostEngines_);
  if (task.isLong_) {
    const auto unlimited = UnlimitedOf(candidates);
    if (unlimited.empty()) {
      mostEngines = 1;
    } else {
      candidates = unlimited;
    }
  }
  Lanes lanes = LanesOf(task, candidates);
  if (!task.isLong_) {
    lanes.shortCount_ += LimitedFirst(candidates);
  }
  auto choice = task.isLong_ ? ChooseLong(task, candidates, lanes, mostEngines)
                             : ChooseShort(task, candidates, lanes.shortCount_);
  if (!choice && task.isLong_) {
    // A prompt that needs the memory of the short lane's engines as well.
    choice = ChooseLong(task, candidates, {}, mostEngines);
  }
  if (choice) {
    choice->cost_.tight_ =
      aRequest.maxGap_.count() > 0 && aRequest.maxGap_ <= aGaps.shortest_;
    choice->helperCost_.helping_ = true;
    choice->helperCost_.memoryTokens_ = choice->heldTokens_;
    choice->cost_.memoryTokens_ =
      task.memory_ - choice->heldTokens_ * choice->helpers_.size();
  }
  return choice;
}

EnginePlacement::Lanes EnginePlacement::LanesOf(
  const Task& aTask,
  const std::vector<const PlacementCandidate*>& aCandidates) const
{
  const std::size_t all = aCandidates.size();
  if (aTask.request_.blind_) {
    const double part = static_cast<double>(all) * options_.blindLane_;
    return { .shortCount_ =
               std::max<std::size_t>(static_cast<std::size_t>(part), 1) };
  }
  int tight = 0;
  std::size_t longBusy = 0; // engines in use by long prompts
  for (const PlacementCandidate* candidate : aCandidates) {
    const EndpointLoad& load = candidate->load_;
    tight += load.tight_;
    longBusy +=
      load.running_ > load.tight_ || load.backlog_.count() > 0 ? 1 : 0;
  }
  const double perEngine = aTask.figures_.slots_ * options_.comfortable_;
  const auto needed = static_cast<std::size_t>(
    std::ceil((tight + options_.laneSpare_) / std::max(perEngine, 1.0)));
  const auto kept = static_cast<std::size_t>(
    std::ceil(static_cast<double>(all) * options_.keptForLong_));
  const auto oneLong = static_cast<std::size_t>(options_.mostEngines_);
  const double used =
    static_cast<double>(needed + std::max(longBusy, oneLong)) *
    options_.spareBeyond_;
  const double spare = std::max(static_cast<double>(all) - used, 0.0);
  const auto extra = static_cast<std::size_t>(spare * options_.spareForShort_);
  const std::size_t most = std::max<std::size_t>(all - std::min(kept, all), 1);
  return { .shortCount_ = std::clamp<std::size_t>(needed + extra, 1, most),
           .hasSpare_ = extra > 0 };
}

// An engine that would take a short request.
struct EnginePlacement::Fit
{
  const PlacementCandidate* candidate_ = nullptr;
  microseconds first_; // until its first answer
};

std::optional<PlacementChoice> EnginePlacement::ChooseShort(
  const Task& aTask,
  const std::vector<const PlacementCandidate*>& aCandidates,
  std::size_t aLane) const
{
  const EngineFigures& figures = aTask.figures_;
  const auto objective = duration_cast<microseconds>(aTask.request_.objective_);
  const microseconds enough = Scaled(objective, options_.waitShare_);
  std::vector<Fit> fits;
  microseconds bestFirst = microseconds::max();
  // Blind hosts would all begin with the first engine.
  const std::size_t start =
    aTask.request_.blind_ ? aTask.request_.draw_ % aLane : 0;
  for (std::size_t number = 0; number < aCandidates.size(); ++number) {
    const std::size_t index =
      number < aLane ? (start + number) % aLane : number;
    const EndpointLoad& load = aCandidates[index]->load_;
    if (!HasMemory(aTask, load, 1)) {
      continue;
    }
    if (index >= aLane && !fits.empty() && bestFirst - aTask.read_ <= enough) {
      break; // the lane will do
    }
    const microseconds first =
      WaitAt(figures, load, Urgent(load)) + aTask.read_ +
      figures.PassTime(load.running_ + 1, load.memoryTokens_);
    fits.push_back({ .candidate_ = aCandidates[index], .first_ = first });
    bestFirst = std::min(bestFirst, first);
  }
  if (fits.empty()) {
    return std::nullopt;
  }
  const microseconds alike = Scaled(objective, options_.alikeShare_);
  const double comfortable = figures.slots_ * options_.comfortable_;
  std::erase_if(fits, [&](const Fit& aFit) {
    const bool full = aFit.candidate_->load_.running_ > comfortable;
    return aFit.first_ > bestFirst + (full ? microseconds(0) : alike);
  });
  const bool permitted =
    std::any_of(fits.begin(), fits.end(), [](const Fit& aFit) {
      return aFit.candidate_->limited_;
    });
  if (permitted) {
    std::erase_if(fits,
                  [](const Fit& aFit) { return !aFit.candidate_->limited_; });
  }
  const Fit& drawn = fits[aTask.request_.draw_ % fits.size()];
  const PlacementCandidate* best = drawn.candidate_;
  bestFirst = drawn.first_;
  const bool late = bestFirst > Scaled(objective, options_.inTimeShare_);
  if (late) {
    const EndpointLoad& load = best->load_;
    bestFirst += WaitAt(figures, load, load.running_) -
                 WaitAt(figures, load, Urgent(load));
  }
  return PlacementChoice{ .endpoint_ = best->endpoint_,
                          .firstAnswer_ = bestFirst,
                          .deferred_ = late,
                          .cost_ = { .read_ = aTask.read_,
                                     .deferred_ = late } };
}

// An engine as one that might read a part.
struct EnginePlacement::Ranked
{
  const PlacementCandidate* candidate_;
  microseconds wait_;
  microseconds harm_;
  std::size_t number_; // in the order of the choice, of equals the first counts
};

// Gives the best readers for the parts of a prompt, best first; fewer than are
// wanted where too few have room. Each of the aHolders holds a part of it.
std::vector<EnginePlacement::Ranked> EnginePlacement::BestReaders(
  const Task& aTask,
  const std::vector<Ranked>& aEngines,
  std::size_t aHolders,
  std::size_t aReaders) const
{
  const microseconds part = aTask.read_ / static_cast<std::int64_t>(aReaders);
  std::vector<Ranked> ranked;
  ranked.reserve(aEngines.size());
  for (const Ranked& engine : aEngines) {
    const EndpointLoad& load = engine.candidate_->load_;
    if (HasMemory(aTask, load, aHolders)) {
      ranked.push_back(engine);
      ranked.back().harm_ = HarmAt(aTask, load, part);
    }
  }
  const std::size_t readers = std::min(ranked.size(), aReaders);
  std::partial_sort(
    ranked.begin(),
    ranked.begin() + static_cast<std::ptrdiff_t>(readers),
    ranked.end(),
    [](const Ranked& aLeft, const Ranked& aRight) {
      return std::pair(aLeft.wait_ + aLeft.harm_, aLeft.number_) <
             std::pair(aRight.wait_ + aRight.harm_, aRight.number_);
    });
  ranked.resize(readers);
  return ranked;
}

// Lets an engine that writes already, and bears the part that it reads itself,
// take the request, in place of the last of the chosen ones. The others then
// only read, in short steps, because nobody writes there: reading and writing
// are kept apart as far as there are engines for it.
void EnginePlacement::PreferWriter(
  const Task& aTask,
  const std::vector<const PlacementCandidate*>& aCandidates,
  microseconds aPart,
  std::vector<Ranked>& aChosen) const
{
  microseconds longest(0);
  for (const Ranked& one : aChosen) {
    longest = std::max(longest, one.wait_);
  }
  const PlacementCandidate* writer = nullptr;
  for (const PlacementCandidate* candidate : aCandidates) {
    const EndpointLoad& load = candidate->load_;
    const bool fits = load.running_ > 0 && load.tight_ == 0 &&
                      load.running_ < aTask.figures_.slots_ &&
                      HasMemory(aTask, load, 1) &&
                      HarmAt(aTask, load, aPart).count() == 0 &&
                      WaitAt(aTask.figures_, load, Urgent(load)) <=
                        longest + duration_cast<microseconds>(kWriterWait);
    if (fits && (writer == nullptr || load.running_ > writer->load_.running_)) {
      writer = candidate;
    }
  }
  if (writer == nullptr) {
    return;
  }
  const auto found = std::find_if(
    aChosen.begin(), aChosen.end(), [writer](const Ranked& aRanked) {
      return aRanked.candidate_ == writer;
    });
  if (found == aChosen.end()) {
    aChosen.back() = { .candidate_ = writer,
                       .wait_ = WaitAt(
                         aTask.figures_, writer->load_, Urgent(writer->load_)),
                       .harm_ = microseconds(0),
                       .number_ = 0 };
    std::rotate(aChosen.begin(), aChosen.end() - 1, aChosen.end());
    return;
  }
  std::rotate(aChosen.begin(), found, found + 1);
}

std::optional<PlacementChoice> EnginePlacement::ChooseLong(
  const Task& aTask,
  const std::vector<const PlacementCandidate*>& aAll,
  const Lanes& aLanes,
  std::size_t aMostEngines) const
{
  const EngineFigures& figures = aTask.figures_;
  std::vector<const PlacementCandidate*> aCandidates(
    aAll.begin() + static_cast<std::ptrdiff_t>(
                     aLanes.shortCount_ < aAll.size() ? aLanes.shortCount_ : 0),
    aAll.end());
  const std::size_t mostEngines = std::min(aMostEngines, aCandidates.size());
  const microseconds target =
    Scaled(duration_cast<microseconds>(aTask.request_.objective_),
           options_.readShare_);
  const microseconds useful =
    Scaled(duration_cast<microseconds>(aTask.request_.objective_),
           options_.usefulShare_);
  const bool fitsOne = std::any_of(
    aCandidates.begin(), aCandidates.end(), [&](const auto* aCandidate) {
      return HasMemory(aTask, aCandidate->load_, 1);
    });
  // From the end of the order that is farthest from the short lane.
  std::vector<Ranked> all;
  all.reserve(aCandidates.size());
  // Keeps hosts with delayed load data from choosing the same idle engines.
  const std::size_t start =
    aLanes.hasSpare_ ? aTask.request_.draw_ % aCandidates.size() : 0;
  for (auto candidate = aCandidates.rbegin(); candidate != aCandidates.rend();
       ++candidate) {
    const EndpointLoad& load = (*candidate)->load_;
    all.push_back({ .candidate_ = *candidate,
                    .wait_ = WaitAt(figures, load, Urgent(load)),
                    .harm_ = microseconds(0),
                    .number_ = (all.size() + start) % aCandidates.size() });
  }
  std::vector<Ranked> best;
  microseconds bestValue = microseconds::max();
  for (std::size_t engines = 1; engines <= mostEngines; ++engines) {
    std::vector<Ranked> ranked =
      BestReaders(aTask, all, fitsOne ? 1 : engines, engines);
    if (ranked.size() < engines) {
      continue; // too few have room for parts of this size
    }
    microseconds wait(0);
    microseconds harm(0);
    for (const Ranked& one : ranked) {
      wait = std::max(wait, one.wait_);
      harm += one.harm_;
    }
    const microseconds first =
      wait + aTask.read_ / static_cast<std::int64_t>(engines);
    microseconds value = first + harm;
    if (first > useful) {
      value += duration_cast<microseconds>(options_.missed_);
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
    aTask.read_ / static_cast<std::int64_t>(best.size());
  if (fitsOne) {
    PreferWriter(aTask, aCandidates, part, best);
  }
  const EndpointLoad& load = best.front().candidate_->load_;
  PlacementChoice choice{ .endpoint_ = best.front().candidate_->endpoint_,
                          .cost_ = { .read_ = part },
                          .helperCost_ = { .read_ = part } };
  microseconds wait(0);
  microseconds harm(0);
  for (const Ranked& one : best) {
    wait = std::max(wait, one.wait_);
    harm += one.harm_;
    if (&one != &best.front()) {
      choice.helpers_.push_back(one.candidate_->endpoint_);
    }
  }
  if (!fitsOne) {
    choice.heldTokens_ = (aTask.memory_ + best.size() - 1) / best.size();
  }
  choice.long_ = true;
  choice.wait_ = wait + Scaled(harm, options_.heldHarm_);
  choice.firstAnswer_ =
    wait + part + figures.PassTime(load.running_ + 1, load.memoryTokens_);
  return choice;
}

} // namespace gooseberrylift
