// Selects which load messages to apply, and as the load of whom.

#ifndef GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_LOAD_MESSAGE_FILTER_H_
#define GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_LOAD_MESSAGE_FILTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "gooseberrylift/membership/gooseberrylift-load-message.h"
#include "gooseberrylift/membership/gooseberrylift-zone-load.h"

namespace gooseberrylift {

// Datagrams may arrive late, twice or out of order. An older message applied
// after a newer one would restore load that has ended. Not thread-safe.
class LoadMessageFilter
{
public:
  /// @param aZone zone of this host, whose hosts it hears of directly
  explicit LoadMessageFilter(std::string aZone)
    : zone_(std::move(aZone))
  {
  }

  /// Decides whether to apply a message.
  /// @return the name under which to store its load; nothing if it is outdated
  /// or describes load that this host receives from another source
  std::optional<std::string> Accept(const LoadMessage& aMessage,
                                    TimePoint aNow);

private:
  // The sequence numbers of the messages last accepted from a sender.
  struct LastMessages
  {
    std::uint64_t latestSequence_ = 0;   // of the latest message
    std::uint64_t snapshotSequence_ = 0; // of the latest snapshot
  };

  bool IsInOrder(const LoadMessage& aMessage);

  std::string zone_;
  std::map<std::string, LastMessages> lastMessages_; // by zone and host
  ZoneMessageFilter zoneFilter_{ ZoneMessageFilter::Options{} };
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_LOAD_MESSAGE_FILTER_H_
