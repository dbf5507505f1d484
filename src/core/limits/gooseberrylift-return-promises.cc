#include "gooseberrylift/limits/gooseberrylift-return-promises.h"

#include <algorithm>
#include <utility>

namespace gooseberrylift {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

// Durations are sent in milliseconds, each rounded down.
constexpr milliseconds kRounding{ 2 };
// A longer prefill is not one that a peer would tell.
constexpr milliseconds kMaxPrefill{ 60'000 };

// A caller without a place returns in the last quarter of the time that it
// would wait.
constexpr int kLastPart = 4;

// Two random numbers are taken from one draw.
constexpr unsigned kDrawHalf = 32;

// Returns a duration from zero up to aBelow, excluded.
microseconds RandomBelow(microseconds aBelow, std::uint64_t aDraw)
{
  return aBelow.count() <= 0
           ? microseconds(0)
           : microseconds(static_cast<std::int64_t>(
               aDraw % static_cast<std::uint64_t>(aBelow.count())));
}

microseconds Scaled(microseconds aTime, double aFactor)
{
  return microseconds(
    static_cast<std::int64_t>(static_cast<double>(aTime.count()) * aFactor));
}

} // namespace

void ReturnPromises::SetHosts(std::size_t aHosts)
{
  hosts_ = std::max<std::size_t>(aHosts, 1);
}

GivenPromise ReturnPromises::Promise(const RejectedRequest& aRejected,
                                     std::uint64_t aDraw,
                                     TimePoint aNow)
{
  Expire(aNow);
  GivenPromise given;
  if (lastNews_) {
    given.newsAge_ = duration_cast<milliseconds>(aNow - *lastNews_);
  }
  auto known = entries_.find(aRejected.request_);
  if (known != entries_.end() && Stands(known->second, aNow)) {
    // A caller that repeats its request gets neither a better time nor a second
    // place. Without a claim it need not return with those that have one.
    const microseconds after = known->second.closed_
                                 ? RandomBelow(options_.maxSpread_, aDraw)
                                 : microseconds(0);
    given.delay_ =
      duration_cast<milliseconds>(known->second.due_ - aNow + after);
  } else {
    if (known != entries_.end()) {
      RecordExpiry(known->second);
      Remove(known);
    }
    const TimePoint due = ChooseDue(aRejected, aDraw, aNow);
    Assume(aRejected, due, aNow);
    const bool tooOld = aNow - aRejected.firstArrived_ > options_.maxAge_;
    Add(aRejected.request_,
        { .service_ = aRejected.service_,
          .due_ = due,
          .firstArrived_ = tooOld ? aNow : aRejected.firstArrived_,
          // Zero would mean that it is closed.
          .prefill_ =
            std::max(std::chrono::ceil<milliseconds>(aRejected.prefill_),
                     milliseconds(1)),
          .own_ = true });
    known = entries_.find(aRejected.request_);
    AnnounceOwn(known);
    given.delay_ = duration_cast<milliseconds>(due - aNow);
    given.isNew_ = true;
  }
  given.delay_ =
    std::max(std::min(given.delay_, aRejected.maxDelay_), options_.minDelay_);
  const Slot* slot = FindSlot(SlotOf(known->second));
  given.dueWithIt_ = slot == nullptr ? 0 : slot->promises_;
  return given;
}

// Returns whether a rejected request is told the time that it was told before.
// One whose claim was used shortly before its time needs a new one.
bool ReturnPromises::Stands(const Entry& aEntry, TimePoint aNow) const
{
  return aEntry.due_ - aNow >
         (aEntry.closed_ ? options_.peerEarlyTolerance_ : options_.minDelay_);
}

// Returns the first time from the expected wait on at which the engines have
// time that is not promised yet.
TimePoint ReturnPromises::ChooseDue(const RejectedRequest& aRejected,
                                    std::uint64_t aDraw,
                                    TimePoint aNow) const
{
  const milliseconds limit = std::max(
    std::min(aRejected.maxDelay_, options_.maxAhead_), options_.minDelay_);
  const milliseconds expected =
    std::max(aRejected.expectedWait_, options_.minDelay_);
  if (expected < limit) {
    const microseconds onAllHosts =
      aRejected.prefill_ * static_cast<std::int64_t>(hosts_) /
      static_cast<std::int64_t>(std::max<std::size_t>(aRejected.engines_, 1));
    const microseconds spread = std::min<microseconds>(
      onAllHosts, std::max(expected, options_.maxSpread_));
    const TimePoint latest = aNow + limit;
    const TimePoint from =
      std::min(aNow + expected + RandomBelow(spread, aDraw), latest);
    const auto room = FindRoom(aRejected, aNow, from, latest);
    if (room) {
      const TimePoint slotEnd{ options_.slot_ *
                               (SlotOf(0, *room).number_ + 1) };
      return std::min(
        *room + RandomBelow(duration_cast<microseconds>(slotEnd - *room),
                            aDraw >> kDrawHalf),
        latest);
    }
  }
  return ChooseWithoutRoom(aRejected, aDraw, aNow, limit);
}

microseconds ReturnPromises::SlotCapacity(std::size_t aEngines) const
{
  return aEngines == 0
           ? microseconds::max()
           : Scaled(options_.slot_ * static_cast<std::int64_t>(aEngines),
                    options_.promisedShare_);
}

// Prefill that doesn't fit into its slot takes up the following ones.
std::optional<TimePoint> ReturnPromises::FindRoom(
  const RejectedRequest& aRejected,
  TimePoint aNow,
  TimePoint aFrom,
  TimePoint aUntil) const
{
  const microseconds capacity = SlotCapacity(aRejected.engines_);
  const microseconds needed = std::min(aRejected.prefill_, capacity);
  const std::int64_t first = SlotOf(0, aFrom).number_;
  const SlotKey last = SlotOf(aRejected.service_, aUntil);
  SlotKey key = SlotOf(aRejected.service_, aNow);
  auto slot = slots_.lower_bound(key);
  const auto end = slots_.upper_bound(last);
  microseconds carried{ 0 };
  for (; key.number_ <= last.number_; ++key.number_) {
    microseconds taken = carried;
    if (slot != end && slot->first == key) {
      taken += slot->second.kept_ + slot->second.assumed_;
      ++slot;
    }
    if (key.number_ >= first && taken + needed <= capacity) {
      return std::max(aFrom, TimePoint(options_.slot_ * key.number_));
    }
    carried = std::max(taken - capacity, microseconds(0));
  }
  return std::nullopt;
}

// The caller can't wait until it has a place. The later it returns, the fewer
// are before it. Of two random times, returns the one with less promised
// prefill: a fixed one would be chosen for all such callers.
TimePoint ReturnPromises::ChooseWithoutRoom(const RejectedRequest& aRejected,
                                            std::uint64_t aDraw,
                                            TimePoint aNow,
                                            milliseconds aLimit) const
{
  const milliseconds from = aLimit - aLimit / kLastPart;
  const auto candidate = [&](std::uint64_t aHalf) {
    return aNow + from + RandomBelow(aLimit - from, aHalf);
  };
  const auto promised = [&](TimePoint aWhen) {
    const Slot* slot = FindSlot(SlotOf(aRejected.service_, aWhen));
    return slot == nullptr ? microseconds(0) : slot->kept_ + slot->assumed_;
  };
  const TimePoint one = candidate(aDraw & 0xFFFF'FFFFU);
  const TimePoint other = candidate(aDraw >> kDrawHalf);
  return promised(one) <= promised(other) ? one : other;
}

void ReturnPromises::Assume(const RejectedRequest& aRejected,
                            TimePoint aDue,
                            TimePoint aNow)
{
  if (hosts_ == 1 || assumptions_.size() >= options_.maxEntries_) {
    return;
  }
  const Assumption assumption{
    .until_ = aNow + options_.newsDelay_,
    .slot_ = SlotOf(aRejected.service_, aDue),
    .prefill_ = aRejected.prefill_ * static_cast<std::int64_t>(hosts_ - 1)
  };
  slots_[assumption.slot_].assumed_ += assumption.prefill_;
  assumptions_.push_back(assumption);
}

ArrivedReturn ReturnPromises::OnArrived(std::uint64_t aRequest, TimePoint aNow)
{
  Expire(aNow);
  const auto known = entries_.find(aRequest);
  if (known == entries_.end()) {
    return {};
  }
  Entry& entry = known->second;
  const milliseconds tolerance =
    entry.own_ ? options_.earlyTolerance_ : options_.peerEarlyTolerance_;
  const bool early = aNow < entry.due_ - tolerance;
  const bool late = aNow > entry.due_ + options_.lateTolerance_;
  if (entry.closed_ || late) {
    return { .kind_ = early ? ReturnKind::kEarly : ReturnKind::kNone };
  }
  Close(entry);
  AnnounceOwn(known);
  if (early) {
    return { .kind_ = ReturnKind::kEarly };
  }
  RecordReturn(true);
  return { .kind_ = ReturnKind::kClaim,
           .firstArrived_ = entry.firstArrived_,
           .late_ = duration_cast<milliseconds>(aNow - entry.due_) };
}

microseconds ReturnPromises::KeptPrefill(std::uint32_t aService,
                                         microseconds aWithin,
                                         TimePoint aNow) const
{
  microseconds kept{ 0 };
  const auto end = slots_.upper_bound(SlotOf(
    aService, aNow + std::min<microseconds>(aWithin, options_.maxAhead_)));
  for (auto slot =
         slots_.lower_bound(SlotOf(aService, aNow - options_.lateTolerance_));
       slot != end;
       ++slot) {
    kept += slot->second.kept_;
  }
  return Scaled(kept, returnShare_);
}

void ReturnPromises::OnPeer(const std::vector<ReturnPromise>& aPromises,
                            bool aOfOwnZone,
                            TimePoint aNow)
{
  Expire(aNow);
  lastNews_ = aNow;
  for (const ReturnPromise& promise : aPromises) {
    OnPeerPromise(promise, aOfOwnZone, aNow);
  }
}

void ReturnPromises::OnPeerPromise(const ReturnPromise& aPromise,
                                   bool aOfOwnZone,
                                   TimePoint aNow)
{
  const bool bounded =
    aPromise.untilDue_ <= options_.maxAhead_ &&
    aPromise.untilDue_ >= -options_.lateTolerance_ - options_.retention_ &&
    aPromise.sinceArrival_ >= milliseconds(0) &&
    aPromise.sinceArrival_ <= options_.maxAge_ + options_.maxAhead_;
  if (!bounded) {
    return;
  }
  Entry told{ .service_ = aPromise.service_,
              .due_ = aNow + aPromise.untilDue_,
              .firstArrived_ = aNow - aPromise.sinceArrival_,
              .prefill_ =
                std::clamp(aPromise.prefill_, milliseconds(0), kMaxPrefill),
              .closed_ = aPromise.prefill_ <= milliseconds(0) };
  auto known = entries_.find(aPromise.request_);
  if (known != entries_.end()) {
    Entry& entry = known->second;
    const auto span = told.due_ - told.firstArrived_;
    const auto knownSpan = entry.due_ - entry.firstArrived_;
    if (std::chrono::abs(span - knownSpan) <= kRounding) {
      if (told.closed_ && !entry.closed_) {
        Close(entry);
        RecordReturn(true);
      } else if (!entry.own_ && told.due_ < entry.due_) {
        MoveDue(known, told.due_); // the earlier message was later
        return;
      } else {
        return;
      }
    } else if (span > knownSpan || told.firstArrived_ >= entry.due_) {
      Remove(known);
      Add(aPromise.request_, told);
    } else {
      return; // an older promise
    }
  } else {
    Add(aPromise.request_, told);
  }
  known = entries_.find(aPromise.request_);
  if (aOfOwnZone && known != entries_.end()) {
    AnnounceToZones(known);
  }
}

std::vector<ReturnPromise> ReturnPromises::TakeOwnNews(std::size_t aMax,
                                                       TimePoint aNow)
{
  Expire(aNow);
  return TakeNews(ownNews_, &Entry::ownNews_, aMax, aNow);
}

std::vector<ReturnPromise> ReturnPromises::TakeZoneNews(std::size_t aMax,
                                                        TimePoint aNow)
{
  Expire(aNow);
  return TakeNews(zoneNews_, &Entry::zoneNews_, aMax, aNow);
}

std::uint64_t ReturnPromises::TakeUnused(TimePoint aNow)
{
  Expire(aNow);
  return std::exchange(unused_, 0);
}

std::vector<ReturnPromise> ReturnPromises::TakeNews(News& aNews,
                                                    int Entry::*aCount,
                                                    std::size_t aMax,
                                                    TimePoint aNow)
{
  std::vector<ReturnPromise> told;
  const std::size_t most = aNews.untold_.size() + aNews.told_.size();
  for (std::size_t taken = 0; taken < most && told.size() < aMax; ++taken) {
    auto& next = aNews.untold_.empty() ? aNews.told_ : aNews.untold_;
    const std::uint64_t request = next.front();
    next.pop_front();
    const auto known = entries_.find(request);
    if (known == entries_.end() || known->second.*aCount <= 0) {
      continue;
    }
    Entry& entry = known->second;
    told.push_back(
      { .request_ = request,
        .service_ = entry.service_,
        .untilDue_ = duration_cast<milliseconds>(entry.due_ - aNow),
        .sinceArrival_ =
          duration_cast<milliseconds>(aNow - entry.firstArrived_),
        .prefill_ = entry.closed_ ? milliseconds(0) : entry.prefill_ });
    if (--(entry.*aCount) > 0) {
      aNews.told_.push_back(request);
    }
  }
  return told;
}

void ReturnPromises::AnnounceOwn(Entries::iterator aEntry)
{
  Announce(ownNews_, &Entry::ownNews_, aEntry);
  AnnounceToZones(aEntry);
}

void ReturnPromises::AnnounceToZones(Entries::iterator aEntry)
{
  Announce(zoneNews_, &Entry::zoneNews_, aEntry);
}

void ReturnPromises::Announce(News& aNews,
                              int Entry::*aCount,
                              Entries::iterator aEntry)
{
  aEntry->second.*aCount = options_.timesTold_;
  aNews.untold_.push_back(aEntry->first);
  for (auto* list : { &aNews.untold_, &aNews.told_ }) {
    if (list->size() > options_.maxEntries_) {
      list->pop_front();
    }
  }
}

void ReturnPromises::Add(std::uint64_t aRequest, Entry aEntry)
{
  if (entries_.size() >= options_.maxEntries_) {
    Remove(entries_.find(byDue_.begin()->second));
  }
  aEntry.byDue_ = byDue_.emplace(aEntry.due_, aRequest);
  const auto added = entries_.emplace(aRequest, aEntry).first;
  Keep(added->second);
}

void ReturnPromises::Remove(Entries::iterator aEntry)
{
  Release(aEntry->second);
  byDue_.erase(aEntry->second.byDue_);
  entries_.erase(aEntry);
}

void ReturnPromises::Close(Entry& aEntry)
{
  Release(aEntry);
  aEntry.closed_ = true;
}

// Keeps the time between first arrival and due time, which identifies it.
void ReturnPromises::MoveDue(Entries::iterator aEntry, TimePoint aDue)
{
  Entry& entry = aEntry->second;
  Release(entry);
  byDue_.erase(entry.byDue_);
  entry.firstArrived_ -= entry.due_ - aDue;
  entry.due_ = aDue;
  entry.byDue_ = byDue_.emplace(aDue, aEntry->first);
  Keep(entry);
}

void ReturnPromises::Expire(TimePoint aNow)
{
  while (!assumptions_.empty() && assumptions_.front().until_ <= aNow) {
    const Assumption& oldest = assumptions_.front();
    slots_[oldest.slot_].assumed_ -= oldest.prefill_;
    EraseIfEmpty(oldest.slot_);
    assumptions_.pop_front();
  }
  const TimePoint expired =
    aNow - options_.lateTolerance_ - options_.retention_;
  while (!byDue_.empty() && byDue_.begin()->first < expired) {
    const auto entry = entries_.find(byDue_.begin()->second);
    RecordExpiry(entry->second);
    Remove(entry);
  }
}

void ReturnPromises::RecordExpiry(const Entry& aEntry)
{
  if (!aEntry.closed_) {
    RecordReturn(false);
    unused_ += aEntry.own_ ? 1 : 0;
  }
}

void ReturnPromises::RecordReturn(bool aReturned)
{
  returnShare_ +=
    options_.returnShareWeight_ * ((aReturned ? 1.0 : 0.0) - returnShare_);
}

ReturnPromises::SlotKey ReturnPromises::SlotOf(std::uint32_t aService,
                                               TimePoint aWhen) const
{
  return { .service_ = aService,
           .number_ = aWhen.time_since_epoch() / options_.slot_ };
}

ReturnPromises::SlotKey ReturnPromises::SlotOf(const Entry& aEntry) const
{
  return SlotOf(aEntry.service_, aEntry.due_);
}

const ReturnPromises::Slot* ReturnPromises::FindSlot(const SlotKey& aKey) const
{
  const auto slot = slots_.find(aKey);
  return slot == slots_.end() ? nullptr : &slot->second;
}

void ReturnPromises::Keep(const Entry& aEntry)
{
  if (!aEntry.closed_) {
    Slot& slot = slots_[SlotOf(aEntry)];
    slot.kept_ += aEntry.prefill_;
    ++slot.promises_;
  }
}

void ReturnPromises::Release(const Entry& aEntry)
{
  if (!aEntry.closed_) {
    Slot& slot = slots_[SlotOf(aEntry)];
    slot.kept_ -= aEntry.prefill_;
    --slot.promises_;
    EraseIfEmpty(SlotOf(aEntry));
  }
}

void ReturnPromises::EraseIfEmpty(const SlotKey& aKey)
{
  const auto slot = slots_.find(aKey);
  if (slot != slots_.end() && slot->second.promises_ == 0 &&
      slot->second.assumed_ == microseconds(0)) {
    slots_.erase(slot);
  }
}

} // namespace gooseberrylift
