#include "gooseberrylift/internal/gooseberrylift-host-stop.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <functional>

#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// The drain limit must leave time for both steps before the process is killed.
constexpr milliseconds kAnswersLimit{ 100 };
constexpr milliseconds kTasksLimit{ 500 };

constexpr milliseconds kPoll{ 10 };

void RunUntil(boost::asio::io_context& aContext,
              milliseconds aLimit,
              const std::function<bool()>& aDone)
{
  const TimePoint limit = TimerService::Now() + aLimit;
  while (!aDone() && TimerService::Now() < limit) {
    aContext.restart();
    aContext.run_one_for(kPoll);
  }
}

} // namespace

void FinishStop(boost::asio::io_context& aContext,
                const std::vector<HttpServer*>& aServers)
{
  const TimePoint began = TimerService::Now();
  for (HttpServer* server : aServers) {
    server->Abort();
  }
  RunUntil(aContext, kAnswersLimit, [&aServers] {
    return std::all_of(
      aServers.begin(), aServers.end(), [](const HttpServer* aServer) {
        return aServer->ActiveRequests() == 0;
      });
  });
  for (HttpServer* server : aServers) {
    server->Close();
  }
  CancelTasks(aContext);
  RunUntil(
    aContext, kTasksLimit, [&aContext] { return CountTasks(aContext) == 0; });
  const std::size_t left = CountTasks(aContext);
  Log(LogEvent::kStopped,
      { { "tasks_left", left },
        { "elapsed_ms",
          duration_cast<milliseconds>(TimerService::Now() - began).count() } });
  if (left > 0) {
    std::_Exit(EXIT_SUCCESS);
  }
}

} // namespace gooseberrylift
