#include "gooseberrylift/internal/gooseberrylift-descriptor-limit.h"

#include <algorithm>
#include <atomic>
#include <memory>

#include <sys/resource.h>

#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace {

// Descriptors kept for everything but callers: a quarter of the limit, at least
// this many, but not more than half.
constexpr std::size_t kMinReserve = 512;

constexpr std::chrono::seconds kLogInterval{ 5 };

} // namespace

std::optional<std::size_t> RaiseDescriptorLimit()
{
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return std::nullopt;
  }
  if (limit.rlim_cur != limit.rlim_max) {
    limit.rlim_cur = limit.rlim_max;
    if (::setrlimit(RLIMIT_NOFILE, &limit) != 0) {
      return std::nullopt;
    }
  }
  if (limit.rlim_cur == RLIM_INFINITY) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(limit.rlim_cur);
}

std::size_t BoundCallerConnections(std::size_t aWanted,
                                   std::optional<std::size_t> aLimit)
{
  if (!aLimit) {
    return aWanted;
  }
  const std::size_t reserve =
    std::min(*aLimit / 2, std::max(*aLimit / 4, kMinReserve));
  return std::clamp<std::size_t>(aWanted, 1, *aLimit - reserve);
}

std::function<void(const boost::system::error_code& aError)>
AcceptErrorRecorder(Metrics& aMetrics)
{
  const auto nextLog =
    std::make_shared<std::atomic<TimePoint>>(TimerService::Now());
  return [&aMetrics, nextLog](const boost::system::error_code& aError) {
    aMetrics.Count("gooseberrylift_accept_errors_total");
    const TimePoint now = TimerService::Now();
    if (now >= nextLog->load()) {
      nextLog->store(now + kLogInterval);
      Log(LogEvent::kAcceptFailed, { { "fault", aError.message() } });
    }
  };
}

} // namespace gooseberrylift
