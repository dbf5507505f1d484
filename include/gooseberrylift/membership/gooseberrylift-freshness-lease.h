// Decides whether this host's configuration is fresh enough to authenticate
// callers by their keys. Without this check, a host that is partitioned from
// the store, paused, or fed by a stalled watch would keep accepting a revoked
// key for as long as the fault lasts.

#ifndef GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_FRESHNESS_LEASE_H_
#define GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_FRESHNESS_LEASE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <ratio>

namespace gooseberrylift {

// Time since boot, including time spent suspended, because a lease must expire
// while the host is suspended. A separate clock type prevents mixing it with
// the monotonic time of timers, which stops during suspension.
struct BootClock
{
  // NOLINTBEGIN: these names are required by the standard's Clock concept.
  using rep = std::int64_t;
  using period = std::nano;
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;
  // NOLINTEND
};
using BootTime = BootClock::time_point;

// A lease on the current configuration, renewed by proofs of freshness. A
// proof is a linearizable read: it reflects every change acknowledged before
// the read started. A revoked key may be accepted for the revocation time, so
// the lease expires that long after the start of the latest proof. Only the
// local clock is needed.
//
// A watch that reports no change is not a proof. A store that drops its history
// may stall a watch first, and a host that was paused before it opened the
// watch would count the silence as covering the pause. Not thread-safe.
class FreshnessLease
{
public:
  struct Options
  {
    // How long a revoked key may still be accepted.
    std::chrono::milliseconds revokeWithin_{ 5'000 };
    // Covers the time between the check and the first byte sent to an endpoint,
    // and clock drift between two machines. One hundredth of the default
    // revokeWithin_.
    std::chrono::milliseconds margin_{ 50 };
  };

  explicit FreshnessLease(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Updates the revocation time when the settings change.
  void SetRevokeWithin(std::chrono::milliseconds aRevokeWithin)
  {
    options_.revokeWithin_ = aRevokeWithin;
  }

  /// Renews the lease. A proof older than the latest one is ignored.
  /// @param aReadStart when the read was about to be sent
  void OnProof(BootTime aReadStart);

  /// Returns whether keys may be accepted.
  bool IsValid(BootTime aNow) const;

  /// Returns the time since the latest proof started, or nothing without one.
  std::optional<std::chrono::milliseconds> Age(BootTime aNow) const;

private:
  Options options_;
  std::optional<BootTime> lastProof_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_FRESHNESS_LEASE_H_
