#include "gooseberrylift/limits/gooseberrylift-endpoint-rate-limits.h"

#include <algorithm>
#include <cmath>

namespace gooseberrylift {

namespace {

// Returns whether a peer's entry replaces the local one.
bool Supersedes(const EndpointRate& aReceived,
                std::uint64_t aVersion,
                const std::optional<double>& aPerSecond)
{
  if (aReceived.version_ != aVersion) {
    return aReceived.version_ > aVersion;
  }
  // If two hosts created the same version concurrently, the lower limit wins.
  return aReceived.perSecond_ &&
         (!aPerSecond || *aReceived.perSecond_ < *aPerSecond);
}

} // namespace

std::optional<EndpointRate> EndpointRateLimits::OnAnswer(
  const Incarnation& aEndpoint,
  const AdvertisedRateLimit& aNotice,
  TimePoint aSent,
  TimePoint aNow)
{
  if (aNotice.kind_ == AdvertisedRateLimit::Kind::kMalformed) {
    return std::nullopt;
  }
  const bool hasLimit = aNotice.kind_ == AdvertisedRateLimit::Kind::kSpecified;
  auto found = limits_.find(aEndpoint);
  if (found == limits_.end()) {
    if (!hasLimit) {
      return std::nullopt;
    }
    found =
      limits_.try_emplace(aEndpoint, LimitState{ .lastListed_ = aNow }).first;
  }
  LimitState& limit = found->second;
  if (!hasLimit && aSent <= limit.lastReported_) {
    return std::nullopt;
  }
  std::optional<double> rate;
  if (hasLimit) {
    rate = aNotice.perSecond_;
    limit.lastReported_ = aNow;
  }
  if (limit.version_ > 0 && IsUnchanged(limit.perSecond_, rate)) {
    return std::nullopt;
  }
  limit.perSecond_ = rate;
  ++limit.version_;
  return EndpointRate{ .endpoint_ = aEndpoint,
                       .version_ = limit.version_,
                       .perSecond_ = rate };
}

bool EndpointRateLimits::IsUnchanged(
  const std::optional<double>& aCurrent,
  const std::optional<double>& aReported) const
{
  if (!aCurrent || !aReported) {
    return aCurrent.has_value() == aReported.has_value();
  }
  return std::abs(*aReported - *aCurrent) <=
         *aCurrent * options_.changeTolerance_;
}

std::vector<EndpointRate> EndpointRateLimits::OnPeer(
  const std::vector<EndpointRate>& aEntries,
  const IsListed& aIsListed,
  TimePoint aNow)
{
  std::vector<EndpointRate> changed;
  for (const EndpointRate& received : aEntries) {
    // Version 0 comes with permit requests for endpoints that announced none.
    if (received.version_ == 0 || !aIsListed(received.endpoint_)) {
      continue;
    }
    LimitState& limit =
      limits_.try_emplace(received.endpoint_, LimitState{ .lastListed_ = aNow })
        .first->second;
    if (!Supersedes(received, limit.version_, limit.perSecond_)) {
      continue;
    }
    const bool same = limit.perSecond_ == received.perSecond_;
    limit.version_ = received.version_;
    limit.perSecond_ = received.perSecond_;
    if (received.perSecond_) {
      limit.lastReported_ = aNow;
    }
    if (!same) {
      changed.push_back(received);
    }
  }
  return changed;
}

std::optional<EndpointRate> EndpointRateLimits::Find(
  const Incarnation& aEndpoint) const
{
  const auto found = limits_.find(aEndpoint);
  if (found == limits_.end()) {
    return std::nullopt;
  }
  return EndpointRate{ .endpoint_ = aEndpoint,
                       .version_ = found->second.version_,
                       .perSecond_ = found->second.perSecond_ };
}

bool EndpointRateLimits::HasLimits() const
{
  return std::any_of(limits_.begin(), limits_.end(), [](const auto& aCurrent) {
    return aCurrent.second.perSecond_.has_value();
  });
}

std::optional<double> EndpointRateLimits::Of(const Incarnation& aEndpoint) const
{
  const auto found = limits_.find(aEndpoint);
  return found == limits_.end() ? std::nullopt : found->second.perSecond_;
}

std::vector<EndpointRate> EndpointRateLimits::Entries() const
{
  std::vector<EndpointRate> entries;
  entries.reserve(limits_.size());
  for (const auto& [endpoint, limit] : limits_) {
    entries.push_back({ .endpoint_ = endpoint,
                        .version_ = limit.version_,
                        .perSecond_ = limit.perSecond_ });
  }
  return entries;
}

std::vector<Incarnation> EndpointRateLimits::Sweep(const IsListed& aIsListed,
                                                   TimePoint aNow)
{
  std::vector<Incarnation> dropped;
  for (auto limit = limits_.begin(); limit != limits_.end();) {
    if (aIsListed(limit->first)) {
      limit->second.lastListed_ = aNow;
    }
    if (aNow - limit->second.lastListed_ <= options_.retention_) {
      ++limit;
      continue;
    }
    dropped.push_back(limit->first);
    limit = limits_.erase(limit);
  }
  return dropped;
}

} // namespace gooseberrylift
