#include "gooseberrylift/membership/gooseberrylift-store-view.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace gooseberrylift {

std::uint64_t RevisionOf(const std::string& aVersion)
{
  std::uint64_t revision = 0;
  std::from_chars(aVersion.data(), aVersion.data() + aVersion.size(), revision);
  return revision;
}

ViewNews StoreView::OnList(std::vector<ViewedObject> aObjects,
                           std::uint64_t aRevision)
{
  ViewNews news;
  if (aRevision < revision_) {
    return news;
  }
  std::set<std::string> listed;
  for (ViewedObject& object : aObjects) {
    listed.insert(object.name_);
    Put(std::move(object), aRevision, news);
  }
  RemoveOthers(listed, aRevision, news);
  floor_ = aRevision;
  revision_ = aRevision;
  return news;
}

ViewNews StoreView::OnTold(ViewChanges aChanges)
{
  ViewNews news;
  const std::uint64_t revision = aChanges.revision_;
  if (revision < revision_) {
    return news; // it is behind what was heard meanwhile
  }
  for (ViewedObject& object : aChanges.objects_) {
    Put(std::move(object), revision, news);
  }
  for (const std::string& name : aChanges.removed_) {
    Remove(name, revision, news);
  }
  if (aChanges.names_) {
    RemoveOthers(
      { aChanges.names_->begin(), aChanges.names_->end() }, revision, news);
    floor_ = revision;
  }
  revision_ = revision;
  return news;
}

void StoreView::Put(ViewedObject aObject,
                    std::uint64_t aRevision,
                    ViewNews& aNews)
{
  Kept& kept = objects_[aObject.name_];
  if (kept.stamp_ != 0 && kept.object_.version_ == aObject.version_) {
    return;
  }
  const std::uint64_t changed = RevisionOf(aObject.version_);
  kept.stamp_ = changed == 0 ? aRevision : changed;
  kept.object_ = std::move(aObject);
  aNews.objects_.push_back(kept.object_);
}

void StoreView::Remove(const std::string& aName,
                       std::uint64_t aRevision,
                       ViewNews& aNews)
{
  // Also one that was never known here: other hosts may have heard of it.
  if (objects_.erase(aName) > 0) {
    aNews.removed_.push_back(aName);
  }
  // A long list is read in pages and holds for the revision of its first one;
  // an object may have gone before a later page, so right after it.
  removals_.push_back({ .name_ = aName, .stamp_ = aRevision + 1 });
  if (removals_.size() > options_.removals_) {
    floor_ = std::max(floor_, removals_.front().stamp_);
    removals_.pop_front();
  }
}

void StoreView::RemoveOthers(const std::set<std::string>& aNames,
                             std::uint64_t aRevision,
                             ViewNews& aNews)
{
  std::vector<std::string> gone;
  for (const auto& [name, kept] : objects_) {
    if (!aNames.contains(name)) {
      gone.push_back(name);
    }
  }
  for (const std::string& name : gone) {
    Remove(name, aRevision, aNews);
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
