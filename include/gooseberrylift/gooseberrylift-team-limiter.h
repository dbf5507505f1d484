// Enforces the token rate limit of each team across all hosts, even when its
// requests move from one host to another. With nine hosts, independent limits
// per host would either allow nine times the limit in total, or only a ninth of
// it where the requests arrive.

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

// Each host's share of a limit is its demand divided by the demand of all
// hosts. Digests arrive with a delay, so a host uses the minimum of its own
// published demand and the maximum of the others' over a window. As long as
// digests arrive within the window, no share exceeds its value for a common
// point in time, and the shares add up to at most the limit, apart from a small
// floor per host. Not thread-safe.
class TeamLimiter
{
public:
  struct Options
  {
    // Digests are sent every second; three cover a lost one and the delivery.
    std::chrono::milliseconds window_{ 3000 };
    // Share of the limit reserved for a floor per host, which admits a team's
    // first request on a host before the host has a share. All floors together
    // are twice this, so the sum of the shares can exceed the limit by it.
    double floorShare_ = 0.05;
    // How long the demand of a silent host still counts; it may still be
    // serving.
    std::chrono::seconds peerTimeout_{ 30 };
    std::chrono::seconds demandDecayTime_{ 2 }; // time constant
  };

  explicit TeamLimiter(Options aOptions);

  /// Sets the configured limits. A team without a limit is not restricted.
  void SetLimits(const std::map<std::string, double>& aTokensPerSecond);

  /// Applies the latest digests of the other hosts.
  void SetPeers(const std::vector<Digest>& aDigests, TimePoint aNow);

  /// Requests permission for a request of a team.
  /// @return true if it may proceed, in which case its tokens are charged
  bool TryAcquire(const std::string& aTeam,
                  std::uint64_t aTokens,
                  TimePoint aNow);

  /// Returns this host's demand for its digest. Called once per digest period.
  std::vector<TeamDemand> Publish(TimePoint aNow);

  /// Returns this host's current share of a team's limit, in tokens per second.
  double Share(const std::string& aTeam, TimePoint aNow) const;

private:
  struct Sample
  {
    TimePoint at_;
    double value_;
  };

  struct Team
  {
    double demand_ = 0; // tokens per second, smoothed
    TimePoint lastDecay_{};
    double bucketTokens_ = 0;
    TimePoint lastRefill_{};
    std::deque<Sample> published_;
  };

  struct Peer
  {
    TimePoint lastHeard_{};
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
