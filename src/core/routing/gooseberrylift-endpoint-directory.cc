#include "gooseberrylift/routing/gooseberrylift-endpoint-directory.h"

#include <algorithm>

namespace gooseberrylift {

bool EndpointDirectory::OnListed(const ListedEndpoint& aListed)
{
  const auto [youngest, isNew] =
    youngest_.try_emplace(aListed.id_, aListed.born_);
  if (aListed.born_ < youngest->second) {
    return false; // a late word of a former life
  }
  ++changes_;
  const bool reborn = !isNew && aListed.born_ > youngest->second;
  youngest->second = aListed.born_;
  entries_[aListed.id_] = { .listed_ = aListed, .dropAt_ = std::nullopt };
  if (aListed.leaving_) {
    leaving_[aListed.id_] = aListed.born_;
  }
  return reborn;
}

void EndpointDirectory::OnRemoved(const std::string& aId, TimePoint aNow)
{
  const auto found = entries_.find(aId);
  if (found != entries_.end()) {
    Drop(found, aNow);
  }
}

void EndpointDirectory::OnStoreReturned(TimePoint aNow)
{
  relistUntil_ = std::max(relistUntil_, aNow + options_.relistWithin_);
}

void EndpointDirectory::OnReplaced(const std::string& aId)
{
  const auto youngest = youngest_.find(aId);
  if (youngest != youngest_.end()) {
    ++changes_;
    leaving_[aId] = youngest->second;
  }
}

void EndpointDirectory::OnEvacuated(const std::string& aZone)
{
  changes_ += evacuated_.insert(aZone).second ? 1 : 0;
}

void EndpointDirectory::OnEvacuationEnded(const std::string& aZone)
{
  changes_ += evacuated_.erase(aZone);
}

bool EndpointDirectory::IsLeaving(const ListedEndpoint& aListed) const
{
  const auto left = leaving_.find(aListed.id_);
  return left != leaving_.end() && aListed.born_ <= left->second;
}

// Right after an outage a missing entry says little: its lease lapsed because
// nothing could be renewed. Dropped at once, a service would stand without
// endpoints for two seconds while all of them live.
void EndpointDirectory::Drop(std::map<std::string, Entry>::iterator aEntry,
                             TimePoint aNow)
{
  if (aNow >= relistUntil_) {
    ++changes_;
    entries_.erase(aEntry);
    return;
  }
  if (!aEntry->second.dropAt_) {
    aEntry->second.dropAt_ = relistUntil_;
  }
}

void EndpointDirectory::Sweep(TimePoint aNow)
{
  const std::size_t dropped = std::erase_if(entries_, [aNow](const auto& aOne) {
    return aOne.second.dropAt_ && aNow >= *aOne.second.dropAt_;
  });
  changes_ += dropped;
}

std::vector<const ListedEndpoint*> EndpointDirectory::Usable(
  const std::string& aService) const
{
  std::vector<const ListedEndpoint*> usable;
  for (const auto& [id, entry] : entries_) {
    const ListedEndpoint& listed = entry.listed_;
    if (listed.service_ == aService && !IsLeaving(listed) &&
        !evacuated_.contains(listed.zone_)) {
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
