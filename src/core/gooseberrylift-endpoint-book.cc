#include "gooseberrylift/gooseberrylift-endpoint-book.h"

#include <algorithm>

namespace gooseberrylift {

EndpointBook::EndpointBook(Options aOptions)
  : options_(aOptions)
{
}

bool EndpointBook::OnList(const std::vector<EndpointView>& aListed,
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
    entry.listed_ = aNow;
    // Leaving is sticky for an incarnation: the list lags, and an old copy of
    // it must not bring back an endpoint that is on its way out.
    entry.listedLeaving_ =
      entry.listedLeaving_ || listed.state_ == EndpointState::kLeaving;
    changed = Refresh(entry) || changed;
  }
  return DropUnlisted(aNow) > 0 || changed;
}

// A list cut short shows the same as endpoints that were taken away. What
// tells them apart is that the first kind still answers; so an endpoint goes
// when the list and its own silence agree, or when the list has not shown it
// for long although it did come.
std::size_t EndpointBook::DropUnlisted(TimePoint aNow)
{
  TimePoint newest{};
  for (const auto& [name, entry] : entries_) {
    newest = std::max(newest, entry.listed_);
  }
  return std::erase_if(entries_, [&](const auto& aEntry) {
    const Entry& entry = aEntry.second;
    const bool silent = entry.failures_ >= options_.failuresUntilDead_;
    const bool forgotten = newest - entry.listed_ > options_.keepUnlisted_;
    return entry.listed_ != newest && (silent || forgotten);
  });
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
  entry.doubted_ = false;
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

bool EndpointBook::OnPeerWord(const EndpointDigest& aWord, TimePoint /*aNow*/)
{
  const auto found = entries_.find(aWord.name_);
  if (found == entries_.end() ||
      aWord.incarnation_ != found->second.view_.incarnation_) {
    return false;
  }
  Entry& entry = found->second;
  if (aWord.state_ == EndpointState::kLeaving) {
    entry.saidLeaving_ = true;
  }
  if (aWord.state_ == EndpointState::kDead && entry.failures_ > 0) {
    entry.doubted_ = true;
  }
  return Refresh(entry);
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
  } else if (aEntry.failures_ + (aEntry.doubted_ ? 1 : 0) >=
             options_.failuresUntilDead_) {
    state = EndpointState::kDead;
  }
  const bool changed = state != aEntry.view_.state_;
  aEntry.view_.state_ = state;
  return changed;
}

} // namespace gooseberrylift
