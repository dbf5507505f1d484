// Runs jobs: follows them in the store, claims them under a lease, generates
// and stores the result.

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

// Every host runs one. A job is run again by another host when its holder's
// lease lapsed; of several holders only one can store the end, since each does
// so by conditional update. Safe from any thread.
class JobRunner
{
public:
  struct Options
  {
    std::size_t maxRunning_ = 16; // jobs at once on this host
    std::chrono::milliseconds leaseDuration_{ 15'000 };
    int maxClaims_ = 8;   // hosts that begin a job before it fails
    int maxFailures_ = 2; // failed generations, each of several engines
    std::chrono::milliseconds pick_{ 50 };
    std::chrono::milliseconds retry_{ 500 }; // after a refusal or failure
    std::chrono::milliseconds callTimeout_{ 2000 };
    std::chrono::milliseconds watchFor_{ 60'000 };
    std::chrono::milliseconds sweep_{ 10'000 };
    std::chrono::milliseconds attemptLimit_{ 3'600'000 };
  };

  JobRunner(ObjectStore& aStore,
            ModelRunner& aModels,
            Blackboard& aBoard,
            boost::asio::any_io_executor aExecutor,
            Options aOptions);

  /// Follows, claims and sweeps until cancelled; each in its own coroutine.
  void Start();

  /// Says whether a team may add a job.
  bool CanAddJob(const std::string& aTeam) const;

private:
  struct Claim;
  boost::asio::awaitable<void> Follow();
  boost::asio::awaitable<bool> ListAndWatch();
  boost::asio::awaitable<void> PickLoop();
  boost::asio::awaitable<void> SweepLoop();
  void Note(const StoreObject& aObject);
  void PickOne();
  boost::asio::awaitable<void> RunJob(std::string aId);
  boost::asio::awaitable<std::shared_ptr<Claim>> TakeClaim(std::string aId);
  boost::asio::awaitable<void> Renew(std::shared_ptr<Claim> aClaim);
  boost::asio::awaitable<void> Work(std::shared_ptr<Claim> aClaim);
  boost::asio::awaitable<Outcome<std::string>> Generate(
    std::shared_ptr<Claim> aClaim);
  boost::asio::awaitable<Outcome<std::string>> GenerateOnce(
    std::shared_ptr<Claim> aClaim,
    std::string aRequest);
  boost::asio::awaitable<void> End(std::shared_ptr<Claim> aClaim,
                                   Outcome<std::string> aResult);
  boost::asio::awaitable<Outcome<void>> WriteEnd(std::shared_ptr<Claim> aClaim,
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
