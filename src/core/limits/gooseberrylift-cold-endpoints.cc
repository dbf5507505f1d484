#include "gooseberrylift/limits/gooseberrylift-cold-endpoints.h"

#include <algorithm>
#include <utility>

namespace gooseberrylift {

using std::chrono::milliseconds;

namespace {

// Hosts of a zone that may grant at the same time while they disagree about
// which of them are live.
constexpr double kMaxGrantersPerZone = 2;

// Permits of one second are used within this time, in seconds: the second, the
// batch in which they are granted, their lifetime, and the time to connect.
constexpr double kUseSpan = 1.0 + 0.1 + 0.2 + 0.25;

} // namespace

double ColdGrantRate(const ColdTerms& aTerms, const ColdShareView& aView)
{
  const double zones =
    static_cast<double>(std::max<std::size_t>(aView.zones_, 1));
  const double allowed = aTerms.perSecond_ * aTerms.overshoot_ + aTerms.slack_;
  // Each granting host may have one permit ahead of its rate.
  const double safe =
    (allowed - kMaxGrantersPerZone * zones) / (kMaxGrantersPerZone * kUseSpan);
  const double rate = std::max(std::min(safe, aTerms.perSecond_), 0.0);
  const auto live = static_cast<double>(aView.liveInZone_ + 1);
  const auto known = static_cast<double>(aView.knownInZone_ + 1);
  return rate / zones * std::min(live / known, 1.0);
}

std::string_view NameOf(ColdSource aSource)
{
  switch (aSource) {
    case ColdSource::kStated:
      return "stated";
    case ColdSource::kStart:
      return "start";
    case ColdSource::kPeer:
      return "peer";
  }
  return "";
}

void ColdEndpoints::SetTerms(std::map<std::string, ColdTerms> aTerms)
{
  terms_ = std::move(aTerms);
  UpdateLatestEnd();
}

void ColdEndpoints::OnListed(const ListedEndpoint& aListed, TimePoint aNow)
{
  const Incarnation incarnation = aListed.IncarnationId();
  const auto [found, isNew] = entries_.try_emplace(
    incarnation,
    Entry{ .firstListed_ = aNow,
           .startUnknown_ = !aListed.warmUpRemaining_.has_value() });
  Entry& entry = found->second;
  entry.service_ = aListed.service_;
  entry.lastListed_ = aNow;
  if (aListed.warmUpRemaining_) {
    OnStated(incarnation, entry, *aListed.warmUpRemaining_, aNow);
    entry.byPeer_ = false;
    entry.mayHaveTraffic_ = entry.mayHaveTraffic_ && !isNew;
  }
  UpdateLatestEnd();
}

void ColdEndpoints::OnPeer(const Incarnation& aEndpoint,
                           milliseconds aRemaining,
                           TimePoint aNow)
{
  const auto found = entries_.find(aEndpoint);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.byPeer_ = entry.byPeer_ || aNow >= entry.statedUntil_;
  OnStated(aEndpoint, entry, aRemaining, aNow);
  UpdateLatestEnd();
}

void ColdEndpoints::OnStated(const Incarnation& aEndpoint,
                             Entry& aEntry,
                             milliseconds aRemaining,
                             TimePoint aNow)
{
  if (aRemaining <= milliseconds(0)) {
    return;
  }
  if (aNow >= aEntry.statedUntil_) {
    aEntry.mayHaveTraffic_ = !Find(aEndpoint, aNow).has_value();
    aEntry.statedSince_ = aNow;
  }
  aEntry.statedUntil_ = std::max(
    aEntry.statedUntil_, aNow + std::min(aRemaining, options_.maxRemaining_));
}

TimePoint ColdEndpoints::EndOf(const Entry& aEntry) const
{
  const auto terms = terms_.find(aEntry.service_);
  if (terms == terms_.end() || !(terms->second.perSecond_ > 0)) {
    return {};
  }
  return aEntry.startUnknown_
           ? std::max(aEntry.statedUntil_,
                      aEntry.firstListed_ + terms->second.startDuration_)
           : aEntry.statedUntil_;
}

void ColdEndpoints::UpdateLatestEnd()
{
  latestEnd_ = {};
  for (const auto& [endpoint, entry] : entries_) {
    latestEnd_ = std::max(latestEnd_, EndOf(entry));
  }
}

std::optional<ColdState> ColdEndpoints::StateOf(const Entry& aEntry,
                                                TimePoint aNow) const
{
  const TimePoint end = EndOf(aEntry);
  if (aNow >= end) {
    return std::nullopt;
  }
  const bool stated = aNow < aEntry.statedUntil_;
  ColdState state{ .terms_ = terms_.at(aEntry.service_),
                   .until_ = end,
                   .firstPermit_ = aEntry.firstListed_,
                   .source_ = !stated          ? ColdSource::kStart
                              : aEntry.byPeer_ ? ColdSource::kPeer
                                               : ColdSource::kStated };
  if (stated) {
    state.stated_ = std::chrono::ceil<milliseconds>(aEntry.statedUntil_ - aNow);
    state.firstPermit_ =
      aEntry.statedSince_ +
      (aEntry.mayHaveTraffic_ ? options_.settleTime_ : milliseconds(0));
  }
  return state;
}

std::optional<ColdState> ColdEndpoints::Find(const Incarnation& aEndpoint,
                                             TimePoint aNow) const
{
  const auto found = entries_.find(aEndpoint);
  return found == entries_.end() ? std::nullopt : StateOf(found->second, aNow);
}

std::optional<ColdTerms> ColdEndpoints::TermsOf(
  const Incarnation& aEndpoint) const
{
  const auto found = entries_.find(aEndpoint);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  const auto terms = terms_.find(found->second.service_);
  return terms == terms_.end() || !(terms->second.perSecond_ > 0)
           ? std::nullopt
           : std::optional(terms->second);
}

std::size_t ColdEndpoints::CountCold(TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(entries_.begin(), entries_.end(), [&](const auto& aEntry) {
      return aNow < EndOf(aEntry.second);
    }));
}

std::vector<ColdChange> ColdEndpoints::TakeChanges(TimePoint aNow)
{
  std::vector<ColdChange> changes;
  for (auto& [endpoint, entry] : entries_) {
    const auto state = StateOf(entry, aNow);
    if (state.has_value() != entry.reportedCold_) {
      entry.reportedCold_ = state.has_value();
      changes.push_back({ .endpoint_ = endpoint, .state_ = state });
    }
  }
  return changes;
}

void ColdEndpoints::Sweep(const IsListed& aIsListed, TimePoint aNow)
{
  for (auto& [endpoint, entry] : entries_) {
    if (aIsListed(endpoint)) {
      entry.lastListed_ = aNow;
    }
  }
  std::erase_if(entries_, [&](const auto& aEntry) {
    return aNow - aEntry.second.lastListed_ > options_.retention_;
  });
}

} // namespace gooseberrylift
