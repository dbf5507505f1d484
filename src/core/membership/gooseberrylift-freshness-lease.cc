#include "gooseberrylift/membership/gooseberrylift-freshness-lease.h"

namespace gooseberrylift {

void FreshnessLease::OnProof(BootTime aBegan)
{
  if (!proven_ || aBegan > *proven_) {
    proven_ = aBegan;
  }
}

bool FreshnessLease::IsValid(BootTime aNow) const
{
  return proven_ && aNow - *proven_ < options_.revokeWithin_ - options_.margin_;
}

std::optional<std::chrono::milliseconds> FreshnessLease::Age(
  BootTime aNow) const
{
  if (!proven_) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(aNow - *proven_);
}

} // namespace gooseberrylift
