#include "gooseberrylift/internal/gooseberrylift-pool-broker.h"

#include <algorithm>
#include <atomic>
#include <optional>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace gooseberrylift {

namespace asio = boost::asio;

namespace {

// Interval at which the deadlines of waiting requests are checked.
constexpr std::chrono::milliseconds kDeadlineCheckInterval{ 10 };

// Interval at which the demand of teams is published to peers.
constexpr std::chrono::milliseconds kPublishInterval{ 1000 };

// Bounds of the retry delay of a team over its limit, which is usually below it
// again within seconds.
constexpr std::int64_t kMinRetryMs = 500;
constexpr std::int64_t kMaxRetryMs = 3000;

std::atomic<std::uint64_t> sNextId = 1;

// A coroutine waiting for its scheduling decision. The timer never expires;
// cancelling it resumes the coroutine.
struct Waiter
{
  explicit Waiter(const asio::any_io_executor& aExecutor)
    : timer_(aExecutor, asio::steady_timer::time_point::max())
  {
  }
  asio::steady_timer timer_;
  std::optional<SchedulerAction> action_; // guarded by the shard's lock
};

std::map<std::string, std::vector<EndpointView>> GroupByPool(
  const EndpointsState& aState)
{
  std::map<std::string, std::vector<EndpointView>> byPool;
  for (const EndpointView& view : aState.endpoints_) {
    byPool[view.pool_].push_back(view);
  }
  return byPool;
}

} // namespace

class PoolShard : public std::enable_shared_from_this<PoolShard>
{
public:
  explicit PoolShard(Scheduler::Options aOptions)
    : scheduler_(std::move(aOptions))
  {
  }

  void SetEndpoints(std::vector<EndpointView> aViews)
  {
    const std::lock_guard lock(mutex_);
    endpoints_.clear();
    for (const EndpointView& view : aViews) {
      endpoints_.emplace(view.name_, view);
    }
    scheduler_.SetEndpoints(std::move(aViews), TimerService::Now());
    DeliverDecisions();
  }

  void Configure(Scheduler::Options aOptions)
  {
    const std::lock_guard lock(mutex_);
    scheduler_.Configure(std::move(aOptions));
  }

  void SetHostCount(std::size_t aHosts)
  {
    const std::lock_guard lock(mutex_);
    scheduler_.SetHostCount(aHosts);
  }

  void Tick()
  {
    const std::lock_guard lock(mutex_);
    scheduler_.OnTick(TimerService::Now());
    DeliverDecisions();
  }

  void FirstToken(std::uint64_t aId)
  {
    const std::lock_guard lock(mutex_);
    scheduler_.OnFirstToken(aId, TimerService::Now());
    DeliverDecisions();
  }

  void Finish(std::uint64_t aId, const RequestOutcome& aOutcome)
  {
    const std::lock_guard lock(mutex_);
    scheduler_.OnFinished(aId, aOutcome, TimerService::Now());
    DeliverDecisions();
  }

  void Enqueue(const RequestInfo& aInfo, const std::shared_ptr<Waiter>& aWaiter)
  {
    const std::lock_guard lock(mutex_);
    waiters_.emplace(aInfo.id_, aWaiter);
    scheduler_.OnRequest(aInfo, TimerService::Now());
    DeliverDecisions();
  }

  // Ends the wait of a request. A decision made while the caller was leaving is
  // still returned, so that the caller of this function releases its slot.
  std::optional<SchedulerAction> StopWaiting(std::uint64_t aId,
                                             const Waiter& aWaiter)
  {
    const std::lock_guard lock(mutex_);
    if (!aWaiter.action_) {
      waiters_.erase(aId);
      scheduler_.OnCancelled(aId, TimerService::Now());
      DeliverDecisions();
    }
    return aWaiter.action_;
  }

  EndpointView EndpointOf(const std::string& aName) const
  {
    const std::lock_guard lock(mutex_);
    const auto found = endpoints_.find(aName);
    return found == endpoints_.end() ? EndpointView{} : found->second;
  }

  PoolBroker::Load Load() const
  {
    const std::lock_guard lock(mutex_);
    return { .waiting_ = scheduler_.Waiting(),
             .running_ = scheduler_.Running() };
  }

private:
  // Passes the scheduler's decisions to their waiters. Requires mutex_ to be
  // held.
  void DeliverDecisions()
  {
    for (SchedulerAction& action : scheduler_.TakeActions()) {
      const auto found = waiters_.find(action.id_);
      if (found == waiters_.end()) {
        continue;
      }
      const std::shared_ptr<Waiter> waiter = std::move(found->second);
      waiters_.erase(found);
      waiter->action_ = std::move(action);
      asio::post(waiter->timer_.get_executor(),
                 [waiter] { waiter->timer_.cancel(); });
    }
  }

  mutable std::mutex mutex_;
  Scheduler scheduler_;
  std::map<std::string, EndpointView> endpoints_;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters_;
};

Placement::Placement(std::shared_ptr<PoolShard> aShard,
                     const SchedulerAction& aAction,
                     EndpointView aEndpoint)
  : shard_(std::move(aShard))
  , id_(aAction.id_)
  , endpoint_(std::move(aEndpoint))
  , priority_(aAction.priority_)
{
  if (aAction.firstTokenLimit_.count() > 0) {
    firstTokenBy_ = TimerService::Now() + aAction.firstTokenLimit_;
  }
}

TimePoint Placement::FirstTokenBy(TimePoint aDeadline) const
{
  return std::min(aDeadline, firstTokenBy_);
}

Placement::~Placement()
{
  Finish({});
}

void Placement::FirstToken()
{
  if (shard_) {
    shard_->FirstToken(id_);
  }
}

void Placement::Finish(const RequestOutcome& aOutcome)
{
  if (const auto shard = std::exchange(shard_, nullptr)) {
    shard->Finish(id_, aOutcome);
  }
}

PoolBroker::PoolBroker(asio::any_io_executor aExecutor,
                       Blackboard& aBoard,
                       Options aOptions)
  : executor_(std::move(aExecutor))
  , board_(aBoard)
  , options_(std::move(aOptions))
  , limiter_(TeamLimiter::Options{})
  , random_(static_cast<std::uint32_t>(options_.seed_))
{
  board_.endpoints_.Subscribe(
    [this](const BlackboardSection<EndpointsState>::Snapshot& /*aState*/) {
      UpdateEndpoints();
    });
  board_.configuration_.Subscribe(
    [this](const BlackboardSection<ConfigurationState>::Snapshot&) {
      OnConfiguration();
    });
  board_.peers_.Subscribe(
    [this](const BlackboardSection<PeersState>::Snapshot& aState) {
      OnPeers(*aState);
    });
  tick_ =
    TimerService::Every(kDeadlineCheckInterval, executor_, [this] { Tick(); });
  publish_ = TimerService::Every(
    kPublishInterval, executor_, [this] { PublishDemand(); });
}

PoolBroker::~PoolBroker() = default;

asio::awaitable<Outcome<Placement>> PoolBroker::Acquire(std::string aPool,
                                                        RequestInfo aInfo)
{
  if (auto refusal = AcquireTeamTokens(aInfo)) {
    co_return std::move(*refusal);
  }
  aInfo.id_ = sNextId++;
  const std::shared_ptr<PoolShard> shard = ShardOf(aPool);
  const auto waiter =
    std::make_shared<Waiter>(co_await asio::this_coro::executor);
  shard->Enqueue(aInfo, waiter);
  co_await waiter->timer_.async_wait(asio::as_tuple(asio::use_awaitable));
  const auto action = shard->StopWaiting(aInfo.id_, *waiter);
  if (!action) {
    co_return Error{ .code_ = ResultCode::kCallerLeft };
  }
  if (action->endpoint_.empty()) {
    co_return action->refusal_;
  }
  co_return Placement(shard, *action, shard->EndpointOf(action->endpoint_));
}

std::map<std::string, PoolBroker::Load> PoolBroker::Loads() const
{
  const std::shared_lock lock(mutex_);
  std::map<std::string, Load> loads;
  for (const auto& [name, shard] : shards_) {
    loads.emplace(name, shard->Load());
  }
  return loads;
}

std::shared_ptr<PoolShard> PoolBroker::ShardOf(const std::string& aPool)
{
  {
    const std::shared_lock lock(mutex_);
    const auto found = shards_.find(aPool);
    if (found != shards_.end()) {
      return found->second;
    }
  }
  auto shard = std::make_shared<PoolShard>(OptionsOf(aPool));
  shard->SetHostCount(board_.peers_.Read()->digests_.size() + 1);
  // Set before the shard is inserted into the map, where other threads use it
  // at once. Otherwise the first requests of a pool would be rejected with "no
  // live endpoint".
  shard->SetEndpoints(std::move(GroupByPool(*board_.endpoints_.Read())[aPool]));
  {
    const std::unique_lock lock(mutex_);
    shard = shards_.emplace(aPool, shard).first->second;
  }
  UpdateEndpoints(); // covers changes made before the insertion
  return shard;
}

Scheduler::Options PoolBroker::OptionsOf(const std::string& aPool) const
{
  Scheduler::Options options{ .zone_ = options_.zone_,
                              .seed_ = options_.seed_ };
  const auto configuration = board_.configuration_.Read()->configuration_;
  if (!configuration) {
    return options;
  }
  for (const auto& [name, team] : configuration->Teams()) {
    options.weights_.emplace(name, team.weight_);
  }
  if (const PoolConfig* pool = configuration->PoolByName(aPool)) {
    options.maxConcurrency_ = pool->maxConcurrency_;
    options.placement_ = pool->placement_;
  }
  return options;
}

// Retries are not counted again: the first attempt took the tokens.
std::optional<Error> PoolBroker::AcquireTeamTokens(const RequestInfo& aInfo)
{
  if (!aInfo.IsFirstAttempt()) {
    return std::nullopt;
  }
  const std::lock_guard lock(limiterMutex_);
  const std::uint64_t tokens = aInfo.promptTokens_ + aInfo.maxTokens_;
  if (limiter_.TryAcquire(aInfo.team_, tokens, TimerService::Now())) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::int64_t> spread(kMinRetryMs, kMaxRetryMs);
  return Error{ .code_ = ResultCode::kTeamLimit,
                .ran_ = RanState::kNo,
                .retryAfter_ = std::chrono::milliseconds(spread(random_)) };
}

void PoolBroker::PublishDemand()
{
  DemandState state;
  {
    const std::lock_guard lock(limiterMutex_);
    state.demand_ = limiter_.Publish(TimerService::Now());
  }
  board_.demand_.Write(std::move(state));
}

void PoolBroker::OnConfiguration()
{
  std::map<std::string, double> limits;
  if (const auto now = board_.configuration_.Read()->configuration_) {
    for (const auto& [name, team] : now->Teams()) {
      limits.emplace(name, team.tokensPerSecond_);
    }
  }
  {
    const std::lock_guard lock(limiterMutex_);
    limiter_.SetLimits(limits);
  }
  const std::shared_lock lock(mutex_);
  for (const auto& [name, shard] : shards_) {
    shard->Configure(OptionsOf(name));
  }
}

void PoolBroker::OnPeers(const PeersState& aState)
{
  {
    const std::lock_guard lock(limiterMutex_);
    limiter_.SetPeers(aState.digests_, TimerService::Now());
  }
  const std::shared_lock lock(mutex_);
  for (const auto& [name, shard] : shards_) {
    shard->SetHostCount(aState.digests_.size() + 1);
  }
}

void PoolBroker::Tick()
{
  const std::shared_lock lock(mutex_);
  for (const auto& [name, shard] : shards_) {
    shard->Tick();
  }
}

// Concurrent updates could leave the older snapshot in place. Each update
// therefore reads the latest snapshot while it holds the lock.
void PoolBroker::UpdateEndpoints()
{
  const std::lock_guard order(endpointsMutex_);
  auto byPool = GroupByPool(*board_.endpoints_.Read());
  const std::shared_lock lock(mutex_);
  for (const auto& [name, shard] : shards_) {
    shard->SetEndpoints(std::move(byPool[name]));
  }
}

} // namespace gooseberrylift
