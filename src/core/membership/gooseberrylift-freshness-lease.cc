#include "gooseberrylift/membership/gooseberrylift-freshness-lease.h"

namespace gooseberrylift {

void FreshnessLease::OnProof(BootTime aReadStart)
{
  if (!lastProof_ || aReadStart > *lastProof_) {
    lastProof_ = aReadStart;
  }
}

bool FreshnessLease::IsValid(BootTime aNow) const
{
  return lastProof_ &&
         aNow - *lastProof_ < options_.revokeWithin_ - options_.margin_;
}

std::optional<std::chrono::milliseconds> FreshnessLease::Age(
  BootTime aNow) const
{
  if (!lastProof_) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(aNow -
                                                               *lastProof_);
}

} // namespace gooseberrylift
