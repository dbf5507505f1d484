// Decides whether this host may still let in callers by their keys. The load
// it answers: keys that are taken away while a host is cut off from the store,
// paused, or fed by a watch that has gone mute. Without it such a host goes on
// serving a revoked key for as long as the fault lasts.

#ifndef GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_FRESHNESS_LEASE_H_
#define GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_FRESHNESS_LEASE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <ratio>

namespace gooseberrylift {

// Time since the machine started, with the time in which it was suspended: a
// lease must run out while the host stands still. A type of its own keeps it
// apart from the monotonic time of timers, which stops meanwhile.
struct BootClock
{
  // NOLINTBEGIN: the names are those that the standard asks of a clock.
  using rep = std::int64_t;
  using period = std::nano;
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;
  // NOLINTEND
};
using BootTime = BootClock::time_point;

// A lease on the configuration at hand. A proof that began at some time shows
// every change acknowledged before that; a key that was taken away after it
// may be served for the revocation time. So the lease ends that long after the
// beginning of the last proof, and needs no clock but this host's own.
//
// Only a linearizable read is a proof. A watch that told of no change is none:
// a store that drops its history may keep a watch mute first, and a host that
// stood still before it asked would take that silence for the time in which it
// stood. Not thread-safe.
class FreshnessLease
{
public:
  struct Options
  {
    // How long after a key was taken away it may still be served.
    std::chrono::milliseconds revokeWithin_{ 5'000 };
    // For the steps between the check and the first byte at an endpoint, and
    // for the drift of two machines' clocks; a hundredth of the usual bound.
    std::chrono::milliseconds margin_{ 50 };
  };

  explicit FreshnessLease(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Sets the bound anew, when settings change.
  void SetRevokeWithin(std::chrono::milliseconds aRevokeWithin)
  {
    options_.revokeWithin_ = aRevokeWithin;
  }

  /// Notes a proof. An older one than the last changes nothing.
  /// @param aBegan when the read that proved it was about to be sent
  void OnProof(BootTime aBegan);

  /// Says whether a key may be believed.
  bool IsValid(BootTime aNow) const;

  /// Gives the time since what the last proof showed; nothing without one.
  std::optional<std::chrono::milliseconds> Age(BootTime aNow) const;

private:
  Options options_;
  std::optional<BootTime> proven_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_FRESHNESS_LEASE_H_
