// Decides when a host tells the others what it has in work. The load it
// answers: fleets from a handful of hosts to hundreds, all of which place
// requests on the same endpoints. A host that hears of the others' requests
// late places its own where theirs already are; one that tells every change to
// hundreds of others at once does nothing else.

#ifndef GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_WORD_PACE_H_
#define GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_WORD_PACE_H_

#include <chrono>
#include <cstddef>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// A change is told at once when the last word is old enough, else as soon as it
// is. How old that is follows the number of peers, so that a host sends a
// bounded number of datagrams a second. Not thread-safe.
class WordPace
{
public:
  struct Options
  {
    // Datagrams that a host sends, and so also gets, at most. One costs about
    // 15 us to send or to get: together 1% of a core.
    double perSecond_ = 300;
    // Between two words at least. A fleet of nine places a request about every
    // 10 ms, of which each host hears all but the last two. pass-bench: 0.850
    // of the worth with words every 50 ms, 0.827 with 150 ms (site checks, 1.25
    // times the load).
    std::chrono::milliseconds least_{ 20 };
    // Without any change the word is repeated after so long: datagrams are
    // lost, and peers forget a host after two seconds.
    std::chrono::milliseconds repeat_{ 250 };
  };

  explicit WordPace(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Gives the time between two words.
  /// @param aPeers to how many they go
  std::chrono::milliseconds Interval(std::size_t aPeers) const;

  /// Gives when a change is to be told.
  /// @param aUrgent it matters more than the bound: a long prompt, for which
  /// the others would take the same idle endpoints
  TimePoint DueAt(TimePoint aNow, std::size_t aPeers, bool aUrgent) const;

  /// Says whether the word is to be repeated though nothing changed.
  bool MustRepeat(TimePoint aNow, std::size_t aPeers) const;

  void OnSent(TimePoint aNow) { sent_ = aNow; }

private:
  Options options_;
  TimePoint sent_{};
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_WORD_PACE_H_
