// Keeps each team to its tokens a second over all hosts. The load pattern it
// answers: a team whose requests come in on one host today and on another
// tomorrow. Without sharing, a limit of its own on each host is either nine
// times too large in sum, or a ninth of what the team may have where it asks.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_TEAM_LIMITER_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_TEAM_LIMITER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "gooseberrylift/gooseberrylift-digest.h"
#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// A host's share of a limit is its own demand over that of all hosts. Hosts
// hear of one another late, so each counts its own published demand at its
// least and the others' at their most over a window. Whenever word arrives
// within the window, all shares are at most those of one common moment, and
// their sum is at most the limit; a small floor for each host is the slack.
// Not thread-safe.
class TeamLimiter
{
public:
  struct Options
  {
    // Digests come each second; three cover a lost one and the way.
    std::chrono::milliseconds window_{ 3000 };
    // All hosts' floors together. A team's first request on a host passes at
    // once by it, before any share was earned.
    double floorShare_ = 0.05;
    // A silent host's demand counts on for this long: it may be serving still.
    std::chrono::seconds silent_{ 30 };
    std::chrono::seconds memory_{ 2 }; // of the demand
  };

  explicit TeamLimiter(Options aOptions);

  /// Takes in the limits of the configuration; a team without one is free.
  void SetLimits(const std::map<std::string, double>& aTokensPerSecond);

  /// Takes in what the other hosts last said of their demand.
  void SetPeers(const std::vector<Digest>& aDigests, TimePoint aNow);

  /// Asks to let a request of a team pass.
  /// @return true when it may, and its tokens are counted
  bool Take(const std::string& aTeam, std::uint64_t aTokens, TimePoint aNow);

  /// Gives this host's demand, to be told to the others, once a period.
  std::vector<TeamDemand> Publish(TimePoint aNow);

  /// Gives this host's present share of a team's limit, in tokens a second.
  double Share(const std::string& aTeam, TimePoint aNow) const;

private:
  struct Sample
  {
    TimePoint at_;
    double value_;
  };

  struct Team
  {
    double demand_ = 0; // tokens a second, smoothed
    TimePoint seen_{};
    double balance_ = 0;
    TimePoint filled_{};
    std::deque<Sample> published_;
  };

  struct Peer
  {
    TimePoint heard_{};
    std::uint64_t sequence_ = 0;
    std::map<std::string, std::deque<Sample>> demand_;
  };

  void Decay(Team& aTeam, TimePoint aNow) const;

  Options options_;
  std::map<std::string, double> limits_;
  std::unordered_map<std::string, Team> teams_;
  std::map<std::string, Peer> peers_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_TEAM_LIMITER_H_
