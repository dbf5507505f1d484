// Tells whether this host sees what the others have in work. The load it
// answers: all hosts start at once, after a power cut for example, and their
// callers are there before the hosts have found each other. Each takes itself
// for alone then, and all of them fill the same few engines.

#ifndef GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_FLEET_VIEW_H_
#define GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_FLEET_VIEW_H_

#include <chrono>
#include <cstddef>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// Not thread-safe.
class FleetView
{
public:
  struct Options
  {
    // For so long after its start a host expects others, though it knows of
    // none: it reads their list from the store and asks them within a second.
    std::chrono::milliseconds expectsPeers_{ 1'000 };
    // A host that heard no word of any peer for so long knows nothing of what
    // they have in work; as long as the words of one peer count.
    std::chrono::milliseconds forgetPeer_{ 2'000 };
  };

  FleetView(Options aOptions, TimePoint aStarted)
    : options_(aOptions)
    , started_(aStarted)
  {
  }

  /// Notes how many other hosts there are.
  void OnPeersKnown(std::size_t aPeers) { peers_ = aPeers; }

  /// Notes a word of a peer about what it has in work.
  void OnWord(TimePoint aNow) { heard_ = aNow; }

  /// Says whether there are others, or may be, of which nothing is known.
  bool IsBlind(TimePoint aNow) const;

private:
  Options options_;
  TimePoint started_;
  TimePoint heard_{};
  std::size_t peers_ = 0;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_FLEET_VIEW_H_
