#include "gooseberrylift/routing/gooseberrylift-endpoint-directory.h"

#include <algorithm>

namespace gooseberrylift {

bool EndpointDirectory::OnListed(const ListedEndpoint& aListed)
{
  const auto [newest, isNew] =
    newestStart_.try_emplace(aListed.id_, aListed.startTime_);
  if (aListed.startTime_ < newest->second) {
    return false; // a delayed update of an older incarnation
  }
  ++changes_;
  const bool restarted = !isNew && aListed.startTime_ > newest->second;
  newest->second = aListed.startTime_;
  entries_[aListed.id_] = { .listed_ = aListed, .removeAt_ = std::nullopt };
  if (aListed.leaving_) {
    leaving_[aListed.id_] = aListed.startTime_;
  }
  return restarted;
}

void EndpointDirectory::OnRemoved(const std::string& aId, TimePoint aNow)
{
  const auto found = entries_.find(aId);
  if (found != entries_.end()) {
    RemoveOrDefer(found, aNow);
  }
}

void EndpointDirectory::OnStoreReturned(TimePoint aNow)
{
  relistDeadline_ = std::max(relistDeadline_, aNow + options_.relistGrace_);
}

bool EndpointDirectory::OnLeaving(const Incarnation& aEndpoint)
{
  if (IsLeaving(aEndpoint)) {
    return false;
  }
  ++changes_;
  leaving_[aEndpoint.id_] = aEndpoint.startTime_;
  return true;
}

void EndpointDirectory::OnEvacuated(const std::string& aZone)
{
  changes_ += evacuatedZones_.insert(aZone).second ? 1 : 0;
}

std::vector<ListedEndpoint> EndpointDirectory::OnEvacuationEnded(
  const std::string& aZone)
{
  std::vector<ListedEndpoint> returned;
  if (evacuatedZones_.erase(aZone) == 0) {
    return returned;
  }
  ++changes_;
  for (const auto& [id, entry] : entries_) {
    if (entry.listed_.zone_ == aZone && IsUsable(entry.listed_)) {
      returned.push_back(entry.listed_);
    }
  }
  return returned;
}

bool EndpointDirectory::IsLeaving(const Incarnation& aEndpoint) const
{
  const auto left = leaving_.find(aEndpoint.id_);
  return left != leaving_.end() && aEndpoint.startTime_ <= left->second;
}

bool EndpointDirectory::IsUsable(const ListedEndpoint& aListed) const
{
  return !IsLeaving(aListed.IncarnationId()) &&
         !evacuatedZones_.contains(aListed.zone_);
}

bool EndpointDirectory::IsUsable(const Incarnation& aEndpoint) const
{
  const ListedEndpoint* listed = Find(aEndpoint.id_);
  return listed != nullptr && listed->IncarnationId() == aEndpoint &&
         IsUsable(*listed);
}

// After an outage of the store, an entry may be missing only because its lease
// could not be renewed. Dropping it at once would leave a service without
// endpoints for two seconds although all of them are alive.
void EndpointDirectory::RemoveOrDefer(
  std::map<std::string, Entry>::iterator aEntry,
  TimePoint aNow)
{
  if (aNow >= relistDeadline_) {
    ++changes_;
    entries_.erase(aEntry);
    return;
  }
  if (!aEntry->second.removeAt_) {
    aEntry->second.removeAt_ = relistDeadline_;
  }
}

void EndpointDirectory::Sweep(TimePoint aNow)
{
  const std::size_t dropped = std::erase_if(entries_, [aNow](const auto& aOne) {
    return aOne.second.removeAt_ && aNow >= *aOne.second.removeAt_;
  });
  changes_ += dropped;
}

std::vector<const ListedEndpoint*> EndpointDirectory::Usable(
  const std::string& aService) const
{
  std::vector<const ListedEndpoint*> usable;
  for (const auto& [id, entry] : entries_) {
    const ListedEndpoint& listed = entry.listed_;
    if (listed.service_ == aService && IsUsable(listed)) {
      usable.push_back(&entry.listed_);
    }
  }
  return usable;
}

const ListedEndpoint* EndpointDirectory::Find(const std::string& aId) const
{
  const auto found = entries_.find(aId);
  return found == entries_.end() ? nullptr : &found->second.listed_;
}

} // namespace gooseberrylift
