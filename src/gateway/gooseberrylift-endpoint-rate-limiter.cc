#include "gooseberrylift/internal/gooseberrylift-endpoint-rate-limiter.h"

#include <algorithm>

#include "gooseberrylift/gooseberrylift-digest-codec.h"
#include "gooseberrylift/gooseberrylift-json-text.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

// Fields of permit requests and responses between hosts.
constexpr const char* kRates = "rates";
constexpr const char* kPermits = "permits";
constexpr const char* kRetryMs = "retry_ms";
constexpr const char* kColdMs = "cold_ms"; // absent if the endpoint is warm
constexpr const char* kGranter = "granter";
constexpr const char* kGranterAddress = "granter_address";

void LogRate(const EndpointRate& aRate, const char* aSource)
{
  json fields = { { "endpoint", aRate.endpoint_.id_ },
                  { "limited", aRate.perSecond_.has_value() },
                  { "version", aRate.version_ },
                  { "source", aSource } };
  if (aRate.perSecond_) {
    fields["per_second"] = *aRate.perSecond_;
  }
  Log(LogEvent::kEndpointRate, std::move(fields));
}

// A cold endpoint is warm after a few seconds, and the share of a granting host
// may grow at any moment.
constexpr milliseconds kMaxColdRetry{ 500 };

std::string LabelOf(const std::string& aEndpoint)
{
  return "endpoint=\"" + aEndpoint + "\"";
}

double RandomPhase()
{
  std::random_device source;
  return std::uniform_real_distribution<>(0, 1)(source);
}

json MakePermitParams(const EndpointRate& aRate,
                      std::optional<milliseconds> aCold)
{
  json params;
  params[kRates] = EndpointRatesToJson({ aRate });
  if (aCold) {
    params[kColdMs] = aCold->count();
  }
  return params;
}

void LogColdChange(const ColdChange& aChange)
{
  json fields = { { "endpoint", aChange.endpoint_.id_ },
                  { "cold", aChange.state_.has_value() } };
  if (aChange.state_) {
    fields["source"] = NameOf(aChange.state_->source_);
    fields["stated_ms"] = aChange.state_->stated_.count();
    fields["per_second"] = aChange.state_->terms_.perSecond_;
  }
  Log(LogEvent::kEndpointCold, std::move(fields));
}

} // namespace

EndpointRateLimiter::EndpointRateLimiter(Parts aParts, Options aOptions)
  : parts_(std::move(aParts))
  , options_(std::move(aOptions))
  , granter_({ .phase_ = RandomPhase() })
  , startedAt_(TimerService::Now())
  , random_(std::random_device{}())
{
}

void EndpointRateLimiter::OnAnswer(const Incarnation& aEndpoint,
                                   const AdvertisedRateLimit& aNotice,
                                   TimePoint aSent)
{
  std::optional<EndpointRate> changed;
  {
    const std::lock_guard lock(mutex_);
    changed = rates_.OnAnswer(aEndpoint, aNotice, aSent, TimerService::Now());
  }
  if (changed) {
    OnChanged(*changed, "answer");
    parts_.notifyPeers_();
  }
}

void EndpointRateLimiter::OnPeer(const std::vector<EndpointRate>& aEntries)
{
  if (aEntries.empty()) {
    return;
  }
  std::vector<EndpointRate> changed;
  {
    const std::lock_guard lock(mutex_);
    changed = rates_.OnPeer(aEntries, parts_.isListed_, TimerService::Now());
  }
  for (const EndpointRate& rate : changed) {
    OnChanged(rate, "peer");
  }
}

void EndpointRateLimiter::OnChanged(const EndpointRate& aRate,
                                    const char* aSource)
{
  LogRate(aRate, aSource);
  if (!aRate.perSecond_) {
    const std::lock_guard lock(mutex_);
    granter_.Forget(aRate.endpoint_);
    permits_.Forget(aRate.endpoint_);
  }
}

void EndpointRateLimiter::SetPeers(const std::vector<Digest>& aLive,
                                   std::size_t aKnown,
                                   const std::vector<PeerMember>& aMembers,
                                   bool aStopping)
{
  const bool small = aKnown < PeerTable::kSmallFleet;
  std::map<std::string, std::vector<PeerMember>> hosts;
  for (const Digest& digest : aLive) {
    if (!digest.draining_) {
      hosts[small ? std::string() : digest.zone_].push_back(
        { .host_ = digest.host_, .address_ = digest.peerAddress_ });
    }
  }
  const std::string scope = small ? std::string() : options_.zone_;
  if (!aStopping || aLive.empty()) {
    hosts[scope].push_back({ .host_ = options_.host_ });
  }
  std::vector<PeerMember> zoneHosts;
  std::size_t liveInZone = 0;
  for (const Digest& digest : aLive) {
    if (digest.zone_ != options_.zone_) {
      continue;
    }
    ++liveInZone;
    if (!digest.draining_) {
      zoneHosts.push_back(
        { .host_ = digest.host_, .address_ = digest.peerAddress_ });
    }
  }
  if (!aStopping || zoneHosts.empty()) {
    zoneHosts.push_back({ .host_ = options_.host_ });
  }
  const auto knownInZone = std::count_if(
    aMembers.begin(), aMembers.end(), [this](const PeerMember& aMember) {
      return aMember.zone_ == options_.zone_;
    });
  const std::lock_guard lock(mutex_);
  zoneHosts_ = std::move(zoneHosts);
  liveInZone_ = liveInZone;
  knownInZone_ = static_cast<std::size_t>(knownInZone);
  knownHosts_ = aKnown;
  for (const PeerMember& member : aMembers) {
    seenZones_.insert(member.zone_);
  }
  // A host that is disconnected from all others can't know what they grant, so
  // it assumes that each of them grants permits too.
  granterCount_ = aLive.empty() ? aKnown + 1 : 1;
  hosts_ = std::move(hosts);
  ownScope_ = scope;
}

std::vector<EndpointRate> EndpointRateLimiter::Entries()
{
  const std::lock_guard lock(mutex_);
  return rates_.Entries();
}

std::optional<double> EndpointRateLimiter::Of(const Incarnation& aEndpoint)
{
  const std::lock_guard lock(mutex_);
  const auto limit = rates_.Of(aEndpoint);
  const auto cold = cold_.Find(aEndpoint, TimerService::Now());
  if (!limit || !cold) {
    return cold ? cold->terms_.perSecond_ : limit;
  }
  return std::min(*limit, cold->terms_.perSecond_);
}

bool EndpointRateLimiter::IsCold(const Incarnation& aEndpoint)
{
  const std::lock_guard lock(mutex_);
  return cold_.Find(aEndpoint, TimerService::Now()).has_value();
}

std::size_t EndpointRateLimiter::CountCold()
{
  const std::lock_guard lock(mutex_);
  return cold_.CountCold(TimerService::Now());
}

void EndpointRateLimiter::SetColdTerms(std::map<std::string, ColdTerms> aTerms,
                                       std::size_t aZones)
{
  {
    const std::lock_guard lock(mutex_);
    cold_.SetTerms(std::move(aTerms));
    configuredZones_ = aZones;
  }
  ReportColdChanges();
}

void EndpointRateLimiter::OnListed(const ListedEndpoint& aListed)
{
  {
    const std::lock_guard lock(mutex_);
    cold_.OnListed(aListed, TimerService::Now());
  }
  ReportColdChanges();
}

void EndpointRateLimiter::ReportColdChanges()
{
  std::vector<ColdChange> changes;
  {
    const std::lock_guard lock(mutex_);
    changes = cold_.TakeChanges(TimerService::Now());
    for (const ColdChange& change : changes) {
      if (!change.state_ && !rates_.Of(change.endpoint_)) {
        granter_.Forget(change.endpoint_);
        permits_.Forget(change.endpoint_);
      }
    }
  }
  for (const ColdChange& change : changes) {
    LogColdChange(change);
  }
}

// Must be called with mutex_ locked.
bool EndpointRateLimiter::NeedsPermit(const Incarnation& aEndpoint,
                                      TimePoint aNow) const
{
  return rates_.Of(aEndpoint).has_value() ||
         cold_.Find(aEndpoint, aNow).has_value();
}

// Must be called with mutex_ locked.
EndpointRateLimiter::PermitRequest EndpointRateLimiter::MakeRequest(
  const Incarnation& aEndpoint,
  TimePoint aNow) const
{
  PermitRequest request{ .rate_ = rates_.Find(aEndpoint).value_or(
                           EndpointRate{ .endpoint_ = aEndpoint }) };
  if (const auto cold = cold_.Find(aEndpoint, aNow)) {
    request.cold_ = cold->stated_;
  }
  return request;
}

LimitedEndpoints EndpointRateLimiter::CheckPermits(
  const std::vector<ListedEndpoint>& aCandidates)
{
  const TimePoint now = TimerService::Now();
  LimitedEndpoints limited;
  std::vector<PermitRequest> requests;
  {
    const std::lock_guard lock(mutex_);
    if (!rates_.HasLimits() && !cold_.HasCold(now)) {
      return limited;
    }
    std::vector<Incarnation> withheldCold;
    for (const ListedEndpoint& candidate : aCandidates) {
      const Incarnation incarnation = candidate.IncarnationId();
      const bool cold = cold_.Find(incarnation, now).has_value();
      if (!cold && !rates_.Of(incarnation)) {
        continue;
      }
      if (permits_.Has(incarnation, now)) {
        limited.permitted_.insert(incarnation.id_);
        if (cold) {
          limited.cold_.insert(incarnation.id_);
        }
        continue;
      }
      limited.withheld_.insert(incarnation.id_);
      if (cold) {
        withheldCold.push_back(incarnation);
      } else if (permits_.TryBeginRequest(incarnation, now)) {
        requests.push_back(MakeRequest(incarnation, now));
      }
    }
    if (!withheldCold.empty()) {
      const Incarnation& one = withheldCold[random_() % withheldCold.size()];
      if (permits_.TryBeginRequest(one, now)) {
        requests.push_back(MakeRequest(one, now));
      }
    }
  }
  for (PermitRequest& request : requests) {
    SpawnTask(parts_.executor_, RequestPermits(std::move(request)));
  }
  for (const std::string& id : limited.withheld_) {
    parts_.metrics_.Count("gooseberrylift_limited_endpoint_withheld_total",
                          LabelOf(id));
  }
  return limited;
}

bool EndpointRateLimiter::Take(const Incarnation& aEndpoint)
{
  bool cold = false;
  {
    const TimePoint now = TimerService::Now();
    const std::lock_guard lock(mutex_);
    if (!NeedsPermit(aEndpoint, now)) {
      return true;
    }
    if (!permits_.Take(aEndpoint, now)) {
      return false;
    }
    cold = cold_.Find(aEndpoint, now).has_value();
  }
  parts_.metrics_.Count("gooseberrylift_limited_endpoint_sends_total",
                        LabelOf(aEndpoint.id_));
  if (cold) {
    parts_.metrics_.Count("gooseberrylift_cold_endpoint_sends_total", "");
  }
  return true;
}

milliseconds EndpointRateLimiter::TimeUntilPermit(
  const std::vector<ListedEndpoint>& aEndpoints)
{
  const TimePoint now = TimerService::Now();
  auto soonest = milliseconds::max();
  const std::lock_guard lock(mutex_);
  for (const ListedEndpoint& endpoint : aEndpoints) {
    soonest = std::min(soonest,
                       permits_.TimeUntilPermit(endpoint.IncarnationId(), now));
  }
  return soonest;
}

// Must be called with mutex_ locked.
EndpointRateLimiter::Granter EndpointRateLimiter::GranterFor(
  const PermitRequest& aRequest)
{
  const Incarnation& endpoint = aRequest.rate_.endpoint_;
  if (aRequest.cold_) {
    return ChooseAmong(endpoint, zoneHosts_);
  }
  std::vector<std::string> zones;
  zones.reserve(hosts_.size());
  for (const auto& [zone, members] : hosts_) {
    zones.push_back(zone);
  }
  const auto found = hosts_.find(ChooseGranter(endpoint, zones));
  if (found == hosts_.end()) {
    return {};
  }
  const std::vector<PeerMember>& members = found->second;
  if (found->first != ownScope_) {
    // Each host of that zone can name the zone's granting host.
    return members[random_() % members.size()];
  }
  return ChooseAmong(endpoint, members);
}

EndpointRateLimiter::Granter EndpointRateLimiter::ChooseAmong(
  const Incarnation& aEndpoint,
  const std::vector<PeerMember>& aMembers) const
{
  std::vector<std::string> names;
  names.reserve(aMembers.size());
  for (const PeerMember& member : aMembers) {
    names.push_back(member.host_);
  }
  const std::string first = ChooseGranter(aEndpoint, names);
  const auto found = std::find_if(
    aMembers.begin(), aMembers.end(), [&first](const PeerMember& aMember) {
      return aMember.host_ == first;
    });
  return found == aMembers.end() ? Granter{} : *found;
}

asio::awaitable<void> EndpointRateLimiter::RequestPermits(
  PermitRequest aRequest)
{
  const Incarnation endpoint = aRequest.rate_.endpoint_;
  Granter granter;
  {
    const std::lock_guard lock(mutex_);
    granter = GranterFor(aRequest);
    if (granter.host_ == options_.host_) {
      permits_.OnGrant(endpoint, GrantPermits(aRequest), TimerService::Now());
      co_return;
    }
  }
  if (!granter.host_.empty()) {
    const auto answer = co_await RequestFromGranter(aRequest, granter);
    if (answer) {
      ApplyGrant(aRequest, answer.value());
      co_return;
    }
  }
  const std::lock_guard lock(mutex_);
  permits_.OnRequestFailed(endpoint, TimerService::Now());
}

// Sends a permit request to the presumed granting host. If that host doesn't
// grant for this endpoint, it names the one that does, which is tried next.
asio::awaitable<Outcome<json>> EndpointRateLimiter::RequestFromGranter(
  PermitRequest aRequest,
  Granter aGranter)
{
  const TimePoint deadline = TimerService::Now() + options_.requestTimeout_;
  json params = MakePermitParams(aRequest.rate_, aRequest.cold_);
  auto answer = co_await parts_.call_(aGranter, params, deadline);
  if (!answer || !answer.value().contains(kGranter)) {
    co_return answer;
  }
  aGranter.host_ = JsonFieldOr(answer.value(), kGranter, std::string());
  aGranter.address_ =
    JsonFieldOr(answer.value(), kGranterAddress, std::string());
  co_return co_await parts_.call_(aGranter, std::move(params), deadline);
}

void EndpointRateLimiter::ApplyGrant(const PermitRequest& aRequest,
                                     const json& aAnswer)
{
  const Incarnation& endpoint = aRequest.rate_.endpoint_;
  RateGrant grant;
  std::vector<EndpointRate> rates;
  try {
    rates = EndpointRatesFromJson(aAnswer.at(kRates));
    grant.permits_ = aAnswer.value(kPermits, 0);
    grant.retryAfter_ = milliseconds(aAnswer.at(kRetryMs).get<std::int64_t>());
  } catch (const json::exception&) {
    // Also if the host named as the granting one doesn't grant either.
    const std::lock_guard lock(mutex_);
    permits_.OnRequestFailed(endpoint, TimerService::Now());
    return;
  }
  if (aRequest.cold_) {
    grant.lifetime_ = kColdPermitLifetime;
  }
  {
    const std::lock_guard lock(mutex_);
    permits_.OnGrant(endpoint, grant, TimerService::Now());
  }
  OnPeer(rates);
}

// Must be called with mutex_ locked.
ColdShareView EndpointRateLimiter::ShareView() const
{
  std::set<std::string> zones = seenZones_;
  zones.insert(options_.zone_);
  return { .zones_ = std::max(configuredZones_, zones.size()),
           .liveInZone_ = liveInZone_,
           .knownInZone_ = std::max(knownInZone_, liveInZone_) };
}

// Must be called with mutex_ locked.
RateGrant EndpointRateLimiter::GrantColdPermits(const PermitRequest& aRequest)
{
  const Incarnation& endpoint = aRequest.rate_.endpoint_;
  const TimePoint now = TimerService::Now();
  cold_.OnPeer(endpoint, aRequest.cold_.value_or(milliseconds(0)), now);
  const auto terms = cold_.TermsOf(endpoint);
  const bool isAlone = options_.hasPeers_ && knownHosts_ == 0;
  const bool hasStarted = now - startedAt_ >= options_.startSettleTime_;
  GrantTerms grant;
  if (terms && hasStarted && !isAlone) {
    grant.perSecond_ = ColdGrantRate(*terms, ShareView());
    if (const auto limit = rates_.Of(endpoint)) {
      grant.perSecond_ = std::min(grant.perSecond_, *limit);
    }
  }
  if (const auto state = cold_.Find(endpoint, now)) {
    grant.notBefore_ = state->firstPermit_;
  }
  RateGrant granted = granter_.RequestPermits(endpoint, grant, now);
  granted.retryAfter_ = std::min(granted.retryAfter_, kMaxColdRetry);
  granted.lifetime_ = kColdPermitLifetime;
  return granted;
}

// Must be called with mutex_ locked.
RateGrant EndpointRateLimiter::GrantPermits(const PermitRequest& aRequest)
{
  if (aRequest.cold_) {
    return GrantColdPermits(aRequest);
  }
  const EndpointRate& asked = aRequest.rate_;
  const auto known = rates_.Find(asked.endpoint_);
  const auto rate = known ? known->perSecond_ : asked.perSecond_;
  if (!rate) {
    // The limit was lifted. The requesting host learns it from the entry.
    return {};
  }
  return granter_.RequestPermits(
    asked.endpoint_, *rate, granterCount_, TimerService::Now());
}

json EndpointRateLimiter::Answer(const json& aParams)
{
  std::vector<EndpointRate> rates;
  std::optional<milliseconds> cold;
  try {
    rates = EndpointRatesFromJson(aParams.at(kRates));
    if (aParams.contains(kColdMs)) {
      cold = milliseconds(aParams.at(kColdMs).get<std::int64_t>());
    }
  } catch (const json::exception&) {
    rates.clear();
    Log(LogEvent::kPeerRefused, { { "reason", "malformed permit request" } });
  }
  if (rates.size() != 1) {
    return json::object();
  }
  OnPeer(rates);
  const PermitRequest asked{ .rate_ = rates.front(), .cold_ = cold };
  json answer;
  const std::lock_guard lock(mutex_);
  const Granter granter = GranterFor(asked);
  if (granter.host_ != options_.host_) {
    if (granter.host_.empty()) {
      return json::object();
    }
    answer[kGranter] = granter.host_;
    answer[kGranterAddress] = granter.address_;
    return answer;
  }
  const RateGrant grant = GrantPermits(asked);
  answer[kRates] = EndpointRatesToJson(
    { rates_.Find(asked.rate_.endpoint_).value_or(asked.rate_) });
  answer[kPermits] = grant.permits_;
  answer[kRetryMs] = grant.retryAfter_.count();
  return answer;
}

void EndpointRateLimiter::Sweep()
{
  ReportColdChanges();
  const TimePoint now = TimerService::Now();
  const std::lock_guard lock(mutex_);
  for (const Incarnation& dropped : rates_.Sweep(parts_.isListed_, now)) {
    permits_.Forget(dropped);
  }
  cold_.Sweep(parts_.isListed_, now);
  granter_.Sweep(now);
}

} // namespace gooseberrylift
