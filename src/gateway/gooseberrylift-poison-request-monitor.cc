#include "gooseberrylift/internal/gooseberrylift-poison-request-monitor.h"

#include <algorithm>

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

// The next incarnation of a crashed endpoint starts within this time.
constexpr std::chrono::seconds kMaxWatched{ 6 };

// Crashes and the requests that had begun there are noticed in groups, which
// are sent in one message. The delay is short against the time until the next
// request meets the next endpoint.
constexpr milliseconds kNotificationDelay{ 20 };
// In a large fleet most hosts have the news from several others by then.
constexpr milliseconds kForwardDelay{ 150 };
// Bounds the work of small hosts when many endpoints crash.
constexpr milliseconds kMinNotificationInterval{ 100 };

// The same text for all hosts.
std::string NameOf(const Incarnation& aIncarnation)
{
  const auto start = aIncarnation.startTime_.time_since_epoch().count();
  return start == 0 ? aIncarnation.id_
                    : aIncarnation.id_ + "@" + std::to_string(start);
}

const char* NameOf(ConnectResult aResult)
{
  switch (aResult) {
    case ConnectResult::kAccepted:
      return "accepted";
    case ConnectResult::kRefused:
      return "refused";
    case ConnectResult::kNoAnswer:
      break;
  }
  return "no-answer";
}

} // namespace

PoisonRequestMonitor::PoisonRequestMonitor(Parts aParts)
  : parts_(std::move(aParts))
{
}

void PoisonRequestMonitor::OnArrived(const RequestFeatures& aFeatures)
{
  const std::lock_guard lock(mutex_);
  detector_.OnArrived(aFeatures, system_clock::now());
}

void PoisonRequestMonitor::OnAnswered(const RequestFeatures& aFeatures,
                                      milliseconds aSinceBegin)
{
  {
    const std::lock_guard lock(mutex_);
    detector_.OnAnswered(aFeatures, system_clock::now() - aSinceBegin);
  }
  ApplyChanges();
}

void PoisonRequestMonitor::OnConnectionLost(const RequestFeatures& aFeatures,
                                            const ListedEndpoint& aEndpoint,
                                            bool aJustBegun,
                                            milliseconds aSinceAlive)
{
  const std::string endpoint = NameOf(aEndpoint.IncarnationId());
  bool startCheck = false;
  bool crashed = false;
  {
    const std::lock_guard lock(mutex_);
    const WallTime now = system_clock::now();
    detector_.OnConnectionLost({ .endpoint_ = endpoint,
                                 .features_ = aFeatures,
                                 .justBegun_ = aJustBegun,
                                 .aliveAt_ = now - aSinceAlive },
                               now);
    crashed = detector_.HasExited(endpoint);
    Watched& watched = watched_[endpoint];
    startCheck = !crashed && !watched.checkPending_;
    if (startCheck) {
      watched = { .listed_ = aEndpoint, .checkPending_ = true, .since_ = now };
      ++pendingChecks_;
    }
  }
  ApplyChanges();
  if (crashed && aJustBegun) {
    NotifyPeersAfter(kNotificationDelay); // a further request had begun there
  }
  if (startCheck) {
    SpawnTask(parts_.executor_, CheckForExit(aEndpoint));
  }
}

asio::awaitable<LinkState> PoisonRequestMonitor::ResolveLinkState(
  std::string aService)
{
  LinkState links = parts_.linkState_(aService);
  const TimePoint limit = TimerService::Now() + kMaxVerification;
  while (links == LinkState::kSuspected && TimerService::Now() < limit) {
    co_await TimerService::SleepFor(kVerificationPoll);
    links = parts_.linkState_(aService);
  }
  co_return links;
}

asio::awaitable<void> PoisonRequestMonitor::CheckForExit(
  ListedEndpoint aEndpoint)
{
  co_await TimerService::SleepFor(kCheckDelay);
  const std::string endpoint = NameOf(aEndpoint.IncarnationId());
  const ConnectResult result =
    co_await parts_.client_.TryConnect(aEndpoint.address_, kCheckTimeout);
  const LinkState links = co_await ResolveLinkState(aEndpoint.service_);
  const bool exited =
    result == ConnectResult::kRefused && links == LinkState::kUp;
  {
    const std::lock_guard lock(mutex_);
    --pendingChecks_;
    watched_[endpoint].checkPending_ = false;
    if (result == ConnectResult::kAccepted) {
      watched_.erase(endpoint);
      detector_.OnEndpointAlive(endpoint);
    }
  }
  if (exited) {
    OnEndpointExit(endpoint, NameOf(result));
    co_return;
  }
  Log(LogEvent::kExitUnconfirmed,
      { { "endpoint", endpoint },
        { "connection", NameOf(result) },
        { "links_up", links == LinkState::kUp } });
}

void PoisonRequestMonitor::OnListed(const ListedEndpoint& aEndpoint)
{
  std::vector<std::string> exited;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [incarnation, watched] : watched_) {
      const ListedEndpoint& listed = watched.listed_;
      const bool isReplaced = listed.id_ == aEndpoint.id_
                                ? listed.startTime_ < aEndpoint.startTime_
                                : listed.address_ == aEndpoint.address_;
      if (isReplaced) {
        exited.push_back(incarnation);
      }
    }
  }
  for (const std::string& incarnation : exited) {
    OnEndpointExit(incarnation, "replaced");
  }
}

void PoisonRequestMonitor::OnUnlisted(const std::string& aEndpoint)
{
  std::vector<std::string> exited;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [incarnation, watched] : watched_) {
      if (watched.listed_.id_ == aEndpoint && !watched.checkPending_) {
        exited.push_back(incarnation);
      }
    }
  }
  for (const std::string& incarnation : exited) {
    OnEndpointExit(incarnation, "unlisted");
  }
}

void PoisonRequestMonitor::OnEndpointExit(const std::string& aEndpoint,
                                          const char* aProof)
{
  bool isNews = false;
  bool accuses = false;
  {
    const std::lock_guard lock(mutex_);
    if (!watched_[aEndpoint].checkPending_) {
      watched_.erase(aEndpoint);
    }
    isNews = detector_.OnEndpointExit(aEndpoint, system_clock::now());
    accuses = detector_.HasAccused(aEndpoint);
  }
  if (isNews) {
    Log(LogEvent::kEndpointCrashed,
        { { "endpoint", aEndpoint }, { "proof", aProof } });
    parts_.metrics_.Count("gooseberrylift_endpoint_crashes_total",
                          std::string("proof=\"") + aProof + "\"");
  }
  ApplyChanges();
  if (accuses) {
    NotifyPeersAfter(kNotificationDelay);
  }
}

// Logs the changes and passes them on, since requests with these features may
// arrive at any host.
void PoisonRequestMonitor::ApplyChanges()
{
  std::vector<QuarantineChange> changes;
  {
    const std::lock_guard lock(mutex_);
    changes = detector_.TakeChanges();
  }
  bool own = false;
  for (const QuarantineChange& change : changes) {
    const char* kind = IsPartFeature(change.feature_) ? "part" : "content";
    Log(
      change.released_ ? LogEvent::kQuarantineReleased
                       : LogEvent::kPoisonRequestDetected,
      { { "feature", change.feature_ },
        { "kind", kind },
        { "source", change.fromPeer_ ? "peer" : "own" },
        { "endpoints", change.endpoints_ },
        { "requests", change.arrivals_.all_ },
        { "requests_with_it", change.arrivals_.with_ },
        { "running_ms",
          std::chrono::duration_cast<milliseconds>(TimerService::Now() - start_)
            .count() } });
    parts_.metrics_.Count(change.released_
                            ? "gooseberrylift_quarantine_releases_total"
                            : "gooseberrylift_quarantines_total",
                          std::string("kind=\"") + kind + "\"");
    own = own || !change.fromPeer_;
  }
  if (own) {
    NotifyPeersAfter(kNotificationDelay);
  }
}

void PoisonRequestMonitor::NotifyPeersAfter(milliseconds aDelay)
{
  const TimePoint now = TimerService::Now();
  TimePoint when = now + aDelay;
  {
    const std::lock_guard lock(mutex_);
    if (notifies_) {
      return;
    }
    notifies_ = true;
    when = std::max(when, lastNotified_ + kMinNotificationInterval);
    lastNotified_ = when;
  }
  SpawnTask(parts_.executor_, NotifyPeers(when));
}

asio::awaitable<void> PoisonRequestMonitor::NotifyPeers(TimePoint aWhen)
{
  co_await TimerService::SleepUntil(aWhen);
  {
    const std::lock_guard lock(mutex_);
    notifies_ = false;
  }
  parts_.notifyPeers_();
}

std::optional<std::string> PoisonRequestMonitor::FindQuarantined(
  const RequestFeatures& aFeatures)
{
  const std::lock_guard lock(mutex_);
  return detector_.FindQuarantined(aFeatures, system_clock::now());
}

std::optional<std::string> PoisonRequestMonitor::TryProbe(
  const RequestFeatures& aFeatures,
  const std::string& aRequestId)
{
  std::optional<std::string> feature;
  {
    const std::lock_guard lock(mutex_);
    const WallTime now = system_clock::now();
    if (!detector_.FindQuarantined(aFeatures, now) ||
        !parts_.verifiesQuarantines_()) {
      return std::nullopt;
    }
    feature = detector_.TryProbe(aFeatures, now);
  }
  if (feature) {
    Log(LogEvent::kQuarantineProbed,
        { { "request_id", aRequestId }, { "feature", *feature } });
    parts_.metrics_.Count("gooseberrylift_quarantine_probes_total");
  }
  return feature;
}

void PoisonRequestMonitor::OnProbeNotRun(const std::string& aFeature,
                                         bool aSent)
{
  const std::lock_guard lock(mutex_);
  detector_.OnProbeNotRun(aFeature, aSent, system_clock::now());
}

bool PoisonRequestMonitor::MustAwaitCheck(const RequestFeatures& aFeatures)
{
  const std::lock_guard lock(mutex_);
  return pendingChecks_ > 0 && detector_.IsSuspect(aFeatures);
}

bool PoisonRequestMonitor::HasExited(const ListedEndpoint& aEndpoint)
{
  const std::lock_guard lock(mutex_);
  return detector_.HasExited(NameOf(aEndpoint.IncarnationId()));
}

void PoisonRequestMonitor::OnPeer(const std::vector<QuarantineEntry>& aEntries)
{
  if (aEntries.empty()) {
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    detector_.OnPeer(aEntries, system_clock::now());
  }
  ApplyChanges();
}

void PoisonRequestMonitor::OnPeerEvidence(const CrashEvidence& aEvidence,
                                          bool aForward)
{
  bool isNews = false;
  {
    const std::lock_guard lock(mutex_);
    isNews = detector_.OnPeerEvidence(aEvidence, system_clock::now());
  }
  ApplyChanges();
  if (isNews && aForward) {
    NotifyPeersAfter(kForwardDelay);
  }
}

std::vector<QuarantineEntry> PoisonRequestMonitor::Entries()
{
  const std::lock_guard lock(mutex_);
  return detector_.Entries(system_clock::now());
}

CrashEvidence PoisonRequestMonitor::Evidence()
{
  const std::lock_guard lock(mutex_);
  return detector_.Evidence(system_clock::now());
}

void PoisonRequestMonitor::Sweep()
{
  {
    const std::lock_guard lock(mutex_);
    const WallTime now = system_clock::now();
    detector_.Sweep(now);
    std::erase_if(watched_, [now](const auto& aEntry) {
      const Watched& watched = aEntry.second;
      return !watched.checkPending_ && now - watched.since_ > kMaxWatched;
    });
  }
  ApplyChanges();
}

} // namespace gooseberrylift
