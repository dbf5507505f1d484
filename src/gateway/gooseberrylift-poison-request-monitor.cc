#include "gooseberrylift/internal/gooseberrylift-poison-request-monitor.h"

#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::system_clock;

namespace {

// A process that crashes loses its connections and its port in the same moment;
// the wait is for an endpoint whose port closes a little later.
constexpr milliseconds kLookAfter{ 100 };

// A refusal comes within one round trip of a region. A machine that is dark
// gives none, and proves nothing.
constexpr milliseconds kLookTimeout{ 250 };

} // namespace

PoisonRequestMonitor::PoisonRequestMonitor(Parts aParts)
  : parts_(std::move(aParts))
{
}

void PoisonRequestMonitor::OnConnectionLost(const std::string& aFingerprint,
                                            const ListedEndpoint& aEndpoint)
{
  bool quarantined = false;
  bool look = false;
  {
    const std::lock_guard lock(mutex_);
    quarantined = suspects_.OnConnectionLost(
      aFingerprint, aEndpoint.id_, system_clock::now());
    look = looking_.insert(aEndpoint.id_).second;
  }
  if (quarantined) {
    Announce({ aFingerprint }, aEndpoint.id_);
  }
  if (look) {
    SpawnTask(parts_.executor_, Look(aEndpoint));
  }
}

asio::awaitable<void> PoisonRequestMonitor::Look(ListedEndpoint aEndpoint)
{
  co_await TimerService::SleepFor(kLookAfter);
  const bool refused = co_await parts_.client_.IsConnectionRefused(
    aEndpoint.address_, kLookTimeout);
  {
    const std::lock_guard lock(mutex_);
    looking_.erase(aEndpoint.id_);
  }
  if (refused) {
    OnEndpointExit(aEndpoint.id_);
  }
}

void PoisonRequestMonitor::OnEndpointExit(const std::string& aEndpoint)
{
  std::vector<std::string> quarantined;
  {
    const std::lock_guard lock(mutex_);
    quarantined = suspects_.OnEndpointExit(aEndpoint, system_clock::now());
  }
  Announce(quarantined, aEndpoint);
}

void PoisonRequestMonitor::Announce(
  const std::vector<std::string>& aFingerprints,
  const std::string& aEndpoint)
{
  for (const std::string& fingerprint : aFingerprints) {
    Log(LogEvent::kPoisonRequestDetected,
        { { "fingerprint", fingerprint }, { "endpoint", aEndpoint } });
  }
  if (!aFingerprints.empty()) {
    parts_.notifyPeers_(); // the next host that gets one must know
  }
}

bool PoisonRequestMonitor::IsQuarantined(const std::string& aFingerprint)
{
  const std::lock_guard lock(mutex_);
  return suspects_.IsQuarantined(aFingerprint, system_clock::now());
}

void PoisonRequestMonitor::OnPeer(const std::vector<QuarantineEntry>& aEntries)
{
  const std::lock_guard lock(mutex_);
  suspects_.OnPeer(aEntries);
}

std::vector<QuarantineEntry> PoisonRequestMonitor::Entries()
{
  const std::lock_guard lock(mutex_);
  return suspects_.Entries(system_clock::now());
}

} // namespace gooseberrylift
