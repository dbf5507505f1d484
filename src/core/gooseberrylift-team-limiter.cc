#include "gooseberrylift/gooseberrylift-team-limiter.h"

#include <algorithm>
#include <cmath>

namespace gooseberrylift {

namespace {

// Bucket capacity in seconds of the share; admits the burst of one poll.
constexpr double kBurstSeconds = 0.5;

double Seconds(std::chrono::steady_clock::duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

TeamLimiter::TeamLimiter(Options aOptions)
  : options_(aOptions)
{
}

void TeamLimiter::SetLimits(
  const std::map<std::string, double>& aTokensPerSecond)
{
  limits_.clear();
  for (const auto& [team, limit] : aTokensPerSecond) {
    if (limit > 0) {
      limits_.emplace(team, limit);
    }
  }
  std::erase_if(teams_, [this](const auto& aEntry) {
    return !limits_.contains(aEntry.first);
  });
}

void TeamLimiter::SetPeers(const std::vector<Digest>& aDigests, TimePoint aNow)
{
  for (const Digest& digest : aDigests) {
    Peer& peer = peers_[digest.host_];
    if (peer.lastHeard_ != TimePoint{} && digest.sequence_ == peer.sequence_) {
      continue;
    }
    peer.lastHeard_ = aNow;
    peer.sequence_ = digest.sequence_;
    for (auto& [team, samples] : peer.demand_) {
      samples.push_back({ .at_ = aNow, .value_ = 0 });
    }
    for (const TeamDemand& demand : digest.demand_) {
      auto& samples = peer.demand_[demand.team_];
      if (samples.empty() || samples.back().at_ != aNow) {
        samples.push_back({ .at_ = aNow, .value_ = 0 });
      }
      samples.back().value_ = demand.tokensPerSecond_;
    }
    for (auto& [team, samples] : peer.demand_) {
      // Keep the newest sample before the window: it was valid when it began.
      while (samples.size() > 1 && samples[1].at_ <= aNow - options_.window_) {
        samples.pop_front();
      }
    }
    std::erase_if(peer.demand_, [](const auto& aEntry) {
      return aEntry.second.size() == 1 && aEntry.second.front().value_ == 0;
    });
  }
  std::erase_if(peers_, [&](const auto& aEntry) {
    return aNow - aEntry.second.lastHeard_ > options_.peerTimeout_;
  });
}

bool TeamLimiter::TryAcquire(const std::string& aTeam,
                             std::uint64_t aTokens,
                             TimePoint aNow)
{
  if (!limits_.contains(aTeam)) {
    return true;
  }
  const double share = Share(aTeam, aNow);
  Team& team = teams_[aTeam];
  Decay(team, aNow);
  const auto tokens = static_cast<double>(aTokens);
  team.demand_ += tokens / Seconds(options_.demandDecayTime_);
  const double elapsedSeconds = std::min(1.0, Seconds(aNow - team.lastRefill_));
  team.lastRefill_ = aNow;
  team.bucketTokens_ = std::min(share * kBurstSeconds,
                                team.bucketTokens_ + share * elapsedSeconds);
  // A prompt may exceed the bucket capacity, so it is admitted while the bucket
  // is not empty. The bucket may go negative, which delays later requests.
  if (team.bucketTokens_ <= 0) {
    return false;
  }
  team.bucketTokens_ -= tokens;
  return true;
}

std::vector<TeamDemand> TeamLimiter::Publish(TimePoint aNow)
{
  std::vector<TeamDemand> demand;
  for (auto& [name, team] : teams_) {
    Decay(team, aNow);
    team.published_.push_back({ .at_ = aNow, .value_ = team.demand_ });
    while (team.published_.size() > 1 &&
           team.published_[1].at_ <= aNow - options_.window_) {
      team.published_.pop_front();
    }
    if (team.demand_ >= 1) {
      demand.push_back({ .team_ = name, .tokensPerSecond_ = team.demand_ });
    }
  }
  return demand;
}

double TeamLimiter::Share(const std::string& aTeam, TimePoint aNow) const
{
  const auto limit = limits_.find(aTeam);
  if (limit == limits_.end()) {
    return 0;
  }
  double others = 0;
  for (const auto& [host, peer] : peers_) {
    const auto found = peer.demand_.find(aTeam);
    if (found == peer.demand_.end()) {
      continue;
    }
    double peak = 0;
    for (const Sample& sample : found->second) {
      peak = std::max(peak, sample.value_);
    }
    others += peak;
  }
  const auto team = teams_.find(aTeam);
  double own = 0;
  // Until the window is full, other hosts may not have seen this host's demand.
  if (team != teams_.end() && !team->second.published_.empty() &&
      team->second.published_.front().at_ <= aNow - options_.window_) {
    own = team->second.published_.front().value_;
    for (const Sample& sample : team->second.published_) {
      own = std::min(own, sample.value_);
    }
  }
  const auto hosts = static_cast<double>(peers_.size() + 1);
  const double demandShare = own > 0 ? own / (own + others) : 0;
  return limit->second * (demandShare * (1 - options_.floorShare_) +
                          2 * options_.floorShare_ / hosts);
}

void TeamLimiter::Decay(Team& aTeam, TimePoint aNow) const
{
  aTeam.demand_ *= std::exp(-Seconds(aNow - aTeam.lastDecay_) /
                            Seconds(options_.demandDecayTime_));
  aTeam.lastDecay_ = aNow;
}

} // namespace gooseberrylift
