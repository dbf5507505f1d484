#include "gooseberrylift/limits/gooseberrylift-endpoint-rates.h"

#include <algorithm>
#include <cmath>

namespace gooseberrylift {

namespace {

// Says whether a peer's entry replaces the one at hand.
bool Replaces(const EndpointRate& aTold,
              std::uint64_t aVersion,
              const std::optional<double>& aPerSecond)
{
  if (aTold.version_ != aVersion) {
    return aTold.version_ > aVersion;
  }
  // Of two versions that hosts made at once the careful one stays.
  return aTold.perSecond_ && (!aPerSecond || *aTold.perSecond_ < *aPerSecond);
}

} // namespace

std::optional<EndpointRate> EndpointRates::OnAnswer(
  const Incarnation& aEndpoint,
  const RateNotice& aNotice,
  TimePoint aSent,
  TimePoint aNow)
{
  if (aNotice.kind_ == RateNotice::Kind::kUnreadable) {
    return std::nullopt;
  }
  const bool named = aNotice.kind_ == RateNotice::Kind::kNamed;
  auto found = known_.find(aEndpoint);
  if (found == known_.end()) {
    if (!named) {
      return std::nullopt;
    }
    found = known_.try_emplace(aEndpoint, Known{ .listed_ = aNow }).first;
  }
  Known& known = found->second;
  if (!named && aSent <= known.learnt_) {
    return std::nullopt;
  }
  std::optional<double> rate;
  if (named) {
    rate = aNotice.perSecond_;
    known.learnt_ = aNow;
  }
  if (known.version_ > 0 && IsSame(known.perSecond_, rate)) {
    return std::nullopt;
  }
  known.perSecond_ = rate;
  ++known.version_;
  return EndpointRate{ .endpoint_ = aEndpoint,
                       .version_ = known.version_,
                       .perSecond_ = rate };
}

bool EndpointRates::IsSame(const std::optional<double>& aKnown,
                           const std::optional<double>& aNamed) const
{
  if (!aKnown || !aNamed) {
    return aKnown.has_value() == aNamed.has_value();
  }
  return std::abs(*aNamed - *aKnown) <= *aKnown * options_.sameShare_;
}

std::vector<EndpointRate> EndpointRates::OnPeer(
  const std::vector<EndpointRate>& aEntries,
  const IsListed& aIsListed,
  TimePoint aNow)
{
  std::vector<EndpointRate> changed;
  for (const EndpointRate& told : aEntries) {
    if (!aIsListed(told.endpoint_)) {
      continue;
    }
    Known& known = known_.try_emplace(told.endpoint_, Known{ .listed_ = aNow })
                     .first->second;
    if (!Replaces(told, known.version_, known.perSecond_)) {
      continue;
    }
    const bool same = known.perSecond_ == told.perSecond_;
    known.version_ = told.version_;
    known.perSecond_ = told.perSecond_;
    if (told.perSecond_) {
      known.learnt_ = aNow;
    }
    if (!same) {
      changed.push_back(told);
    }
  }
  return changed;
}

std::optional<EndpointRate> EndpointRates::Find(
  const Incarnation& aEndpoint) const
{
  const auto found = known_.find(aEndpoint);
  if (found == known_.end()) {
    return std::nullopt;
  }
  return EndpointRate{ .endpoint_ = aEndpoint,
                       .version_ = found->second.version_,
                       .perSecond_ = found->second.perSecond_ };
}

bool EndpointRates::HasLimits() const
{
  return std::any_of(known_.begin(), known_.end(), [](const auto& aKnown) {
    return aKnown.second.perSecond_.has_value();
  });
}

std::optional<double> EndpointRates::Of(const Incarnation& aEndpoint) const
{
  const auto found = known_.find(aEndpoint);
  return found == known_.end() ? std::nullopt : found->second.perSecond_;
}

std::vector<EndpointRate> EndpointRates::Entries() const
{
  std::vector<EndpointRate> entries;
  entries.reserve(known_.size());
  for (const auto& [endpoint, known] : known_) {
    entries.push_back({ .endpoint_ = endpoint,
                        .version_ = known.version_,
                        .perSecond_ = known.perSecond_ });
  }
  return entries;
}

std::vector<Incarnation> EndpointRates::Sweep(const IsListed& aIsListed,
                                              TimePoint aNow)
{
  std::vector<Incarnation> dropped;
  for (auto known = known_.begin(); known != known_.end();) {
    if (aIsListed(known->first)) {
      known->second.listed_ = aNow;
    }
    if (aNow - known->second.listed_ <= options_.keep_) {
      ++known;
      continue;
    }
    dropped.push_back(known->first);
    known = known_.erase(known);
  }
  return dropped;
}

} // namespace gooseberrylift
