// Scheduler state of one endpoint: its last load report, and the requests this
// host has sent since, which the report does not include yet.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_ENDPOINT_SLOT_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_ENDPOINT_SLOT_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "gooseberrylift/gooseberrylift-concurrency-limit.h"
#include "gooseberrylift/gooseberrylift-cost-model.h"
#include "gooseberrylift/gooseberrylift-endpoint-health.h"
#include "gooseberrylift/gooseberrylift-scheduler-types.h"

namespace gooseberrylift {

// Corrects load reports, which may be seconds old, by the requests sent since.
// Without the correction all hosts send to the same apparently idle endpoint
// until the next report and then all switch to another (herding).
class EndpointSlot
{
public:
  explicit EndpointSlot(EndpointView aView)
    : view_(std::move(aView))
    , health_(EndpointHealth::Options{})
  {
  }

  /// Applies the current view of the endpoint.
  void Update(EndpointView aView, const CostModel& aModel, TimePoint aNow);

  /// Records that a request was sent.
  void OnSent(const RequestInfo& aInfo,
              std::chrono::microseconds aCost,
              TimePoint aNow);

  /// Records that a request received its first token or ended without one.
  void OnPrefillDone(std::uint64_t aId, TimePoint aNow);

  /// Records that a request ended and releases its memory.
  void OnEnded(const RequestInfo& aInfo);

  /// Records that the endpoint asked this host to back off. Only time or a
  /// restart of the endpoint ends a backoff.
  void OnBackoff(std::chrono::milliseconds aDuration, TimePoint aNow);

  /// Returns the remaining time of the endpoint's backoff; zero if it has none.
  std::chrono::microseconds RemainingBackoff(TimePoint aNow) const;

  /// Predicts the delay before the prefill of a new request begins.
  std::chrono::microseconds Backlog(TimePoint aNow) const;

  /// Returns whether the engine's KV cache has room for a request.
  bool HasMemory(const RequestInfo& aInfo) const;

  bool IsPlainService() const { return view_.kind_ == EndpointKind::kService; }

  EndpointView view_;
  EndpointHealth health_;
  ConcurrencyLimit limit_{ ConcurrencyLimit::Options{} }; // plain services only
  int outstanding_ = 0; // requests sent by this host
  bool inLongLane_ = false;
  bool ejected_ = false;

private:
  // A request sent by this host that has no first token yet.
  struct Pending
  {
    std::uint64_t id_;
    std::uint64_t tokens_;
    std::chrono::microseconds cost_;
    TimePoint sent_;
  };

  std::vector<Pending> pending_; // bounded by the concurrency limit
  std::chrono::microseconds pendingCost_{ 0 };
  TimePoint ownBusyUntil_{}; // with requests of this host
  TimePoint backedOffUntil_{};
  TimePoint othersBusyUntil_{};              // with requests of other hosts
  std::uint64_t unreportedMemoryTokens_ = 0; // tokens, since the last report
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_ENDPOINT_SLOT_H_
