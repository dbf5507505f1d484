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

std::uint64_t Draw()
{
  thread_local std::mt19937_64 sGenerator{ std::random_device{}() };
  return sGenerator();
}

// Gathers a job's tokens. Ends the generation once the claim is lost, since
// another host does the work then.
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

// The caller's own fault, which no other engine and no later time mends.
bool IsForGood(ResultCode aCode)
{
  return aCode == ResultCode::kMalformedJson ||
         aCode == ResultCode::kBadField || aCode == ResultCode::kUnknownModel;
}

} // namespace

// One job that this host holds. Everything runs on one strand.
struct JobRunner::Claim
{
  StoredJob job_;
  bool lost_ = false;     // another host holds it, or it was removed
  bool ended_ = false;    // no more renewals
  bool renewing_ = false; // a renewal is under way; its version is to come
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
  SpawnTask(asio::make_strand(executor_), Follow());
  SpawnTask(asio::make_strand(executor_), PickLoop());
  SpawnTask(asio::make_strand(executor_), SweepLoop());
}

bool JobRunner::CanAddJob(const std::string& aTeam) const
{
  const std::lock_guard lock(mutex_);
  return jobCache_.CanAddJob(aTeam);
}

asio::awaitable<void> JobRunner::Follow()
{
  while (true) {
    const bool reached = co_await ListAndWatch();
    if (!reached) {
      co_await TimerService::SleepFor(options_.retry_);
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
    Note(object);
  }
  const auto watched = co_await objects_.Watch(
    kJobKind,
    list.value().version_,
    [this](const StoreEvent& aEvent) {
      if (aEvent.deleted_) {
        const std::lock_guard lock(mutex_);
        jobCache_.OnDeleted(aEvent.object_.name_);
      } else {
        Note(aEvent.object_);
      }
    },
    options_.watchFor_,
    TimerService::Now() + options_.watchFor_ + std::chrono::seconds(1));
  co_return watched.has_value();
}

void JobRunner::Note(const StoreObject& aObject)
{
  const JobRecord record = JobRecord::Parse(aObject.spec_);
  const std::lock_guard lock(mutex_);
  jobCache_.OnUpdated(aObject.name_, record);
}

asio::awaitable<void> JobRunner::PickLoop()
{
  while (true) {
    // Spread, so that hosts don't look for work at the same moment.
    const milliseconds pause(options_.pick_.count() / 2 +
                             Draw() % options_.pick_.count());
    co_await TimerService::SleepFor(pause);
    if (!board_.host_.Read()->draining_) {
      PickOne();
    }
  }
}

void JobRunner::PickOne()
{
  std::optional<std::string> id;
  {
    const std::lock_guard lock(mutex_);
    if (running_.size() >= options_.maxRunning_) {
      return;
    }
    id = jobCache_.Pick(running_, WallNow(), Draw());
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
    const milliseconds pause(options_.sweep_.count() / 2 +
                             Draw() % options_.sweep_.count());
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
    SpawnTask(executor, Renew(claim));
    co_await Work(claim);
    claim->ended_ = true;
  }
  const std::lock_guard lock(mutex_);
  running_.erase(aId);
}

// Claims a job by conditional update.
// @return null when somebody else has it or the store can't be reached
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

// Prolongs the lease while the job runs. A renewal that meets a conflict means
// that the job is another's now.
asio::awaitable<void> JobRunner::Renew(std::shared_ptr<Claim> aClaim)
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

asio::awaitable<void> JobRunner::Work(std::shared_ptr<Claim> aClaim)
{
  if (aClaim->job_.record_.claims_ > options_.maxClaims_) {
    co_await End(aClaim, MakeError(ResultCode::kJobClaimsUsed));
    co_return;
  }
  auto result = co_await Generate(aClaim);
  co_await End(aClaim, std::move(result));
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
    // What was refused before it ran costs the job nothing but time.
    failures += last.ran_ == RanState::kNo ? 0 : 1;
    if (IsForGood(last.code_) || failures >= options_.maxFailures_) {
      co_return last;
    }
    co_await TimerService::SleepFor(last.retryAfter_.value_or(options_.retry_));
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
  const auto done = co_await models_.Run(std::move(generation), sink);
  if (!done) {
    co_return done.error();
  }
  co_return MakeModelResponse(model,
                              aClaim->job_.id_,
                              sink.text_,
                              sink.finishReason_,
                              done.value().tokens_);
}

// Stores the end. As long as the store can't be reached the result is kept and
// tried again; the lease may lapse meanwhile, and then whoever writes first
// wins.
asio::awaitable<void> JobRunner::End(std::shared_ptr<Claim> aClaim,
                                     Outcome<std::string> aResult)
{
  while (!aClaim->lost_) {
    aClaim->ended_ = true;
    while (aClaim->renewing_) {
      co_await TimerService::SleepFor(milliseconds(5));
    }
    const auto written = co_await WriteEnd(aClaim, aResult);
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
      co_await TimerService::SleepFor(options_.retry_);
    }
  }
  nlohmann::json fields = nlohmann::json::object();
  fields["job"] = aClaim->job_.id_;
  Log(LogEvent::kJobClaimLost, std::move(fields));
}

asio::awaitable<Outcome<void>> JobRunner::WriteEnd(
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
