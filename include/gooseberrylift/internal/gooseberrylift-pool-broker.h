// Carries requests to the schedulers of their pools and decisions back. One
// shard per pool: the pool's scheduler under a lock of its own, which is never
// held across I/O or together with another shard's.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_POOL_BROKER_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_POOL_BROKER_H_

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <shared_mutex>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "gooseberrylift/gooseberrylift-scheduler.h"
#include "gooseberrylift/gooseberrylift-team-limiter.h"
#include "gooseberrylift/internal/gooseberrylift-blackboard.h"
#include "gooseberrylift/internal/gooseberrylift-http.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

// The shard of one pool; see the source.
class PoolShard;

// A place at an endpoint, held for one attempt of a request. Letting it go
// without Finish counts as an attempt that failed without the endpoint's fault,
// so that no way out of a request can leak a place.
class Placement
{
public:
  Placement(std::shared_ptr<PoolShard> aShard,
            const SchedulerAction& aAction,
            EndpointView aEndpoint);
  ~Placement();
  Placement(Placement&& aOther) noexcept = default;
  Placement& operator=(Placement&&) = delete;

  const EndpointView& Endpoint() const { return endpoint_; }

  /// Gives the priority that the engine is to be told; lower runs first.
  int Priority() const { return priority_; }

  /// Gives the time by which the answer must have begun.
  /// @param aDeadline of the whole answer
  TimePoint FirstTokenBy(TimePoint aDeadline) const;

  /// Tells the scheduler that the first token has come.
  void FirstToken();

  /// Gives the place back with what came of the attempt.
  void Finish(const RequestOutcome& aOutcome);

private:
  std::shared_ptr<PoolShard> shard_;
  std::uint64_t id_;
  EndpointView endpoint_;
  int priority_ = 0;
  TimePoint firstTokenBy_ = TimePoint::max();
};

// Reads the sections configuration_, endpoints_ and peers_ and writes demand_.
// Safe from any thread:
//
//   auto placement = co_await broker.Acquire("llm", info);
//   if (!placement) co_return placement.error();
//   ... use placement.value().Endpoint() ...
//   placement.value().Finish({ .succeeded_ = true });
class PoolBroker
{
public:
  struct Options
  {
    std::string zone_; // of this host
    std::uint64_t seed_ = 1;
  };

  PoolBroker(boost::asio::any_io_executor aExecutor,
             Blackboard& aBoard,
             Options aOptions);
  ~PoolBroker();

  /// Waits for a place at an endpoint of a pool.
  /// @param aPool the pool's name
  /// @param aInfo the request; its id_ is set here
  /// @return the place, or the scheduler's refusal
  boost::asio::awaitable<Outcome<Placement>> Acquire(std::string aPool,
                                                     RequestInfo aInfo);

  // How many requests wait and run, for status pages.
  struct Load
  {
    std::size_t waiting_ = 0;
    std::size_t running_ = 0;
  };

  /// Gives the present load by pool.
  std::map<std::string, Load> Loads() const;

private:
  std::shared_ptr<PoolShard> ShardOf(const std::string& aPool);
  Scheduler::Options OptionsOf(const std::string& aPool) const;
  std::optional<Error> TakeTeamTokens(const RequestInfo& aInfo);
  void Tick();
  void PublishDemand();
  void OnConfiguration();
  void UpdateEndpoints();
  void OnPeers(const PeersState& aState);

  boost::asio::any_io_executor executor_;
  Blackboard& board_;
  std::mutex endpointsMutex_;       // updates of endpoints, one at a time
  mutable std::shared_mutex mutex_; // guards the map, not the shards
  std::map<std::string, std::shared_ptr<PoolShard>> shards_;
  Options options_;
  std::mutex limiterMutex_; // guards limiter_ and random_
  TeamLimiter limiter_;
  std::minstd_rand random_; // spreads the returns of refused callers
  TimerSubscription tick_;
  TimerSubscription publish_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_POOL_BROKER_H_
