#include "gooseberrylift/gooseberrylift-endpoint-slot.h"

#include <algorithm>

namespace gooseberrylift {

namespace {

using std::chrono::microseconds;

// A report of this many waiting tokens stands for one long prompt, whose cost
// grows with the square; fewer are taken for a number of short ones.
constexpr std::uint64_t kOnePrompt = 100'000;

microseconds Since(TimePoint aFrom, TimePoint aTo)
{
  return std::chrono::duration_cast<microseconds>(aTo - aFrom);
}

} // namespace

void EndpointSlot::Update(EndpointView aView,
                          const CostModel& aModel,
                          TimePoint aNow)
{
  const bool returned = aView.incarnation_ != view_.incarnation_ ||
                        (view_.state_ == EndpointState::kDead &&
                         aView.state_ == EndpointState::kLive);
  if (returned) {
    health_.OnReturned(aNow);
  }
  if (returned || aView.load_.at_ != view_.load_.at_) {
    const TimePoint at = aView.load_.at_;
    std::uint64_t own = 0;
    memorySent_ = 0;
    for (const Pending& pending : pending_) {
      (pending.sent_ <= at ? own : memorySent_) += pending.tokens_;
    }
    const std::uint64_t waiting = aView.load_.waitingTokens_;
    const std::uint64_t others = waiting > own ? waiting - own : 0;
    const auto shorts = static_cast<std::int64_t>(others);
    const auto one = static_cast<std::int64_t>(kOnePrompt / 10);
    const microseconds cost =
      others >= kOnePrompt ? aModel.Prefill(others)
                           : aModel.Prefill(kOnePrompt / 10) * shorts / one;
    othersUntil_ = at + cost;
  }
  view_ = std::move(aView);
}

void EndpointSlot::OnSent(const RequestInfo& aInfo,
                          microseconds aCost,
                          TimePoint aNow)
{
  ++outstanding_;
  pending_.push_back({ .id_ = aInfo.id_,
                       .tokens_ = aInfo.promptTokens_,
                       .cost_ = aCost,
                       .sent_ = aNow });
  pendingCost_ += aCost;
  busyUntil_ = std::max(busyUntil_, aNow) + aCost;
  memorySent_ += aInfo.promptTokens_ + aInfo.maxTokens_;
}

void EndpointSlot::OnStarted(std::uint64_t aId, TimePoint aNow)
{
  const auto found = std::find_if(
    pending_.begin(), pending_.end(), [aId](const Pending& aPending) {
      return aPending.id_ == aId;
    });
  if (found == pending_.end()) {
    return;
  }
  pendingCost_ -= found->cost_;
  pending_.erase(found);
  busyUntil_ = std::min(busyUntil_, aNow + pendingCost_);
}

void EndpointSlot::OnEnded(const RequestInfo& aInfo)
{
  --outstanding_;
  const std::uint64_t need = aInfo.promptTokens_ + aInfo.maxTokens_;
  memorySent_ -= std::min(memorySent_, need);
}

microseconds EndpointSlot::Backlog(TimePoint aNow) const
{
  // While a prompt is unanswered past its time, the engine is slower than
  // predicted: half of what is pending stays on the account.
  const microseconds own =
    std::max(Since(aNow, std::max(aNow, busyUntil_)), pendingCost_ / 2);
  const microseconds others = Since(aNow, std::max(aNow, othersUntil_));
  return own + others;
}

bool EndpointSlot::HasMemory(const RequestInfo& aInfo) const
{
  const LoadReport& load = view_.load_;
  if (load.kvTokensTotal_ == 0) {
    return true;
  }
  const std::uint64_t need = aInfo.promptTokens_ + aInfo.maxTokens_;
  return load.kvTokensUsed_ + memorySent_ + need <= load.kvTokensTotal_;
}

} // namespace gooseberrylift
