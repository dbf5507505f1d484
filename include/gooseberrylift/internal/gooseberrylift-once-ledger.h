// Runs the group commits of all buckets against the object store.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ONCE_LEDGER_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ONCE_LEDGER_H_

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "gooseberrylift/gooseberrylift-once-committer.h"
#include "gooseberrylift/internal/gooseberrylift-store.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

constexpr const char* kOnceKind = "oncebuckets";

// All hosts must agree on the bucket of a key, so the number is fixed: a host
// with another number would look for an intent where it is not.
constexpr std::size_t kOnceBuckets = 16;

// One shard a bucket, each with its own lock; no lock is held across a call to
// the store. Safe from any thread.
class OnceLedger
{
public:
  struct Options
  {
    OnceCommitter::Options committer_{};
    std::chrono::milliseconds callTimeout_{ 1000 };
  };

  OnceLedger(ObjectStore& aStore,
             const boost::asio::any_io_executor& aExecutor,
             Options aOptions);
  ~OnceLedger();

  /// Commits an operation together with whatever else waits for its bucket.
  /// @param aBucket below kOnceBuckets
  /// @return the reply, at the latest at the operation's deadline
  boost::asio::awaitable<OnceReply> Commit(std::size_t aBucket, OnceOp aOp);

  /// Commits without waiting, as often as the operation's deadline allows.
  void Post(std::size_t aBucket, OnceOp aOp);

  /// Says whether no operation is queued or under way.
  bool Idle() const;

private:
  class Shard;
  std::vector<std::shared_ptr<Shard>> shards_;
  TimerSubscription tick_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ONCE_LEDGER_H_
