// Executes the group commits of all buckets in the object store.

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

// Fixed, because all hosts must map a key to the same bucket: a host with
// another number would look for an intent in the wrong bucket.
constexpr std::size_t kOnceBuckets = 16;

// Each bucket has a shard with its own lock. No lock is held across a call to
// the store. Thread-safe.
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

  /// Commits an operation together with the other operations queued for its
  /// bucket.
  /// @param aBucket the index of the bucket, below kOnceBuckets
  /// @return the reply, by the operation's deadline at the latest
  boost::asio::awaitable<OnceReply> Commit(std::size_t aBucket, OnceOp aOp);

  /// Commits asynchronously, with retries until the operation's deadline.
  void Post(std::size_t aBucket, OnceOp aOp);

  /// Returns whether no operation is queued or in progress.
  bool Idle() const;

private:
  class Shard;
  std::vector<std::shared_ptr<Shard>> shards_;
  TimerSubscription tick_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ONCE_LEDGER_H_
