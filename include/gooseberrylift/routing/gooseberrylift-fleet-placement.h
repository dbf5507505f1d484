// Selects the endpoint, or the group of engines, for a request, and predicts
// the time until its first response.

#ifndef GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_FLEET_PLACEMENT_H_
#define GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_FLEET_PLACEMENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gooseberrylift/routing/gooseberrylift-endpoint-directory.h"
#include "gooseberrylift/routing/gooseberrylift-engine-profile.h"
#include "gooseberrylift/routing/gooseberrylift-fleet-load.h"
#include "gooseberrylift/routing/gooseberrylift-route-table.h"

namespace gooseberrylift {

// An endpoint that a request may be sent to.
struct PlacementCandidate
{
  const ListedEndpoint* endpoint_ = nullptr;
  EndpointLoad load_;
  bool avoided_ = false; // failing or silent: used only as a last resort
  bool tried_ = false;   // has failed an attempt of this request
  bool limited_ = false; // has a request rate limit shared by all hosts
  bool cold_ = false;    // limited because it is cold
};

// Properties of a request that determine its placement.
struct PlacementRequest
{
  std::uint64_t promptTokens_ = 0;
  std::uint64_t answerTokens_ = 0; // upper bound
  std::chrono::milliseconds objective_{ 1'000 };
  std::chrono::milliseconds maxGap_{ 0 };
  std::string zone_;             // zone of this host
  bool peerLoadUnknown_ = false; // the load of other hosts is unknown
  std::uint64_t draw_ = 0;       // a random number
};

// The chosen endpoints of a request, with predictions and costs.
struct PlacementChoice
{
  const ListedEndpoint* endpoint_ = nullptr;
  std::vector<const ListedEndpoint*> helpers_; // prefill parts of the prompt
  // KV cache that each helper reserves for its part of the prompt, in tokens; 0
  // if the whole prompt is stored at the endpoint.
  std::uint64_t reservedTokens_ = 0;
  std::chrono::microseconds firstAnswer_{ 0 }; // predicted, from now
  bool slowsDecoding_ =
    false; // its prefill delays requests that decode beside it
  // Predicted to miss its objective at every engine; it yields to requests that
  // can still meet theirs.
  bool deferred_ = false;
  // Predicted wait at its engines before prefill. For a long prompt, includes a
  // part of the delay penalty for other requests there.
  std::chrono::microseconds wait_{ 0 };
  // For a long prompt, the engines that could start to prefill one now.
  std::size_t freeEngines_ = 0;
  RequestCost cost_;       // at endpoint_
  RequestCost helperCost_; // at each helper
};

/// Places a request without cold endpoints, unless there are no sound others or
/// a cold one answers a request sooner that would miss its objective.
/// @param aChoose places the request on some of the candidates
std::optional<PlacementChoice> ChooseSparingCold(
  const std::vector<PlacementCandidate>& aCandidates,
  const PlacementRequest& aRequest,
  const std::function<std::optional<PlacementChoice>(
    const std::vector<PlacementCandidate>&)>& aChoose);

// Placement on inference engines, for workloads of many short prompts with
// tight inter-event gap limits and few prompts whose prefill takes seconds, on
// the same engines. A prefill lengthens the pass that it falls into, by more
// than a second for the longest prompts, and with it the gap of every request
// that decodes there. If long prompts were spread evenly, each would make about
// a dozen short requests late.
//
// Short requests therefore fill engines in one order that all hosts share, and
// long prompts take engines from the other end of that order; the boundary
// between the two lanes follows the load. A long prompt is prefilled by as many
// engines as its objective requires. Stateless, but not thread-safe.
class EnginePlacement
{
public:
  struct Options
  {
    // A prompt is long if its prefill takes more than this share of the
    // service's shortest gap limit; long prompts are kept away from requests
    // with that limit. The rest of the gap is for the steps of the pass and for
    // a second short prefill.
    double longPrefillShare_ = 0.6;
    // Share of an engine's slots that short requests fill before they take the
    // next engine. A step with a batch of ten takes 1.2 times as long as one
    // with a batch of two, so filling costs little. The other slots are for
    // requests of other hosts whose load messages are still on their way.
    double targetOccupancy_ = 0.9;
    // A prefill is spread over more engines until it is predicted to take this
    // share of the objective: in effect over as many as shorten it.
    double prefillTargetShare_ = 0.05;
    // Maximum number of engines that prefill one prompt together: as many
    // helpers as an engine accepts.
    int maxEngines_ = 16;
    // Share of an engine's KV cache that a prompt may count on. The rest is for
    // answers of other hosts' requests that are not known yet.
    double usableMemoryShare_ = 0.9;
    // Penalty for making a request with the shortest gap limit late, as
    // equivalent time to the first answer of the request to be placed.
    std::chrono::milliseconds tightGapPenalty_{ 160 };
    // The same for a request with a longer gap limit. There are fewer of these,
    // and each is worth as much as the request to be placed.
    std::chrono::milliseconds otherGapPenalty_{ 1'000 };
    // Penalty for a long request that misses its objective, in the same unit.
    // It counts as missed from missThresholdShare_ of the objective on.
    std::chrono::milliseconds missedObjectivePenalty_{ 4'000 };
    double missThresholdShare_ = 0.8;
    // Share of a short request's objective that it may wait before its prefill
    // and still take the first engine in order.
    double acceptableWaitShare_ = 0.3;
    // Share of a short request's objective by which the predicted first answer
    // of an engine may be later than that of the best one and still count as a
    // tie, broken at random. Hosts that receive load messages with a delay all
    // see the same best engine; without the random choice, hundreds of them
    // would select it together.
    double tieMarginShare_ = 0.2;
    // Share of a short request's objective up to which a predicted first answer
    // counts as in time. The rest is a margin for prediction errors.
    double inTimeShare_ = 0.9;
    // Share of a long prompt's delay penalty that counts as wait, so that the
    // prompt is held back while the engines are full of short requests. The
    // whole penalty would hold back prompts that lengthen only a gap or two.
    double waitPenaltyShare_ = 0.15;
    // Number of requests that the short lane has room for beyond its current
    // load. None by default, because hosts receive each other's load within
    // about 20 ms.
    double laneHeadroom_ = 0;
    // Share of the engines that forms the short lane while the load of other
    // hosts is unknown; short requests are spread evenly over it. The rest is
    // for long prompts, which also return all at once after a power failure.
    double unknownLoadLaneShare_ = 0.5;
    // Share of the engines that the short lane never takes.
    double reservedForLongShare_ = 0.1;
    // Share of the spare engines that is added to the short lane, so that hosts
    // with delayed load data do not all choose the same few engines while most
    // are idle.
    double spareForShortShare_ = 0.5;
    // Engines count as spare beyond this multiple of what both lanes need now,
    // with at least one long prompt counted. The margin covers load swings and
    // load data from other hosts that is some hundred milliseconds old.
    double spareThresholdFactor_ = 4;
  };

  explicit EnginePlacement(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Selects the engines for a request.
  /// @param aProfile performance of the service's engines
  /// @param aGaps shortest gap limits of the service
  /// @param aCandidates usable engines, in the order that all hosts share
  /// @return the choice; nothing if no engine can run the request
  std::optional<PlacementChoice> Choose(
    const EngineProfile& aProfile,
    const ServiceGaps& aGaps,
    const std::vector<PlacementCandidate>& aCandidates,
    const PlacementRequest& aRequest) const;

  /// Returns how many engines a prompt needs at once, so that its parts fit
  /// into their memory and its prefill takes at most half of its objective.
  std::size_t EnginesNeeded(const EngineProfile& aProfile,
                            const PlacementRequest& aRequest) const;

  /// Predicts the time until an engine starts a new request.
  /// @param aQueuedAhead number of requests there that precede it
  static std::chrono::microseconds PredictWait(const EngineProfile& aProfile,
                                               const EndpointLoad& aLoad,
                                               int aQueuedAhead);

private:
  struct Task;

  std::optional<PlacementChoice> PlaceShort(
    const Task& aTask,
    std::vector<const PlacementCandidate*> aCandidates) const;
  std::optional<PlacementChoice> PlaceLong(
    const Task& aTask,
    const std::vector<const PlacementCandidate*>& aCandidates) const;
  struct LaneSplit;
  LaneSplit SplitLanes(
    const Task& aTask,
    const std::vector<const PlacementCandidate*>& aCandidates) const;
  // Chooses among the first aLaneSize candidates, at least one and at most all,
  // and among the others if these are too slow.
  std::optional<PlacementChoice> ChooseShort(
    const Task& aTask,
    const std::vector<const PlacementCandidate*>& aCandidates,
    std::size_t aLaneSize) const;
  struct RankedEngine;
  static std::size_t CountFree(const Task& aTask,
                               const std::vector<RankedEngine>& aEngines);
  std::optional<PlacementChoice> ChooseLong(
    const Task& aTask,
    const std::vector<const PlacementCandidate*>& aCandidates,
    const LaneSplit& aLanes,
    std::size_t aMaxEngines) const;
  struct ShortCandidate;
  std::vector<RankedEngine> SelectPrefillEngines(
    const Task& aTask,
    const std::vector<RankedEngine>& aEngines,
    std::size_t aStoringEngines,
    std::size_t aPrefillEngines) const;
  void PreferDecodingEngine(
    const Task& aTask,
    const std::vector<const PlacementCandidate*>& aCandidates,
    std::chrono::microseconds aPart,
    std::vector<RankedEngine>& aChosen) const;
  bool HasMemory(const Task& aTask,
                 const EndpointLoad& aLoad,
                 std::size_t aEngines) const;
  std::chrono::microseconds DelayPenalty(
    const Task& aTask,
    const EndpointLoad& aLoad,
    std::chrono::microseconds aPrefill) const;

  Options options_;
};

// Placement on plain services: selects the endpoint with the fewest requests
// per slot, and among equals one in this host's zone, which saves a round trip
// to another zone. Not thread-safe.
class ServicePlacement
{
public:
  /// Selects an endpoint.
  /// @param aTypicalTime typical duration of a request to the service
  /// @param aCandidates usable endpoints, in an order specific to this host
  std::optional<PlacementChoice> Choose(
    std::chrono::microseconds aTypicalTime,
    const std::vector<PlacementCandidate>& aCandidates,
    const PlacementRequest& aRequest) const;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_FLEET_PLACEMENT_H_
