#include "gooseberrylift/internal/gooseberrylift-pause-monitor.h"

#include "gooseberrylift/internal/gooseberrylift-log.h"

namespace gooseberrylift {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kCheckInterval{ 250 };

// Shorter delays occur whenever the processor is busy, and no timeout of a
// request is short enough to expire in them.
constexpr milliseconds kMinPause{ 250 };

} // namespace

void PauseMonitor::Start(const boost::asio::any_io_executor& aExecutor)
{
  lastCheck_ = TimerService::BootNow();
  timer_ = TimerService::Every(kCheckInterval, aExecutor, [this] { Check(); });
}

void PauseMonitor::Check()
{
  const BootTime now = TimerService::BootNow();
  const auto pause =
    duration_cast<milliseconds>(now - lastCheck_) - kCheckInterval;
  lastCheck_ = now;
  if (pause < kMinPause) {
    return;
  }
  metrics_.Count("gooseberrylift_host_pauses_total");
  Log(LogEvent::kHostPaused, { { "paused_ms", pause.count() } });
}

} // namespace gooseberrylift
