#include "gooseberrylift/gooseberrylift-once-committer.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gooseberrylift {

namespace {

// A completed call never changes state, so a stale copy of the bucket suffices
// to report it.
bool IsFinal(OnceBeginStatus aVerdict)
{
  return aVerdict == OnceBeginStatus::kReplay ||
         aVerdict == OnceBeginStatus::kResultDropped;
}

} // namespace

OnceCommitter::OnceCommitter(Options aOptions)
  : options_(aOptions)
  , bucket_(aOptions.bucket_)
  , stagedBucket_(aOptions.bucket_)
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
  while (HasDueOperation(aNow)) {
    const bool changed = bucketLoaded_ && FillBatch(aWall);
    if (changed) {
      inFlight_ = true;
      return OnceStoreCall{ .kind_ = version_.empty()
                                       ? OnceStoreCallKind::kCreate
                                       : OnceStoreCallKind::kUpdate,
                            .version_ = version_,
                            .spec_ = stagedBucket_.Spec() };
    }
    // Nothing to write. The results are valid if the bucket was read after
    // the operations were submitted; an older copy may still hold an intent
    // that has been released since.
    const bool fresh =
      bucketLoaded_ &&
      std::all_of(batch_.begin(), batch_.end(), [this](const Entry& aEntry) {
        return aEntry.op_.id_ <= lastIdAtRead_ ||
               IsFinal(aEntry.beginResult_.beginStatus_);
      });
    if (!fresh) {
      RequeueBatch(aNow);
      inFlight_ = true;
      lastIdAtRead_ = lastId_;
      return OnceStoreCall{ .kind_ = OnceStoreCallKind::kRead };
    }
    for (const Entry& entry : batch_) {
      Reply(entry);
    }
    batch_.clear();
  }
  return std::nullopt;
}

bool OnceCommitter::HasDueOperation(TimePoint aNow) const
{
  return std::any_of(queue_.begin(), queue_.end(), [aNow](const Entry& aEntry) {
    return aEntry.op_.flushAt_ <= aNow;
  });
}

// Applies queued operations to a copy of the bucket.
// @return whether the copy must be written
bool OnceCommitter::FillBatch(WallTime aWall)
{
  stagedBucket_ = bucket_;
  stagedBucket_.Sweep(aWall);
  bool changed = false;
  while (!queue_.empty() && batch_.size() < options_.maxBatch_) {
    batch_.push_back(std::move(queue_.front()));
    queue_.pop_front();
    changed = Apply(batch_.back(), stagedBucket_, aWall) || changed;
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
  // A write whose response was lost may still reach the store. Another write,
  // even without a change, advances the version, so that the delayed write
  // fails its version check.
  return removed || aEntry.maybeWritten_;
}

void OnceCommitter::OnRead(const std::string& aVersion,
                           const nlohmann::json& aSpec)
{
  inFlight_ = false;
  failures_ = 0;
  bucketLoaded_ = true;
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
  bucket_ = stagedBucket_;
  version_ = aVersion;
  for (Entry& entry : batch_) {
    if (entry.refused_ && entry.op_.kind_ == OnceOpKind::kBegin) {
      ConvertToRelease(entry, aNow + options_.releaseTimeout_);
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
  bucketLoaded_ = false;
  RequeueBatch(now_);
}

void OnceCommitter::OnFailed(RanState aRan, TimePoint aNow)
{
  inFlight_ = false;
  bucketLoaded_ = false;
  now_ = aNow;
  auto delay = options_.retryDelay_ * (1 << std::min(failures_, 10));
  delay = std::min(delay, options_.maxRetryDelay_);
  ++failures_;
  retryAt_ = aNow + delay;
  for (Entry& entry : batch_) {
    entry.maybeWritten_ = entry.maybeWritten_ || aRan != RanState::kNo;
  }
  RequeueBatch(aNow);
  for (Entry& entry : queue_) {
    ++entry.failedCalls_;
    if (entry.op_.kind_ == OnceOpKind::kBegin &&
        entry.failedCalls_ >= options_.maxFailedCalls_) {
      Refuse(entry);
    }
  }
  OnTick(aNow);
}

// Returns the batch to the front of the queue, preserving its order.
void OnceCommitter::RequeueBatch(TimePoint aNow)
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
  std::deque<Entry> remaining;
  for (Entry& entry : queue_) {
    if (entry.refused_) {
      const bool needsRelease =
        entry.op_.kind_ == OnceOpKind::kBegin && entry.maybeWritten_;
      if (!needsRelease) {
        continue;
      }
      ConvertToRelease(entry, aNow + options_.releaseTimeout_);
    }
    remaining.push_back(std::move(entry));
  }
  queue_ = std::move(remaining);
}

// A refusal is final: the caller is told that the call did not run, so the
// intent must never be dispatched. The attempt's coroutine ends with this
// reply.
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

void OnceCommitter::ConvertToRelease(Entry& aEntry, TimePoint aDeadline)
{
  aEntry.op_.kind_ = OnceOpKind::kRelease;
  aEntry.op_.id_ = 0; // the operation was already replied to
  aEntry.op_.deadline_ = aDeadline;
  aEntry.refused_ = false;
  aEntry.failedCalls_ = 0;
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
