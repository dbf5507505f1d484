// Clocks and timers for the code outside the core, which uses no other timer
// and reads no clock directly.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_TIMER_SERVICE_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_TIMER_SERVICE_H_

#include <chrono>
#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "gooseberrylift/gooseberrylift-endpoint.h"
#include "gooseberrylift/membership/gooseberrylift-freshness-lease.h"

namespace gooseberrylift {

// Owns a timer and cancels it on destruction. A callback that is already
// running then may still finish.
class TimerSubscription
{
public:
  TimerSubscription() = default;
  struct State;
  explicit TimerSubscription(std::shared_ptr<State> aState);
  ~TimerSubscription();
  TimerSubscription(TimerSubscription&&) = default;
  TimerSubscription& operator=(TimerSubscription&& aOther) noexcept;

  /// Cancels the timer. Further calls have no effect.
  void Cancel();

private:
  std::shared_ptr<State> state_;
};

// Runs callbacks once or periodically, each on the executor passed with it:
//
//   TimerSubscription tick = timers.Every(100ms, executor, [&] { Tick(); });
//
// Thread-safe.
class TimerService
{
public:
  using Callback = std::function<void()>;

  /// Returns the current monotonic time.
  static TimePoint Now() { return std::chrono::steady_clock::now(); }

  /// Returns the time since the machine booted, including time in suspension.
  static BootTime BootNow();

  /// Runs a callback periodically.
  /// @param aPeriod the time between the end of a call and the next call
  /// @param aExecutor runs the callback
  /// @param aCallback the function to call
  /// @return the subscription; destroying it cancels the timer
  [[nodiscard]] static TimerSubscription Every(
    std::chrono::milliseconds aPeriod,
    const boost::asio::any_io_executor& aExecutor,
    Callback aCallback);

  /// Runs a callback once, immediately if the given time has passed.
  [[nodiscard]] static TimerSubscription At(
    TimePoint aWhen,
    const boost::asio::any_io_executor& aExecutor,
    Callback aCallback);

  /// Suspends the calling coroutine until the given time or its cancellation.
  static boost::asio::awaitable<void> SleepUntil(TimePoint aWhen);

  /// Suspends the calling coroutine for a duration or until its cancellation.
  static boost::asio::awaitable<void> SleepFor(
    std::chrono::milliseconds aDuration);
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_TIMER_SERVICE_H_
