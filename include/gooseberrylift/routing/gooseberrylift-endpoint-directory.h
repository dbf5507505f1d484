// Which endpoints stand behind each service, as the platform's store lists
// them, and which of them may still get requests.

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

// One incarnation of an endpoint: its id and the time of its start. An endpoint
// may start again under the id that it had, and then knows nothing of before.
struct ListedEndpoint
{
  std::string id_;
  BirthTime born_{}; // the epoch where the platform states none
  std::string service_;
  std::string address_; // IP:port
  std::string zone_;
  int slots_ = 1;
  bool leaving_ = false;
  std::chrono::milliseconds coldFor_{ 0 }; // slower than usual for so long

  Incarnation Life() const { return { .id_ = id_, .born_ = born_ }; }
};

// Three rules carry it. Leaving is sticky: once an incarnation was listed as
// leaving, or answered that it is not there any more, no later word makes it
// usable. A younger incarnation of an id replaces an older one for good, so
// that a late word of a former life neither takes the new one's requests away
// nor brings the old one back. An entry that is missing is gone at once, except
// after an outage of the store: entries then lapse though their endpoints live,
// and each gets a while to come back. Not thread-safe.
class EndpointDirectory
{
public:
  struct Options
  {
    // Live endpoints are listed again within about 2 s of the store's return;
    // the platform states that figure. A tenth more covers the watch's delay.
    std::chrono::milliseconds relistWithin_{ 2'200 };
  };

  explicit EndpointDirectory(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Takes in one new or changed entry.
  /// @return whether the endpoint has started again under the id that it had
  bool OnListed(const ListedEndpoint& aListed);

  /// Notes that an entry was removed.
  void OnRemoved(const std::string& aId, TimePoint aNow);

  /// Notes since when the store answers again after it did not.
  void OnStoreReturned(TimePoint aNow);

  /// Notes that an address answered as another incarnation: the one looked for
  /// is gone for good.
  void OnReplaced(const std::string& aId);

  /// Marks an availability zone as evacuated: its endpoints are not usable
  /// until the evacuation ends.
  void OnEvacuated(const std::string& aZone);

  /// Makes the endpoints of an evacuated zone usable again.
  void OnEvacuationEnded(const std::string& aZone);

  /// Drops entries whose time to come back has passed.
  void Sweep(TimePoint aNow);

  /// Gives the endpoints of a service that may get requests, by rising id.
  std::vector<const ListedEndpoint*> Usable(const std::string& aService) const;

  /// Gives a number that rises with each change of what is usable.
  std::uint64_t Changes() const { return changes_; }

  /// Finds an endpoint, usable or not; null when it is not known.
  const ListedEndpoint* Find(const std::string& aId) const;

private:
  struct Entry
  {
    ListedEndpoint listed_;
    std::optional<TimePoint> dropAt_; // set while it is missing
  };

  void Drop(std::map<std::string, Entry>::iterator aEntry, TimePoint aNow);

  bool IsLeaving(const ListedEndpoint& aListed) const;

  Options options_;
  std::map<std::string, Entry> entries_;
  // By id, a few bytes each: the youngest incarnation ever listed, and the
  // youngest that is leaving or gone.
  std::map<std::string, BirthTime> youngest_;
  std::map<std::string, BirthTime> leaving_;
  std::set<std::string> evacuated_; // availability zones
  TimePoint relistUntil_{};
  std::uint64_t changes_ = 0;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_ENDPOINT_DIRECTORY_H_
