#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

#include <atomic>
#include <ctime>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "gooseberrylift/internal/gooseberrylift-tasks.h"

namespace gooseberrylift {

namespace asio = boost::asio;

// The timer runs on its own strand, so that Cancel may be called from any
// thread while a callback restarts the timer.
struct TimerSubscription::State
  : std::enable_shared_from_this<TimerSubscription::State>
{
  State(const asio::any_io_executor& aExecutor,
        TimerService::Callback aCallback)
    : strand_(asio::make_strand(aExecutor))
    , timer_(strand_)
    , executor_(aExecutor)
    , callback_(std::move(aCallback))
  {
  }

  void Start(TimePoint aWhen)
  {
    asio::dispatch(strand_, [self = shared_from_this(), aWhen] {
      if (self->cancelled_) {
        return;
      }
      self->timer_.expires_at(aWhen);
      self->timer_.async_wait([self](const boost::system::error_code& aCode) {
        if (!aCode) {
          self->Fire();
        }
      });
    });
  }

  void Fire()
  {
    asio::dispatch(executor_, [self = shared_from_this()] {
      if (self->cancelled_) {
        return;
      }
      self->RunCallback();
      if (self->period_.count() > 0) {
        self->Start(TimerService::Now() + self->period_);
      }
    });
  }

  // A callback that fails must not end the period of its timer.
  void RunCallback()
  {
    try {
      callback_();
    } catch (...) {
      ReportTaskFailure(asio::query(executor_, asio::execution::context),
                        std::current_exception());
    }
  }

  void Cancel()
  {
    cancelled_ = true;
    asio::dispatch(strand_,
                   [self = shared_from_this()] { self->timer_.cancel(); });
  }

  asio::any_io_executor strand_;
  asio::steady_timer timer_;
  asio::any_io_executor executor_;
  TimerService::Callback callback_;
  std::chrono::milliseconds period_{ 0 };
  std::atomic<bool> cancelled_ = false;
};

TimerSubscription::TimerSubscription(std::shared_ptr<State> aState)
  : state_(std::move(aState))
{
}

TimerSubscription::~TimerSubscription()
{
  Cancel();
}

TimerSubscription& TimerSubscription::operator=(
  TimerSubscription&& aOther) noexcept
{
  if (this != &aOther) {
    Cancel();
    state_ = std::move(aOther.state_);
  }
  return *this;
}

void TimerSubscription::Cancel()
{
  if (state_) {
    state_->Cancel();
    state_.reset();
  }
}

BootTime TimerService::BootNow()
{
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return BootTime(std::chrono::seconds(now.tv_sec) +
                  std::chrono::nanoseconds(now.tv_nsec));
}

TimerSubscription TimerService::Every(std::chrono::milliseconds aPeriod,
                                      const asio::any_io_executor& aExecutor,
                                      Callback aCallback)
{
  auto state =
    std::make_shared<TimerSubscription::State>(aExecutor, std::move(aCallback));
  state->period_ = aPeriod;
  state->Start(Now() + aPeriod);
  return TimerSubscription(std::move(state));
}

TimerSubscription TimerService::At(TimePoint aWhen,
                                   const asio::any_io_executor& aExecutor,
                                   Callback aCallback)
{
  auto state =
    std::make_shared<TimerSubscription::State>(aExecutor, std::move(aCallback));
  state->Start(aWhen);
  return TimerSubscription(std::move(state));
}

asio::awaitable<void> TimerService::SleepUntil(TimePoint aWhen)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aWhen);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> TimerService::SleepFor(
  std::chrono::milliseconds aDuration)
{
  co_await SleepUntil(Now() + aDuration);
}

} // namespace gooseberrylift
