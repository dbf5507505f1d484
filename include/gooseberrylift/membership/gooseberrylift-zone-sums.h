// Decides what the hosts of one availability zone tell those of the others of
// what they have in work. The load it answers: hundreds of hosts before the
// same engines. Telling each placement to all of them costs every host as many
// datagrams as the whole fleet places, and a host that hears only a part of the
// others finds engines full that it takes for idle.

#ifndef GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_ZONE_SUMS_H_
#define GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_ZONE_SUMS_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gooseberrylift/gooseberrylift-endpoint.h"
#include "gooseberrylift/membership/gooseberrylift-load-word.h"
#include "gooseberrylift/routing/gooseberrylift-fleet-load.h"

namespace gooseberrylift {

/// Gives the name under which what a zone has in work is kept beside what
/// single hosts have.
std::string PeerNameOfZone(const std::string& aZone);

// Picks from a zone's sums what the others must be told. Not thread-safe.
class ZoneSummer
{
public:
  struct Options
  {
    // A backlog that is shorter or longer by so much than it would be by now
    // is told anew; short requests bear more.
    std::chrono::milliseconds backlogChange_{ 100 };
    // An endpoint that was heard of is told as such after so long: others count
    // its silence on from the last word, and take it for hung after a second.
    std::chrono::milliseconds signOfLife_{ 500 };
    // Between two words with all that the zone has in work, for hosts that
    // have just started and for what was lost. In bursts of long prompts most
    // engines change with each word, so telling each change twice costs the
    // hosts more than a loss that lasts so long.
    std::chrono::milliseconds wholeEvery_{ 1'000 };
    // Without any change something is told after so long, by which others see
    // that the summing host lives.
    std::chrono::milliseconds aliveEvery_{ 250 };
  };

  // Something to tell.
  struct Word
  {
    LoadWordPart part_ = LoadWordPart::kChange;
    std::vector<EndpointShare> shares_;
  };

  explicit ZoneSummer(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Takes the zone's sums as they are now.
  /// @return what to tell, if anything
  std::optional<Word> Next(const std::vector<EndpointShare>& aSums,
                           TimePoint aNow);

  /// Forgets what was told: the next word is a whole one.
  void Restart() { *this = ZoneSummer(options_); }

private:
  struct Told
  {
    EndpointShare share_;
    TimePoint at_{};
    bool isNew_ = false; // not told yet
  };

  bool Differs(const EndpointShare& aNew, const Told& aTold, TimePoint aNow);
  void NoteChanges(const std::vector<EndpointShare>& aSums, TimePoint aNow);

  Options options_;
  std::map<std::string, Told> told_; // by endpoint
  std::optional<TimePoint> whole_;   // when all was told last
  TimePoint sent_{};
};

// Which host sums up a zone: the first of it by rank, and the next one when the
// first has fallen silent. Not thread-safe.
class ZoneTurn
{
public:
  struct Options
  {
    // Of silence, for each rank; more than twice the time between two words.
    std::chrono::milliseconds silence_{ 600 };
    // Hosts that stand ready; each gets the words of those before it.
    std::size_t ready_ = 3;
  };

  explicit ZoneTurn(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Notes a word of the host that sums up this zone.
  void OnHeard(TimePoint aNow) { heard_ = aNow; }

  /// Says whether this host is to sum up its zone.
  /// @param aRank among the live hosts of the zone
  bool IsOwn(TimePoint aNow, std::size_t aRank) const;

private:
  Options options_;
  TimePoint heard_{};
};

// Whose sums of a zone count: two hosts may take themselves for the one to sum
// up, and with both the zone would seem to have twice as much in work. Not
// thread-safe.
class ZoneSources
{
public:
  struct Options
  {
    // After so long without a word of the present one another may take over.
    std::chrono::milliseconds silence_{ 600 };
  };

  explicit ZoneSources(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Says whether a word counts. Only a whole one makes its sender the source.
  bool Accepts(const LoadWord& aWord, TimePoint aNow);

private:
  struct Source
  {
    std::string host_;
    TimePoint heard_{};
  };

  Options options_;
  std::map<std::string, Source> sources_; // by zone
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_ZONE_SUMS_H_
