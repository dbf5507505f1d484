#include "gooseberrylift/internal/gooseberrylift-tasks.h"

#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio.hpp>
#include <boost/asio/deferred.hpp>
#include <boost/asio/experimental/parallel_group.hpp>

#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;

namespace {

// Keeps a loop that fails at once each time from using the whole processor.
constexpr std::chrono::milliseconds kLoopRestartDelay{ 100 };

enum class TaskKind
{
  kCancellable,
  kCleanup
};

// Returns the text of an exception; empty if there is none, or if it is how a
// cancelled operation ends its coroutine.
std::string FailureText(const std::exception_ptr& aError)
{
  if (!aError) {
    return {};
  }
  try {
    std::rethrow_exception(aError);
  } catch (const boost::system::system_error& error) {
    const bool cancelled = error.code() == asio::error::operation_aborted;
    return cancelled ? std::string() : error.what();
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "unknown exception";
  }
}

class TaskList : public asio::execution_context::service
{
public:
  // use_service() requires a member of this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static asio::execution_context::id id;

  explicit TaskList(asio::execution_context& aContext)
    : asio::execution_context::service(aContext)
  {
  }

  static TaskList& Of(const asio::any_io_executor& aExecutor)
  {
    return asio::use_service<TaskList>(
      asio::query(aExecutor, asio::execution::context));
  }

  template<typename Coroutine>
  void Start(const asio::any_io_executor& aExecutor,
             Coroutine aCoroutine,
             TaskKind aKind)
  {
    const auto task = std::make_shared<Task>(aKind);
    std::list<std::shared_ptr<Task>>::iterator position;
    {
      const std::lock_guard lock(mutex_);
      if (cancelled_ && aKind == TaskKind::kCancellable) {
        return;
      }
      position = tasks_.insert(tasks_.end(), task);
    }
    // The lock is not held, because co_spawn may run the coroutine before it
    // returns.
    asio::co_spawn(aExecutor,
                   std::move(aCoroutine),
                   asio::bind_cancellation_slot(
                     task->signal_.slot(),
                     [this, position](const std::exception_ptr& aError) {
                       Remove(position);
                       Report(aError);
                     }));
  }

  void SetFailureHandler(TaskFailureHandler aHandler)
  {
    const std::lock_guard lock(mutex_);
    onFailure_ = std::move(aHandler);
  }

  void Cancel()
  {
    std::vector<std::shared_ptr<Task>> running;
    {
      const std::lock_guard lock(mutex_);
      cancelled_ = true;
      running.assign(tasks_.begin(), tasks_.end());
    }
    for (const auto& task : running) {
      if (task->kind_ == TaskKind::kCancellable) {
        task->signal_.emit(asio::cancellation_type::terminal);
      }
    }
  }

  std::size_t Count()
  {
    const std::lock_guard lock(mutex_);
    return tasks_.size();
  }

  // Without memory, the failure is not reported.
  void Report(const std::exception_ptr& aError) noexcept
  {
    try {
      const std::string text = FailureText(aError);
      TaskFailureHandler handler;
      {
        const std::lock_guard lock(mutex_);
        handler = onFailure_;
      }
      if (!text.empty() && handler) {
        handler(text);
      }
    } catch (...) {
      return;
    }
  }

private:
  struct Task
  {
    explicit Task(TaskKind aKind)
      : kind_(aKind)
    {
    }
    TaskKind kind_;
    asio::cancellation_signal signal_;
  };

  void shutdown() override {}

  void Remove(std::list<std::shared_ptr<Task>>::iterator aPosition)
  {
    const std::lock_guard lock(mutex_);
    if (cancelled_) {
      // A cancellation posted by Asio may still refer to the signal.
      endedAfterCancel_.push_back(std::move(*aPosition));
    }
    tasks_.erase(aPosition);
  }

  std::mutex mutex_;
  std::list<std::shared_ptr<Task>> tasks_; // tasks that have not ended
  std::vector<std::shared_ptr<Task>> endedAfterCancel_;
  TaskFailureHandler onFailure_;
  bool cancelled_ = false;
};

asio::execution_context::id TaskList::id;

} // namespace

void SetTaskFailureHandler(asio::execution_context& aContext,
                           TaskFailureHandler aHandler)
{
  asio::use_service<TaskList>(aContext).SetFailureHandler(std::move(aHandler));
}

void SpawnTask(const asio::any_io_executor& aExecutor,
               asio::awaitable<void> aTask)
{
  TaskList::Of(aExecutor).Start(
    aExecutor, std::move(aTask), TaskKind::kCancellable);
}

void SpawnTask(const asio::any_io_executor& aExecutor,
               std::function<asio::awaitable<void>()> aTask)
{
  TaskList::Of(aExecutor).Start(
    aExecutor, std::move(aTask), TaskKind::kCancellable);
}

namespace {

// Returns the exception that ended the coroutine, or null.
asio::awaitable<std::exception_ptr> RunOnce(
  std::function<asio::awaitable<void>()>& aLoop)
{
  try {
    co_await aLoop();
  } catch (...) {
    co_return std::current_exception();
  }
  co_return nullptr;
}

asio::awaitable<void> RunRestarting(
  std::function<asio::awaitable<void>()> aLoop)
{
  const auto executor = co_await asio::this_coro::executor;
  auto& context = asio::query(executor, asio::execution::context);
  while (true) {
    const std::exception_ptr error = co_await RunOnce(aLoop);
    if (!error) {
      co_return;
    }
    co_await ThrowIfCancelled();
    ReportTaskFailure(context, error);
    co_await TimerService::SleepFor(kLoopRestartDelay);
  }
}

} // namespace

void SpawnLoop(const asio::any_io_executor& aExecutor,
               std::function<asio::awaitable<void>()> aLoop)
{
  SpawnTask(aExecutor, RunRestarting(std::move(aLoop)));
}

void ReportTaskFailure(asio::execution_context& aContext,
                       const std::exception_ptr& aError)
{
  asio::use_service<TaskList>(aContext).Report(aError);
}

void RunContext(asio::io_context& aContext)
{
  while (true) {
    try {
      aContext.run();
      return;
    } catch (...) {
      ReportTaskFailure(aContext, std::current_exception());
    }
  }
}

asio::awaitable<void> RunUntilOneEnds(
  std::function<asio::awaitable<void>()> aFirst,
  std::function<asio::awaitable<void>()> aSecond)
{
  const auto executor = co_await asio::this_coro::executor;
  auto both = asio::experimental::make_parallel_group(
    asio::co_spawn(executor, std::move(aFirst), asio::deferred),
    asio::co_spawn(executor, std::move(aSecond), asio::deferred));
  co_await both.async_wait(asio::experimental::wait_for_one(),
                           asio::use_awaitable);
}

asio::awaitable<void> ThrowIfCancelled()
{
  const auto state = co_await asio::this_coro::cancellation_state;
  if (state.cancelled() != asio::cancellation_type::none) {
    throw boost::system::system_error(asio::error::operation_aborted);
  }
}

void SpawnCleanup(const asio::any_io_executor& aExecutor,
                  asio::awaitable<void> aTask)
{
  TaskList::Of(aExecutor).Start(
    aExecutor, std::move(aTask), TaskKind::kCleanup);
}

void CancelTasks(asio::execution_context& aContext)
{
  asio::use_service<TaskList>(aContext).Cancel();
}

std::size_t CountTasks(asio::execution_context& aContext)
{
  return asio::use_service<TaskList>(aContext).Count();
}

} // namespace gooseberrylift
