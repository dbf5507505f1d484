#include "gooseberrylift/gooseberrylift-endpoint-book.h"

#include <set>

namespace gooseberrylift {

EndpointBook::EndpointBook(Options aOptions)
  : options_(aOptions)
{
}

bool EndpointBook::OnList(const std::vector<EndpointView>& aListed,
                          TimePoint /*aNow*/)
{
  if (aListed.empty() && !entries_.empty()) {
    return false;
  }
  bool changed = false;
  std::set<std::string> names;
  for (const EndpointView& listed : aListed) {
    names.insert(listed.name_);
    Entry& entry = entries_[listed.name_];
    const bool restarted = listed.incarnation_ > entry.view_.incarnation_;
    if (entry.view_.name_.empty() || restarted) {
      entry = Entry{ .view_ = listed };
      changed = true;
    }
    // Leaving is sticky for an incarnation: the list lags, and an old copy of
    // it must not bring back an endpoint that is on its way out.
    entry.listedLeaving_ =
      entry.listedLeaving_ || listed.state_ == EndpointState::kLeaving;
    changed = Refresh(entry) || changed;
  }
  const std::size_t gone =
    std::erase_if(entries_, [&names](const auto& aEntry) {
      return !names.contains(aEntry.first);
    });
  return changed || gone > 0;
}

bool EndpointBook::OnReport(const std::string& aName,
                            const EndpointReport& aReport,
                            TimePoint /*aNow*/)
{
  const auto found = entries_.find(aName);
  if (found == entries_.end()) {
    return false;
  }
  Entry& entry = found->second;
  entry.failures_ = 0;
  if (aReport.incarnation_ > entry.view_.incarnation_) {
    entry.view_.incarnation_ = aReport.incarnation_;
    entry.saidLeaving_ = false;
    entry.listedLeaving_ = false;
  }
  entry.saidLeaving_ = entry.saidLeaving_ || aReport.leaving_;
  entry.view_.load_ = aReport.load_;
  return Refresh(entry);
}

bool EndpointBook::OnFailure(const std::string& aName, TimePoint /*aNow*/)
{
  const auto found = entries_.find(aName);
  if (found == entries_.end()) {
    return false;
  }
  ++found->second.failures_;
  return Refresh(found->second);
}

bool EndpointBook::OnLeaving(const std::string& aName, TimePoint /*aNow*/)
{
  const auto found = entries_.find(aName);
  if (found == entries_.end()) {
    return false;
  }
  found->second.saidLeaving_ = true;
  return Refresh(found->second);
}

std::vector<EndpointView> EndpointBook::Views() const
{
  std::vector<EndpointView> views;
  views.reserve(entries_.size());
  for (const auto& [name, entry] : entries_) {
    views.push_back(entry.view_);
  }
  return views;
}

bool EndpointBook::Refresh(Entry& aEntry) const
{
  EndpointState state = EndpointState::kLive;
  if (aEntry.listedLeaving_ || aEntry.saidLeaving_) {
    state = EndpointState::kLeaving;
  } else if (aEntry.failures_ >= options_.failuresUntilDead_) {
    state = EndpointState::kDead;
  }
  const bool changed = state != aEntry.view_.state_;
  aEntry.view_.state_ = state;
  return changed;
}

} // namespace gooseberrylift
