#include "gooseberrylift/gooseberrylift-job.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;

namespace {

const WallTime kNow{ std::chrono::hours(1000) };

JobRecord Queued(const char* aTeam)
{
  return { .team_ = aTeam, .expires_ = kNow + std::chrono::hours(1) };
}

} // namespace

TEST_GROUP(JobTest)
{
  JobCache jobCache_{ { .maxWaitingPerTeam_ = 2 } };

  std::string Pick(const std::map<std::string, std::string>& aRunning,
                   WallTime aNow = kNow)
  {
    return jobCache_.Pick(aRunning, aNow, 7).value_or("");
  }
};

// A host dies with a job in its hands. Nobody may take the job while the lease
// holds, since the host may only be slow; afterwards somebody must.
TEST(JobTest, TakesOverAJobWhenItsLeaseHasLapsed)
{
  JobRecord job = Queued("one");
  job.state_ = JobState::kRunning;
  job.leaseUntil_ = kNow + std::chrono::seconds(10);
  jobCache_.OnUpdated("a", job);
  STRCMP_EQUAL("", Pick({}).c_str());
  STRCMP_EQUAL("a", Pick({}, kNow + std::chrono::seconds(10)).c_str());
  CHECK_FALSE(job.IsClaimable(kNow));
  CHECK_TRUE(job.IsClaimable(kNow + std::chrono::seconds(10)));
}

// One team has put in many jobs before another's single one. If jobs were taken
// in the order of their coming, the single one would wait for all of them.
TEST(JobTest, PrefersTheTeamWithFewerJobsRunning)
{
  for (const char* id : { "a", "b", "c" }) {
    jobCache_.OnUpdated(id, Queued("large"));
  }
  jobCache_.OnUpdated("d", Queued("small"));
  STRCMP_EQUAL("d", Pick({ { "a", "large" } }).c_str());
}

TEST(JobTest, TakesNoJobThatIsBeingStoredEndedOrExpired)
{
  for (const JobState state :
       { JobState::kStoring, JobState::kDone, JobState::kFailed }) {
    JobRecord job = Queued("one");
    job.state_ = state;
    jobCache_.OnUpdated(JobStateName(state), job);
  }
  JobRecord expired = Queued("one");
  expired.expires_ = kNow;
  jobCache_.OnUpdated("expired", expired);
  STRCMP_EQUAL("", Pick({}).c_str());
  LONGS_EQUAL(1, jobCache_.Expired(kNow).size());
}

TEST(JobTest, BoundsTheWaitingJobsOfATeam)
{
  jobCache_.OnUpdated("a", Queued("one"));
  CHECK_TRUE(jobCache_.CanAddJob("one"));
  jobCache_.OnUpdated("b", Queued("one"));
  CHECK_FALSE(jobCache_.CanAddJob("one"));
  CHECK_TRUE(jobCache_.CanAddJob("two"));
}

TEST(JobTest, SurvivesAWriteAndARead)
{
  JobRecord job = Queued("one");
  job.state_ = JobState::kFailed;
  job.claims_ = 3;
  job.holder_ = "nonce";
  job.requestChunks_ = 4;
  job.code_ = 183;
  job.reason_ = "why";
  CHECK_TRUE(JobRecord::Parse(job.Spec()).Spec() == job.Spec());
}
