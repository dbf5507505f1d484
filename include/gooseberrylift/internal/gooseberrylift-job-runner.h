// Runs asynchronous jobs: watches the store for them, claims each under a
// lease, runs its generation and stores the result.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_JOB_RUNNER_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_JOB_RUNNER_H_

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "gooseberrylift/internal/gooseberrylift-job-store.h"
#include "gooseberrylift/internal/gooseberrylift-model-runner.h"

namespace gooseberrylift {

// Every host runs one instance. When the lease of a job expires, another host
// may claim the job and run it again. Results are stored by conditional update,
// so only one of several holders can finish a job. Thread-safe.
class JobRunner
{
public:
  struct Options
  {
    std::size_t maxRunning_ = 16; // concurrent jobs on this host
    std::chrono::milliseconds leaseDuration_{ 15'000 };
    int maxClaims_ = 8;   // claims of one job before it fails
    int maxFailures_ = 2; // failed generations, each tried on several engines
    std::chrono::milliseconds pollInterval_{ 50 };
    // After a rejected or failed generation.
    std::chrono::milliseconds retryInterval_{ 500 };
    std::chrono::milliseconds callTimeout_{ 2000 };
    std::chrono::milliseconds watchTimeout_{ 60'000 };
    std::chrono::milliseconds sweepInterval_{ 10'000 };
    std::chrono::milliseconds attemptLimit_{ 3'600'000 };
  };

  JobRunner(ObjectStore& aStore,
            ModelRunner& aModels,
            Blackboard& aBoard,
            boost::asio::any_io_executor aExecutor,
            Options aOptions);

  /// Starts the watch, claim and clean-up loops, each as its own coroutine that
  /// runs until it is cancelled.
  void Start();

  /// Returns whether the team is below its limit of jobs.
  bool CanAddJob(const std::string& aTeam) const;

private:
  struct Claim;
  boost::asio::awaitable<void> FollowJobs();
  boost::asio::awaitable<bool> ListAndWatch();
  boost::asio::awaitable<void> ClaimLoop();
  boost::asio::awaitable<void> SweepLoop();
  void OnJobChanged(const StoreObject& aObject);
  void StartNextJob();
  boost::asio::awaitable<void> RunJob(std::string aId);
  boost::asio::awaitable<std::shared_ptr<Claim>> TakeClaim(std::string aId);
  boost::asio::awaitable<void> RenewLease(std::shared_ptr<Claim> aClaim);
  boost::asio::awaitable<void> RunClaimed(std::shared_ptr<Claim> aClaim);
  boost::asio::awaitable<Outcome<std::string>> Generate(
    std::shared_ptr<Claim> aClaim);
  boost::asio::awaitable<Outcome<std::string>> GenerateOnce(
    std::shared_ptr<Claim> aClaim,
    std::string aRequest);
  boost::asio::awaitable<void> FinishJob(std::shared_ptr<Claim> aClaim,
                                         Outcome<std::string> aResult);
  boost::asio::awaitable<Outcome<void>> WriteOutcome(
    std::shared_ptr<Claim> aClaim,
    Outcome<std::string> aResult);

  ObjectStore& objects_;
  JobStore store_;
  ModelRunner& models_;
  Blackboard& board_;
  boost::asio::any_io_executor executor_;
  Options options_;
  mutable std::mutex mutex_; // guards jobCache_ and running_
  JobCache jobCache_;
  std::map<std::string, std::string> running_; // team by job
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_JOB_RUNNER_H_
