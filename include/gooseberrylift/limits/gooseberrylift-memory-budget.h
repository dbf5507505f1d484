// Decides how the memory that requests may take is divided among them.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_MEMORY_BUDGET_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_MEMORY_BUDGET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <vector>

#include "gooseberrylift/gooseberrylift-endpoint.h"
#include "gooseberrylift/gooseberrylift-result.h"

namespace gooseberrylift {

// A budget of bytes for all requests of one kind together. A request takes its
// share before the bytes are received. If the budget is used up, requests that
// are still being received give way: those first that have held most for
// longest. What doesn't fit even so is refused. A part of the budget is kept
// for small requests. Thread-safe.
class MemoryBudget : public std::enable_shared_from_this<MemoryBudget>
{
public:
  struct Options
  {
    std::uint64_t bytes_ = UINT64_MAX;
    // What a request may hold to use the part that is kept for small ones.
    std::uint64_t smallBytes_ = 64 * 1024;
    // The part of the budget that is kept for them: one in so many bytes.
    std::uint64_t smallPart_ = 4;
    // How long a request is received before it may have to give way. A client
    // within the limits sends most requests in less.
    std::chrono::milliseconds minAge_{ 1000 };
  };

  // The bytes of one request, returned to the budget by the destructor.
  class Share;

  explicit MemoryBudget(const Options& aOptions);

  /// Changes the size of the largest request. At least two of these fit,
  /// whatever the options say.
  /// @param aBytes the size
  void SetLargest(std::uint64_t aBytes);

  /// Opens an empty share for a request that begins to be received.
  /// @param aNow the present time
  /// @param aGiveWay called once, on any thread, if the request has to end so
  /// that others fit; its bytes no longer count then
  std::unique_ptr<Share> Open(TimePoint aNow, std::function<void()> aGiveWay);

  /// Returns the number of bytes that are held.
  std::uint64_t Used() const;

  /// Returns the largest number of bytes that were held since the last call.
  std::uint64_t TakePeak();

private:
  struct Holder
  {
    std::uint64_t bytes_ = 0;
    TimePoint since_{};
    bool mayGiveWay_ = true;
    bool gaveWay_ = false;
    std::function<void()> giveWay_{};
  };
  using Holders = std::list<Holder>;

  bool TryHold(Holder& aHolder, std::uint64_t aBytes, TimePoint aNow);
  bool Keep(Holder& aHolder);
  void Close(Holders::iterator aHolder);
  std::uint64_t LimitFor(std::uint64_t aBytes) const;
  std::vector<Holder*> ChooseGivingWay(const Holder& aFor,
                                       std::uint64_t aMissing,
                                       TimePoint aNow);

  const Options options_;
  mutable std::mutex mutex_;
  std::uint64_t largest_ = 0;
  std::uint64_t used_ = 0;
  std::uint64_t peak_ = 0; // since the last call of TakePeak
  Holders holders_;
};

class MemoryBudget::Share
{
public:
  Share(std::shared_ptr<MemoryBudget> aBudget, Holders::iterator aHolder);
  ~Share();
  Share(const Share&) = delete;
  Share& operator=(const Share&) = delete;

  /// Sets the number of bytes that the request holds.
  /// @param aBytes the new number, more or less than before
  /// @return false if they don't fit; the number stays as it was
  bool TryHold(std::uint64_t aBytes, TimePoint aNow);

  /// Records that the request is received, so that it doesn't give way.
  /// @return false if it already had to
  bool Keep();

  /// Returns whether the request had to give way.
  bool GaveWay() const;

private:
  std::shared_ptr<MemoryBudget> budget_;
  Holders::iterator holder_;
};

/// Creates the error for a request that doesn't fit into a budget. It says when
/// to return: by then, requests that are received without progress may have to
/// give way.
Error MakeMemoryFullError();

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_MEMORY_BUDGET_H_
