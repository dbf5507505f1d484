#include "gooseberrylift/membership/gooseberrylift-store-view.h"

#include <algorithm>
#include <set>

namespace gooseberrylift {

void StoreView::OnList(std::vector<ViewedObject> aObjects,
                       std::uint64_t aRevision)
{
  std::set<std::string> listed;
  for (ViewedObject& object : aObjects) {
    listed.insert(object.name_);
    Put(std::move(object), aRevision);
  }
  std::vector<std::string> gone;
  for (const auto& [name, kept] : objects_) {
    if (!listed.contains(name)) {
      gone.push_back(name);
    }
  }
  for (const std::string& name : gone) {
    Remove(name, aRevision);
  }
  floor_ = std::max(floor_, aRevision);
  revision_ = std::max(revision_, aRevision);
}

void StoreView::OnChanges(std::vector<ViewedObject> aObjects,
                          const std::vector<std::string>& aRemoved,
                          std::uint64_t aRevision)
{
  for (ViewedObject& object : aObjects) {
    Put(std::move(object), aRevision);
  }
  for (const std::string& name : aRemoved) {
    Remove(name, aRevision);
  }
  revision_ = std::max(revision_, aRevision);
}

void StoreView::Put(ViewedObject aObject, std::uint64_t aRevision)
{
  Kept& kept = objects_[aObject.name_];
  if (kept.stamp_ != 0 && kept.object_.version_ == aObject.version_) {
    return;
  }
  kept = { .object_ = std::move(aObject), .stamp_ = aRevision };
  ++changes_;
}

void StoreView::Remove(const std::string& aName, std::uint64_t aRevision)
{
  // Also one that was never known here: other hosts may have heard of it.
  objects_.erase(aName);
  ++changes_;
  removals_.push_back({ .name_ = aName, .stamp_ = aRevision });
  if (removals_.size() > options_.removals_) {
    floor_ = removals_.front().stamp_;
    removals_.pop_front();
  }
}

ViewChanges StoreView::Since(std::uint64_t aRevision) const
{
  ViewChanges changes{ .revision_ = revision_ };
  for (const auto& [name, kept] : objects_) {
    if (kept.stamp_ > aRevision) {
      changes.objects_.push_back(kept.object_);
    }
  }
  if (aRevision < floor_) {
    changes.names_.emplace();
    for (const auto& [name, kept] : objects_) {
      changes.names_->push_back(name);
    }
    return changes;
  }
  for (const Removal& removal : removals_) {
    if (removal.stamp_ > aRevision && !objects_.contains(removal.name_)) {
      changes.removed_.push_back(removal.name_);
    }
  }
  return changes;
}

} // namespace gooseberrylift
