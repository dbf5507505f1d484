#include "gooseberrylift/gooseberrylift-job.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

#include "gooseberrylift/gooseberrylift-json-text.h"

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

JobState ParseJobState(const std::string& aName)
{
  const auto* found = std::find(kStateNames.begin(), kStateNames.end(), aName);
  return found == kStateNames.end()
           ? JobState::kFailed
           : static_cast<JobState>(found - kStateNames.begin());
}

bool CanClaim(JobState aState, WallTime aLeaseUntil, WallTime aNow)
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
  return { .team_ = JsonFieldOr(aSpec, "team", std::string()),
           .digest_ = JsonFieldOr(aSpec, "digest", std::string()),
           .target_ = JsonFieldOr(aSpec, "target", std::string()),
           .state_ = ParseJobState(JsonFieldOr(aSpec, "state", std::string())),
           .claims_ = JsonFieldOr(aSpec, "claims", 0),
           .holder_ = JsonFieldOr(aSpec, "holder", std::string()),
           .leaseUntil_ = FromMilliseconds(
             JsonFieldOr(aSpec, "lease_until", std::int64_t{ 0 })),
           .expires_ =
             FromMilliseconds(JsonFieldOr(aSpec, "expires", std::int64_t{ 0 })),
           .request_ = JsonFieldOr(aSpec, "request", std::string()),
           .requestChunks_ = JsonFieldOr(aSpec, "request_chunks", 0),
           .result_ = JsonFieldOr(aSpec, "result", std::string()),
           .resultChunks_ = JsonFieldOr(aSpec, "result_chunks", 0),
           .code_ = JsonFieldOr(aSpec, "code", 0),
           .reason_ = JsonFieldOr(aSpec, "reason", std::string()) };
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
  return CanClaim(state_, leaseUntil_, aNow);
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
  for (const auto& [id, summary] : jobs_) {
    if (!aRunning.contains(id) && summary.expires_ > aNow &&
        CanClaim(summary.state_, summary.leaseUntil_, aNow)) {
      claimable[summary.team_].push_back(id);
    }
  }
  if (claimable.empty()) {
    return std::nullopt;
  }
  const auto countRunning = [&aRunning](const std::string& aTeam) {
    return std::count_if(
      aRunning.begin(), aRunning.end(), [&aTeam](const auto& aEntry) {
        return aEntry.second == aTeam;
      });
  };
  const auto leastBusy = std::min_element(
    claimable.begin(),
    claimable.end(),
    [&countRunning](const auto& aLeft, const auto& aRight) {
      return countRunning(aLeft.first) < countRunning(aRight.first);
    });
  return leastBusy->second[aRandom % leastBusy->second.size()];
}

std::string JobCache::TeamOf(const std::string& aId) const
{
  const auto found = jobs_.find(aId);
  return found == jobs_.end() ? "" : found->second.team_;
}

std::vector<std::string> JobCache::Expired(WallTime aNow) const
{
  std::vector<std::string> expired;
  for (const auto& [id, summary] : jobs_) {
    if (summary.expires_ <= aNow) {
      expired.push_back(id);
    }
  }
  return expired;
}

bool JobCache::CanAddJob(const std::string& aTeam) const
{
  const auto queued =
    std::count_if(jobs_.begin(), jobs_.end(), [&aTeam](const auto& aEntry) {
      return aEntry.second.team_ == aTeam &&
             aEntry.second.state_ == JobState::kQueued;
    });
  return static_cast<std::size_t>(queued) < options_.maxQueuedPerTeam_;
}

} // namespace gooseberrylift
