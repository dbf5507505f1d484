// A memory budget that requests of several servers and threads share.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SHARED_MEMORY_BUDGET_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SHARED_MEMORY_BUDGET_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

#include "gooseberrylift/limits/gooseberrylift-memory-budget.h"

namespace gooseberrylift {

// Thread-safe.
class SharedMemoryBudget
  : public std::enable_shared_from_this<SharedMemoryBudget>
{
public:
  // The bytes of one request, returned to the budget by the destructor.
  class Share
  {
  public:
    Share(std::shared_ptr<SharedMemoryBudget> aBudget,
          MemoryBudget::HolderId aHolder);
    ~Share();
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    /// See MemoryBudget::TryHold. Those that give way are told.
    bool TryHold(std::uint64_t aBytes);

    /// See MemoryBudget::Keep.
    bool Keep();

    /// See MemoryBudget::GaveWay.
    bool GaveWay() const;

  private:
    std::shared_ptr<SharedMemoryBudget> budget_;
    MemoryBudget::HolderId holder_;
  };

  explicit SharedMemoryBudget(const MemoryBudget::Options& aOptions);

  /// See MemoryBudget::SetLargest.
  void SetLargest(std::uint64_t aBytes);

  /// Opens an empty share for a request that begins to be received.
  /// @param aGiveWay called at most once, on any thread, if the request has to
  /// end so that others fit
  std::shared_ptr<Share> Open(std::function<void()> aGiveWay);

  /// Returns the number of bytes that are held.
  std::uint64_t Used() const;

  /// See MemoryBudget::TakePeak.
  std::uint64_t TakePeak();

private:
  mutable std::mutex mutex_;
  MemoryBudget budget_;
  std::unordered_map<MemoryBudget::HolderId, std::function<void()>> giveWay_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SHARED_MEMORY_BUDGET_H_
