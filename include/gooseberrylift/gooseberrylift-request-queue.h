// Orders the requests that wait at this host. The load patterns it answers: a
// burst, one team that asks for far more than its share, and overload. Without
// it the first to come is the first served: one team's thousand requests stand
// before another's single one, and room state waits behind season reviews.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_REQUEST_QUEUE_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_REQUEST_QUEUE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "gooseberrylift/gooseberrylift-scheduler-types.h"

namespace gooseberrylift {

// A request that waits, with its predicted cost.
struct WaitingRequest
{
  RequestInfo info_;
  std::chrono::microseconds cost_{ 0 }; // engine time to the first token
  TimePoint latestStart_; // after this the deadline can't be met any more
  TimePoint arrived_;
};

// Each operation costs the logarithm of the queue's length at most. Not
// thread-safe; the scheduler owns one for each lane.
class RequestQueue
{
public:
  virtual ~RequestQueue() = default;

  virtual void Push(WaitingRequest aRequest) = 0;

  /// Finds a waiting request; null when it does not wait.
  virtual const WaitingRequest* Find(std::uint64_t aId) const = 0;

  /// Gives the request to serve next; null when none waits.
  virtual const WaitingRequest* Next() const = 0;

  /// Removes a request that was served, refused or withdrawn.
  /// @param aServed whether its cost counts against its team and class
  virtual void Remove(std::uint64_t aId, bool aServed) = 0;

  /// Gives the request whose latest start comes first; null when none waits.
  virtual const WaitingRequest* MostPressing() const = 0;

  /// Gives the waiting cost of a request's own team and class.
  virtual std::chrono::microseconds TeamWork(
    const RequestInfo& aInfo) const = 0;

  /// Gives the share of its class that a request's team has by weight.
  virtual double TeamShare(const RequestInfo& aInfo) const = 0;

  virtual std::size_t Size() const = 0;
};

/// Makes the baseline: first come first served.
std::unique_ptr<RequestQueue> MakeFifoQueue();

// How the fair queue shares.
struct FairQueueOptions
{
  // What each class below the most urgent gets when all wait. A tenth keeps
  // reviews moving while room state loses no more than a tenth of the engines
  // in an overload, which its own deadline of seconds bears.
  double floor_ = 0.1;
  std::map<std::string, double> weights_; // of teams; 1 when missing
};

/// Makes the fair queue: urgent first but for a floor for each class; in a
/// class start-time fair queueing over teams in engine time (the fairness of
/// deficit round robin, without its rounds when one prompt costs a thousand
/// times another); in a team the earliest deadline first.
std::unique_ptr<RequestQueue> MakeFairQueue(FairQueueOptions aOptions);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_REQUEST_QUEUE_H_
