#include "gooseberrylift/gooseberrylift-job.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

namespace gooseberrylift {

using nlohmann::json;

namespace {

constexpr std::array kStateNames = { "storing",
                                     "queued",
                                     "running",
                                     "done",
                                     "failed" };

std::int64_t ToMilliseconds(WallTime aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           aTime.time_since_epoch())
    .count();
}

WallTime FromMilliseconds(std::int64_t aTime)
{
  return WallTime(std::chrono::milliseconds(aTime));
}

JobState StateOf(const std::string& aName)
{
  const auto* found = std::find(kStateNames.begin(), kStateNames.end(), aName);
  return found == kStateNames.end()
           ? JobState::kFailed
           : static_cast<JobState>(found - kStateNames.begin());
}

bool MayClaim(JobState aState, WallTime aLeaseUntil, WallTime aNow)
{
  return aState == JobState::kQueued ||
         (aState == JobState::kRunning && aLeaseUntil <= aNow);
}

} // namespace

std::string JobStateName(JobState aState)
{
  return kStateNames.at(static_cast<std::size_t>(aState));
}

JobRecord JobRecord::Parse(const json& aSpec)
{
  return { .team_ = aSpec.value("team", ""),
           .digest_ = aSpec.value("digest", ""),
           .target_ = aSpec.value("target", ""),
           .state_ = StateOf(aSpec.value("state", "")),
           .claims_ = aSpec.value("claims", 0),
           .holder_ = aSpec.value("holder", ""),
           .leaseUntil_ =
             FromMilliseconds(aSpec.value("lease_until", std::int64_t{ 0 })),
           .expires_ =
             FromMilliseconds(aSpec.value("expires", std::int64_t{ 0 })),
           .request_ = aSpec.value("request", ""),
           .requestChunks_ = aSpec.value("request_chunks", 0),
           .result_ = aSpec.value("result", ""),
           .resultChunks_ = aSpec.value("result_chunks", 0),
           .code_ = aSpec.value("code", 0),
           .reason_ = aSpec.value("reason", "") };
}

json JobRecord::Spec() const
{
  return { { "team", team_ },
           { "digest", digest_ },
           { "target", target_ },
           { "state", JobStateName(state_) },
           { "claims", claims_ },
           { "holder", holder_ },
           { "lease_until", ToMilliseconds(leaseUntil_) },
           { "expires", ToMilliseconds(expires_) },
           { "request", request_ },
           { "request_chunks", requestChunks_ },
           { "result", result_ },
           { "result_chunks", resultChunks_ },
           { "code", code_ },
           { "reason", reason_ } };
}

bool JobRecord::IsClaimable(WallTime aNow) const
{
  return MayClaim(state_, leaseUntil_, aNow);
}

JobCache::JobCache(Options aOptions)
  : options_(aOptions)
{
}

void JobCache::OnUpdated(const std::string& aId, const JobRecord& aRecord)
{
  jobs_[aId] = { .team_ = aRecord.team_,
                 .state_ = aRecord.state_,
                 .leaseUntil_ = aRecord.leaseUntil_,
                 .expires_ = aRecord.expires_ };
}

std::optional<std::string> JobCache::Pick(
  const std::map<std::string, std::string>& aRunning,
  WallTime aNow,
  std::uint64_t aRandom) const
{
  std::map<std::string, std::vector<std::string>> claimable; // by team
  for (const auto& [id, view] : jobs_) {
    if (!aRunning.contains(id) && view.expires_ > aNow &&
        MayClaim(view.state_, view.leaseUntil_, aNow)) {
      claimable[view.team_].push_back(id);
    }
  }
  if (claimable.empty()) {
    return std::nullopt;
  }
  const auto runningOf = [&aRunning](const std::string& aTeam) {
    return std::count_if(
      aRunning.begin(), aRunning.end(), [&aTeam](const auto& aEntry) {
        return aEntry.second == aTeam;
      });
  };
  const auto least =
    std::min_element(claimable.begin(),
                     claimable.end(),
                     [&runningOf](const auto& aLeft, const auto& aRight) {
                       return runningOf(aLeft.first) < runningOf(aRight.first);
                     });
  return least->second[aRandom % least->second.size()];
}

std::string JobCache::TeamOf(const std::string& aId) const
{
  const auto found = jobs_.find(aId);
  return found == jobs_.end() ? "" : found->second.team_;
}

std::vector<std::string> JobCache::Expired(WallTime aNow) const
{
  std::vector<std::string> expired;
  for (const auto& [id, view] : jobs_) {
    if (view.expires_ <= aNow) {
      expired.push_back(id);
    }
  }
  return expired;
}

bool JobCache::CanAddJob(const std::string& aTeam) const
{
  const auto waiting =
    std::count_if(jobs_.begin(), jobs_.end(), [&aTeam](const auto& aEntry) {
      return aEntry.second.team_ == aTeam &&
             aEntry.second.state_ == JobState::kQueued;
    });
  return static_cast<std::size_t>(waiting) < options_.maxWaitingPerTeam_;
}

} // namespace gooseberrylift
