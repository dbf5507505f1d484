#include "gooseberrylift/limits/gooseberrylift-sound-features.h"

#include <algorithm>
#include <utility>

namespace gooseberrylift {

void SoundFeatures::OnAnswered(const std::string& aFeature, WallTime aBegunAt)
{
  const auto known = Find(aFeature);
  if (current_.size() >= maxPerGeneration_ && !current_.contains(aFeature)) {
    previous_ = std::exchange(current_, {});
  }
  current_[aFeature] = std::max(aBegunAt, known.value_or(aBegunAt));
}

std::optional<WallTime> SoundFeatures::Find(const std::string& aFeature) const
{
  for (const Times* times : { &current_, &previous_ }) {
    const auto found = times->find(aFeature);
    if (found != times->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

} // namespace gooseberrylift
