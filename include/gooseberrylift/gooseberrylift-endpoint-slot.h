// What a scheduler keeps of one endpoint: the last report, and what this host
// itself has sent since, which the report can't show yet.

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

// The load pattern it answers: load reports that are up to seconds old. Without
// the correction each host sees the same idle endpoint until the next report
// and all send to it at once, then all turn to the next (herding).
class EndpointSlot
{
public:
  explicit EndpointSlot(EndpointView aView)
    : view_(std::move(aView))
    , health_(EndpointHealth::Options{})
  {
  }

  /// Takes in what is now known of the endpoint.
  void Update(EndpointView aView, const CostModel& aModel, TimePoint aNow);

  /// Notes that a request was sent.
  void OnSent(const RequestInfo& aInfo,
              std::chrono::microseconds aCost,
              TimePoint aNow);

  /// Notes that the first token of a request came, or that it ended before.
  void OnStarted(std::uint64_t aId, TimePoint aNow);

  /// Notes that a request ended and holds no memory any more.
  void OnEnded(const RequestInfo& aInfo);

  /// Predicts how long a new request waits before its own prefill begins.
  std::chrono::microseconds Backlog(TimePoint aNow) const;

  /// Says whether the engine's memory has room for a request.
  bool HasMemory(const RequestInfo& aInfo) const;

  bool IsPlain() const { return view_.kind_ == EndpointKind::kService; }

  EndpointView view_;
  EndpointHealth health_;
  ConcurrencyLimit limit_{ ConcurrencyLimit::Options{} }; // plain services
  int outstanding_ = 0; // requests of this host
  bool longLane_ = false;
  bool ejected_ = false;

private:
  // A request of this host whose first token has not come.
  struct Pending
  {
    std::uint64_t id_;
    std::uint64_t tokens_;
    std::chrono::microseconds cost_;
    TimePoint sent_;
  };

  std::vector<Pending> pending_; // bounded by the endpoint's concurrency
  std::chrono::microseconds pendingCost_{ 0 };
  TimePoint busyUntil_{};        // by this host's own requests
  TimePoint othersUntil_{};      // by what other hosts sent
  std::uint64_t memorySent_ = 0; // tokens, since the last report
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_ENDPOINT_SLOT_H_
