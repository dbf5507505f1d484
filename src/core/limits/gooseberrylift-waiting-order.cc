#include "gooseberrylift/limits/gooseberrylift-waiting-order.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace gooseberrylift {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// Returns whether a prompt of a report is no longer in the source's next one
// because it left. A full report may also lack it because others now precede.
bool HasLeft(const WaitingPrompt& aPrompt,
             const std::vector<WaitingPrompt>& aNext,
             std::size_t aPrevious)
{
  const bool listed =
    std::any_of(aNext.begin(), aNext.end(), [&](const WaitingPrompt& aOther) {
      return aOther.id_ == aPrompt.id_;
    });
  return !listed && (aNext.size() < aPrevious || aNext.empty() ||
                     aPrompt.waited_ >= aNext.back().waited_);
}

} // namespace

HoldDecision DecideByTurn(HoldDecision aByItself,
                          const WaitingTurn& aTurn,
                          bool aArrived)
{
  const bool waits = aByItself == HoldDecision::kHold || aTurn.yields_;
  if (aByItself == HoldDecision::kReject || !waits) {
    return aByItself;
  }
  return aArrived && !aTurn.inTime_ ? HoldDecision::kReject
                                    : HoldDecision::kHold;
}

WaitingPrompt WaitingOrder::At(const Entry& aEntry, TimePoint aNow)
{
  const auto elapsed = duration_cast<milliseconds>(aNow - aEntry.at_);
  WaitingPrompt prompt = aEntry.prompt_;
  prompt.waited_ += elapsed;
  prompt.remaining_ -= elapsed;
  return prompt;
}

// Returns the share of its time that a prompt has used up, from 0 to 1.
double WaitingOrder::ShareUsed(const WaitingPrompt& aPrompt)
{
  const auto waited = static_cast<double>(aPrompt.waited_.count());
  const auto left =
    static_cast<double>(std::max(aPrompt.remaining_, milliseconds(0)).count());
  return waited + left > 0 ? waited / (waited + left) : 1;
}

double WaitingOrder::ValueAt(const Decayed& aSum,
                             milliseconds aWindow,
                             TimePoint aNow)
{
  const std::chrono::duration<double, std::milli> elapsed = aNow - aSum.at_;
  return aSum.value_ *
         std::exp(-elapsed.count() / static_cast<double>(aWindow.count()));
}

void WaitingOrder::RecordSent(const WaitingPrompt& aPrompt, TimePoint aNow)
{
  const auto prefill = static_cast<double>(aPrompt.prefill_.count());
  Add(served_[{ aPrompt.service_, aPrompt.team_ }],
      prefill,
      options_.fairnessWindow_,
      aNow);
  Add(rate_[aPrompt.service_], prefill, options_.rateWindow_, aNow);
  if (aPrompt.engines_ >= options_.largeEngines_) {
    Add(large_[aPrompt.service_].sent_, 1, options_.lossWindow_, aNow);
  }
}

void WaitingOrder::RecordLost(const WaitingPrompt& aPrompt, TimePoint aNow)
{
  if (aPrompt.engines_ >= options_.largeEngines_) {
    Add(large_[aPrompt.service_].lost_, 1, options_.lossWindow_, aNow);
  }
}

void WaitingOrder::Add(Decayed& aSum,
                       double aValue,
                       milliseconds aWindow,
                       TimePoint aNow)
{
  aSum = { ValueAt(aSum, aWindow, aNow) + aValue, aNow };
}

// Returns whether the large prompts of a service are lost more often than they
// may be.
bool WaitingOrder::AreLargeOnesLost(std::uint32_t aService,
                                    TimePoint aNow) const
{
  double lost = 0;
  double sent = 0;
  const auto counted = large_.find(aService);
  if (counted != large_.end()) {
    lost = ValueAt(counted->second.lost_, options_.lossWindow_, aNow);
    sent = ValueAt(counted->second.sent_, options_.lossWindow_, aNow);
  }
  const auto order = orders_.find(aService);
  if (order != orders_.end()) {
    lost += static_cast<double>(std::count_if(
      order->second.entries_.begin(),
      order->second.entries_.end(),
      [&](const Entry& aEntry) {
        return aEntry.prompt_.engines_ >= options_.largeEngines_ &&
               ShareUsed(At(aEntry, aNow)) >= options_.atRiskFrom_;
      }));
  }
  return lost >= options_.minLost_ &&
         lost > options_.largeLostShare_ * (lost + sent);
}

void WaitingOrder::OnWaiting(const WaitingPrompt& aPrompt, TimePoint aNow)
{
  own_[aPrompt.id_] = { .prompt_ = aPrompt, .at_ = aNow };
}

void WaitingOrder::OnLeft(std::uint64_t aId, bool aSent, TimePoint aNow)
{
  const auto found = own_.find(aId);
  if (found == own_.end()) {
    return;
  }
  if (aSent) {
    RecordSent(found->second.prompt_, aNow);
  } else {
    RecordLost(found->second.prompt_, aNow);
  }
  own_.erase(found);
}

void WaitingOrder::OnReport(const std::string& aSource,
                            const std::vector<WaitingPrompt>& aPrompts,
                            TimePoint aNow)
{
  Report& report = reports_[aSource];
  for (const WaitingPrompt& before : report.prompts_) {
    const WaitingPrompt now =
      At({ .prompt_ = before, .at_ = report.at_ }, aNow);
    if (!HasLeft(now, aPrompts, report.prompts_.size())) {
      continue;
    }
    if (now.remaining_ > milliseconds(0)) {
      RecordSent(now, aNow);
    } else {
      RecordLost(now, aNow);
    }
  }
  if (aPrompts.empty()) {
    reports_.erase(aSource);
  } else {
    report = { .at_ = aNow, .prompts_ = aPrompts, .heard_ = aNow };
  }
}

void WaitingOrder::OnContact(const std::string& aSource, TimePoint aNow)
{
  const auto found = reports_.find(aSource);
  if (found != reports_.end()) {
    found->second.heard_ = aNow;
  }
}

void WaitingOrder::Rebuild(TimePoint aNow)
{
  if (aNow - ordered_ < options_.orderInterval_ && ordered_ != TimePoint{}) {
    return;
  }
  ordered_ = aNow;
  orders_.clear();
  for (const auto& [id, entry] : own_) {
    orders_[entry.prompt_.service_].entries_.push_back(entry);
  }
  std::erase_if(reports_, [&](const auto& aReport) {
    return aNow - aReport.second.heard_ > options_.reportTimeout_;
  });
  for (const auto& [source, report] : reports_) {
    for (const WaitingPrompt& prompt : report.prompts_) {
      const Entry entry{ .prompt_ = prompt,
                         .at_ = report.at_,
                         .source_ = source };
      if (!own_.contains(prompt.id_) &&
          At(entry, aNow).remaining_ > milliseconds(0)) {
        ServiceOrder& order = orders_[prompt.service_];
        order.entries_.push_back(entry);
        order.factsAge_ = std::max(
          order.factsAge_, duration_cast<milliseconds>(aNow - report.at_));
      }
    }
  }
  std::erase_if(busySince_, [this](const auto& aSince) {
    return !orders_.contains(aSince.first);
  });
  for (auto& [service, order] : orders_) {
    busySince_.try_emplace(service, aNow);
    SortService(order, aNow);
  }
  std::erase_if(firstFit_, [this](const auto& aFit) {
    return std::none_of(
      orders_.begin(), orders_.end(), [&aFit](const auto& aOrder) {
        return aOrder.second.place_.contains(aFit.first);
      });
  });
  std::erase_if(served_, [this, aNow](const auto& aTeam) {
    return ValueAt(aTeam.second, options_.fairnessWindow_, aNow) < 1;
  });
}

void WaitingOrder::SortService(ServiceOrder& aOrder, TimePoint aNow)
{
  struct Ranked
  {
    int priority_;
    double teamPrefill_; // received recently, and of those ahead in the team
    double shareUsed_;
    std::uint64_t id_;
    std::size_t index_;
    std::uint32_t team_;
    double prefill_;
  };
  std::vector<Ranked> ranked;
  ranked.reserve(aOrder.entries_.size());
  for (const Entry& entry : aOrder.entries_) {
    const WaitingPrompt now = At(entry, aNow);
    ranked.push_back({ .priority_ = now.priority_,
                       .teamPrefill_ = 0,
                       .shareUsed_ = ShareUsed(now),
                       .id_ = now.id_,
                       .index_ = ranked.size(),
                       .team_ = now.team_,
                       .prefill_ = static_cast<double>(now.prefill_.count()) });
  }
  const auto byAge = [](const Ranked& aOne, const Ranked& aOther) {
    return std::tuple(aOne.priority_, -aOne.shareUsed_, aOne.id_) <
           std::tuple(aOther.priority_, -aOther.shareUsed_, aOther.id_);
  };
  std::sort(ranked.begin(), ranked.end(), byAge);
  std::map<std::uint32_t, double> received; // by team
  for (Ranked& one : ranked) {
    const auto [team, isNew] = received.try_emplace(one.team_, 0);
    if (isNew) {
      const std::uint32_t service = aOrder.entries_.front().prompt_.service_;
      const auto served = served_.find({ service, one.team_ });
      team->second =
        served == served_.end()
          ? 0
          : ValueAt(served->second, options_.fairnessWindow_, aNow);
    }
    one.teamPrefill_ = team->second;
    team->second += one.prefill_;
  }
  std::sort(
    ranked.begin(), ranked.end(), [](const Ranked& aOne, const Ranked& aOther) {
      return std::tuple(
               aOne.priority_, aOne.teamPrefill_, -aOne.shareUsed_, aOne.id_) <
             std::tuple(aOther.priority_,
                        aOther.teamPrefill_,
                        -aOther.shareUsed_,
                        aOther.id_);
    });
  std::vector<Entry> sorted;
  sorted.reserve(ranked.size());
  milliseconds prefill(0);
  for (const Ranked& one : ranked) {
    aOrder.place_[one.id_] = sorted.size();
    aOrder.prefillAhead_.push_back(prefill);
    sorted.push_back(std::move(aOrder.entries_[one.index_]));
    prefill += sorted.back().prompt_.prefill_;
  }
  aOrder.entries_ = std::move(sorted);
}

// Returns whether a prompt still keeps the free engines for itself. One that
// does not use them soon after there are enough doesn't.
bool WaitingOrder::BlocksAt(const Entry& aAhead,
                            std::size_t aNeeded,
                            const WaitingSupply& aSupply,
                            TimePoint aNow)
{
  if (aNeeded > aSupply.free_) {
    firstFit_.erase(aAhead.prompt_.id_);
    return true;
  }
  const auto [fit, isNew] = firstFit_.try_emplace(aAhead.prompt_.id_, aNow);
  return aNow - fit->second <= options_.gapTimeout_;
}

// Returns the number of engines that the prompts ahead of a place keep free.
std::size_t WaitingOrder::EnginesKeptAhead(const ServiceOrder& aOrder,
                                           std::size_t aPlace,
                                           const WaitingPrompt& aPrompt,
                                           const WaitingSupply& aSupply,
                                           TimePoint aNow)
{
  const auto most = static_cast<std::size_t>(
    static_cast<double>(aSupply.engines_) * options_.keptShare_);
  const bool keepsForLarge =
    !aOrder.entries_.empty() &&
    AreLargeOnesLost(aOrder.entries_.front().prompt_.service_, aNow);
  std::size_t kept = 0;
  bool largeKept = false;
  for (std::size_t place = 0; place < aPlace; ++place) {
    const Entry& ahead = aOrder.entries_[place];
    const bool isLarge = ahead.prompt_.engines_ >= options_.largeEngines_;
    const int factor = isLarge && keepsForLarge ? options_.smallFactor_ : 1;
    if (ShareUsed(At(ahead, aNow)) < options_.keptFrom_ ||
        ahead.prompt_.prefill_ > aPrompt.prefill_ * factor) {
      continue;
    }
    const std::size_t needed = kept + ahead.prompt_.engines_;
    // The first large one may need more.
    if (needed > most && (largeKept || !isLarge)) {
      continue;
    }
    if (needed <= aSupply.engines_ && BlocksAt(ahead, needed, aSupply, aNow)) {
      kept = needed;
      largeKept = largeKept || isLarge;
    }
  }
  return kept;
}

// Returns whether a prompt is among the first of those that need several
// engines and have waited for long.
bool WaitingOrder::IsFirstLarge(const ServiceOrder& aOrder,
                                std::size_t aPlace,
                                TimePoint aNow) const
{
  const auto isOne = [&](const Entry& aEntry) {
    return aEntry.prompt_.engines_ >= options_.largeEngines_ &&
           ShareUsed(At(aEntry, aNow)) >= options_.keptFrom_;
  };
  if (aPlace >= aOrder.entries_.size() || !isOne(aOrder.entries_[aPlace])) {
    return false;
  }
  const auto begin = aOrder.entries_.begin();
  const auto ahead =
    std::count_if(begin, begin + static_cast<std::ptrdiff_t>(aPlace), isOne);
  return static_cast<std::size_t>(ahead) < options_.firstLarge_;
}

milliseconds WaitingOrder::ExpectedWait(std::uint32_t aService,
                                        milliseconds aAhead,
                                        const WaitingSupply& aSupply,
                                        TimePoint aNow) const
{
  const auto engines =
    static_cast<double>(std::max<std::size_t>(aSupply.engines_, 1));
  double perTime = engines; // prefill time per time
  const auto busy = busySince_.find(aService);
  const auto sent = rate_.find(aService);
  if (busy != busySince_.end() && aNow - busy->second >= options_.rateWindow_) {
    const double measured =
      sent == rate_.end() ? 0
                          : ValueAt(sent->second, options_.rateWindow_, aNow) /
                              static_cast<double>(options_.rateWindow_.count());
    perTime = std::clamp(measured, engines * options_.minRateShare_, engines);
  }
  return milliseconds(
    static_cast<std::int64_t>(static_cast<double>(aAhead.count()) / perTime));
}

WaitingTurn WaitingOrder::TurnOf(std::uint64_t aId,
                                 const WaitingSupply& aSupply,
                                 TimePoint aNow)
{
  Rebuild(aNow);
  const auto own = own_.find(aId);
  if (own == own_.end()) {
    return {};
  }
  const std::uint32_t service = own->second.prompt_.service_;
  const auto order = orders_.find(service);
  if (order == orders_.end()) {
    return { .waiting_ = 1 };
  }
  const ServiceOrder& all = order->second;
  const auto found = all.place_.find(aId);
  // A prompt that arrived after the order was computed is the youngest.
  const std::size_t place =
    found == all.place_.end() ? all.entries_.size() : found->second;
  const milliseconds remaining = At(own->second, aNow).remaining_;
  WaitingTurn turn{ .ahead_ = place,
                    .waiting_ = std::max(all.entries_.size(), place + 1),
                    .expectedWait_ = ExpectedWait(
                      service, all.PrefillAhead(place), aSupply, aNow),
                    .factsAge_ = all.factsAge_ };
  turn.inTime_ = turn.expectedWait_ <= std::max(remaining, milliseconds(0));
  const std::size_t kept =
    EnginesKeptAhead(all, place, own->second.prompt_, aSupply, aNow);
  turn.isFirst_ =
    AreLargeOnesLost(service, aNow) && IsFirstLarge(all, place, aNow);
  turn.yields_ = kept > 0 && remaining > milliseconds(0) &&
                 kept + aSupply.wanted_ > aSupply.free_;
  return turn;
}

std::vector<WaitingPrompt> WaitingOrder::First(
  std::size_t aCount,
  const std::function<bool(const std::string& aSource)>& aIncludes,
  TimePoint aNow)
{
  ordered_ = {};
  Rebuild(aNow);
  std::vector<WaitingPrompt> first;
  for (const auto& [service, order] : orders_) {
    std::size_t taken = 0;
    for (const Entry& entry : order.entries_) {
      if (taken == aCount) {
        break;
      }
      if (entry.source_.empty() || aIncludes(entry.source_)) {
        first.push_back(At(entry, aNow));
        ++taken;
      }
    }
  }
  std::stable_sort(first.begin(),
                   first.end(),
                   [](const WaitingPrompt& aOne, const WaitingPrompt& aOther) {
                     return std::pair(aOne.priority_, -ShareUsed(aOne)) <
                            std::pair(aOther.priority_, -ShareUsed(aOther));
                   });
  first.resize(std::min(first.size(), aCount));
  return first;
}

} // namespace gooseberrylift
