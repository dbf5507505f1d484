// Passes requests to the schedulers of their pools and returns the decisions.
// Each pool has a shard: a scheduler with its own lock, which is never held
// across I/O or together with the lock of another shard.

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

// The scheduler of one pool and its lock, defined in the source file.
class PoolShard;

// RAII handle of a slot at an endpoint, held for one attempt of a request.
// Destroying it without Finish releases the slot and counts as a failed attempt
// that is not the endpoint's fault, so that no exit path leaks a slot.
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

  /// Returns the priority to send to the engine; lower values run first.
  int Priority() const { return priority_; }

  /// Returns the deadline of the first token.
  /// @param aDeadline the deadline of the whole response
  TimePoint FirstTokenBy(TimePoint aDeadline) const;

  /// Tells the scheduler that the first token has arrived.
  void FirstToken();

  /// Releases the slot and reports the outcome of the attempt.
  void Finish(const RequestOutcome& aOutcome);

private:
  std::shared_ptr<PoolShard> shard_;
  std::uint64_t id_;
  EndpointView endpoint_;
  int priority_ = 0;
  TimePoint firstTokenBy_ = TimePoint::max();
};

// Reads the sections configuration_, endpoints_ and peers_; writes demand_.
// Thread-safe:
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

  /// Waits for a slot at an endpoint of a pool.
  /// @param aPool the pool's name
  /// @param aInfo the request; its id_ is set here
  /// @return the slot, or the error with which the request was rejected
  boost::asio::awaitable<Outcome<Placement>> Acquire(std::string aPool,
                                                     RequestInfo aInfo);

  // Numbers of waiting and running requests, for status pages.
  struct Load
  {
    std::size_t waiting_ = 0;
    std::size_t running_ = 0;
  };

  /// Returns the current load by pool.
  std::map<std::string, Load> Loads() const;

private:
  std::shared_ptr<PoolShard> ShardOf(const std::string& aPool);
  Scheduler::Options OptionsOf(const std::string& aPool) const;
  std::optional<Error> AcquireTeamTokens(const RequestInfo& aInfo);
  void Tick();
  void PublishDemand();
  void OnConfiguration();
  void UpdateEndpoints();
  void OnPeers(const PeersState& aState);

  boost::asio::any_io_executor executor_;
  Blackboard& board_;
  std::mutex endpointsMutex_;       // serializes updates of endpoints
  mutable std::shared_mutex mutex_; // guards shards_, not the shards themselves
  std::map<std::string, std::shared_ptr<PoolShard>> shards_;
  Options options_;
  std::mutex limiterMutex_; // guards limiter_ and random_
  TeamLimiter limiter_;
  std::minstd_rand random_; // jitter of the Retry-After of rejected requests
  TimerSubscription tick_;
  TimerSubscription publish_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_POOL_BROKER_H_
