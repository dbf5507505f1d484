// Decides when this host reads the platform's store. The load it answers:
// fleets of any size whose calls to the store are paid for. Were each host to
// read for itself, the calls would grow with the hosts; here a fleet makes one
// or two calls a second, whatever its size.

#ifndef GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_READ_TURN_H_
#define GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_READ_TURN_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// Where a host stands among the live hosts that it knows.
struct ReadRank
{
  std::size_t hosts_ = 1; // live ones, this one included
  // Of these, how many rank before this one, and how many of them can read the
  // store as far as they say.
  std::size_t rank_ = 0;
  std::size_t before_ = 0;
};

// Another live host, as its word of itself shows it.
struct ReadCandidate
{
  std::string host_;
  bool lost_ = false;    // it has tried to read the store and failed
  bool leaving_ = false; // it is about to stop
};

/// Says whether a host comes before another: by a hash of their names.
bool RanksBefore(const std::string& aHost, const std::string& aOther);

/// Ranks hosts by a hash of their names, so that those which see the same hosts
/// rank them alike, and the loss of one moves no other.
/// @param aSelf this host
/// @param aOthers the other live hosts
ReadRank RankReaders(const ReadCandidate& aSelf,
                     const std::vector<ReadCandidate>& aOthers);

// One law from one host to thousands: a host reads when the youngest reading
// that it knows of, its own or another's, is older than its rank bears. The
// first host by rank reads each second. While its readings spread, no other
// host's bound is reached; when it falls silent or loses the store the next one
// finds its bound reached, and so on; the first that succeeds goes on each
// second. Nobody is elected and nobody is told: hosts which see different
// fleets read more often, never less. A host that has just started reads at
// once, whatever others know: its callers wait, and are refused for want of
// routes until it has them.
//
// The bound follows the rank among all live hosts, also those that have lost
// the store: else each failure would bring all the others closer to their
// bounds, and hundreds would try at once when the store is away.
//
// Not thread-safe.
class ReadTurn
{
public:
  struct Options
  {
    // Between two readings of the first host. Changes are known there within
    // it, and hosts hear of them some hundred ms later; the smallest fleets
    // must have them everywhere in 2 s.
    std::chrono::milliseconds every_{ 1'000 };
    // How long a reading takes to reach the others, for each doubling of the
    // hosts. Hosts exchange words each 150 ms with one to three others, and
    // each such round more than doubles those that know.
    std::chrono::milliseconds spreadPerDoubling_{ 100 };
    // Between two ranks. When the store is lost for all, ten hosts a second
    // notice at first.
    std::chrono::milliseconds step_{ 100 };
    // However many are before it a host reads in this time, and in a second of
    // its own after it, shared out by rank: keys are refused when five seconds
    // have passed, and it may be that it hears just none of the others.
    std::chrono::milliseconds latest_{ 3'300 };
    std::chrono::milliseconds latestSpread_{ 1'000 };
    // After a failed try, doubled with each further one up to the most. A store
    // that loses a third of its answers is tried again at once; one that is
    // back is noticed within the most, and until then callers with keys are
    // refused.
    std::chrono::milliseconds pause_{ 300 };
    std::chrono::milliseconds mostPause_{ 1'000 };
    // Hosts of a higher rank that failed leave the trying to these, but for a
    // few tries a second over the whole fleet: the store may refuse just the
    // first ones.
    std::size_t triers_ = 3;
    double triesPerSecond_ = 4;
  };

  explicit ReadTurn(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Gives how long until this host is to read; zero or less when it is.
  /// @param aAge of the youngest reading known; nothing without one
  std::chrono::milliseconds DueIn(TimePoint aNow,
                                  std::optional<std::chrono::milliseconds> aAge,
                                  const ReadRank& aRank) const;

  /// Delays the next try until a time.
  void DelayUntil(TimePoint aUntil) { tryAt_ = aUntil; }

  /// Makes the next try due at once, unless earlier ones have failed.
  void CancelDelay();

  /// Notes that this host has read the store.
  void OnRead(TimePoint aNow);

  /// Notes that this host could not read the store.
  void OnFailed(TimePoint aNow, const ReadRank& aRank);

  /// Says whether this host is one that reads: it has done so lately.
  bool Reads(TimePoint aNow) const;

  /// Says whether this host's last try failed.
  bool HasLostStore() const { return failures_ > 0; }

private:
  std::chrono::milliseconds Bound(TimePoint aNow, const ReadRank& aRank) const;
  std::chrono::milliseconds PauseOf(const ReadRank& aRank) const;

  Options options_;
  int failures_ = 0;              // in a row
  TimePoint tryAt_{};             // no try before
  std::optional<TimePoint> read_; // the last time that it succeeded
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_READ_TURN_H_
