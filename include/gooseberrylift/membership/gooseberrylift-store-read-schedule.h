// Decides when this host reads the platform's store. Calls to the store are
// paid for, so their rate must not grow with the number of hosts: a fleet of
// any size makes one or two calls a second.

#ifndef GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_STORE_READ_SCHEDULE_H_
#define GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_STORE_READ_SCHEDULE_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// The position of a host among the live hosts that it knows.
struct ReaderRank
{
  std::size_t hosts_ = 1; // live hosts, including this one
  // The number of hosts ranked before this one, and how many of them report
  // that they can read the store.
  std::size_t rank_ = 0;
  std::size_t reachableBefore_ = 0;
};

// A live host, as described by its own digest.
struct ReaderCandidate
{
  std::string host_;
  bool storeUnreachable_ = false; // its last attempt to read the store failed
  bool leaving_ = false;          // it is about to stop
};

/// Returns whether a host ranks before another. The order is that of a hash of
/// the names.
bool RanksBefore(const std::string& aHost, const std::string& aOther);

/// Ranks hosts by a hash of their names, so that hosts that see the same fleet
/// compute the same order, and the failure of one host does not reorder others.
/// @param aSelf this host
/// @param aOthers the other live hosts
ReaderRank RankReaders(const ReaderCandidate& aSelf,
                       const std::vector<ReaderCandidate>& aOthers);

// The same rule applies from one host to thousands: a host reads the store when
// the latest read that it knows of, its own or another host's, is older than
// the maximum age for its rank. The first host by rank reads each second. While
// its results propagate, no other host reaches its maximum age. If it fails or
// loses the store, the next host reaches its maximum age, and so on; the first
// one to succeed continues each second. There is no election: hosts with
// different views of the fleet read more often, never less. A host that has
// just started reads at once, whatever others know, because its callers are
// refused until it has routes.
//
// The maximum age depends on the rank among all live hosts, including those
// that have lost the store. Otherwise each failure would lower the maximum age
// of all other hosts, and hundreds would try at once during a store outage.
//
// Not thread-safe.
class StoreReadSchedule
{
public:
  struct Options
  {
    // Between two reads of the first host. It sees changes within this time,
    // and other hosts receive them a few hundred ms later; in the smallest
    // fleets a change must reach every host within 2 s.
    std::chrono::milliseconds interval_{ 1'000 };
    // How long a result takes to reach the other hosts, per doubling of their
    // number. Hosts exchange status each 150 ms with one to three others, and
    // each round more than doubles the number of hosts that have it.
    std::chrono::milliseconds propagationPerDoubling_{ 100 };
    // Difference of the maximum age between two ranks. In an outage of the
    // store, ten hosts a second start trying.
    std::chrono::milliseconds rankStep_{ 100 };
    // Upper limit of the maximum age, however many hosts rank before this one.
    // The hosts' limits are spread by rank over maxAgeSpread_ after it. Keys
    // are refused after five seconds, and this host may be unable to receive
    // the results of any other.
    std::chrono::milliseconds maxAge_{ 3'300 };
    std::chrono::milliseconds maxAgeSpread_{ 1'000 };
    // Delay after a failed attempt, doubled with each further failure up to
    // maxRetryDelay_. The first delay is short, for a store that fails a third
    // of its calls. The longest bounds how late a recovery of the store is
    // noticed, since callers with keys are refused until then.
    std::chrono::milliseconds retryDelay_{ 300 };
    std::chrono::milliseconds maxRetryDelay_{ 1'000 };
    // Only this many hosts, the first by rank, retry at the above rate. After a
    // failure the others make only fleetRetriesPerSecond_ attempts over the
    // whole fleet, since the store may be refusing just the first hosts.
    std::size_t fastRetryHosts_ = 3;
    double fleetRetriesPerSecond_ = 4;
  };

  explicit StoreReadSchedule(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Returns the time until this host is to read; zero or less if it is due.
  /// @param aAge of the latest read known; nothing without one
  std::chrono::milliseconds TimeUntilDue(
    TimePoint aNow,
    std::optional<std::chrono::milliseconds> aAge,
    const ReaderRank& aRank) const;

  /// Delays the next attempt until a time.
  void DelayUntil(TimePoint aUntil) { nextAttempt_ = aUntil; }

  /// Makes the next attempt due at once, unless the last one failed.
  void CancelDelay();

  /// Records that this host has read the store.
  void OnRead(TimePoint aNow);

  /// Records that this host failed to read the store.
  void OnFailed(TimePoint aNow, const ReaderRank& aRank);

  /// Returns whether this host has read the store within the last few
  /// intervals.
  bool IsActiveReader(TimePoint aNow) const;

  /// Returns whether this host's last attempt failed.
  bool IsStoreUnavailable() const { return consecutiveFailures_ > 0; }

private:
  std::chrono::milliseconds MaxAge(TimePoint aNow,
                                   const ReaderRank& aRank) const;
  std::chrono::milliseconds RetryDelay(const ReaderRank& aRank) const;

  Options options_;
  int consecutiveFailures_ = 0;
  TimePoint nextAttempt_{}; // no attempt before this time
  std::optional<TimePoint> lastRead_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_STORE_READ_SCHEDULE_H_
