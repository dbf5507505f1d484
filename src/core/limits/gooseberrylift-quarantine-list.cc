#include "gooseberrylift/limits/gooseberrylift-quarantine-list.h"

#include <algorithm>
#include <array>

#include "gooseberrylift/limits/gooseberrylift-request-features.h"

namespace gooseberrylift {

void QuarantineList::Add(const std::string& aFeature,
                         WallTime aLastCrash,
                         WallTime aNow)
{
  Item& item = items_[aFeature];
  item.entry_ = { .fingerprint_ = aFeature,
                  .version_ = item.entry_.version_ + 1,
                  .until_ = aNow + options_.duration_ };
  item.lastCrash_ = aLastCrash;
  Evict();
}

bool QuarantineList::Release(const std::string& aFeature, WallTime aBegunAt)
{
  const auto found = items_.find(aFeature);
  if (found == items_.end() || found->second.entry_.released_ ||
      aBegunAt <= found->second.lastCrash_) {
    return false;
  }
  ++found->second.entry_.version_;
  found->second.entry_.released_ = true;
  return true;
}

std::vector<QuarantineEntry> QuarantineList::OnPeer(
  const std::vector<QuarantineEntry>& aEntries)
{
  std::vector<QuarantineEntry> news;
  for (const QuarantineEntry& entry : aEntries) {
    Item& own = items_[entry.fingerprint_];
    if (entry.version_ > own.entry_.version_) {
      // The peer has not told when the last endpoint crashed.
      own = { .entry_ = entry,
              .lastCrash_ = entry.until_ - options_.duration_ };
      news.push_back(entry);
    } else if (entry.version_ == own.entry_.version_) {
      own.entry_.until_ = std::max(own.entry_.until_, entry.until_);
      own.entry_.released_ = own.entry_.released_ && entry.released_;
    }
  }
  Evict();
  return news;
}

bool QuarantineList::Contains(const std::string& aFeature, WallTime aNow) const
{
  const auto found = items_.find(aFeature);
  return found != items_.end() && !found->second.entry_.released_ &&
         aNow < found->second.entry_.until_;
}

std::vector<QuarantineEntry> QuarantineList::Entries(WallTime aNow) const
{
  std::vector<QuarantineEntry> current;
  for (const auto& [feature, item] : items_) {
    if (aNow < item.entry_.until_) {
      current.push_back(item.entry_);
    }
  }
  return current;
}

void QuarantineList::Sweep(WallTime aNow)
{
  std::erase_if(items_, [aNow](const auto& aItem) {
    return aNow >= aItem.second.entry_.until_;
  });
}

void QuarantineList::Evict()
{
  for (const bool parts : { false, true }) {
    auto oldest = OldestBeyondLimit(parts);
    while (oldest != items_.end()) {
      items_.erase(oldest);
      oldest = OldestBeyondLimit(parts);
    }
  }
}

QuarantineList::Items::iterator QuarantineList::OldestBeyondLimit(bool aParts)
{
  std::size_t count = 0;
  auto oldest = items_.end();
  for (auto item = items_.begin(); item != items_.end(); ++item) {
    if (IsPartFeature(item->first) != aParts) {
      continue;
    }
    ++count;
    if (oldest == items_.end() ||
        item->second.entry_.until_ < oldest->second.entry_.until_) {
      oldest = item;
    }
  }
  return count > options_.maxEntries_ ? oldest : items_.end();
}

} // namespace gooseberrylift
