// A planned stop, shared by entry and gateway hosts.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_HOST_STOP_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_HOST_STOP_H_

#include <cstddef>
#include <functional>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "gooseberrylift/internal/gooseberrylift-http-server.h"
#include "gooseberrylift/internal/gooseberrylift-metrics.h"

namespace gooseberrylift {

/// Logs that a host begins to close its callers' connections.
/// @param aConnections the number of open connections
void LogClosing(std::size_t aConnections);

/// Logs how a host has closed its callers' connections.
void LogClosed(const HttpServer::DrainReport& aReport);

/// Returns a function that counts connections whose callers' last bytes got no
/// answer.
/// @param aMetrics must outlive the function
std::function<void()> ClosedUnreadCounter(Metrics& aMetrics);

/// Ends everything that still runs after a host has drained, so that its
/// members can be destroyed safely: sends the remaining callers a final answer,
/// cancels tasks and lets cleanups finish. If tasks remain at the time limit,
/// it exits the process without running destructors, since those tasks still
/// refer to the members.
/// @param aContext must not be run by another thread, or after this call
/// @param aServers all servers of the host
void FinishStop(boost::asio::io_context& aContext,
                const std::vector<HttpServer*>& aServers);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_HOST_STOP_H_
