#include "gooseberrylift/internal/gooseberrylift-job-runner.h"

#include <random>

#include <boost/asio/strand.hpp>

#include "gooseberrylift/internal/gooseberrylift-encoding.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-model-request.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

WallTime WallNow()
{
  return std::chrono::system_clock::now();
}

std::uint64_t RandomNumber()
{
  thread_local std::mt19937_64 sGenerator{ std::random_device{}() };
  return sGenerator();
}

// Collects the tokens of a job. Stops the generation once the claim is lost,
// because another host may run the job then.
class JobSink : public TokenSink
{
public:
  explicit JobSink(const bool& aLost)
    : lost_(aLost)
  {
  }

  asio::awaitable<bool> OnToken(const TokenEvent& aToken) override
  {
    text_ += aToken.text_;
    finishReason_ = aToken.finishReason_;
    co_return !lost_;
  }

  const bool& lost_;
  std::string text_;
  std::string finishReason_;
};

// Returns whether the request itself is invalid, so that no retry can succeed.
bool IsPermanentFailure(ResultCode aCode)
{
  return aCode == ResultCode::kMalformedJson ||
         aCode == ResultCode::kBadField || aCode == ResultCode::kUnknownModel;
}

} // namespace

// A job claimed by this host. All access is on one strand.
struct JobRunner::Claim
{
  StoredJob job_;
  bool lost_ = false;     // claimed by another host, or deleted
  bool ended_ = false;    // stops the renewal of the lease
  bool renewing_ = false; // an update is in flight, so job_'s version is stale
};

JobRunner::JobRunner(ObjectStore& aStore,
                     ModelRunner& aModels,
                     Blackboard& aBoard,
                     asio::any_io_executor aExecutor,
                     Options aOptions)
  : objects_(aStore)
  , store_(aStore)
  , models_(aModels)
  , board_(aBoard)
  , executor_(std::move(aExecutor))
  , options_(aOptions)
  , jobCache_(JobCache::Options{})
{
}

void JobRunner::Start()
{
  SpawnLoop(asio::make_strand(executor_), [this] { return FollowJobs(); });
  SpawnLoop(asio::make_strand(executor_), [this] { return ClaimLoop(); });
  SpawnLoop(asio::make_strand(executor_), [this] { return SweepLoop(); });
}

bool JobRunner::CanAddJob(const std::string& aTeam) const
{
  const std::lock_guard lock(mutex_);
  return jobCache_.CanAddJob(aTeam);
}

asio::awaitable<void> JobRunner::FollowJobs()
{
  while (true) {
    const bool reached = co_await ListAndWatch();
    if (!reached) {
      co_await TimerService::SleepFor(options_.retryInterval_);
    }
  }
}

asio::awaitable<bool> JobRunner::ListAndWatch()
{
  const auto list = co_await objects_.List(
    kJobKind, TimerService::Now() + options_.callTimeout_);
  if (!list) {
    co_return false;
  }
  {
    const std::lock_guard lock(mutex_);
    jobCache_.Clear();
  }
  for (const StoreObject& object : list.value().items_) {
    OnJobChanged(object);
  }
  const auto watched = co_await objects_.Watch(
    kJobKind,
    list.value().version_,
    [this](const StoreEvent& aEvent) {
      if (aEvent.deleted_) {
        const std::lock_guard lock(mutex_);
        jobCache_.OnDeleted(aEvent.object_.name_);
      } else {
        OnJobChanged(aEvent.object_);
      }
    },
    options_.watchTimeout_,
    TimerService::Now() + options_.watchTimeout_ + std::chrono::seconds(1));
  co_return watched.has_value();
}

void JobRunner::OnJobChanged(const StoreObject& aObject)
{
  const JobRecord record = JobRecord::Parse(aObject.spec_);
  const std::lock_guard lock(mutex_);
  jobCache_.OnUpdated(aObject.name_, record);
}

asio::awaitable<void> JobRunner::ClaimLoop()
{
  while (true) {
    // Jitter keeps hosts from polling for jobs at the same time.
    const milliseconds pause(options_.pollInterval_.count() / 2 +
                             RandomNumber() % options_.pollInterval_.count());
    co_await TimerService::SleepFor(pause);
    if (!board_.host_.Read()->draining_) {
      StartNextJob();
    }
  }
}

void JobRunner::StartNextJob()
{
  std::optional<std::string> id;
  {
    const std::lock_guard lock(mutex_);
    if (running_.size() >= options_.maxRunning_) {
      return;
    }
    id = jobCache_.Pick(running_, WallNow(), RandomNumber());
    if (!id) {
      return;
    }
    running_[*id] = jobCache_.TeamOf(*id);
  }
  SpawnTask(
    asio::make_strand(executor_),
    [this, job = *id]() -> asio::awaitable<void> { co_await RunJob(job); });
}

asio::awaitable<void> JobRunner::SweepLoop()
{
  while (true) {
    const milliseconds pause(options_.sweepInterval_.count() / 2 +
                             RandomNumber() % options_.sweepInterval_.count());
    co_await TimerService::SleepFor(pause);
    std::vector<std::string> expired;
    {
      const std::lock_guard lock(mutex_);
      expired = jobCache_.Expired(WallNow());
    }
    for (const std::string& id : expired) {
      const TimePoint deadline = TimerService::Now() + options_.callTimeout_;
      auto job = co_await store_.Read(id, deadline);
      if (job && job.value().record_.expires_ <= WallNow()) {
        co_await store_.Remove(std::move(job.value()), deadline);
      }
    }
  }
}

asio::awaitable<void> JobRunner::RunJob(std::string aId)
{
  const std::shared_ptr<Claim> claim = co_await TakeClaim(aId);
  if (claim) {
    const auto executor = co_await asio::this_coro::executor;
    SpawnTask(executor, RenewLease(claim));
    co_await RunClaimed(claim);
    claim->ended_ = true;
  }
  const std::lock_guard lock(mutex_);
  running_.erase(aId);
}

// Claims a job by conditional update.
// @return null when the job is claimed by another host or deleted, or when the
// store is unreachable
asio::awaitable<std::shared_ptr<JobRunner::Claim>> JobRunner::TakeClaim(
  std::string aId)
{
  const TimePoint deadline = TimerService::Now() + options_.callTimeout_;
  const auto read = co_await store_.Read(aId, deadline);
  if (!read) {
    if (read.error().code_ == ResultCode::kStoreNotFound) {
      const std::lock_guard lock(mutex_);
      jobCache_.OnDeleted(aId);
    }
    co_return nullptr;
  }
  StoredJob job = read.value();
  if (!job.record_.IsClaimable(WallNow())) {
    const std::lock_guard lock(mutex_);
    jobCache_.OnUpdated(aId, job.record_);
    co_return nullptr;
  }
  job.record_.state_ = JobState::kRunning;
  job.record_.holder_ = MakeNonce();
  job.record_.leaseUntil_ = WallNow() + options_.leaseDuration_;
  ++job.record_.claims_;
  const auto written = co_await store_.Update(std::move(job), deadline);
  if (!written) {
    co_return nullptr;
  }
  auto claim = std::make_shared<Claim>();
  claim->job_ = written.value();
  co_return claim;
}

// Renews the lease while the job runs. A conflict on renewal means that another
// host has claimed the job.
asio::awaitable<void> JobRunner::RenewLease(std::shared_ptr<Claim> aClaim)
{
  while (true) {
    co_await TimerService::SleepFor(options_.leaseDuration_ / 3);
    if (aClaim->ended_ || aClaim->lost_) {
      co_return;
    }
    aClaim->renewing_ = true;
    StoredJob next = aClaim->job_;
    next.record_.leaseUntil_ = WallNow() + options_.leaseDuration_;
    const TimePoint deadline = TimerService::Now() + options_.callTimeout_;
    const auto written = co_await store_.Update(std::move(next), deadline);
    if (written) {
      aClaim->job_ = written.value();
    } else {
      aClaim->lost_ = written.error().code_ == ResultCode::kStoreConflict ||
                      written.error().code_ == ResultCode::kStoreNotFound;
    }
    aClaim->renewing_ = false;
  }
}

asio::awaitable<void> JobRunner::RunClaimed(std::shared_ptr<Claim> aClaim)
{
  if (aClaim->job_.record_.claims_ > options_.maxClaims_) {
    co_await FinishJob(aClaim, MakeError(ResultCode::kJobClaimsUsed));
    co_return;
  }
  auto result = co_await Generate(aClaim);
  co_await FinishJob(aClaim, std::move(result));
}

asio::awaitable<Outcome<std::string>> JobRunner::Generate(
  std::shared_ptr<Claim> aClaim)
{
  int failures = 0;
  Error last;
  while (!aClaim->lost_) {
    if (aClaim->job_.record_.expires_ <= WallNow()) {
      co_return MakeError(ResultCode::kJobExpired, last.text_);
    }
    const TimePoint deadline = TimerService::Now() + options_.callTimeout_;
    auto request = co_await store_.ReadRequest(aClaim->job_, deadline);
    if (request) {
      auto result = co_await GenerateOnce(aClaim, std::move(request.value()));
      if (result) {
        co_return result;
      }
      last = result.error();
    } else {
      last = request.error();
    }
    // Attempts that were rejected before execution don't count as failures.
    failures += last.ran_ == RanState::kNo ? 0 : 1;
    if (IsPermanentFailure(last.code_) || failures >= options_.maxFailures_) {
      co_return last;
    }
    co_await TimerService::SleepFor(
      last.retryAfter_.value_or(options_.retryInterval_));
  }
  co_return last;
}

asio::awaitable<Outcome<std::string>> JobRunner::GenerateOnce(
  std::shared_ptr<Claim> aClaim,
  std::string aRequest)
{
  const JobRecord& record = aClaim->job_.record_;
  HttpRequest request =
    MakeRequest("POST", record.target_, std::move(aRequest));
  auto parsed = ParseModelRequest(request);
  if (!parsed) {
    co_return parsed.error();
  }
  ModelRequest& model = parsed.value();
  const auto configuration = board_.configuration_.Read()->configuration_;
  const ServiceConfig* service =
    configuration ? configuration->ServiceByModel(model.model_) : nullptr;
  if (service == nullptr) {
    co_return MakeError(ResultCode::kUnknownModel);
  }
  const TimePoint now = TimerService::Now();
  Generation generation{
    .requestId_ =
      "job-" + aClaim->job_.id_ + "-" + std::to_string(record.claims_),
    .pool_ = service->pool_,
    .target_ = record.target_,
    .info_ = { .team_ = record.team_,
               .service_ = service->name_,
               .class_ = ServiceClass::kBatch,
               .promptTokens_ = model.promptTokens_,
               .maxTokens_ = model.maxTokens_,
               .prefixHash_ = model.prefixHash_,
               .deadline_ = now + options_.attemptLimit_ },
    .body_ = model.body_,
    .arrived_ = now,
  };
  JobSink sink(aClaim->lost_);
  GenerationProgress progress;
  const auto done = co_await models_.Run(std::move(generation), sink, progress);
  if (!done) {
    co_return done.error();
  }
  co_return MakeModelResponse(
    model, aClaim->job_.id_, sink.text_, sink.finishReason_, progress.next_);
}

// Stores the result. While the store is unreachable, the result is kept in
// memory and the write is retried. The lease may expire meanwhile; then the
// first host to write wins.
asio::awaitable<void> JobRunner::FinishJob(std::shared_ptr<Claim> aClaim,
                                           Outcome<std::string> aResult)
{
  while (!aClaim->lost_) {
    aClaim->ended_ = true;
    while (aClaim->renewing_) {
      co_await TimerService::SleepFor(milliseconds(5));
    }
    const auto written = co_await WriteOutcome(aClaim, aResult);
    if (written) {
      const int code = aResult ? 0 : static_cast<int>(aResult.error().code_);
      nlohmann::json fields = nlohmann::json::object();
      fields["job"] = aClaim->job_.id_;
      fields["code"] = code;
      Log(LogEvent::kJobEnded, std::move(fields));
      co_return;
    }
    aClaim->lost_ = written.error().code_ == ResultCode::kStoreConflict ||
                    written.error().code_ == ResultCode::kStoreNotFound;
    if (!aClaim->lost_) {
      co_await TimerService::SleepFor(options_.retryInterval_);
    }
  }
  nlohmann::json fields = nlohmann::json::object();
  fields["job"] = aClaim->job_.id_;
  Log(LogEvent::kJobClaimLost, std::move(fields));
}

asio::awaitable<Outcome<void>> JobRunner::WriteOutcome(
  std::shared_ptr<Claim> aClaim,
  Outcome<std::string> aResult)
{
  const TimePoint deadline = TimerService::Now() + options_.callTimeout_;
  StoredJob job = aClaim->job_;
  if (aResult) {
    auto attached =
      co_await store_.AttachResult(job, aResult.value(), deadline);
    if (!attached) {
      co_return attached.error();
    }
    job = std::move(attached.value());
    job.record_.state_ = JobState::kDone;
  } else {
    job.record_.state_ = JobState::kFailed;
    job.record_.code_ = static_cast<int>(aResult.error().code_);
    job.record_.reason_ = aResult.error().text_;
  }
  const auto written = co_await store_.Update(std::move(job), deadline);
  if (!written) {
    co_return written.error();
  }
  co_return boost::outcome_v2::success();
}

} // namespace gooseberrylift
