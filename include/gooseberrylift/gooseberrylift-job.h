// Asynchronous jobs as stored in the object store, and the selection of the
// next job that a host claims.

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
  kStoring, // chunks are still being written; not yet acknowledged
  kQueued,
  kRunning, // claimed under a lease
  kDone,
  kFailed
};

/// Returns the name of a state as it appears in responses and in the store.
std::string JobStateName(JobState aState);

// One job. The request and long results are compressed; data that exceeds the
// size limit of the job's object is stored in separate chunk objects.
struct JobRecord
{
  std::string team_;
  std::string digest_; // of the request; detects reuse of the key
  std::string target_; // request path in the engines' API
  JobState state_ = JobState::kQueued;
  int claims_ = 0;     // number of times the job was claimed
  std::string holder_; // nonce of the current claim
  WallTime leaseUntil_{};
  WallTime expires_{};
  std::string request_; // encoded; empty if stored in chunks
  int requestChunks_ = 0;
  std::string result_; // encoded; empty if stored in chunks
  int resultChunks_ = 0;
  int code_ = 0; // result code of a failed job
  std::string reason_;

  static JobRecord Parse(const nlohmann::json& aSpec);
  nlohmann::json Spec() const;

  /// Returns whether the job has completed or failed.
  bool HasEnded() const
  {
    return state_ == JobState::kDone || state_ == JobState::kFailed;
  }

  /// Returns whether a host may claim the job: it is queued, or its holder's
  /// lease has expired. If the former holder was only paused, its conditional
  /// update fails and its work is discarded.
  bool IsClaimable(WallTime aNow) const;
};

// Local cache of all jobs, filled by a list and a watch of the store. Selects
// the team with the fewest jobs running on this host, so that a team with a
// thousand jobs does not delay a team with one, and a random job of that team,
// so that hosts rarely compete for the same job.
class JobCache
{
public:
  struct Options
  {
    std::size_t maxQueuedPerTeam_ = 1000;
  };

  explicit JobCache(Options aOptions);

  void Clear() { jobs_.clear(); }
  void OnUpdated(const std::string& aId, const JobRecord& aRecord);
  void OnDeleted(const std::string& aId) { jobs_.erase(aId); }

  /// Selects a job to claim.
  /// @param aRunning teams of the jobs that run on this host, by job identifier
  /// @param aRandom random number that selects among the team's jobs
  std::optional<std::string> Pick(
    const std::map<std::string, std::string>& aRunning,
    WallTime aNow,
    std::uint64_t aRandom) const;

  /// Returns the team of a job, or an empty string if the job is unknown.
  std::string TeamOf(const std::string& aId) const;

  /// Lists the jobs whose expiry time has passed.
  std::vector<std::string> Expired(WallTime aNow) const;

  /// Returns whether a team is below its limit of queued jobs.
  bool CanAddJob(const std::string& aTeam) const;

private:
  struct JobSummary
  {
    std::string team_;
    JobState state_ = JobState::kQueued;
    WallTime leaseUntil_{};
    WallTime expires_{};
  };

  Options options_;
  std::map<std::string, JobSummary> jobs_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_JOB_H_
