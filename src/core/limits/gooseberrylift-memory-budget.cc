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

MemoryBudget::HolderId MemoryBudget::Open(TimePoint aNow)
{
  holders_[++lastId_] = { .since_ = aNow };
  return lastId_;
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
std::vector<MemoryBudget::HolderId> MemoryBudget::ChooseGivingWay(
  HolderId aFor,
  std::uint64_t aMissing,
  TimePoint aNow) const
{
  std::vector<std::pair<double, HolderId>> candidates; // by bytes x seconds
  for (const auto& [id, holder] : holders_) {
    const auto age = aNow - holder.since_;
    if (id != aFor && holder.mayGiveWay_ && holder.bytes_ > 0 &&
        age >= options_.minAge_) {
      candidates.emplace_back(std::chrono::duration<double>(age).count() *
                                static_cast<double>(holder.bytes_),
                              id);
    }
  }
  std::sort(candidates.rbegin(), candidates.rend());
  std::vector<HolderId> chosen;
  std::uint64_t freed = 0;
  for (const auto& [cost, id] : candidates) {
    if (freed < aMissing) {
      freed += holders_.at(id).bytes_;
      chosen.push_back(id);
    }
  }
  return freed < aMissing ? std::vector<HolderId>() : chosen;
}

MemoryBudget::Decision MemoryBudget::TryHold(HolderId aHolder,
                                             std::uint64_t aBytes,
                                             TimePoint aNow)
{
  Holder& holder = holders_.at(aHolder);
  if (holder.gaveWay_) {
    return {};
  }
  Decision decision{ .fits_ = true };
  const std::uint64_t needed = used_ - holder.bytes_ + aBytes;
  const std::uint64_t limit = LimitFor(aBytes);
  if (aBytes > holder.bytes_ && needed > limit) {
    decision.givingWay_ = ChooseGivingWay(aHolder, needed - limit, aNow);
    if (decision.givingWay_.empty()) {
      return {};
    }
    for (const HolderId id : decision.givingWay_) {
      Holder& other = holders_.at(id);
      used_ -= std::exchange(other.bytes_, 0);
      other.gaveWay_ = true;
    }
  }
  used_ += aBytes;
  used_ -= std::exchange(holder.bytes_, aBytes);
  peak_ = std::max(peak_, used_);
  return decision;
}

bool MemoryBudget::Keep(HolderId aHolder)
{
  Holder& holder = holders_.at(aHolder);
  holder.mayGiveWay_ = false;
  return !holder.gaveWay_;
}

bool MemoryBudget::GaveWay(HolderId aHolder) const
{
  return holders_.at(aHolder).gaveWay_;
}

void MemoryBudget::Close(HolderId aHolder)
{
  const auto found = holders_.find(aHolder);
  used_ -= found->second.bytes_;
  holders_.erase(found);
}

std::uint64_t MemoryBudget::TakePeak()
{
  return std::exchange(peak_, used_);
}

} // namespace gooseberrylift
