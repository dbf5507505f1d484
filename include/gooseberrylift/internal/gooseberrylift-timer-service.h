// The one source of time outside the core. Parts subscribe to it and are
// called back; none keeps a timer or reads a clock of its own.

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

// Keeps a callback subscribed while it lives. A callback that is already
// running when the subscription ends may still finish.
class TimerSubscription
{
public:
  TimerSubscription() = default;
  struct State;
  explicit TimerSubscription(std::shared_ptr<State> aState);
  ~TimerSubscription();
  TimerSubscription(TimerSubscription&&) = default;
  TimerSubscription& operator=(TimerSubscription&& aOther) noexcept;

  /// Ends the subscription; further calls do nothing.
  void Cancel();

private:
  std::shared_ptr<State> state_;
};

// Calls subscribers at a time or again and again, each on the executor that it
// named:
//
//   TimerSubscription tick = timers.Every(100ms, executor, [&] { Tick(); });
//
// Safe to use from any thread.
class TimerService
{
public:
  using Callback = std::function<void()>;

  /// Gives the current monotonic time.
  static TimePoint Now() { return std::chrono::steady_clock::now(); }

  /// Gives the time since the machine started, suspension counted.
  static BootTime BootNow();

  /// Calls back every period, measured from the end of the call before.
  /// @param aPeriod the pause between two calls
  /// @param aExecutor where the callback runs
  /// @param aCallback what to call
  /// @return the subscription, which must be kept
  [[nodiscard]] static TimerSubscription Every(
    std::chrono::milliseconds aPeriod,
    const boost::asio::any_io_executor& aExecutor,
    Callback aCallback);

  /// Calls back once, at a time or at once when it has passed.
  [[nodiscard]] static TimerSubscription At(
    TimePoint aWhen,
    const boost::asio::any_io_executor& aExecutor,
    Callback aCallback);

  /// Suspends the calling coroutine until a time; cancellation ends it early.
  static boost::asio::awaitable<void> SleepUntil(TimePoint aWhen);

  /// Suspends the calling coroutine for a while.
  static boost::asio::awaitable<void> SleepFor(
    std::chrono::milliseconds aDuration);
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_TIMER_SERVICE_H_
