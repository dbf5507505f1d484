#include "gooseberrylift/internal/gooseberrylift-poison-request-monitor.h"

#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::system_clock;

namespace {

// A crashing process usually loses its connections and its listening port at
// the same time. The delay allows for endpoints whose port closes slightly
// later.
constexpr milliseconds kCheckDelay{ 100 };

// A refused connection is reported within one round trip in the region. An
// unreachable machine doesn't respond, which proves nothing.
constexpr milliseconds kCheckTimeout{ 250 };

// Suspected links are verified within this time.
constexpr milliseconds kMaxVerification{ 1'000 };
constexpr milliseconds kVerificationPoll{ 20 };

} // namespace

PoisonRequestMonitor::PoisonRequestMonitor(Parts aParts)
  : parts_(std::move(aParts))
{
}

void PoisonRequestMonitor::OnConnectionLost(const std::string& aFingerprint,
                                            const ListedEndpoint& aEndpoint)
{
  bool quarantined = false;
  bool startCheck = false;
  {
    const std::lock_guard lock(mutex_);
    quarantined = detector_.OnConnectionLost(
      aFingerprint, aEndpoint.id_, system_clock::now());
    startCheck = beingChecked_.insert(aEndpoint.id_).second;
  }
  if (quarantined) {
    ReportQuarantined({ aFingerprint }, aEndpoint.id_);
  }
  if (startCheck) {
    SpawnTask(parts_.executor_, CheckForExit(aEndpoint));
  }
}

asio::awaitable<void> PoisonRequestMonitor::CheckForExit(
  ListedEndpoint aEndpoint)
{
  co_await TimerService::SleepFor(kCheckDelay);
  const bool refused = co_await parts_.client_.IsConnectionRefused(
    aEndpoint.address_, kCheckTimeout);
  LinkState links = parts_.linkState_(aEndpoint.service_);
  const TimePoint limit = TimerService::Now() + kMaxVerification;
  while (links == LinkState::kSuspected && TimerService::Now() < limit) {
    co_await TimerService::SleepFor(kVerificationPoll);
    links = parts_.linkState_(aEndpoint.service_);
  }
  {
    const std::lock_guard lock(mutex_);
    beingChecked_.erase(aEndpoint.id_);
  }
  if (refused && links == LinkState::kUp) {
    Log(LogEvent::kEndpointCrashed,
        { { "endpoint", aEndpoint.id_ }, { "proof", "refused" } });
    OnEndpointExit(aEndpoint.id_);
    co_return;
  }
  Log(LogEvent::kExitUnconfirmed,
      { { "endpoint", aEndpoint.id_ },
        { "connection", refused ? "refused" : "other" },
        { "links_up", links == LinkState::kUp } });
}

void PoisonRequestMonitor::OnEndpointExit(const std::string& aEndpoint)
{
  std::vector<std::string> quarantined;
  {
    const std::lock_guard lock(mutex_);
    quarantined = detector_.OnEndpointExit(aEndpoint, system_clock::now());
  }
  ReportQuarantined(quarantined, aEndpoint);
}

void PoisonRequestMonitor::ReportQuarantined(
  const std::vector<std::string>& aFingerprints,
  const std::string& aEndpoint)
{
  for (const std::string& fingerprint : aFingerprints) {
    Log(LogEvent::kPoisonRequestDetected,
        { { "fingerprint", fingerprint }, { "endpoint", aEndpoint } });
  }
  if (!aFingerprints.empty()) {
    parts_.notifyPeers_(); // the caller may retry at any host
  }
}

bool PoisonRequestMonitor::IsQuarantined(const std::string& aFingerprint)
{
  const std::lock_guard lock(mutex_);
  return detector_.IsQuarantined(aFingerprint, system_clock::now());
}

void PoisonRequestMonitor::OnPeer(const std::vector<QuarantineEntry>& aEntries)
{
  const std::lock_guard lock(mutex_);
  detector_.OnPeer(aEntries);
}

std::vector<QuarantineEntry> PoisonRequestMonitor::Entries()
{
  const std::lock_guard lock(mutex_);
  return detector_.Entries(system_clock::now());
}

} // namespace gooseberrylift
