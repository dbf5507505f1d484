// Background coroutines that can be cancelled and counted at shutdown. Each
// execution context tracks its own, so that the objects they refer to can be
// destroyed after they have ended.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_TASKS_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_TASKS_H_

#include <cstddef>
#include <exception>
#include <functional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/execution_context.hpp>
#include <boost/asio/io_context.hpp>

namespace gooseberrylift {

// Is called with the text of an exception that ended a task.
using TaskFailureHandler = std::function<void(const std::string& aText)>;

/// Sets what is called when a task, a timer or another handler of the context
/// fails by an exception other than a cancellation. Must be called before the
/// context runs.
void SetTaskFailureHandler(boost::asio::execution_context& aContext,
                           TaskFailureHandler aHandler);

/// Starts a coroutine in the background. Does nothing once the tasks of the
/// context have been cancelled.
/// @param aExecutor the executor that runs it
/// @param aTask the coroutine
void SpawnTask(const boost::asio::any_io_executor& aExecutor,
               boost::asio::awaitable<void> aTask);

/// Starts the coroutine that a function returns, and keeps the function alive
/// until the coroutine has ended.
void SpawnTask(const boost::asio::any_io_executor& aExecutor,
               std::function<boost::asio::awaitable<void>()> aTask);

/// Starts a coroutine that runs until its context is stopped. If it ends by an
/// exception, reports it and starts the coroutine again after a short delay.
/// @param aLoop returns the coroutine; is kept alive with it
void SpawnLoop(const boost::asio::any_io_executor& aExecutor,
               std::function<boost::asio::awaitable<void>()> aLoop);

/// Reports an exception to the handler of the context; does nothing if it is
/// how a cancelled operation ends.
void ReportTaskFailure(boost::asio::execution_context& aContext,
                       const std::exception_ptr& aError);

/// Runs a context until it is stopped or has no more work. An exception of a
/// handler is reported and ends only that handler.
void RunContext(boost::asio::io_context& aContext);

/// Runs two coroutines on the executor of the calling one until one of them
/// ends, and cancels the other. Returns when both have ended. Their exceptions
/// are dropped; if the calling coroutine is cancelled, so are both.
boost::asio::awaitable<void> RunUntilOneEnds(
  std::function<boost::asio::awaitable<void>()> aFirst,
  std::function<boost::asio::awaitable<void>()> aSecond);

/// Throws operation_aborted if the calling coroutine was cancelled during an
/// operation that returned an error instead.
boost::asio::awaitable<void> ThrowIfCancelled();

/// Starts a coroutine that CancelTasks does not cancel, such as a request that
/// releases memory at an engine. The coroutine must limit its own run time.
void SpawnCleanup(const boost::asio::any_io_executor& aExecutor,
                  boost::asio::awaitable<void> aTask);

/// Cancels all tasks of a context except cleanups, and lets no new ones start.
/// Must be called while no thread runs the context, because cancellation is not
/// synchronized with the coroutines.
void CancelTasks(boost::asio::execution_context& aContext);

/// Returns the number of tasks and cleanups of a context that have not ended.
std::size_t CountTasks(boost::asio::execution_context& aContext);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_TASKS_H_
