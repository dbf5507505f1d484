#include "gooseberrylift/internal/gooseberrylift-shared-memory-budget.h"

#include <utility>
#include <vector>

#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

SharedMemoryBudget::Share::Share(std::shared_ptr<SharedMemoryBudget> aBudget,
                                 MemoryBudget::HolderId aHolder)
  : budget_(std::move(aBudget))
  , holder_(aHolder)
{
}

SharedMemoryBudget::Share::~Share()
{
  const std::lock_guard lock(budget_->mutex_);
  budget_->budget_.Close(holder_);
  budget_->giveWay_.erase(holder_);
}

bool SharedMemoryBudget::Share::TryHold(std::uint64_t aBytes)
{
  std::vector<std::function<void()>> calls;
  bool fits = false;
  {
    const std::lock_guard lock(budget_->mutex_);
    const MemoryBudget::Decision decision =
      budget_->budget_.TryHold(holder_, aBytes, TimerService::Now());
    fits = decision.fits_;
    for (const MemoryBudget::HolderId id : decision.givingWay_) {
      calls.push_back(std::exchange(budget_->giveWay_[id], nullptr));
    }
  }
  for (const auto& call : calls) {
    call();
  }
  return fits;
}

bool SharedMemoryBudget::Share::Keep()
{
  const std::lock_guard lock(budget_->mutex_);
  return budget_->budget_.Keep(holder_);
}

bool SharedMemoryBudget::Share::GaveWay() const
{
  const std::lock_guard lock(budget_->mutex_);
  return budget_->budget_.GaveWay(holder_);
}

SharedMemoryBudget::SharedMemoryBudget(const MemoryBudget::Options& aOptions)
  : budget_(aOptions)
{
}

void SharedMemoryBudget::SetLargest(std::uint64_t aBytes)
{
  const std::lock_guard lock(mutex_);
  budget_.SetLargest(aBytes);
}

std::shared_ptr<SharedMemoryBudget::Share> SharedMemoryBudget::Open(
  std::function<void()> aGiveWay)
{
  const std::lock_guard lock(mutex_);
  const MemoryBudget::HolderId holder = budget_.Open(TimerService::Now());
  giveWay_[holder] = std::move(aGiveWay);
  return std::make_shared<Share>(shared_from_this(), holder);
}

std::uint64_t SharedMemoryBudget::Used() const
{
  const std::lock_guard lock(mutex_);
  return budget_.Used();
}

std::uint64_t SharedMemoryBudget::TakePeak()
{
  const std::lock_guard lock(mutex_);
  return budget_.TakePeak();
}

} // namespace gooseberrylift
