// Decides which endpoint, or which engines together, a request goes to, and
// what its caller may expect there.

#ifndef GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_FLEET_PLACEMENT_H_
#define GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_FLEET_PLACEMENT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gooseberrylift/routing/gooseberrylift-endpoint-directory.h"
#include "gooseberrylift/routing/gooseberrylift-engine-figures.h"
#include "gooseberrylift/routing/gooseberrylift-fleet-load.h"
#include "gooseberrylift/routing/gooseberrylift-route-table.h"

namespace gooseberrylift {

// An endpoint that a request might go to.
struct PlacementCandidate
{
  const ListedEndpoint* endpoint_ = nullptr;
  EndpointLoad load_;
  bool setAside_ = false; // failing or silent: only when there is no other
  bool tried_ = false;    // by this request, in vain
  bool limited_ = false;  // it takes few requests from all hosts together
};

// What placement needs to know of a request.
struct PlacementRequest
{
  std::uint64_t promptTokens_ = 0;
  std::uint64_t answerTokens_ = 0; // at most
  std::chrono::milliseconds objective_{ 1'000 };
  std::chrono::milliseconds maxGap_{ 0 };
  std::string zone_;       // of this host
  bool blind_ = false;     // nothing is known of what other hosts have in work
  std::uint64_t draw_ = 0; // a random number
};

// Where a request goes.
struct PlacementChoice
{
  const ListedEndpoint* endpoint_ = nullptr;
  std::vector<const ListedEndpoint*> helpers_; // that read parts of the prompt
  // What each helper sets aside for its part of the prompt; 0: all of it lies
  // at the endpoint.
  std::uint64_t heldTokens_ = 0;
  std::chrono::microseconds firstAnswer_{ 0 }; // predicted, from now
  bool long_ = false; // its read disturbs those that write beside it
  // It is late wherever it goes, so it lets those go first that are not.
  bool deferred_ = false;
  // At its engines, before its read; of a long prompt, with the harm that it
  // would do to others there.
  std::chrono::microseconds wait_{ 0 };
  RequestCost cost_;       // at the endpoint
  RequestCost helperCost_; // at each helper
};

// Engines. The load it answers: many short prompts whose callers bear only
// short gaps, and few prompts that are read for seconds, on the same engines.
// A read stretches the pass it falls into, for a second and more with the
// longest prompts, and so the gap of every request that writes there; spread
// evenly, each long prompt makes late what a dozen
// short requests write. So short requests fill engines in one order that all
// hosts share, and long ones take engines from the other end of that order;
// where the two meet follows the load. A long prompt is read by as many
// engines as its objective needs. Not thread-safe, holds no state.
class EnginePlacement
{
public:
  struct Options
  {
    // A read longer than this part of the shortest gap that callers bear is
    // kept away from requests that bear only that. The rest of the gap is the
    // pass's own steps and a second short read.
    double longRead_ = 0.6;
    // Short requests fill an engine up to this part of its slots before they
    // take the next one: a batch of ten costs a step 1.2 times as much as one
    // of two, so filling is nearly free, and the rest of the slots is for what
    // other hosts sent in the moment that their word takes.
    double comfortable_ = 0.9;
    // A read is spread over more engines until it is predicted to take this
    // part of the objective: in effect over as many as shorten it.
    double readShare_ = 0.05;
    // That read one prompt together: as many as an engine takes helpers.
    int mostEngines_ = 16;
    // An engine's memory that a prompt may count on; the rest is for answers
    // of other hosts' requests that are not known yet.
    double memoryShare_ = 0.9;
    // What a short request that is made late weighs, in time to the first
    // answer of the one to be placed.
    std::chrono::milliseconds harm_{ 160 };
    // The same for one that bears longer gaps; there are fewer of them, and
    // they are worth as much as what is placed.
    std::chrono::milliseconds harmOther_{ 1'000 };
    // What missing its objective weighs for a long request, in the same time;
    // it counts as missed from this part of it on.
    std::chrono::milliseconds missed_{ 4'000 };
    double usefulShare_ = 0.8;
    // Of a short request's objective, the wait before its own read with which
    // an engine is still taken in order.
    double waitShare_ = 0.3;
    // Of a short request's objective, by how much an engine may be predicted to
    // answer later than the best one and still be drawn in place of it. Hosts
    // that hear of each other's requests a moment late all see the same best
    // one, and without the draw hundreds of them would take it together.
    double alikeShare_ = 0.2;
    // Of a short request's objective, the predicted first answer up to which it
    // counts as in time. The rest is for what predictions are off by.
    double inTimeShare_ = 0.9;
    // The part of the harm that a long prompt would do to others which counts
    // as a wait, so that it is held while the engines are full of short
    // requests. All of it would hold prompts that only stretch a gap or two.
    double heldHarm_ = 0.15;
    // Requests for which the short lane has room beside those at work. None:
    // hosts hear of each other's requests within some 20 ms.
    double laneSpare_ = 0;
    // The short lane of a host that knows nothing of the others: the part of
    // the engines over which it spreads short requests evenly. The rest is for
    // the long prompts, which come back after a power cut all at once as well.
    double blindLane_ = 0.5;
    // The part of the engines that the short lane never takes.
    double keptForLong_ = 0.1;
    // The part of the spare engines that is added to the short lane. Keeps
    // hosts with delayed load data from all choosing the same few engines while
    // most are idle.
    double spareForShort_ = 0.5;
    // Engines count as spare beyond this multiple of what both kinds need now,
    // with at least one long prompt counted. The margin covers load swings and
    // load data from other hosts that is some hundred ms old.
    double spareBeyond_ = 4;
  };

  explicit EnginePlacement(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Chooses engines for a request.
  /// @param aFigures the service's engines
  /// @param aGaps that the service's callers bear
  /// @param aCandidates the usable engines in the order that all hosts share
  /// @return the choice; nothing when no engine can run the request
  std::optional<PlacementChoice> Choose(
    const EngineFigures& aFigures,
    const ServiceGaps& aGaps,
    const std::vector<PlacementCandidate>& aCandidates,
    const PlacementRequest& aRequest) const;

  /// Predicts the time until an engine begins with a new request.
  /// @param aAhead of the requests there, those that are before it
  static std::chrono::microseconds WaitAt(const EngineFigures& aFigures,
                                          const EndpointLoad& aLoad,
                                          int aAhead);

private:
  struct Task;

  struct Lanes;
  Lanes LanesOf(
    const Task& aTask,
    const std::vector<const PlacementCandidate*>& aCandidates) const;
  std::optional<PlacementChoice> ChooseShort(
    const Task& aTask,
    const std::vector<const PlacementCandidate*>& aCandidates,
    std::size_t aLane) const;
  std::optional<PlacementChoice> ChooseLong(
    const Task& aTask,
    const std::vector<const PlacementCandidate*>& aCandidates,
    const Lanes& aLanes,
    std::size_t aMostEngines) const;
  struct Fit;
  struct Ranked;
  std::vector<Ranked> BestReaders(const Task& aTask,
                                  const std::vector<Ranked>& aEngines,
                                  std::size_t aHolders,
                                  std::size_t aReaders) const;
  void PreferWriter(const Task& aTask,
                    const std::vector<const PlacementCandidate*>& aCandidates,
                    std::chrono::microseconds aPart,
                    std::vector<Ranked>& aChosen) const;
  bool HasMemory(const Task& aTask,
                 const EndpointLoad& aLoad,
                 std::size_t aEngines) const;
  std::chrono::microseconds HarmAt(const Task& aTask,
                                   const EndpointLoad& aLoad,
                                   std::chrono::microseconds aRead) const;

  Options options_;
};

// Plain services: the endpoint with the fewest requests for its slots; of
// equals the one in this host's zone, which saves its caller the way there and
// back. Not thread-safe.
class ServicePlacement
{
public:
  /// Chooses an endpoint.
  /// @param aUsual the usual time of a request of the service
  /// @param aCandidates the usable endpoints, in an order of this host's own
  std::optional<PlacementChoice> Choose(
    std::chrono::microseconds aUsual,
    const std::vector<PlacementCandidate>& aCandidates,
    const PlacementRequest& aRequest) const;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_FLEET_PLACEMENT_H_
