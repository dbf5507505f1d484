#include "gooseberrylift/internal/gooseberrylift-waiting-room.h"

#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

WaitingTurn WaitingRoom::Ticket::Turn(const WaitingSupply& aSupply) const
{
  const std::lock_guard lock(room_.mutex_);
  return room_.order_.TurnOf(id_, aSupply, TimerService::Now());
}

std::unique_ptr<WaitingRoom::Ticket> WaitingRoom::Enter(WaitingPrompt aPrompt,
                                                        std::uint64_t aRequest)
{
  constexpr unsigned kHostBits = 32;
  aPrompt.id_ = (std::uint64_t{ host_ } << kHostBits) |
                static_cast<std::uint32_t>(aRequest);
  {
    const std::lock_guard lock(mutex_);
    order_.OnWaiting(aPrompt, TimerService::Now());
  }
  parts_.onChanged_();
  return std::make_unique<Ticket>(*this, aPrompt.id_);
}

void WaitingRoom::Leave(std::uint64_t aId, bool aSent)
{
  {
    const std::lock_guard lock(mutex_);
    order_.OnLeft(aId, aSent, TimerService::Now());
  }
  parts_.onChanged_();
}

void WaitingRoom::Count(HoldDecision aByItself,
                        HoldDecision aDecision,
                        bool aArrived)
{
  if (aArrived && aDecision == HoldDecision::kHold) {
    parts_.metrics_.Count("gooseberrylift_prompts_waited_total");
  }
  if (aByItself == HoldDecision::kSend && aDecision == HoldDecision::kHold) {
    parts_.metrics_.Count("gooseberrylift_prompt_yields_total");
  }
  if (aArrived && aDecision == HoldDecision::kReject &&
      aByItself != HoldDecision::kReject) {
    parts_.metrics_.Count("gooseberrylift_prompts_rejected_on_arrival_total");
  }
}

bool WaitingRoom::IsEmpty() const
{
  const std::lock_guard lock(mutex_);
  return order_.IsEmpty();
}

std::vector<WaitingPrompt> WaitingRoom::Own()
{
  return OfZone({});
}

std::vector<WaitingPrompt> WaitingRoom::OfZone(
  const std::set<std::string>& aHosts)
{
  const std::lock_guard lock(mutex_);
  return order_.First(
    kMaxWaitingPrompts,
    [&aHosts](const std::string& aSource) { return aHosts.contains(aSource); },
    TimerService::Now());
}

// A continued snapshot contains no lists. Neither does a delta with many
// shares, nor the later parts of a zone's totals, and a zone's delta doesn't
// tell whether it is the first part.
void WaitingRoom::OnLoadMessage(const std::string& aSource,
                                const LoadMessage& aMessage)
{
  const bool isWhole =
    aMessage.kind_ == LoadMessageKind::kSnapshot ||
    !aMessage.waiting_.empty() ||
    (aMessage.kind_ == LoadMessageKind::kDelta && aMessage.zone_.empty() &&
     aMessage.shares_.size() <= kSharesBesideLists);
  const std::lock_guard lock(mutex_);
  if (isWhole) {
    order_.OnReport(aSource, aMessage.waiting_, TimerService::Now());
  } else {
    order_.OnContact(aSource, TimerService::Now());
  }
}

} // namespace gooseberrylift
