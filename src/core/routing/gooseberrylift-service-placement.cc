#include <algorithm>

#include "gooseberrylift-placement-candidates.h"

namespace gooseberrylift {

using std::chrono::microseconds;

microseconds Scaled(microseconds aTime, double aFactor)
{
  return microseconds(
    static_cast<std::int64_t>(static_cast<double>(aTime.count()) * aFactor));
}

std::vector<const PlacementCandidate*> BestOf(
  const std::vector<PlacementCandidate>& aCandidates)
{
  std::vector<const PlacementCandidate*> best;
  int bestRank = 0;
  for (const PlacementCandidate& candidate : aCandidates) {
    const int rank = candidate.tried_ ? 1 : (candidate.setAside_ ? 2 : 3);
    if (rank > bestRank) {
      best.clear();
      bestRank = rank;
    }
    if (rank == bestRank) {
      best.push_back(&candidate);
    }
  }
  return best;
}

std::optional<PlacementChoice> ServicePlacement::Choose(
  microseconds aUsual,
  const std::vector<PlacementCandidate>& aCandidates,
  const PlacementRequest& aRequest) const
{
  const PlacementCandidate* best = nullptr;
  double bestLoad = 0;
  for (const PlacementCandidate* candidate : BestOf(aCandidates)) {
    const int slots = std::max(candidate->endpoint_->slots_, 1);
    // A request under way in each slot is as much as the way to another zone
    // costs only for the fastest services; half a request decides.
    const double abroad =
      candidate->endpoint_->zone_ == aRequest.zone_ ? 0 : 0.5;
    const double load = (candidate->load_.running_ + abroad) / slots;
    if (best == nullptr || load < bestLoad) {
      best = candidate;
      bestLoad = load;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  const int slots = std::max(best->endpoint_->slots_, 1);
  const int over = std::max(best->load_.running_ - slots + 1, 0);
  return PlacementChoice{ .endpoint_ = best->endpoint_,
                          .firstAnswer_ =
                            aUsual + Scaled(aUsual, 1.0 * over / slots),
                          .cost_ = { .read_ = aUsual } };
}

} // namespace gooseberrylift
