#include "gooseberrylift/membership/gooseberrylift-store-view.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

namespace gooseberrylift {

std::uint64_t RevisionOf(const std::string& aVersion)
{
  std::uint64_t revision = 0;
  std::from_chars(aVersion.data(), aVersion.data() + aVersion.size(), revision);
  return revision;
}

std::uint64_t CompleteRevision(const std::vector<CachedObject>& aObjects,
                               const std::vector<std::size_t>& aPageSizes)
{
  const std::vector<std::size_t> pageSizes =
    aPageSizes.empty() ? std::vector{ aObjects.size() } : aPageSizes;
  std::uint64_t complete = std::numeric_limits<std::uint64_t>::max();
  auto object = aObjects.begin();
  for (const std::size_t size : pageSizes) {
    std::uint64_t newest = 0;
    for (std::size_t index = 0; index < size; ++index, ++object) {
      newest = std::max(newest, RevisionOf(object->version_));
    }
    complete = std::min(complete, newest);
  }
  return complete;
}

ViewUpdate StoreView::OnList(std::vector<CachedObject> aObjects,
                             std::uint64_t aRevision)
{
  ViewUpdate update;
  if (aRevision < revision_) {
    return update;
  }
  std::set<std::string> listed;
  for (CachedObject& object : aObjects) {
    listed.insert(object.name_);
    Upsert(std::move(object), aRevision, update);
  }
  RemoveUnlisted(listed, aRevision, update);
  removalsCompactedTo_ = aRevision;
  revision_ = aRevision;
  return update;
}

ViewUpdate StoreView::OnIncompleteList(std::vector<CachedObject> aObjects,
                                       std::uint64_t aRevision)
{
  ViewUpdate update;
  if (aRevision < revision_) {
    return update;
  }
  for (CachedObject& object : aObjects) {
    Upsert(std::move(object), aRevision, update);
  }
  return update;
}

ViewUpdate StoreView::ApplyDelta(StoreDelta aChanges)
{
  ViewUpdate update;
  const std::uint64_t revision = aChanges.revision_;
  if (revision < revision_) {
    return update; // newer changes have arrived meanwhile
  }
  for (CachedObject& object : aChanges.objects_) {
    Upsert(std::move(object), revision, update);
  }
  for (const std::string& name : aChanges.removed_) {
    Remove(name, revision, update);
  }
  if (aChanges.names_) {
    RemoveUnlisted(
      { aChanges.names_->begin(), aChanges.names_->end() }, revision, update);
    removalsCompactedTo_ = revision;
  }
  revision_ = revision;
  return update;
}

void StoreView::Upsert(CachedObject aObject,
                       std::uint64_t aRevision,
                       ViewUpdate& aUpdate)
{
  Entry& entry = objects_[aObject.name_];
  const std::uint64_t version = RevisionOf(aObject.version_);
  const std::uint64_t changed = version == 0 ? aRevision : version;
  if (entry.changeRevision_ != 0 &&
      (entry.object_.version_ == aObject.version_ ||
       changed < entry.changeRevision_)) {
    return;
  }
  entry.changeRevision_ = changed;
  entry.object_ = std::move(aObject);
  aUpdate.objects_.push_back(entry.object_);
}

void StoreView::Remove(const std::string& aName,
                       std::uint64_t aRevision,
                       ViewUpdate& aUpdate)
{
  const auto found = objects_.find(aName);
  if (found != objects_.end() && found->second.changeRevision_ > aRevision) {
    return; // created again after that revision
  }
  // Record the removal even if the object is not in this view: other hosts may
  // have it.
  if (found != objects_.end()) {
    objects_.erase(found);
    aUpdate.removed_.push_back(aName);
  }
  // A long list is read in pages and has the revision of the first page. The
  // object may have been removed before a later page was read, so record the
  // revision after it.
  removals_.push_back({ .name_ = aName, .changeRevision_ = aRevision + 1 });
  if (removals_.size() > options_.maxRemovals_) {
    removalsCompactedTo_ =
      std::max(removalsCompactedTo_, removals_.front().changeRevision_);
    removals_.pop_front();
  }
}

void StoreView::RemoveUnlisted(const std::set<std::string>& aListed,
                               std::uint64_t aRevision,
                               ViewUpdate& aUpdate)
{
  std::vector<std::string> removed;
  for (const auto& [name, entry] : objects_) {
    if (!aListed.contains(name)) {
      removed.push_back(name);
    }
  }
  for (const std::string& name : removed) {
    Remove(name, aRevision, aUpdate);
  }
}

StoreDelta StoreView::Since(std::uint64_t aRevision) const
{
  StoreDelta changes{ .revision_ = revision_ };
  for (const auto& [name, entry] : objects_) {
    if (entry.changeRevision_ > aRevision) {
      changes.objects_.push_back(entry.object_);
    }
  }
  if (aRevision < removalsCompactedTo_) {
    changes.names_.emplace();
    for (const auto& [name, entry] : objects_) {
      changes.names_->push_back(name);
    }
    return changes;
  }
  for (const Removal& removal : removals_) {
    if (removal.changeRevision_ > aRevision &&
        !objects_.contains(removal.name_)) {
      changes.removed_.push_back(removal.name_);
    }
  }
  return changes;
}

} // namespace gooseberrylift
