// Directory of the endpoints of each service, as the platform's store lists
// them, and whether each may receive new requests.

#ifndef GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_ENDPOINT_DIRECTORY_H_
#define GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_ENDPOINT_DIRECTORY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// One incarnation of an endpoint, identified by its id and start time. An
// endpoint that restarts under the same id has lost the state of its previous
// incarnation.
struct ListedEndpoint
{
  std::string id_;
  StartTime startTime_{}; // the epoch if the platform gives no start time
  std::string service_;
  std::string address_; // IP:port
  std::string zone_;
  int slots_ = 1;
  bool leaving_ = false;
  // How long it stays cold, that is, tolerates fewer requests; absent if the
  // entry doesn't tell.
  std::optional<std::chrono::milliseconds> warmUpRemaining_{};

  Incarnation IncarnationId() const
  {
    return { .id_ = id_, .startTime_ = startTime_ };
  }
};

// Tracks listed endpoints by the following rules.
//
// - Leaving is final for an incarnation: once it was listed as leaving, stated
//   so in a response, or its address answered as another incarnation, no later
//   update makes it usable again.
// - A newer incarnation of an id replaces an older one permanently, so that a
//   delayed update of the old incarnation neither removes the new one nor
//   restores the old one.
// - A removed entry is dropped at once. Entries that expired during an outage
//   of the store may belong to live endpoints, so that after an outage removals
//   take effect only after a grace period for listing the endpoints again.
//
// Not thread-safe.
class EndpointDirectory
{
public:
  struct Options
  {
    // Grace period for removed entries after the store returns. The platform
    // states that live endpoints are listed again within about 2 s; 10% more
    // covers the delay of the watch.
    std::chrono::milliseconds relistGrace_{ 2'200 };
  };

  explicit EndpointDirectory(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Adds or updates an entry.
  /// @return whether the endpoint has restarted under the same id
  bool OnListed(const ListedEndpoint& aListed);

  /// Handles the removal of an entry from the store.
  void OnRemoved(const std::string& aId, TimePoint aNow);

  /// Starts the grace period: the store answers again after an outage.
  void OnStoreReturned(TimePoint aNow);

  /// Marks an incarnation as leaving, because it stated so in a response, or as
  /// gone, because its address answered as another incarnation.
  /// @return whether that was not known before
  bool OnLeaving(const Incarnation& aEndpoint);

  /// Marks an availability zone as evacuated: its endpoints are not usable
  /// until the evacuation ends.
  void OnEvacuated(const std::string& aZone);

  /// Makes the endpoints of an evacuated zone usable again.
  /// @return the endpoints that are usable again
  std::vector<ListedEndpoint> OnEvacuationEnded(const std::string& aZone);

  /// Drops entries whose grace period has ended.
  void Sweep(TimePoint aNow);

  /// Returns the endpoints of a service that may receive requests, ordered by
  /// id.
  std::vector<const ListedEndpoint*> Usable(const std::string& aService) const;

  /// Returns whether an incarnation is listed and may receive requests.
  bool IsUsable(const Incarnation& aEndpoint) const;

  /// Returns a counter that increases with each change of the set of usable
  /// endpoints.
  std::uint64_t Changes() const { return changes_; }

  /// Finds an endpoint, usable or not; returns null if it is not listed.
  const ListedEndpoint* Find(const std::string& aId) const;

private:
  struct Entry
  {
    ListedEndpoint listed_;
    std::optional<TimePoint> removeAt_; // set while the removal is deferred
  };

  void RemoveOrDefer(std::map<std::string, Entry>::iterator aEntry,
                     TimePoint aNow);

  bool IsLeaving(const Incarnation& aEndpoint) const;
  bool IsUsable(const ListedEndpoint& aListed) const;

  Options options_;
  std::map<std::string, Entry> entries_;
  // Start times by id: of the newest incarnation ever listed, and of the newest
  // one that is leaving or gone. Never erased; each takes a few bytes.
  std::map<std::string, StartTime> newestStart_;
  std::map<std::string, StartTime> leaving_;
  std::set<std::string> evacuatedZones_; // availability zones
  TimePoint relistDeadline_{};
  std::uint64_t changes_ = 0;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_ENDPOINT_DIRECTORY_H_
