#include "gooseberrylift/gooseberrylift-job.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;

namespace {

const WallTime kNow{ std::chrono::hours(1000) };

JobRecord MakeQueuedJob(const char* aTeam)
{
  return { .team_ = aTeam, .expires_ = kNow + std::chrono::hours(1) };
}

} // namespace

TEST_GROUP(JobTest)
{
  JobCache jobCache_{ { .maxQueuedPerTeam_ = 2 } };

  std::string Pick(const std::map<std::string, std::string>& aRunning,
                   WallTime aNow = kNow)
  {
    return jobCache_.Pick(aRunning, aNow, 7).value_or("");
  }
};

// A host that crashes must not leave its job unfinished, and a slow host must
// not lose its job: others may claim the job only after the lease has expired.
TEST(JobTest, ReclaimsAJobAfterItsLeaseExpires)
{
  JobRecord job = MakeQueuedJob("one");
  job.state_ = JobState::kRunning;
  job.leaseUntil_ = kNow + std::chrono::seconds(10);
  jobCache_.OnUpdated("a", job);
  STRCMP_EQUAL("", Pick({}).c_str());
  STRCMP_EQUAL("a", Pick({}, kNow + std::chrono::seconds(10)).c_str());
  CHECK_FALSE(job.IsClaimable(kNow));
  CHECK_TRUE(job.IsClaimable(kNow + std::chrono::seconds(10)));
}

// If jobs were claimed in the order of submission, a single job submitted after
// another team's many jobs would wait for all of them.
TEST(JobTest, PrefersTheTeamWithFewerJobsRunning)
{
  for (const char* id : { "a", "b", "c" }) {
    jobCache_.OnUpdated(id, MakeQueuedJob("large"));
  }
  jobCache_.OnUpdated("d", MakeQueuedJob("small"));
  STRCMP_EQUAL("d", Pick({ { "a", "large" } }).c_str());
}

TEST(JobTest, SkipsJobsBeingStoredEndedOrExpired)
{
  for (const JobState state :
       { JobState::kStoring, JobState::kDone, JobState::kFailed }) {
    JobRecord job = MakeQueuedJob("one");
    job.state_ = state;
    jobCache_.OnUpdated(JobStateName(state), job);
  }
  JobRecord expired = MakeQueuedJob("one");
  expired.expires_ = kNow;
  jobCache_.OnUpdated("expired", expired);
  STRCMP_EQUAL("", Pick({}).c_str());
  LONGS_EQUAL(1, jobCache_.Expired(kNow).size());
}

TEST(JobTest, LimitsQueuedJobsPerTeam)
{
  jobCache_.OnUpdated("a", MakeQueuedJob("one"));
  CHECK_TRUE(jobCache_.CanAddJob("one"));
  jobCache_.OnUpdated("b", MakeQueuedJob("one"));
  CHECK_FALSE(jobCache_.CanAddJob("one"));
  CHECK_TRUE(jobCache_.CanAddJob("two"));
}

TEST(JobTest, RoundTripsThroughJson)
{
  JobRecord job = MakeQueuedJob("one");
  job.state_ = JobState::kFailed;
  job.claims_ = 3;
  job.holder_ = "nonce";
  job.requestChunks_ = 4;
  job.code_ = 183;
  job.reason_ = "why";
  CHECK_TRUE(JobRecord::Parse(job.Spec()).Spec() == job.Spec());
}
