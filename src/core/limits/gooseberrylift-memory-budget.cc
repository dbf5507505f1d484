#include "gooseberrylift/limits/gooseberrylift-memory-budget.h"

#include <algorithm>
#include <utility>

namespace gooseberrylift {

Error MakeMemoryFullError()
{
  Error error = MakeError(ResultCode::kMemoryFull);
  error.retryAfter_ = MemoryBudget::Options{}.minAge_;
  return error;
}

MemoryBudget::MemoryBudget(const Options& aOptions)
  : options_(aOptions)
{
}

void MemoryBudget::SetLargest(std::uint64_t aBytes)
{
  const std::lock_guard lock(mutex_);
  largest_ = aBytes;
}

std::unique_ptr<MemoryBudget::Share> MemoryBudget::Open(
  TimePoint aNow,
  std::function<void()> aGiveWay)
{
  const std::lock_guard lock(mutex_);
  holders_.push_back({ .since_ = aNow, .giveWay_ = std::move(aGiveWay) });
  return std::make_unique<Share>(shared_from_this(), std::prev(holders_.end()));
}

std::uint64_t MemoryBudget::Used() const
{
  const std::lock_guard lock(mutex_);
  return used_;
}

std::uint64_t MemoryBudget::TakePeak()
{
  const std::lock_guard lock(mutex_);
  return std::exchange(peak_, used_);
}

// Returns how many bytes may be in use once a request holds aBytes.
std::uint64_t MemoryBudget::LimitFor(std::uint64_t aBytes) const
{
  const std::uint64_t reserve = options_.bytes_ / options_.smallPart_;
  if (aBytes <= options_.smallBytes_) {
    return std::max(options_.bytes_, 2 * largest_ + reserve);
  }
  return std::max(options_.bytes_ - reserve, 2 * largest_);
}

// Returns the requests that give way so that aMissing bytes become free;
// nothing if they don't suffice.
std::vector<MemoryBudget::Holder*> MemoryBudget::ChooseGivingWay(
  const Holder& aFor,
  std::uint64_t aMissing,
  TimePoint aNow)
{
  std::vector<Holder*> candidates;
  for (Holder& holder : holders_) {
    if (&holder != &aFor && holder.mayGiveWay_ && holder.bytes_ > 0 &&
        aNow - holder.since_ >= options_.minAge_) {
      candidates.push_back(&holder);
    }
  }
  const auto cost = [aNow](const Holder& aHolder) {
    return std::chrono::duration<double>(aNow - aHolder.since_).count() *
           static_cast<double>(aHolder.bytes_);
  };
  std::sort(candidates.begin(),
            candidates.end(),
            [&cost](const Holder* aLeft, const Holder* aRight) {
              return cost(*aLeft) > cost(*aRight);
            });
  std::uint64_t freed = 0;
  std::size_t count = 0;
  while (count < candidates.size() && freed < aMissing) {
    freed += candidates[count]->bytes_;
    ++count;
  }
  candidates.resize(freed < aMissing ? 0 : count);
  return candidates;
}

bool MemoryBudget::TryHold(Holder& aHolder,
                           std::uint64_t aBytes,
                           TimePoint aNow)
{
  std::vector<std::function<void()>> calls;
  {
    const std::lock_guard lock(mutex_);
    if (aHolder.gaveWay_) {
      return false;
    }
    const std::uint64_t needed = used_ - aHolder.bytes_ + aBytes;
    const std::uint64_t limit = LimitFor(aBytes);
    if (aBytes > aHolder.bytes_ && needed > limit) {
      const auto givingWay = ChooseGivingWay(aHolder, needed - limit, aNow);
      if (givingWay.empty()) {
        return false;
      }
      for (Holder* holder : givingWay) {
        used_ -= std::exchange(holder->bytes_, 0);
        holder->gaveWay_ = true;
        calls.push_back(std::exchange(holder->giveWay_, nullptr));
      }
    }
    used_ += aBytes;
    used_ -= std::exchange(aHolder.bytes_, aBytes);
    peak_ = std::max(peak_, used_);
  }
  for (const auto& call : calls) {
    call();
  }
  return true;
}

bool MemoryBudget::Keep(Holder& aHolder)
{
  const std::lock_guard lock(mutex_);
  aHolder.mayGiveWay_ = false;
  return !aHolder.gaveWay_;
}

void MemoryBudget::Close(Holders::iterator aHolder)
{
  const std::lock_guard lock(mutex_);
  used_ -= aHolder->bytes_;
  holders_.erase(aHolder);
}

MemoryBudget::Share::Share(std::shared_ptr<MemoryBudget> aBudget,
                           Holders::iterator aHolder)
  : budget_(std::move(aBudget))
  , holder_(aHolder)
{
}

MemoryBudget::Share::~Share()
{
  budget_->Close(holder_);
}

bool MemoryBudget::Share::TryHold(std::uint64_t aBytes, TimePoint aNow)
{
  return budget_->TryHold(*holder_, aBytes, aNow);
}

bool MemoryBudget::Share::Keep()
{
  return budget_->Keep(*holder_);
}

bool MemoryBudget::Share::GaveWay() const
{
  const std::lock_guard lock(budget_->mutex_);
  return holder_->gaveWay_;
}

} // namespace gooseberrylift
