// Remembers which features requests had that were answered.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_SOUND_FEATURES_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_SOUND_FEATURES_H_

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

#include "gooseberrylift/limits/gooseberrylift-crash-evidence.h"

namespace gooseberrylift {

// Keeps when an answer to a request with a feature last began. Callers name the
// features, so their number is bounded: those that were not seen for the
// longest time are forgotten. Not thread-safe.
class SoundFeatures
{
public:
  /// @param aMaxEntries number of features kept, at least half of them
  explicit SoundFeatures(std::size_t aMaxEntries)
    : maxPerGeneration_(aMaxEntries / 2)
  {
  }

  void OnAnswered(const std::string& aFeature, WallTime aBegunAt);

  /// Returns when the last answer began; nothing if none is known.
  std::optional<WallTime> Find(const std::string& aFeature) const;

private:
  using Times = std::unordered_map<std::string, WallTime>;

  std::size_t maxPerGeneration_;
  // Once the current generation is full it becomes the previous one, which is
  // dropped.
  Times current_;
  Times previous_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_SOUND_FEATURES_H_
