// Group commit for one bucket: batches the operations of concurrent calls,
// recovers from lost responses and write conflicts, and never has two writes in
// progress.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_ONCE_COMMITTER_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_ONCE_COMMITTER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "gooseberrylift/gooseberrylift-endpoint.h"
#include "gooseberrylift/gooseberrylift-once-bucket.h"
#include "gooseberrylift/gooseberrylift-result.h"

namespace gooseberrylift {

enum class OnceOpKind
{
  kBegin,
  kFinish,
  kRelease
};

// Operation on one record of the bucket.
struct OnceOp
{
  std::uint64_t id_ = 0; // assigned by Submit
  OnceOpKind kind_ = OnceOpKind::kBegin;
  OnceIntent intent_{};
  OnceState state_ = OnceState::kDone; // of kFinish
  std::string result_{};               // of kFinish
  TimePoint deadline_{};               // latest time for the reply
  TimePoint flushAt_{}; // until then, written only along with others
};

// Reply to a submitted operation.
struct OnceReply
{
  std::uint64_t id_ = 0;
  bool committed_ = false;        // false: the store did not confirm it in time
  OnceBeginResult beginResult_{}; // of kBegin
};

enum class OnceStoreCallKind
{
  kRead,
  kCreate,
  kUpdate
};

// Store call that the runtime makes on behalf of the committer.
struct OnceStoreCall
{
  OnceStoreCallKind kind_ = OnceStoreCallKind::kRead;
  std::string version_{}; // expected version, of kUpdate
  nlohmann::json spec_{};
};

// State machine without I/O. The runtime submits operations, makes the calls
// that NextStoreCall returns, one at a time, reports the result of each, and
// delivers the replies:
//
//   committer.Submit(op);
//   while (auto call = committer.NextStoreCall(now, wall)) { ... On...(); }
//   for (auto& reply : committer.TakeReplies()) { ... }
class OnceCommitter
{
public:
  struct Options
  {
    OnceBucket::Options bucket_{};
    std::size_t maxBatch_ = 256; // 1 disables group commit
    int maxFailedCalls_ = 3; // failed store calls until an intent is refused
    std::chrono::milliseconds retryDelay_{ 20 }; // doubled after each failure
    std::chrono::milliseconds maxRetryDelay_{ 1000 };
    std::chrono::minutes releaseTimeout_{ 10 }; // of refused intents
  };

  explicit OnceCommitter(Options aOptions);

  /// Queues an operation.
  /// @return the operation's identifier
  std::uint64_t Submit(OnceOp aOp);

  /// Returns the next store call to make.
  /// @return nothing while a call is in progress, when no operation is due, or
  /// before NextWakeTime()
  std::optional<OnceStoreCall> NextStoreCall(TimePoint aNow, WallTime aWall);

  /// The read returned the object.
  void OnRead(const std::string& aVersion, const nlohmann::json& aSpec);

  /// The read found that the object does not exist.
  void OnNotFound();

  /// The write succeeded.
  void OnWritten(const std::string& aVersion, TimePoint aNow);

  /// The write was rejected because another host wrote the object first.
  void OnConflict();

  /// The call failed.
  /// @param aRan whether a write may have taken effect
  void OnFailed(RanState aRan, TimePoint aNow);

  /// Refuses operations whose deadline has passed, also while a call is in
  /// progress.
  void OnTick(TimePoint aNow);

  /// Returns and clears the replies that have become available.
  std::vector<OnceReply> TakeReplies();

  /// Returns when to call NextStoreCall again if it returned nothing while
  /// operations are queued.
  std::optional<TimePoint> NextWakeTime() const;

  /// Returns whether any operation is queued or in progress.
  bool HasPendingWork() const { return !queue_.empty() || inFlight_; }

private:
  struct Entry
  {
    OnceOp op_;
    int failedCalls_ = 0;
    bool refused_ = false; // refusal was sent; a written intent is released
    bool maybeWritten_ = false; // a failed write may have included it
    OnceBeginResult beginResult_{};
  };

  bool HasDueOperation(TimePoint aNow) const;
  bool Apply(Entry& aEntry, OnceBucket& aBucket, WallTime aWall) const;
  bool FillBatch(WallTime aWall);
  void RequeueBatch(TimePoint aNow);
  void Refuse(Entry& aEntry);
  void Reply(const Entry& aEntry);
  static void ConvertToRelease(Entry& aEntry, TimePoint aDeadline);

  Options options_;
  OnceBucket bucket_;
  OnceBucket stagedBucket_;
  std::string version_;
  bool bucketLoaded_ = false;
  std::uint64_t lastId_ = 0;
  std::uint64_t lastIdAtRead_ = 0; // lastId_ when the last read began
  std::deque<Entry> queue_;
  std::vector<Entry> batch_;
  bool inFlight_ = false;
  int failures_ = 0;
  TimePoint retryAt_{};
  TimePoint now_{};
  std::vector<OnceReply> replies_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_ONCE_COMMITTER_H_
