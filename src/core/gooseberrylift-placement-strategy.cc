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
                       const Eligible& aEligible) override
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
                       const Eligible& aEligible) override
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

// Looks at a sample of the endpoints, so that its cost does not grow with the
// fleet. In a pool of up to kSample it sees them all.
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
                       const Eligible& aEligible) override
  {
    if (aSlots.empty()) {
      return nullptr;
    }
    // A random start breaks ties differently on each host.
    const std::size_t looks = std::min(aSlots.size(), kSample);
    const std::size_t start = random_() % aSlots.size();
    const std::size_t step =
      looks == aSlots.size() ? 1 : 1 + random_() % (aSlots.size() / kSample);
    EndpointSlot* best = nullptr;
    microseconds least = microseconds::max();
    for (std::size_t look = 0; look < looks; ++look) {
      EndpointSlot* slot = aSlots[(start + look * step) % aSlots.size()];
      const microseconds wait = WaitAt(*slot, aQuery);
      if (wait < least && aEligible(*slot)) {
        best = slot;
        least = wait;
      }
    }
    return best;
  }

private:
  // Sixteen is more than twice the size of the short lane that one host keeps
  // busy at today's sizes, and holds a choice under 5 us.
  static constexpr std::size_t kSample = 32;

  // Work is sent ahead only as far as hides the round trip and the lag of a
  // load report; what is held back stays in the fair queue's order. Urgent
  // work overtakes on the engine itself, so holding it back here for the sake
  // of other classes' backlog only delays it.
  static constexpr microseconds kAheadShort{ 60'000 };
  static constexpr microseconds kAheadLong{ 300'000 };
  static constexpr microseconds kAheadUrgent{ 2000'000 };

  // One crossing of the availability zones there and back at today's widest.
  static constexpr microseconds kCrossing{ 3000 };

  // What one outstanding call of a plain service counts against the crossing.
  static constexpr microseconds kPerCall{ 1000 };

  microseconds WaitAt(const EndpointSlot& aSlot,
                      const PlacementQuery& aQuery) const
  {
    const bool near = zone_.empty() || aSlot.view_.zone_ == zone_;
    const microseconds way = near ? microseconds(0) : kCrossing;
    if (aSlot.IsPlain()) {
      return kPerCall * aSlot.outstanding_ + way;
    }
    const microseconds backlog = aSlot.Backlog(aQuery.now_);
    if (aQuery.long_ != aSlot.longLane_) {
      // Short prompts borrow a long engine only while it has nothing to do;
      // a long prompt on a short engine would block its whole lane.
      const bool urgent = aQuery.info_.class_ == ServiceClass::kUrgent;
      if (aQuery.long_ || backlog > microseconds(0) ||
          (urgent && aSlot.outstanding_ > 0)) {
        return microseconds::max();
      }
    }
    const microseconds ahead = aQuery.long_ ? kAheadLong
                               : aQuery.info_.class_ == ServiceClass::kUrgent
                                 ? kAheadUrgent
                                 : kAheadShort;
    if (backlog > ahead) {
      return microseconds::max();
    }
    const double slowness =
      aSlot.health_.Slowness() / aSlot.health_.Share(aQuery.now_);
    const auto work = microseconds(static_cast<std::int64_t>(
      static_cast<double>((backlog + aQuery.cost_).count()) * slowness));
    return work + way;
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
