// The retry budget of a host, shared by all of its requests.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SHARED_RETRY_BUDGET_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SHARED_RETRY_BUDGET_H_

#include <cstddef>
#include <mutex>
#include <optional>
#include <string>

#include "gooseberrylift/internal/gooseberrylift-metrics.h"
#include "gooseberrylift/limits/gooseberrylift-fleet-retry-budget.h"

namespace gooseberrylift {

// Thread-safe. Logs and counts what the budget decides.
class SharedRetryBudget
{
public:
  explicit SharedRetryBudget(Metrics& aMetrics);

  void SetOptions(FleetRetryBudget::Options aOptions);

  /// Sets the number of hosts that share the budget, this one included.
  void SetHosts(std::size_t aHosts);

  /// Counts a caller's request for a service.
  void OnRequest(const std::string& aService, TimePoint aNow);

  // The retry of one request, from the decision until it is sent. If it is
  // destroyed before, the budget has it back. Not thread-safe.
  class Retry
  {
  public:
    Retry(SharedRetryBudget& aBudget,
          std::string aService,
          std::string aRequestId);
    ~Retry();
    Retry(const Retry&) = delete;
    Retry& operator=(const Retry&) = delete;

    /// Reserves a retry unless one is reserved. Only the first of consecutive
    /// denials is logged and counted.
    /// @return whether one is reserved now
    bool TryReserve();

    /// Gives a reserved retry back that is not needed.
    void Release();

    /// Records that a reserved retry was sent to an endpoint.
    void OnSent();

    /// Records that a reserved retry was passed to another host, which may send
    /// it at any time.
    void OnRelayed();

    /// Records the outcome of a retry that was passed to another host.
    /// @param aSent whether the host may have sent it
    void OnRelayEnded(bool aSent);

  private:
    enum class State
    {
      kNone,
      kReserved,
      kRelayed,
    };

    void Count();

    SharedRetryBudget& budget_;
    std::string service_;
    std::string requestId_;
    State state_ = State::kNone;
    bool isDenied_ = false;
  };

private:
  std::optional<RetryBudgetState> TryReserve(const std::string& aService);
  void RecordDenied(const std::string& aService,
                    const std::string& aRequestId,
                    const RetryBudgetState& aState);

  Metrics& metrics_;
  const double startingCredit_;
  std::mutex mutex_; // guards the member below
  FleetRetryBudget budget_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SHARED_RETRY_BUDGET_H_
