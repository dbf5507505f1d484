#include "gooseberrylift/limits/gooseberrylift-used-endpoints.h"

#include <algorithm>
#include <iterator>

namespace gooseberrylift {

void UsedEndpoints::OnSent(const std::string& aEndpoint,
                           const std::set<std::string>& aFailed)
{
  const bool isNew = known_.insert(aEndpoint).second;
  if (isNew || aFailed.contains(aEndpoint)) {
    ++count_;
  }
}

void UsedEndpoints::OnRefused(const std::string& aEndpoint)
{
  count_ -= static_cast<int>(known_.erase(aEndpoint));
}

void UsedEndpoints::OnIdentified(const std::string& aEndpoint,
                                 const std::set<std::string>& aFailed)
{
  --count_;
  OnSent(aEndpoint, aFailed);
}

std::set<std::string> UsedEndpoints::SentAndFailed(
  const std::set<std::string>& aFailed) const
{
  std::set<std::string> both;
  std::set_intersection(known_.begin(),
                        known_.end(),
                        aFailed.begin(),
                        aFailed.end(),
                        std::inserter(both, both.end()));
  return both;
}

std::optional<std::set<std::string>> UsedEndpoints::AllowedNext(
  int aMax,
  const std::set<std::string>& aFailed) const
{
  if (count_ < aMax) {
    return std::nullopt;
  }
  std::set<std::string> allowed;
  std::set_difference(known_.begin(),
                      known_.end(),
                      aFailed.begin(),
                      aFailed.end(),
                      std::inserter(allowed, allowed.end()));
  return allowed;
}

} // namespace gooseberrylift
