// Orders the requests that wait at this host, during bursts, under overload and
// when one team sends far more than its share. In first-come, first-served
// order a thousand requests of one team delay the single request of another,
// and urgent room-state requests wait behind season reviews.

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

// A queued request with its predicted cost.
struct WaitingRequest
{
  RequestInfo info_;
  std::chrono::microseconds cost_{ 0 }; // engine time to the first token
  TimePoint latestStart_;               // a later start misses the deadline
  TimePoint arrived_;
};

// Queue of waiting requests. Every operation takes at most logarithmic time in
// the length of the queue. Not thread-safe; the scheduler owns one per lane.
class RequestQueue
{
public:
  virtual ~RequestQueue() = default;

  virtual void Push(WaitingRequest aRequest) = 0;

  /// Finds a request; null if it is not queued.
  virtual const WaitingRequest* Find(std::uint64_t aId) const = 0;

  /// Returns the request to dispatch next; null if the queue is empty.
  virtual const WaitingRequest* Next() const = 0;

  /// Removes a request that was dispatched, refused or cancelled.
  /// @param aServed whether to charge its cost to its team and class
  virtual void Remove(std::uint64_t aId, bool aServed) = 0;

  /// Returns the request with the earliest latestStart_; null if empty.
  virtual const WaitingRequest* NextToExpire() const = 0;

  /// Returns the total queued cost of the request's team and class.
  virtual std::chrono::microseconds QueuedTeamCost(
    const RequestInfo& aInfo) const = 0;

  /// Returns the weighted share of the request's team in its class.
  virtual double TeamWeightShare(const RequestInfo& aInfo) const = 0;

  virtual std::size_t Size() const = 0;
};

/// Creates the baseline queue: first come, first served.
std::unique_ptr<RequestQueue> MakeFifoQueue();

// Configuration of the fair queue.
struct FairQueueOptions
{
  // Share of engine time guaranteed to each class below the most urgent waiting
  // one. A tenth keeps reviews progressing under overload, while urgent
  // room-state requests lose no more than a tenth of the engines, which their
  // deadline of seconds tolerates.
  double minClassShare_ = 0.1;
  std::map<std::string, double> weights_; // per team; 1 if missing
};

/// Creates the fair queue. Classes are served by urgency, except for the
/// minimum share of each class. Within a class, teams share engine time by
/// start-time fair queueing, which is as fair as deficit round robin but needs
/// no extra rounds when one prompt costs a thousand times another. Within a
/// team, the earliest deadline goes first.
std::unique_ptr<RequestQueue> MakeFairQueue(FairQueueOptions aOptions);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_REQUEST_QUEUE_H_
