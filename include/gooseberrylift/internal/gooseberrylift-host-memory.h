// The memory of this host's machine, and what requests may take of it.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_HOST_MEMORY_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_HOST_MEMORY_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/any_io_executor.hpp>

#include "gooseberrylift/internal/gooseberrylift-http.h"
#include "gooseberrylift/internal/gooseberrylift-metrics.h"
#include "gooseberrylift/internal/gooseberrylift-shared-memory-budget.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

/// Makes the allocator return the memory of large bodies to the system as soon
/// as they are freed. Call before threads are started.
void PrepareAllocator();

// Divides the memory among the requests of callers and those of other hosts and
// operators, returns freed memory to the system, and reports requests that
// don't fit.
class HostMemory
{
public:
  /// @param aBytes the memory of the machine; nothing: what the system reports
  HostMemory(Metrics& aMetrics, std::optional<std::uint64_t> aBytes);

  /// Returns the budget of callers' requests.
  const std::shared_ptr<SharedMemoryBudget>& Callers() const
  {
    return callers_;
  }

  /// Returns the budget of requests at the addresses of hosts and operators.
  const std::shared_ptr<SharedMemoryBudget>& Hosts() const { return hosts_; }

  /// Changes the size of the largest request of a caller, in bytes.
  void SetLargest(std::uint64_t aBytes);

  /// Counts a request that is refused, see HttpServer::Options::onMemoryFull_.
  /// Thread-safe.
  void OnRefused(bool aGaveWay);

  /// Returns a function that calls OnRefused.
  std::function<void(const HttpRequest& aHead, bool aGaveWay)> Recorder();

  void Start(const boost::asio::any_io_executor& aExecutor);

private:
  void Check();
  void LogRefusals();
  void Trim();

  Metrics& metrics_;
  std::shared_ptr<SharedMemoryBudget> callers_;
  std::shared_ptr<SharedMemoryBudget> hosts_;
  // Since the last log line.
  std::atomic<std::uint64_t> refused_ = 0;
  std::atomic<std::uint64_t> gaveWay_ = 0;
  std::uint64_t untrimmed_ = 0; // the most that was held since the last trim
  TimerSubscription timer_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_HOST_MEMORY_H_
