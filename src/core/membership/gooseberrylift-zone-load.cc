#include "gooseberrylift/membership/gooseberrylift-zone-load.h"

#include <algorithm>
#include <cstdlib>
#include <set>
#include <tuple>
#include <utility>

#include "gooseberrylift/membership/gooseberrylift-store-read-schedule.h"

namespace gooseberrylift {

namespace {

// The fields of which any difference is a change. The backlog also shrinks with
// time.
auto CountsOf(const EndpointShare& aShare)
{
  return std::tie(
    aShare.running_, aShare.tightGap_, aShare.memoryTokens_, aShare.deferred_);
}

// Returns whether the pace differs clearly. A small difference isn't worth a
// message, and an endpoint that is not observed counts as a usual one.
bool HasNewPace(const EndpointShare& aNew, const EndpointShare& aSent)
{
  constexpr int kClearDifference = 25; // percent
  const int pace = std::max(aNew.pacePercent_, EndpointPace::kUsualPercent);
  const int sent = std::max(aSent.pacePercent_, EndpointPace::kUsualPercent);
  return std::abs(pace - sent) * 100 > kClearDifference * sent;
}

} // namespace

std::string PeerNameOfZone(const std::string& aZone)
{
  return "zone/" + aZone;
}

bool ZoneLoadAggregator::NeedsUpdate(const EndpointShare& aNew,
                                     const SentShare& aSent,
                                     TimePoint aNow)
{
  const auto elapsed =
    std::chrono::duration_cast<std::chrono::microseconds>(aNow - aSent.at_);
  const auto expected =
    std::max(aSent.share_.backlog_ - elapsed, std::chrono::microseconds(0));
  const auto silent =
    aSent.share_.silent_ +
    std::chrono::duration_cast<std::chrono::milliseconds>(elapsed);
  return CountsOf(aNew) != CountsOf(aSent.share_) ||
         HasNewPace(aNew, aSent.share_) ||
         std::chrono::abs(aNew.backlog_ - expected) >
           options_.backlogTolerance_ ||
         aNew.silent_ + options_.activityInterval_ < silent;
}

void ZoneLoadAggregator::MarkChanges(const std::vector<EndpointShare>& aTotals,
                                     TimePoint aNow)
{
  std::set<std::string> listed;
  for (const EndpointShare& total : aTotals) {
    listed.insert(total.id_);
    const auto [sent, isNew] = sentShares_.try_emplace(total.id_);
    if (isNew || NeedsUpdate(total, sent->second, aNow)) {
      sent->second = { .share_ = total, .at_ = aNow, .isPending_ = true };
    }
  }
  for (auto& [id, sent] : sentShares_) {
    const EndpointShare idle{ .id_ = id };
    if (!listed.contains(id) && (CountsOf(idle) != CountsOf(sent.share_) ||
                                 HasNewPace(idle, sent.share_))) {
      sent = { .share_ = idle, .at_ = aNow, .isPending_ = true };
    }
  }
}

std::optional<ZoneLoadAggregator::Message> ZoneLoadAggregator::NextMessage(
  const std::vector<EndpointShare>& aTotals,
  TimePoint aNow)
{
  if (!lastSnapshot_ || aNow - *lastSnapshot_ >= options_.snapshotInterval_) {
    sentShares_.clear();
    MarkChanges(aTotals, aNow);
    for (auto& [id, sent] : sentShares_) {
      sent.isPending_ = false;
    }
    lastSnapshot_ = aNow;
    lastMessage_ = aNow;
    return Message{ .kind_ = LoadMessageKind::kSnapshot, .shares_ = aTotals };
  }
  MarkChanges(aTotals, aNow);
  Message message;
  for (auto& [id, sent] : sentShares_) {
    if (sent.isPending_) {
      sent.isPending_ = false;
      message.shares_.push_back(sent.share_);
    }
  }
  if (message.shares_.empty() &&
      aNow - lastMessage_ < options_.heartbeatInterval_) {
    return std::nullopt;
  }
  lastMessage_ = aNow;
  return message;
}

bool ZoneAggregatorRole::IsAggregator(TimePoint aNow, std::size_t aRank) const
{
  return aRank == 0 || (aRank < options_.candidates_ &&
                        aNow - lastHeard_ > options_.takeoverDelay_ * aRank);
}

bool ZoneMessageFilter::Accepts(const LoadMessage& aMessage, TimePoint aNow)
{
  Aggregator& accepted = aggregators_[aMessage.zone_];
  if (accepted.host_ == aMessage.host_) {
    accepted.lastHeard_ = aNow;
    return true;
  }
  const bool canReplace = accepted.host_.empty() ||
                          aNow - accepted.lastHeard_ > options_.silenceTimeout_;
  const bool accepts =
    aMessage.kind_ == LoadMessageKind::kSnapshot &&
    (canReplace || RanksBefore(aMessage.host_, accepted.host_));
  if (accepts) {
    accepted = { .host_ = aMessage.host_, .lastHeard_ = aNow };
  }
  return accepts;
}

} // namespace gooseberrylift
