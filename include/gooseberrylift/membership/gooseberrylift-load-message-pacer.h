// Decides when a host sends its load to the others. Fleets range from a handful
// of hosts to hundreds, all of which place requests on the same endpoints. If
// messages arrive late, hosts place requests on endpoints that others already
// occupy; if every change went to hundreds of hosts at once, sending would take
// all of a host's time.

#ifndef GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_LOAD_MESSAGE_PACER_H_
#define GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_LOAD_MESSAGE_PACER_H_

#include <chrono>
#include <cstddef>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// There are two kinds of messages. A delta announces new requests at once, as
// one small datagram per peer, within a rate limit; in a large fleet each host
// places few requests, so the limit is rarely reached. Finished requests are
// less urgent: they are covered by snapshots of the whole load, which are sent
// at an interval that depends on the number of peers. Not thread-safe.
class LoadMessagePacer
{
public:
  struct Options
  {
    // Delta datagrams that a host sends, and hence also receives, a second.
    // Sending and receiving them takes a few hundredths of a core; the smallest
    // hosts have an eighth of one.
    double deltaDatagramsPerSecond_ = 600;
    // Deltas in a row that are sent at once after a quiet period, for example
    // if several callers arrive together.
    double deltaBurst_ = 4;
    // Snapshot datagrams that a host sends, and hence also receives, a second.
    double snapshotDatagramsPerSecond_ = 300;
    // From this many peers on, snapshots only make up for lost datagrams and
    // report finished requests, and are at least largeFleetInterval_ apart.
    std::size_t largeFleetPeers_ = 32;
    // Peers discard a host's load after two seconds without a message.
    std::chrono::milliseconds largeFleetInterval_{ 700 };
    // Between two snapshots at least. A fleet of nine places a request about
    // every 10 ms, so that each host lacks only the last two.
    std::chrono::milliseconds minInterval_{ 20 };
    // A snapshot is repeated after this time even without a change, because
    // datagrams may be lost and peers discard a host's load after two seconds.
    std::chrono::milliseconds repeatInterval_{ 250 };
  };

  explicit LoadMessagePacer(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Returns whether a delta may be sent now.
  /// @param aPeers number of recipients
  bool MaySendDelta(TimePoint aNow, std::size_t aPeers) const;

  /// Records that a delta was sent.
  void OnDeltaSent(TimePoint aNow, std::size_t aPeers);

  /// Returns the time between two snapshots.
  std::chrono::milliseconds Interval(std::size_t aPeers) const;

  /// Returns when a snapshot is to be sent after a change.
  TimePoint NextSnapshotTime(TimePoint aNow, std::size_t aPeers) const;

  /// Returns whether the snapshot is to be repeated without a change.
  bool IsRepeatDue(TimePoint aNow, std::size_t aPeers) const;

  /// Records that a snapshot was sent.
  void OnSnapshotSent(TimePoint aNow) { lastSnapshot_ = aNow; }

private:
  double UsedTokens(TimePoint aNow) const;

  Options options_;
  TimePoint lastSnapshot_{};
  // A token bucket, stored as the tokens taken and not yet refilled. One token
  // is one datagram.
  double usedTokens_ = 0;
  TimePoint usedTokensAt_{}; // when usedTokens_ was computed
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_LOAD_MESSAGE_PACER_H_
