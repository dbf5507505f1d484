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

// Two kinds of words. That something was placed is told at once, in a small
// datagram a peer, as long as a host sends no more of them than it may: in a
// large fleet each host places little, so that this is all of them. What ended
// can wait: all that a host has in work is told at an interval that follows the
// number of peers. Not thread-safe.
class WordPace
{
public:
  struct Options
  {
    // Datagrams with placements that a host sends, and so also gets, a second.
    // Both ways together they take a few hundredths of a core; the smallest
    // hosts have an eighth.
    double changesPerSecond_ = 600;
    // Placements in a row that are told at once after a quiet while, such as
    // those of callers who come together.
    double burst_ = 4;
    // Datagrams with all that is in work, in the same way.
    double perSecond_ = 300;
    // From so many peers on such words only repair what was lost and tell what
    // has ended, and go once in mostInterval_.
    std::size_t manyPeers_ = 32;
    // Peers forget a host after two seconds.
    std::chrono::milliseconds mostInterval_{ 700 };
    // Between two such words at least. A fleet of nine places a request about
    // every 10 ms, of which each host hears all but the last two.
    std::chrono::milliseconds least_{ 20 };
    // Without any change the word is repeated after so long: datagrams are
    // lost, and peers forget a host after two seconds.
    std::chrono::milliseconds repeat_{ 250 };
  };

  explicit WordPace(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Says whether a placement may be told now.
  /// @param aPeers to how many it goes
  bool MayTell(TimePoint aNow, std::size_t aPeers) const;

  /// Notes that a placement was told.
  void OnTold(TimePoint aNow, std::size_t aPeers);

  /// Gives the time between two whole words.
  std::chrono::milliseconds Interval(std::size_t aPeers) const;

  /// Gives when a whole word is to be sent after a change.
  TimePoint DueAt(TimePoint aNow, std::size_t aPeers) const;

  /// Says whether the whole word is to be repeated though nothing changed.
  bool MustRepeat(TimePoint aNow, std::size_t aPeers) const;

  /// Notes that a whole word was sent.
  void OnSent(TimePoint aNow) { sent_ = aNow; }

private:
  double Spent(TimePoint aNow) const;

  Options options_;
  TimePoint sent_{};
  // A token bucket, as what was taken out of it and is not filled up again.
  double spent_ = 0; // datagrams, at told_
  TimePoint told_{};
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_WORD_PACE_H_
