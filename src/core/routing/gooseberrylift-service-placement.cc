#include <algorithm>
#include <iterator>

#include "gooseberrylift-placement-candidates.h"

namespace gooseberrylift {

using std::chrono::microseconds;

microseconds Scaled(microseconds aTime, double aFactor)
{
  return microseconds(
    static_cast<std::int64_t>(static_cast<double>(aTime.count()) * aFactor));
}

std::vector<const PlacementCandidate*> PreferredCandidates(
  const std::vector<PlacementCandidate>& aCandidates)
{
  std::vector<const PlacementCandidate*> best;
  int bestRank = 0;
  for (const PlacementCandidate& candidate : aCandidates) {
    const int rank = candidate.tried_ ? 1 : (candidate.avoided_ ? 2 : 3);
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

std::optional<PlacementChoice> ChooseSparingCold(
  const std::vector<PlacementCandidate>& aCandidates,
  const PlacementRequest& aRequest,
  const std::function<std::optional<PlacementChoice>(
    const std::vector<PlacementCandidate>&)>& aChoose)
{
  std::vector<PlacementCandidate> warm;
  std::copy_if(
    aCandidates.begin(),
    aCandidates.end(),
    std::back_inserter(warm),
    [](const PlacementCandidate& aCandidate) { return !aCandidate.cold_; });
  const bool sound =
    std::any_of(warm.begin(), warm.end(), [](const auto& aCandidate) {
      return !aCandidate.avoided_ && !aCandidate.tried_;
    });
  if (!sound || warm.size() == aCandidates.size()) {
    return aChoose(aCandidates);
  }
  auto choice = aChoose(warm);
  if (choice && choice->firstAnswer_ <= aRequest.objective_) {
    return choice;
  }
  auto withCold = aChoose(aCandidates);
  const bool better =
    withCold && (!choice || withCold->firstAnswer_ < choice->firstAnswer_);
  return better ? withCold : choice;
}

std::optional<PlacementChoice> ServicePlacement::Choose(
  microseconds aTypicalTime,
  const std::vector<PlacementCandidate>& aCandidates,
  const PlacementRequest& aRequest) const
{
  const PlacementCandidate* best = nullptr;
  double bestLoad = 0;
  for (const PlacementCandidate* candidate : PreferredCandidates(aCandidates)) {
    const int slots = std::max(candidate->endpoint_->slots_, 1);
    // Half a request is the cost of another zone: a full one, in each slot,
    // would match the extra round trip only for the fastest services.
    const double crossZone =
      candidate->endpoint_->zone_ == aRequest.zone_ ? 0 : 0.5;
    const double load = (candidate->load_.running_ + crossZone) / slots;
    if (best == nullptr || load < bestLoad) {
      best = candidate;
      bestLoad = load;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  const int slots = std::max(best->endpoint_->slots_, 1);
  const int excess = std::max(best->load_.running_ - slots + 1, 0);
  return PlacementChoice{
    .endpoint_ = best->endpoint_,
    .firstAnswer_ = aTypicalTime + Scaled(aTypicalTime, 1.0 * excess / slots),
    .cost_ = { .prefill_ = aTypicalTime }
  };
}

} // namespace gooseberrylift
