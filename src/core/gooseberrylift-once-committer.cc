#include "gooseberrylift/gooseberrylift-once-committer.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gooseberrylift {

namespace {

// Done is for good, so it needs no look at a fresher copy.
bool IsFinal(OnceBeginStatus aVerdict)
{
  return aVerdict == OnceBeginStatus::kReplay ||
         aVerdict == OnceBeginStatus::kResultDropped;
}

} // namespace

OnceCommitter::OnceCommitter(Options aOptions)
  : options_(aOptions)
  , bucket_(aOptions.bucket_)
  , candidate_(aOptions.bucket_)
{
}

std::uint64_t OnceCommitter::Submit(OnceOp aOp)
{
  aOp.id_ = ++lastId_;
  queue_.push_back({ .op_ = std::move(aOp) });
  return lastId_;
}

std::optional<OnceStoreCall> OnceCommitter::NextStoreCall(TimePoint aNow,
                                                          WallTime aWall)
{
  OnTick(aNow);
  if (inFlight_ || aNow < retryAt_) {
    return std::nullopt;
  }
  while (AnyDue(aNow)) {
    const bool changed = known_ && FillBatch(aWall);
    if (changed) {
      inFlight_ = true;
      return OnceStoreCall{ .kind_ = version_.empty()
                                       ? OnceStoreCallKind::kCreate
                                       : OnceStoreCallKind::kUpdate,
                            .version_ = version_,
                            .spec_ = candidate_.Spec() };
    }
    // Nothing to write. What was decided holds if the copy is younger than the
    // question; a stale copy may show an intent that was released since.
    const bool fresh =
      known_ &&
      std::all_of(batch_.begin(), batch_.end(), [this](const Entry& aEntry) {
        return aEntry.op_.id_ <= readStamp_ ||
               IsFinal(aEntry.beginResult_.beginStatus_);
      });
    if (!fresh) {
      PutBack(aNow);
      inFlight_ = true;
      readStamp_ = lastId_;
      return OnceStoreCall{ .kind_ = OnceStoreCallKind::kRead };
    }
    for (const Entry& entry : batch_) {
      Reply(entry);
    }
    batch_.clear();
  }
  return std::nullopt;
}

bool OnceCommitter::AnyDue(TimePoint aNow) const
{
  return std::any_of(queue_.begin(), queue_.end(), [aNow](const Entry& aEntry) {
    return aEntry.op_.flushAt_ <= aNow;
  });
}

// Applies queued operations to a copy of the bucket.
// @return true when the copy must be written
bool OnceCommitter::FillBatch(WallTime aWall)
{
  candidate_ = bucket_;
  candidate_.Sweep(aWall);
  bool changed = false;
  while (!queue_.empty() && batch_.size() < options_.maxBatch_) {
    batch_.push_back(std::move(queue_.front()));
    queue_.pop_front();
    changed = Apply(batch_.back(), candidate_, aWall) || changed;
  }
  return changed;
}

bool OnceCommitter::Apply(Entry& aEntry,
                          OnceBucket& aBucket,
                          WallTime aWall) const
{
  OnceOp& op = aEntry.op_;
  switch (op.kind_) {
    case OnceOpKind::kBegin:
      aEntry.beginResult_ = aBucket.Begin(op.intent_, aWall);
      return aEntry.beginResult_.changed_;
    case OnceOpKind::kFinish:
      return aBucket.Finish(
        op.intent_.key_, op.intent_.nonce_, op.state_, op.result_, aWall);
    case OnceOpKind::kRelease:
      break;
  }
  const bool removed = aBucket.Release(op.intent_.key_, op.intent_.nonce_);
  // A write whose answer was lost may still be on its way. Writing once more,
  // also without a change, moves the version on, so that it can't land later.
  return removed || aEntry.maybeWritten_;
}

void OnceCommitter::OnRead(const std::string& aVersion,
                           const nlohmann::json& aSpec)
{
  inFlight_ = false;
  failures_ = 0;
  known_ = true;
  version_ = aVersion;
  bucket_ = OnceBucket::Parse(aSpec, options_.bucket_);
}

void OnceCommitter::OnNotFound()
{
  OnRead({}, nlohmann::json::object());
}

void OnceCommitter::OnWritten(const std::string& aVersion, TimePoint aNow)
{
  inFlight_ = false;
  failures_ = 0;
  bucket_ = candidate_;
  version_ = aVersion;
  for (Entry& entry : batch_) {
    if (entry.refused_ && entry.op_.kind_ == OnceOpKind::kBegin) {
      TurnIntoRelease(entry, aNow + options_.releaseFor_);
      queue_.push_back(std::move(entry));
      continue;
    }
    Reply(entry);
  }
  batch_.clear();
}

void OnceCommitter::OnConflict()
{
  inFlight_ = false;
  known_ = false;
  PutBack(now_);
}

void OnceCommitter::OnFailed(RanState aRan, TimePoint aNow)
{
  inFlight_ = false;
  known_ = false;
  now_ = aNow;
  auto pause = options_.pause_ * (1 << std::min(failures_, 10));
  pause = std::min(pause, options_.maxPause_);
  ++failures_;
  retryAt_ = aNow + pause;
  for (Entry& entry : batch_) {
    entry.maybeWritten_ = entry.maybeWritten_ || aRan != RanState::kNo;
  }
  PutBack(aNow);
  for (Entry& entry : queue_) {
    ++entry.tries_;
    if (entry.op_.kind_ == OnceOpKind::kBegin &&
        entry.tries_ >= options_.maxTries_) {
      Refuse(entry);
    }
  }
  OnTick(aNow);
}

// Returns the batch to the head of the queue, in its order.
void OnceCommitter::PutBack(TimePoint aNow)
{
  now_ = aNow;
  queue_.insert(queue_.begin(),
                std::make_move_iterator(batch_.begin()),
                std::make_move_iterator(batch_.end()));
  batch_.clear();
}

void OnceCommitter::OnTick(TimePoint aNow)
{
  now_ = aNow;
  for (Entry& entry : batch_) {
    if (entry.op_.deadline_ <= aNow) {
      Refuse(entry);
    }
  }
  for (Entry& entry : queue_) {
    if (entry.op_.deadline_ <= aNow) {
      Refuse(entry);
    }
  }
  std::deque<Entry> kept;
  for (Entry& entry : queue_) {
    if (entry.refused_) {
      const bool mustUndo =
        entry.op_.kind_ == OnceOpKind::kBegin && entry.maybeWritten_;
      if (!mustUndo) {
        continue;
      }
      TurnIntoRelease(entry, aNow + options_.releaseFor_);
    }
    kept.push_back(std::move(entry));
  }
  queue_ = std::move(kept);
}

// Refused is final for the caller: it is told "not run", so the intent must
// never be dispatched. The attempt's coroutine ends with this reply.
void OnceCommitter::Refuse(Entry& aEntry)
{
  if (aEntry.refused_) {
    return;
  }
  aEntry.refused_ = true;
  replies_.push_back({ .id_ = aEntry.op_.id_ });
}

void OnceCommitter::Reply(const Entry& aEntry)
{
  if (!aEntry.refused_) {
    replies_.push_back({ .id_ = aEntry.op_.id_,
                         .committed_ = true,
                         .beginResult_ = aEntry.beginResult_ });
  }
}

void OnceCommitter::TurnIntoRelease(Entry& aEntry, TimePoint aDeadline)
{
  aEntry.op_.kind_ = OnceOpKind::kRelease;
  aEntry.op_.id_ = 0; // nobody waits for it
  aEntry.op_.deadline_ = aDeadline;
  aEntry.refused_ = false;
  aEntry.tries_ = 0;
}

std::vector<OnceReply> OnceCommitter::TakeReplies()
{
  return std::exchange(replies_, {});
}

std::optional<TimePoint> OnceCommitter::NextWakeTime() const
{
  if (queue_.empty() || inFlight_) {
    return std::nullopt;
  }
  const auto first = std::min_element(
    queue_.begin(), queue_.end(), [](const Entry& aLeft, const Entry& aRight) {
      return aLeft.op_.flushAt_ < aRight.op_.flushAt_;
    });
  return std::max(retryAt_, first->op_.flushAt_);
}

} // namespace gooseberrylift
