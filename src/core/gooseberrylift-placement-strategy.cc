#include "gooseberrylift/gooseberrylift-placement-strategy.h"

#include <algorithm>
#include <array>

namespace gooseberrylift {

namespace {

using std::chrono::microseconds;

constexpr std::array kKinds = {
  PlacementKind{ "least-outstanding",
                 "the fewest requests of this host; first come first served",
                 false },
  PlacementKind{ "least-work",
                 "the least predicted work; fair queue, admission, lanes",
                 true },
  PlacementKind{ "round-robin", "in turn; first come first served", false },
};

class RoundRobin : public PlacementStrategy
{
public:
  EndpointSlot* Choose(const PlacementQuery& /*aQuery*/,
                       std::span<EndpointSlot* const> aSlots,
                       const EligibilityFilter& aEligible) override
  {
    for (std::size_t tried = 0; tried < aSlots.size(); ++tried) {
      EndpointSlot* slot = aSlots[next_++ % aSlots.size()];
      if (aEligible(*slot)) {
        return slot;
      }
    }
    return nullptr;
  }

private:
  std::size_t next_ = 0;
};

class LeastOutstanding : public PlacementStrategy
{
public:
  EndpointSlot* Choose(const PlacementQuery& /*aQuery*/,
                       std::span<EndpointSlot* const> aSlots,
                       const EligibilityFilter& aEligible) override
  {
    EndpointSlot* best = nullptr;
    for (EndpointSlot* slot : aSlots) {
      if (aEligible(*slot) &&
          (best == nullptr || slot->outstanding_ < best->outstanding_)) {
        best = slot;
      }
    }
    return best;
  }
};

// Compares a sample of the endpoints, so that the cost of a choice does not
// grow with the fleet. Pools of up to kMaxSampledEndpoints are compared in
// full.
class LeastWork : public PlacementStrategy
{
public:
  LeastWork(std::string aZone, std::uint64_t aSeed)
    : zone_(std::move(aZone))
    , random_(aSeed)
  {
  }

  EndpointSlot* Choose(const PlacementQuery& aQuery,
                       std::span<EndpointSlot* const> aSlots,
                       const EligibilityFilter& aEligible) override
  {
    if (aSlots.empty()) {
      return nullptr;
    }
    // A random start makes hosts break ties differently.
    const std::size_t samples = std::min(aSlots.size(), kMaxSampledEndpoints);
    const std::size_t start = random_() % aSlots.size();
    const std::size_t step =
      samples == aSlots.size()
        ? 1
        : 1 + random_() % (aSlots.size() / kMaxSampledEndpoints);
    EndpointSlot* best = nullptr;
    microseconds lowest = microseconds::max();
    for (std::size_t index = 0; index < samples; ++index) {
      EndpointSlot* slot = aSlots[(start + index * step) % aSlots.size()];
      const microseconds delay = PredictedDelay(*slot, aQuery);
      if (delay < lowest && aEligible(*slot)) {
        best = slot;
        lowest = delay;
      }
    }
    return best;
  }

private:
  // Sixteen endpoints are already more than twice the short lane that one host
  // keeps busy at current fleet sizes, and the limit keeps a choice under 5 us.
  static constexpr std::size_t kMaxSampledEndpoints = 32;

  // Maximum backlog of an endpoint that still receives requests: enough to hide
  // the round trip and the lag of a load report. Other requests wait in the
  // fair queue, which keeps their order. The engine itself runs urgent requests
  // first, so holding them back for the backlog of other classes would only
  // delay them.
  static constexpr microseconds kMaxBacklogShort{ 60'000 };
  static constexpr microseconds kMaxBacklogLong{ 300'000 };
  static constexpr microseconds kMaxBacklogUrgent{ 2000'000 };

  // Longest round trip between the current availability zones.
  static constexpr microseconds kCrossZoneRoundTrip{ 3000 };

  // Delay assumed per outstanding call of a plain service, to compare with the
  // cross-zone round trip.
  static constexpr microseconds kOutstandingCallPenalty{ 1000 };

  microseconds PredictedDelay(const EndpointSlot& aSlot,
                              const PlacementQuery& aQuery) const
  {
    const bool sameZone = zone_.empty() || aSlot.view_.zone_ == zone_;
    const microseconds zoneDelay =
      sameZone ? microseconds(0) : kCrossZoneRoundTrip;
    if (aSlot.IsPlainService()) {
      return kOutstandingCallPenalty * aSlot.outstanding_ + zoneDelay;
    }
    const microseconds backlog = aSlot.Backlog(aQuery.now_);
    if (aQuery.isLong_ != aSlot.inLongLane_) {
      // A short prompt may use an engine of the long lane only while it is
      // idle. A long prompt never uses the short lane, where it would block the
      // others.
      const bool urgent = aQuery.info_.class_ == ServiceClass::kUrgent;
      if (aQuery.isLong_ || backlog > microseconds(0) ||
          (urgent && aSlot.outstanding_ > 0)) {
        return microseconds::max();
      }
    }
    const microseconds maxBacklog =
      aQuery.isLong_                                 ? kMaxBacklogLong
      : aQuery.info_.class_ == ServiceClass::kUrgent ? kMaxBacklogUrgent
                                                     : kMaxBacklogShort;
    if (backlog > maxBacklog) {
      return microseconds::max();
    }
    const double slowdown =
      aSlot.health_.SlowdownFactor() / aSlot.health_.TrafficShare(aQuery.now_);
    const auto work = microseconds(static_cast<std::int64_t>(
      static_cast<double>((backlog + aQuery.cost_).count()) * slowdown));
    return work + zoneDelay;
  }

  std::string zone_;
  std::mt19937_64 random_;
};

} // namespace

std::span<const PlacementKind> PlacementKinds()
{
  return kKinds;
}

const PlacementKind* FindPlacement(std::string_view aName)
{
  const auto* found =
    std::find_if(kKinds.begin(), kKinds.end(), [aName](const auto& aKind) {
      return aKind.name_ == aName;
    });
  return found == kKinds.end() ? nullptr : found;
}

std::unique_ptr<PlacementStrategy> MakePlacement(std::string_view aName,
                                                 std::string aZone,
                                                 std::uint64_t aSeed)
{
  if (aName == "round-robin") {
    return std::make_unique<RoundRobin>();
  }
  if (aName == "least-work") {
    return std::make_unique<LeastWork>(std::move(aZone), aSeed);
  }
  return std::make_unique<LeastOutstanding>();
}

} // namespace gooseberrylift
