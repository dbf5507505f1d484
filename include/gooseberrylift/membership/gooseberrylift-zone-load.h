// Decides what the hosts of one availability zone tell those of other zones
// about their load. With hundreds of hosts in front of the same engines,
// sending every change to every host would cost each of them as many datagrams
// as the whole fleet places requests; a host that hears from only some of the
// others would take full engines for idle. In each zone one host, the
// aggregator, sends the zone's total load to the other zones.

#ifndef GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_ZONE_LOAD_H_
#define GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_ZONE_LOAD_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gooseberrylift/gooseberrylift-endpoint.h"
#include "gooseberrylift/membership/gooseberrylift-load-message.h"
#include "gooseberrylift/routing/gooseberrylift-fleet-load.h"

namespace gooseberrylift {

/// Returns the peer name under which a zone's total load is stored alongside
/// the load of single hosts.
std::string PeerNameOfZone(const std::string& aZone);

// Selects which of a zone's totals to send to other zones. Not thread-safe.
class ZoneLoadAggregator
{
public:
  struct Options
  {
    // A backlog that differs by more than this from what receivers extrapolate
    // is sent again; short requests tolerate a larger error.
    std::chrono::milliseconds backlogTolerance_{ 100 };
    // A backoff that ends later than reported by more than this is sent again.
    std::chrono::milliseconds backoffTolerance_{ 250 };
    // How often the activity of an unchanged endpoint is reported. Receivers
    // extrapolate its silence from the last message and treat the endpoint as
    // hung after a second.
    std::chrono::milliseconds activityInterval_{ 500 };
    // Between two snapshots, which serve hosts that have just started and make
    // up for lost datagrams. In bursts of long prompts most engines change with
    // each message, so sending each change twice would cost the hosts more than
    // a loss that lasts this long.
    std::chrono::milliseconds snapshotInterval_{ 1'000 };
    // A message is sent after this time even without a change, so that others
    // see that the aggregator is alive.
    std::chrono::milliseconds heartbeatInterval_{ 250 };
  };

  // A message to send.
  struct Message
  {
    LoadMessageKind kind_ = LoadMessageKind::kDelta;
    std::vector<EndpointShare> shares_;
  };

  explicit ZoneLoadAggregator(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Returns the next message to send, if any.
  /// @param aTotals the zone's current load by endpoint
  std::optional<Message> NextMessage(const std::vector<EndpointShare>& aTotals,
                                     TimePoint aNow);

  /// Forgets what was sent, so that the next message is a snapshot.
  void Restart() { *this = ZoneLoadAggregator(options_); }

private:
  // The latest share of an endpoint that was sent or is about to be.
  struct SentShare
  {
    EndpointShare share_;
    TimePoint at_{};
    bool isPending_ = false; // not sent yet
  };

  bool NeedsUpdate(const EndpointShare& aNew,
                   const SentShare& aSent,
                   TimePoint aNow);
  void MarkChanges(const std::vector<EndpointShare>& aTotals, TimePoint aNow);

  Options options_;
  std::map<std::string, SentShare> sentShares_; // by endpoint
  std::optional<TimePoint> lastSnapshot_;
  TimePoint lastMessage_{};
};

// Decides whether this host is its zone's aggregator: the first host of the
// zone by rank, or the next one if the first has fallen silent. Not
// thread-safe.
class ZoneAggregatorRole
{
public:
  struct Options
  {
    // Silence after which the next rank takes over, per rank. More than twice
    // the time between two messages.
    std::chrono::milliseconds takeoverDelay_{ 600 };
    // Hosts that may become the aggregator; each receives the messages of those
    // before it.
    std::size_t candidates_ = 3;
  };

  explicit ZoneAggregatorRole(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Records a message of this zone's current aggregator.
  void OnAggregateReceived(TimePoint aNow) { lastHeard_ = aNow; }

  /// Returns whether this host is to aggregate its zone.
  /// @param aRank among the live hosts of the zone
  bool IsAggregator(TimePoint aNow, std::size_t aRank) const;

private:
  Options options_;
  TimePoint lastHeard_{};
};

// Accepts the messages of only one aggregator per zone. Two hosts may both
// consider themselves the aggregator, and counting both would double the load
// of the zone. Not thread-safe.
class ZoneMessageFilter
{
public:
  struct Options
  {
    // Another host may replace an aggregator that has been silent for longer.
    std::chrono::milliseconds silenceTimeout_{ 600 };
  };

  explicit ZoneMessageFilter(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Returns whether to apply a message. Only a snapshot can make its sender
  /// the zone's accepted aggregator.
  bool Accepts(const LoadMessage& aMessage, TimePoint aNow);

private:
  struct Aggregator
  {
    std::string host_;
    TimePoint lastHeard_{};
  };

  Options options_;
  std::map<std::string, Aggregator> aggregators_; // by zone
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_ZONE_LOAD_H_
