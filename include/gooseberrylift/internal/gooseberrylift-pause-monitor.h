// Detects that this process did not run for a while, because its machine was
// suspended, overloaded or throttled. All timers are due at the same time then,
// and what other processes sent meanwhile has not been read yet.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PAUSE_MONITOR_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PAUSE_MONITOR_H_

#include <boost/asio/any_io_executor.hpp>

#include "gooseberrylift/internal/gooseberrylift-metrics.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

// Logs and counts pauses. Runs on the executor passed to Start.
class PauseMonitor
{
public:
  explicit PauseMonitor(Metrics& aMetrics)
    : metrics_(aMetrics)
  {
  }

  void Start(const boost::asio::any_io_executor& aExecutor);

private:
  void Check();

  Metrics& metrics_;
  BootTime lastCheck_{};
  TimerSubscription timer_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PAUSE_MONITOR_H_
