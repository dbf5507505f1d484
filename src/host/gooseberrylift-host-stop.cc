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

// Time limits for sending the final answers and for cancelling tasks. The drain
// limit must leave time for both before the process is killed.
constexpr milliseconds kAnswerTimeout{ 100 };
constexpr milliseconds kTaskTimeout{ 500 };

constexpr milliseconds kPollInterval{ 10 };

// Runs the context until a condition holds or the timeout expires.
void RunUntil(boost::asio::io_context& aContext,
              milliseconds aTimeout,
              const std::function<bool()>& aDone)
{
  const TimePoint deadline = TimerService::Now() + aTimeout;
  while (!aDone() && TimerService::Now() < deadline) {
    aContext.restart();
    try {
      aContext.run_one_for(kPollInterval);
    } catch (...) {
      ReportTaskFailure(aContext, std::current_exception());
    }
  }
}

} // namespace

void LogClosing(std::size_t aConnections)
{
  Log(LogEvent::kConnectionsClosing, { { "connections", aConnections } });
}

void LogClosed(const HttpServer::DrainReport& aReport)
{
  Log(LogEvent::kConnectionsClosed,
      { { "accepted", aReport.accepted_ },
        { "idle_closed", aReport.idleClosed_ },
        { "refused", aReport.refused_ },
        { "connections", aReport.connections_ } });
}

std::function<void()> ClosedUnreadCounter(Metrics& aMetrics)
{
  return [&aMetrics] {
    aMetrics.Count("gooseberrylift_connections_closed_unread_total");
  };
}

void FinishStop(boost::asio::io_context& aContext,
                const std::vector<HttpServer*>& aServers)
{
  const TimePoint start = TimerService::Now();
  for (HttpServer* server : aServers) {
    server->Abort();
  }
  RunUntil(aContext, kAnswerTimeout, [&aServers] {
    return std::all_of(
      aServers.begin(), aServers.end(), [](const HttpServer* aServer) {
        return aServer->Connections() == 0;
      });
  });
  for (HttpServer* server : aServers) {
    server->Close();
  }
  CancelTasks(aContext);
  RunUntil(
    aContext, kTaskTimeout, [&aContext] { return CountTasks(aContext) == 0; });
  const std::size_t tasksLeft = CountTasks(aContext);
  Log(LogEvent::kStopped,
      { { "tasks_left", tasksLeft },
        { "elapsed_ms",
          duration_cast<milliseconds>(TimerService::Now() - start).count() } });
  if (tasksLeft > 0) {
    std::_Exit(EXIT_SUCCESS);
  }
}

} // namespace gooseberrylift
