#include "gooseberrylift/limits/gooseberrylift-used-endpoints.h"

namespace gooseberrylift {

void UsedEndpoints::OnSent(const std::string& aEndpoint,
                           const std::set<std::string>& aFailed)
{
  Use& use = known_[aEndpoint];
  if (use.attempts_ == 0 || aFailed.contains(aEndpoint)) {
    ++use.counted_;
    ++count_;
  }
  ++use.attempts_;
}

void UsedEndpoints::OnRefused(const std::string& aEndpoint)
{
  const auto found = known_.find(aEndpoint);
  if (found == known_.end()) {
    return;
  }
  Use& use = found->second;
  --use.attempts_;
  const int needed = use.attempts_ > 0 ? 1 : 0;
  if (use.counted_ > needed) {
    --use.counted_;
    --count_;
  }
  if (use.attempts_ == 0) {
    count_ -= use.counted_;
    known_.erase(found);
  }
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
  for (const auto& [endpoint, use] : known_) {
    if (aFailed.contains(endpoint)) {
      both.insert(endpoint);
    }
  }
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
  for (const auto& [endpoint, use] : known_) {
    if (!aFailed.contains(endpoint)) {
      allowed.insert(endpoint);
    }
  }
  return allowed;
}

} // namespace gooseberrylift
