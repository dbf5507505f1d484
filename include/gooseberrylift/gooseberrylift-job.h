// Jobs, work that may wait, as they stand in the store, and which of them a
// host should take next.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_JOB_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_JOB_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace gooseberrylift {

using WallTime = std::chrono::system_clock::time_point;

enum class JobState
{
  kStoring, // its chunks are not all written yet; nobody was promised anything
  kQueued,
  kRunning, // claimed under a lease
  kDone,
  kFailed
};

/// Gives the word for a state as callers see it.
std::string JobStateName(JobState aState);

// One job. Its request, and a long result, are compressed; what is too long
// for the job's own object lies in chunks beside it.
struct JobRecord
{
  std::string team_;
  std::string digest_; // of the request, to notice another one with the key
  std::string target_; // path of the engines' API
  JobState state_ = JobState::kQueued;
  int claims_ = 0;     // how many hosts have begun it
  std::string holder_; // nonce of the claim
  WallTime leaseUntil_{};
  WallTime expires_{};
  std::string request_; // encoded; empty when in chunks
  int requestChunks_ = 0;
  std::string result_; // encoded; empty when in chunks
  int resultChunks_ = 0;
  int code_ = 0; // result code of a failed job
  std::string reason_;

  static JobRecord Parse(const nlohmann::json& aSpec);
  nlohmann::json Spec() const;

  /// Says whether the job ended, with a result or a reason.
  bool Ended() const
  {
    return state_ == JobState::kDone || state_ == JobState::kFailed;
  }

  /// Says whether a host may claim the job: queued, or its holder's lease
  /// lapsed. A holder that was only paused loses nothing but its work: its
  /// conditional update fails.
  bool IsClaimable(WallTime aNow) const;
};

// What a host knows of all jobs, from a list and a watch. Picks the team with
// the fewest jobs running here, so that one team's thousand jobs don't hold up
// another's one, and takes a job at random, so that hosts seldom race for one.
class JobCache
{
public:
  struct Options
  {
    std::size_t maxWaitingPerTeam_ = 1000;
  };

  explicit JobCache(Options aOptions);

  void Clear() { jobs_.clear(); }
  void OnUpdated(const std::string& aId, const JobRecord& aRecord);
  void OnDeleted(const std::string& aId) { jobs_.erase(aId); }

  /// Chooses a job to claim.
  /// @param aRunning jobs that run here, by identifier
  /// @param aRandom any number
  std::optional<std::string> Pick(
    const std::map<std::string, std::string>& aRunning,
    WallTime aNow,
    std::uint64_t aRandom) const;

  /// Gives the team of a job; empty when it is not known.
  std::string TeamOf(const std::string& aId) const;

  /// Lists jobs that are past their expiry.
  std::vector<std::string> Expired(WallTime aNow) const;

  /// Says whether a team may add a job.
  bool CanAddJob(const std::string& aTeam) const;

private:
  struct View
  {
    std::string team_;
    JobState state_ = JobState::kQueued;
    WallTime leaseUntil_{};
    WallTime expires_{};
  };

  Options options_;
  std::map<std::string, View> jobs_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_JOB_H_
