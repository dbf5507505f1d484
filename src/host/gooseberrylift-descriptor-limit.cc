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

// The parts of these for connections of hosts, operators and the balancer.
constexpr std::size_t kPeersPart = 4;
constexpr std::size_t kAdminPart = 6;
constexpr std::size_t kReadyPart = 16;
constexpr std::size_t kMinConnections = 4;

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

void BoundConnections(Settings& aSettings, std::optional<std::size_t> aLimit)
{
  if (!aLimit) {
    return;
  }
  const std::size_t reserve =
    std::min(*aLimit / 2, std::max(*aLimit / 4, kMinReserve));
  const auto bound = [](ListenSettings& aListener, std::size_t aMost) {
    aListener.maxConnections_ =
      std::min(aListener.maxConnections_, std::max(aMost, kMinConnections));
  };
  aSettings.caller_.maxConnections_ = std::clamp<std::size_t>(
    aSettings.caller_.maxConnections_, 1, *aLimit - reserve);
  bound(aSettings.peer_, reserve / kPeersPart);
  bound(aSettings.admin_, reserve / kAdminPart);
  bound(aSettings.ready_, reserve / kReadyPart);
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
