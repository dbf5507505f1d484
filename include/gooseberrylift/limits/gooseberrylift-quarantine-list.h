// The features for which requests are rejected at all hosts.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_QUARANTINE_LIST_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_QUARANTINE_LIST_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gooseberrylift/gooseberrylift-digest.h"
#include "gooseberrylift/limits/gooseberrylift-crash-evidence.h"

namespace gooseberrylift {

// Hosts exchange the entries; of two for the same feature the higher version
// wins. Not thread-safe.
class QuarantineList
{
public:
  struct Options
  {
    // Long, because a retry would crash endpoints again; the caller has to
    // change the request.
    std::chrono::seconds duration_{ 600 };
    // Bounds of the state, for contents and parts each, so that the many
    // contents that share a part don't evict it. The oldest are evicted first.
    std::size_t maxEntries_ = 256;
  };

  explicit QuarantineList(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Quarantines a feature.
  /// @param aLastCrash when an endpoint last crashed under it
  void Add(const std::string& aFeature, WallTime aLastCrash, WallTime aNow);

  /// Ends the quarantine of a feature that an answer has shown to be sound.
  /// @param aBegunAt when the answer began
  /// @return false if it is not quarantined, or crashed endpoints after that
  bool Release(const std::string& aFeature, WallTime aBegunAt);

  /// Merges the entries of another host.
  /// @return the entries that are new here
  std::vector<QuarantineEntry> OnPeer(
    const std::vector<QuarantineEntry>& aEntries);

  /// Returns whether requests with a feature are rejected.
  bool Contains(const std::string& aFeature, WallTime aNow) const;

  /// Drops what has ended.
  void Sweep(WallTime aNow);

  bool IsEmpty() const { return items_.empty(); }

  /// Returns the current entries and releases.
  std::vector<QuarantineEntry> Entries(WallTime aNow) const;

private:
  struct Item
  {
    QuarantineEntry entry_;
    WallTime lastCrash_{};
  };
  using Items = std::map<std::string, Item>; // by feature

  void Evict();
  Items::iterator OldestBeyondLimit(bool aParts);

  Options options_;
  Items items_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_QUARANTINE_LIST_H_
