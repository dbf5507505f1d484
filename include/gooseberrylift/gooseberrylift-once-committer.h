// Group commit for one bucket: gathers what many calls want written, settles
// lost answers and conflicts, and never has two writes under way.

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

struct OnceOp
{
  std::uint64_t id_ = 0; // set by Submit
  OnceOpKind kind_ = OnceOpKind::kBegin;
  OnceIntent intent_{};
  OnceState state_ = OnceState::kDone; // of kFinish
  std::string result_{};               // of kFinish
  TimePoint deadline_{};               // when a reply is due at the latest
  TimePoint flushAt_{}; // until then it only joins a write made for others
};

struct OnceReply
{
  std::uint64_t id_ = 0;
  bool committed_ = false; // false: the store could not be reached in time
  OnceBeginResult beginResult_{};
};

enum class OnceStoreCallKind
{
  kRead,
  kCreate,
  kUpdate
};

// A call to the store that the runtime is to make.
struct OnceStoreCall
{
  OnceStoreCallKind kind_ = OnceStoreCallKind::kRead;
  std::string version_{}; // of kUpdate
  nlohmann::json spec_{};
};

// The runtime submits operations, makes the calls that NextStoreCall asks for,
// one at a time, reports how each ended, and hands out the replies:
//
//   committer.Submit(op);
//   while (auto io = committer.NextStoreCall(now, wall)) { ... On...(); }
//   for (auto& reply : committer.TakeReplies()) { ... }
class OnceCommitter
{
public:
  struct Options
  {
    OnceBucket::Options bucket_{};
    std::size_t maxBatch_ = 256; // 1 turns group commit off
    int maxTries_ = 3;           // failed calls before an intent is refused
    std::chrono::milliseconds pause_{ 20 }; // after a failure, doubled each
    std::chrono::milliseconds maxPause_{ 1000 };
    std::chrono::minutes releaseFor_{ 10 }; // how long a release is tried
  };

  explicit OnceCommitter(Options aOptions);

  /// Queues an operation. @return its identifier
  std::uint64_t Submit(OnceOp aOp);

  /// Says which call to make now. @return nothing while one is under way, when
  /// there is no work, or before NextWakeTime()
  std::optional<OnceStoreCall> NextStoreCall(TimePoint aNow, WallTime aWall);

  /// The object was read, or is known to be absent.
  void OnRead(const std::string& aVersion, const nlohmann::json& aSpec);
  void OnNotFound();

  /// The write took effect.
  void OnWritten(const std::string& aVersion, TimePoint aNow);

  /// The write was refused, since another host wrote first.
  void OnConflict();

  /// The call failed. @param aRan whether a write may have taken effect
  void OnFailed(RanState aRan, TimePoint aNow);

  /// Refuses intents whose time is over, also while a call is under way.
  void OnTick(TimePoint aNow);

  std::vector<OnceReply> TakeReplies();

  /// Says when to ask NextStoreCall again, if it gave nothing and work is left.
  std::optional<TimePoint> NextWakeTime() const;

  /// Says whether any operation is queued or under way.
  bool Busy() const { return !queue_.empty() || inFlight_; }

private:
  struct Entry
  {
    OnceOp op_;
    int tries_ = 0;
    bool refused_ = false;      // replied to; what it wrote must be undone
    bool maybeWritten_ = false; // a write with it may have taken effect
    OnceBeginResult beginResult_{};
  };

  bool AnyDue(TimePoint aNow) const;
  bool Apply(Entry& aEntry, OnceBucket& aBucket, WallTime aWall) const;
  bool FillBatch(WallTime aWall);
  void PutBack(TimePoint aNow);
  void Refuse(Entry& aEntry);
  void Reply(const Entry& aEntry);
  static void TurnIntoRelease(Entry& aEntry, TimePoint aDeadline);

  Options options_;
  OnceBucket bucket_;
  OnceBucket candidate_;
  std::string version_;
  bool known_ = false;
  std::uint64_t lastId_ = 0;
  std::uint64_t readStamp_ = 0; // newest operation when the last read began
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
