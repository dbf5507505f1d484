#include "gooseberrylift/internal/gooseberrylift-endpoint-rate-limiter.h"

#include <algorithm>

#include "gooseberrylift/gooseberrylift-digest-codec.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

// Fields of questions and answers between hosts.
constexpr const char* kRates = "rates";
constexpr const char* kPermits = "permits";
constexpr const char* kRetryMs = "retry_ms";
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

std::string LabelOf(const std::string& aEndpoint)
{
  return "endpoint=\"" + aEndpoint + "\"";
}

double DrawPhase()
{
  std::random_device source;
  return std::uniform_real_distribution<>(0, 1)(source);
}

json MakeQuestion(const EndpointRate& aRate)
{
  json question;
  question[kRates] = EndpointRatesToJson({ aRate });
  return question;
}

} // namespace

EndpointRateLimiter::EndpointRateLimiter(Parts aParts, Options aOptions)
  : parts_(std::move(aParts))
  , options_(std::move(aOptions))
  , granter_({ .phase_ = DrawPhase() })
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
                                   bool aLeaves)
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
  if (!aLeaves || aLive.empty()) {
    hosts[scope].push_back({ .host_ = options_.host_ });
  }
  const std::lock_guard lock(mutex_);
  // One that hears none of the others can't know what they grant.
  granters_ = aLive.empty() ? aKnown + 1 : 1;
  hosts_ = std::move(hosts);
  scope_ = scope;
}

std::vector<EndpointRate> EndpointRateLimiter::Entries()
{
  const std::lock_guard lock(mutex_);
  return rates_.Entries();
}

std::optional<double> EndpointRateLimiter::Of(const Incarnation& aEndpoint)
{
  const std::lock_guard lock(mutex_);
  return rates_.Of(aEndpoint);
}

LimitedEndpoints EndpointRateLimiter::CheckPermits(
  const std::vector<ListedEndpoint>& aCandidates)
{
  const TimePoint now = TimerService::Now();
  LimitedEndpoints limited;
  std::vector<EndpointRate> asks;
  {
    const std::lock_guard lock(mutex_);
    if (!rates_.HasLimits()) {
      return limited;
    }
    for (const ListedEndpoint& candidate : aCandidates) {
      const Incarnation life = candidate.IncarnationId();
      const auto rate = rates_.Find(life);
      if (!rate || !rate->perSecond_) {
        continue;
      }
      if (permits_.Has(life, now)) {
        limited.permitted_.insert(life.id_);
        continue;
      }
      limited.withheld_.insert(life.id_);
      if (permits_.TryBeginRequest(life, now)) {
        asks.push_back(*rate);
      }
    }
  }
  for (EndpointRate& ask : asks) {
    SpawnTask(parts_.executor_, RequestPermits(std::move(ask)));
  }
  for (const std::string& id : limited.withheld_) {
    parts_.metrics_.Count("gooseberrylift_limited_endpoint_withheld_total",
                          LabelOf(id));
  }
  return limited;
}

bool EndpointRateLimiter::Take(const Incarnation& aEndpoint)
{
  {
    const std::lock_guard lock(mutex_);
    if (!rates_.Of(aEndpoint)) {
      return true;
    }
    if (!permits_.Take(aEndpoint, TimerService::Now())) {
      return false;
    }
  }
  parts_.metrics_.Count("gooseberrylift_limited_endpoint_sends_total",
                        LabelOf(aEndpoint.id_));
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

// With the mutex locked.
EndpointRateLimiter::Granter EndpointRateLimiter::GranterFor(
  const Incarnation& aEndpoint)
{
  std::vector<std::string> zones;
  zones.reserve(hosts_.size());
  for (const auto& [zone, members] : hosts_) {
    zones.push_back(zone);
  }
  const auto found = hosts_.find(ChooseGranter(aEndpoint, zones));
  if (found == hosts_.end()) {
    return {};
  }
  const std::vector<PeerMember>& members = found->second;
  if (found->first != scope_) {
    // Any host there knows which one of its zone grants.
    return members[random_() % members.size()];
  }
  std::vector<std::string> names;
  names.reserve(members.size());
  for (const PeerMember& member : members) {
    names.push_back(member.host_);
  }
  const std::string first = ChooseGranter(aEndpoint, names);
  return *std::find_if(
    members.begin(), members.end(), [&first](const PeerMember& aMember) {
      return aMember.host_ == first;
    });
}

asio::awaitable<void> EndpointRateLimiter::RequestPermits(EndpointRate aRate)
{
  const Incarnation endpoint = aRate.endpoint_;
  Granter granter;
  {
    const std::lock_guard lock(mutex_);
    granter = GranterFor(endpoint);
    if (granter.host_ == options_.host_) {
      permits_.OnGrant(endpoint, Grant(aRate), TimerService::Now());
      co_return;
    }
  }
  if (!granter.host_.empty()) {
    const auto answer = co_await AskPeers(std::move(aRate), granter);
    if (answer) {
      TakeIn(endpoint, answer.value());
      co_return;
    }
  }
  const std::lock_guard lock(mutex_);
  permits_.OnRequestFailed(endpoint, TimerService::Now());
}

// Asks the granting host; one that does not grant names the one that does.
asio::awaitable<Outcome<json>> EndpointRateLimiter::AskPeers(EndpointRate aRate,
                                                             Granter aGranter)
{
  const TimePoint deadline = TimerService::Now() + options_.askTimeout_;
  auto answer = co_await parts_.call_(aGranter, MakeQuestion(aRate), deadline);
  if (!answer || !answer.value().contains(kGranter)) {
    co_return answer;
  }
  aGranter.host_ = answer.value().value(kGranter, "");
  aGranter.address_ = answer.value().value(kGranterAddress, "");
  co_return co_await parts_.call_(aGranter, MakeQuestion(aRate), deadline);
}

void EndpointRateLimiter::TakeIn(const Incarnation& aEndpoint,
                                 const json& aAnswer)
{
  RateGrant verdict;
  std::vector<EndpointRate> rates;
  try {
    rates = EndpointRatesFromJson(aAnswer.at(kRates));
    verdict.permits_ = aAnswer.value(kPermits, 0);
    verdict.retryAfter_ =
      milliseconds(aAnswer.at(kRetryMs).get<std::int64_t>());
  } catch (const json::exception&) {
    // Also of a host that was named as the granting one and is none.
    const std::lock_guard lock(mutex_);
    permits_.OnRequestFailed(aEndpoint, TimerService::Now());
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    permits_.OnGrant(aEndpoint, verdict, TimerService::Now());
  }
  OnPeer(rates);
}

// With the mutex locked.
RateGrant EndpointRateLimiter::Grant(const EndpointRate& aRate)
{
  const auto known = rates_.Find(aRate.endpoint_);
  const auto rate = known ? known->perSecond_ : aRate.perSecond_;
  if (!rate) {
    return {}; // its limit has ended, as the entry tells the asking host
  }
  return granter_.RequestPermits(
    aRate.endpoint_, *rate, granters_, TimerService::Now());
}

json EndpointRateLimiter::Answer(const json& aParams)
{
  std::vector<EndpointRate> rates;
  try {
    rates = EndpointRatesFromJson(aParams.at(kRates));
  } catch (const json::exception&) {
    Log(LogEvent::kPeerRefused, { { "reason", "question not readable" } });
  }
  if (rates.size() != 1) {
    return json::object();
  }
  OnPeer(rates);
  const EndpointRate& asked = rates.front();
  json answer;
  const std::lock_guard lock(mutex_);
  const Granter granter = GranterFor(asked.endpoint_);
  if (granter.host_ != options_.host_) {
    if (granter.host_.empty()) {
      return json::object();
    }
    answer[kGranter] = granter.host_;
    answer[kGranterAddress] = granter.address_;
    return answer;
  }
  const RateGrant verdict = Grant(asked);
  answer[kRates] =
    EndpointRatesToJson({ rates_.Find(asked.endpoint_).value_or(asked) });
  answer[kPermits] = verdict.permits_;
  answer[kRetryMs] = verdict.retryAfter_.count();
  return answer;
}

void EndpointRateLimiter::Sweep()
{
  const TimePoint now = TimerService::Now();
  const std::lock_guard lock(mutex_);
  for (const Incarnation& dropped : rates_.Sweep(parts_.isListed_, now)) {
    permits_.Forget(dropped);
  }
  granter_.Sweep(now);
}

} // namespace gooseberrylift
