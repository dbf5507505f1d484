// Load that is counted at an endpoint in addition to its requests: while it
// rejects requests because it is full, while it has asked other hosts for a
// backoff, and while it returns to use. An endpoint that rejects ends its
// requests at once, so that it looks idle and would receive the next ones; and
// one that returns would receive the requests of all hosts at the same moment.

#ifndef GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_ENDPOINT_PRESSURE_H_
#define GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_ENDPOINT_PRESSURE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "gooseberrylift/gooseberrylift-endpoint.h"
#include "gooseberrylift/routing/gooseberrylift-fleet-load.h"
#include "gooseberrylift/routing/gooseberrylift-fleet-placement.h"

namespace gooseberrylift {

// Why an endpoint is under pressure.
enum class PressureCause
{
  kRejected,  // it rejected requests of this host or of another one
  kBackedOff, // it asked this host or another one for a backoff
  kEjected,   // this host ejected it
  kReturned,  // it started, or its zone is no longer evacuated
};

/// Returns the name of a cause, for logs.
const char* NameOf(PressureCause aCause);

// The beginning or the end of an endpoint's pressure.
struct PressureChange
{
  std::string endpoint_;
  bool began_ = false;
  PressureCause cause_ = PressureCause::kRejected;
  bool told_ = false;  // by another host
  int rejections_ = 0; // in a row
  std::chrono::milliseconds remaining_{ 0 };
};

// For each endpoint, a pressure is a hold followed by a ramp. During the hold,
// every request counts additional load at the endpoint. During the ramp, a
// growing share of the requests counts none, up to a multiple of the endpoint's
// equal share of the service's requests. Each request decides that by itself,
// so the share holds for all hosts together without any message between them.
//
// Only the difference to the least pressured endpoint is counted. So a service
// whose endpoints all reject is used as if none did, and no pressure makes a
// request wait or fail. Not thread-safe.
class EndpointPressure
{
public:
  struct Options
  {
    // Hold after a rejection, doubled with each further one up to maxHold_. A
    // request that is served for a moment longer elsewhere costs less than an
    // attempt that is lost.
    std::chrono::milliseconds initialHold_{ 250 };
    std::chrono::milliseconds maxHold_{ 2'000 };
    // A ramp is as long as the hold before it, within initialHold_ and this.
    std::chrono::milliseconds maxRamp_{ 2'000 };
    // At the end of a ramp, an endpoint receives up to this multiple of its
    // equal share of the requests.
    double rampHeadroom_ = 2;
    // Where the ramp of an endpoint begins that was not overloaded but started
    // or returned, as a share of the ramp: it gets requests at once.
    double returnedRampStart_ = 0.25;
    // After a request of this host was answered, other hosts' reports about the
    // endpoint are not applied for this time.
    std::chrono::milliseconds trust_{ 2'000 };
    // Time for which a rejection is told at least: longer than the interval
    // between the snapshots of a large fleet.
    std::chrono::milliseconds minReporting_{ 800 };
    // Limit of a backoff that another host reports.
    std::chrono::milliseconds maxReportedBackoff_{ 10'000 };
    // Time after a pressure for which the number of rejections is remembered.
    std::chrono::milliseconds memory_{ 2'000 };
  };

  explicit EndpointPressure(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Records that an endpoint rejected a request of this host as full and
  /// didn't ask for a backoff.
  /// @param aSentAt when the request was sent; a request that was sent before
  /// the current pressure began is no new evidence
  /// @return whether a new hold began, which other hosts should know of
  bool OnRejected(const std::string& aEndpoint,
                  TimePoint aSentAt,
                  TimePoint aNow);

  /// Records that an endpoint began to answer a request of this host.
  void OnAnswered(const std::string& aEndpoint,
                  TimePoint aSentAt,
                  TimePoint aNow);

  /// Records that an endpoint asked this host for a backoff.
  void OnBackoff(const std::string& aEndpoint,
                 std::chrono::milliseconds aDuration,
                 TimePoint aNow);

  /// Records that this host ejected an endpoint until the given time.
  void OnEjected(const std::string& aEndpoint,
                 TimePoint aUntil,
                 TimePoint aNow);

  /// Records that an endpoint starts to receive requests, or does so again.
  void OnReturned(const std::string& aEndpoint, TimePoint aNow);

  /// Applies what another host reports about an endpoint. Its rejections and
  /// backoffs bind only the host that received them: they count less than what
  /// this host received, so that a faulty host can't overload the endpoints
  /// that it doesn't report.
  void OnPeerReport(const EndpointShare& aShare, TimePoint aNow);

  /// Adds the rejections and backoffs that this host received to its load, with
  /// new shares for endpoints at which it has no requests.
  void AddReportsTo(std::vector<EndpointShare>& aShares, TimePoint aNow) const;

  /// Adds the same for one endpoint.
  void AddReportsTo(EndpointShare& aShare, TimePoint aNow) const;

  /// Adds the counted load to the candidates of a request.
  /// @param aDraw random, and the same whenever the request is placed
  /// @return the number of candidates under pressure
  std::size_t AddTo(std::vector<PlacementCandidate>& aCandidates,
                    std::uint64_t aDraw,
                    TimePoint aNow) const;

  /// Removes what has ended.
  /// @return the pressures that began or ended since the previous call
  std::vector<PressureChange> Sweep(TimePoint aNow);

private:
  struct Record
  {
    PressureCause cause_ = PressureCause::kRejected;
    bool told_ = false;  // known from other hosts only
    int rejections_ = 0; // in a row, over all hosts
    TimePoint heldFrom_{};
    TimePoint heldUntil_{};
    TimePoint rampUntil_{};
    TimePoint ownRejectionUntil_{}; // told to others until then
    TimePoint ownBackoffUntil_{};
    TimePoint trustedUntil_{};
    bool isNew_ = true;  // its beginning was not returned by Sweep yet
    bool isOpen_ = true; // nor its end
  };

  std::chrono::milliseconds HoldFor(int aRejections) const;
  void Hold(Record& aRecord,
            PressureCause aCause,
            std::chrono::milliseconds aDuration,
            TimePoint aNow);
  static bool AppliesPeerReport(const Record& aRecord, TimePoint aNow);
  int SlotsPerSlot(const std::string& aEndpoint,
                   std::uint64_t aDraw,
                   std::size_t aCandidates,
                   TimePoint aNow) const;
  static void AddReportsTo(const Record& aRecord,
                           EndpointShare& aShare,
                           TimePoint aNow);
  static void Report(const std::string& aEndpoint,
                     Record& aRecord,
                     TimePoint aNow,
                     std::vector<PressureChange>& aChanges);

  Options options_;
  std::unordered_map<std::string, Record> records_; // by endpoint
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_ENDPOINT_PRESSURE_H_
