// Decides how the memory that requests may take is divided among them.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_MEMORY_BUDGET_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_MEMORY_BUDGET_H_

#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "gooseberrylift/gooseberrylift-endpoint.h"
#include "gooseberrylift/gooseberrylift-result.h"

namespace gooseberrylift {

// A budget of bytes for all requests of one kind together. A request takes its
// share before the bytes are received. If the budget is used up, requests that
// are still being received give way: those first that have held most for
// longest. What doesn't fit even so is refused. A part of the budget is kept
// for small requests.
class MemoryBudget
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

  using HolderId = std::uint64_t; // one request

  struct Decision
  {
    bool fits_ = false;
    std::vector<HolderId> givingWay_{}; // end now; their bytes don't count
  };

  explicit MemoryBudget(const Options& aOptions);

  /// Changes the size of the largest request, in bytes. At least two of these
  /// fit, whatever the options say.
  void SetLargest(std::uint64_t aBytes) { largest_ = aBytes; }

  /// Adds a request that begins to be received and holds nothing yet.
  HolderId Open(TimePoint aNow);

  /// Sets the number of bytes that a request holds.
  /// @param aBytes the new number, more or less than before
  /// @return whether they fit; if not, the number stays as it was
  Decision TryHold(HolderId aHolder, std::uint64_t aBytes, TimePoint aNow);

  /// Records that a request is received, so that it doesn't give way.
  /// @return false if it already had to
  bool Keep(HolderId aHolder);

  /// Returns whether a request had to give way.
  bool GaveWay(HolderId aHolder) const;

  /// Removes a request.
  void Close(HolderId aHolder);

  /// Returns the number of bytes that are held.
  std::uint64_t Used() const { return used_; }

  /// Returns the largest number of bytes that were held since the last call.
  std::uint64_t TakePeak();

private:
  struct Holder
  {
    std::uint64_t bytes_ = 0;
    TimePoint since_{};
    bool mayGiveWay_ = true;
    bool gaveWay_ = false;
  };

  std::uint64_t LimitFor(std::uint64_t aBytes) const;
  std::vector<HolderId> ChooseGivingWay(HolderId aFor,
                                        std::uint64_t aMissing,
                                        TimePoint aNow) const;

  const Options options_;
  std::uint64_t largest_ = 0;
  std::uint64_t used_ = 0;
  std::uint64_t peak_ = 0; // since the last call of TakePeak
  HolderId lastId_ = 0;
  std::unordered_map<HolderId, Holder> holders_;
};

/// Creates the error for a request that doesn't fit into a budget. It says when
/// to return: by then, requests that are received without progress may have to
/// give way.
Error MakeMemoryFullError();

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_MEMORY_BUDGET_H_
