#include "gooseberrylift/gooseberrylift-endpoint-registry.h"

#include <algorithm>

namespace gooseberrylift {

EndpointRegistry::EndpointRegistry(Options aOptions)
  : options_(aOptions)
{
}

bool EndpointRegistry::OnList(const std::vector<EndpointView>& aListed,
                              TimePoint aNow)
{
  bool changed = false;
  for (const EndpointView& listed : aListed) {
    Entry& entry = entries_[listed.name_];
    const bool restarted = listed.incarnation_ > entry.view_.incarnation_;
    if (entry.view_.name_.empty() || restarted) {
      entry = Entry{ .view_ = listed };
      changed = true;
    }
    entry.lastListed_ = aNow;
    // kLeaving is permanent for an incarnation: the list lags, and a stale copy
    // must not make an endpoint live again while it shuts down.
    entry.listedLeaving_ =
      entry.listedLeaving_ || listed.state_ == EndpointState::kLeaving;
    changed = UpdateState(entry) || changed;
  }
  return DropUnlisted(aNow) > 0 || changed;
}

// A truncated list is indistinguishable from one with endpoints removed, except
// that endpoints missing by truncation still answer. An endpoint is therefore
// removed when it is both unlisted and silent, or when successive lists have
// not contained it for unlistedRetention_.
std::size_t EndpointRegistry::DropUnlisted(TimePoint aNow)
{
  TimePoint latestList{};
  for (const auto& [name, entry] : entries_) {
    latestList = std::max(latestList, entry.lastListed_);
  }
  return std::erase_if(entries_, [&](const auto& aEntry) {
    const Entry& entry = aEntry.second;
    const bool silent = entry.failures_ >= options_.failuresUntilDead_;
    const bool expired =
      latestList - entry.lastListed_ > options_.unlistedRetention_;
    return entry.lastListed_ != latestList && (silent || expired);
  });
}

bool EndpointRegistry::OnReport(const std::string& aName,
                                const EndpointReport& aReport,
                                TimePoint /*aNow*/)
{
  const auto found = entries_.find(aName);
  if (found == entries_.end()) {
    return false;
  }
  Entry& entry = found->second;
  entry.failures_ = 0;
  entry.suspectedByPeer_ = false;
  if (aReport.incarnation_ > entry.view_.incarnation_) {
    entry.view_.incarnation_ = aReport.incarnation_;
    entry.reportedLeaving_ = false;
    entry.listedLeaving_ = false;
  }
  entry.reportedLeaving_ = entry.reportedLeaving_ || aReport.leaving_;
  entry.view_.load_ = aReport.load_;
  return UpdateState(entry);
}

bool EndpointRegistry::OnFailure(const std::string& aName, TimePoint /*aNow*/)
{
  const auto found = entries_.find(aName);
  if (found == entries_.end()) {
    return false;
  }
  ++found->second.failures_;
  return UpdateState(found->second);
}

bool EndpointRegistry::OnLeaving(const std::string& aName, TimePoint /*aNow*/)
{
  const auto found = entries_.find(aName);
  if (found == entries_.end()) {
    return false;
  }
  found->second.reportedLeaving_ = true;
  return UpdateState(found->second);
}

bool EndpointRegistry::OnPeerDigest(const EndpointDigest& aDigest,
                                    TimePoint /*aNow*/)
{
  const auto found = entries_.find(aDigest.name_);
  if (found == entries_.end() ||
      aDigest.incarnation_ != found->second.view_.incarnation_) {
    return false;
  }
  Entry& entry = found->second;
  if (aDigest.state_ == EndpointState::kLeaving) {
    entry.reportedLeaving_ = true;
  }
  if (aDigest.state_ == EndpointState::kDead && entry.failures_ > 0) {
    entry.suspectedByPeer_ = true;
  }
  return UpdateState(entry);
}

std::vector<EndpointView> EndpointRegistry::Views() const
{
  std::vector<EndpointView> views;
  views.reserve(entries_.size());
  for (const auto& [name, entry] : entries_) {
    views.push_back(entry.view_);
  }
  return views;
}

bool EndpointRegistry::UpdateState(Entry& aEntry) const
{
  EndpointState state = EndpointState::kLive;
  if (aEntry.listedLeaving_ || aEntry.reportedLeaving_) {
    state = EndpointState::kLeaving;
  } else if (aEntry.failures_ + (aEntry.suspectedByPeer_ ? 1 : 0) >=
             options_.failuresUntilDead_) {
    state = EndpointState::kDead;
  }
  const bool changed = state != aEntry.view_.state_;
  aEntry.view_.state_ = state;
  return changed;
}

} // namespace gooseberrylift
