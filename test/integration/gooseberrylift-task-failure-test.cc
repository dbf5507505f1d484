// Tests that an exception ends only the task, timer call or handler that threw
// it, and that it is reported.

#include <stdexcept>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "gooseberrylift/internal/gooseberrylift-tasks.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

namespace asio = boost::asio;

TEST_GROUP(TaskFailureTest)
{
  asio::io_context context_{ 1 };
  std::vector<std::string> failures_;

  void setup() override
  {
    SetTaskFailureHandler(context_, [this](const std::string& aText) {
      failures_.push_back(aText);
    });
  }

  void RunFor(std::chrono::milliseconds aTime)
  {
    TimerSubscription end = TimerService::At(TimerService::Now() + aTime,
                                             context_.get_executor(),
                                             [this] { context_.stop(); });
    RunContext(context_);
    CancelTasks(context_);
    context_.restart();
    while (CountTasks(context_) > 0) {
      context_.run_one_for(10ms);
    }
  }
};

TEST(TaskFailureTest, ReportsATaskThatThrows)
{
  SpawnTask(context_.get_executor(), []() -> asio::awaitable<void> {
    co_await TimerService::SleepFor(1ms);
    throw std::runtime_error("bad entry");
  });
  RunFor(50ms);
  CHECK_EQUAL(1U, failures_.size());
  CHECK_EQUAL(std::string("bad entry"), failures_.front());
}

// Guards against a loop of the host that is gone after its first exception.
TEST(TaskFailureTest, StartsALoopAgainAfterAnException)
{
  int starts = 0;
  int rounds = 0;
  SpawnLoop(context_.get_executor(), [&]() -> asio::awaitable<void> {
    ++starts;
    while (true) {
      co_await TimerService::SleepFor(1ms);
      if (++rounds == 1) {
        throw std::runtime_error("bad entry");
      }
    }
  });
  RunFor(300ms);
  CHECK_EQUAL(2, starts);
  CHECK_TRUE(rounds > 2);
  CHECK_EQUAL(1U, failures_.size());
}

TEST(TaskFailureTest, DoesNotStartACancelledLoopAgain)
{
  int starts = 0;
  SpawnLoop(context_.get_executor(), [&]() -> asio::awaitable<void> {
    ++starts;
    co_await TimerService::SleepFor(1h);
  });
  RunFor(20ms);
  CHECK_EQUAL(1, starts);
  CHECK_TRUE(failures_.empty());
}

// Guards against a process that ends by an exception of a timer.
TEST(TaskFailureTest, KeepsThePeriodOfATimerWhoseCallThrows)
{
  int calls = 0;
  const TimerSubscription timer =
    TimerService::Every(2ms, context_.get_executor(), [&calls] {
      if (++calls == 1) {
        throw std::runtime_error("bad entry");
      }
    });
  RunFor(100ms);
  CHECK_TRUE(calls > 2);
  CHECK_EQUAL(1U, failures_.size());
}

// Guards against a process that ends by an exception of a posted handler.
TEST(TaskFailureTest, GoesOnAfterAHandlerThatThrows)
{
  bool ran = false;
  asio::post(context_, [] { throw std::runtime_error("bad entry"); });
  asio::post(context_, [&ran] { ran = true; });
  RunFor(20ms);
  CHECK_TRUE(ran);
  CHECK_EQUAL(1U, failures_.size());
}
