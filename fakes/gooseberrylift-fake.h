// Common code of the fake servers that stand in for external systems in tests.
// Each fake is one process that takes its settings as JSON, listens on the
// loopback interface and prints its port.

#ifndef GOOSEBERRYLIFT_FAKES_GOOSEBERRYLIFT_FAKE_H_
#define GOOSEBERRYLIFT_FAKES_GOOSEBERRYLIFT_FAKE_H_

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "gooseberrylift/internal/gooseberrylift-http-server.h"

namespace gooseberrylift::fakes {

using nlohmann::json;

/// Runs the HTTP server of a fake until SIGTERM or SIGINT.
/// @param aContext runs the server and the timers of the fake
/// @param aSettings "address" and "port" (0 selects a free port), in addition
/// to the settings of the fake itself
/// @param aHandler handles each request; all requests run on one thread
/// @return the exit status
int RunFake(boost::asio::io_context& aContext,
            const json& aSettings,
            HttpHandler aHandler);

/// Sends a JSON response.
boost::asio::awaitable<bool> SendJson(HttpExchange& aExchange,
                                      int aStatus,
                                      const json& aBody);

/// Returns whether a request's target is a path with an optional query as RFC
/// 3986 defines them, without a fragment.
bool HasValidTarget(const HttpRequest& aRequest);

/// Parses a request body as JSON. Returns an empty object if it is invalid.
json ParseJsonBody(const HttpRequest& aRequest);

// Entry points of the fakes. Each returns the exit status of the process.
int RunFakeEngine(const json& aSettings);
int RunFakeService(const json& aSettings);
int RunFakeStore(const json& aSettings);
int RunFakeHosts(const json& aSettings);
int RunFakeProxy(const json& aSettings);
int RunFakeFleetStore(const json& aSettings);
int RunFakeFleetEngine(const json& aSettings);

} // namespace gooseberrylift::fakes

#endif // GOOSEBERRYLIFT_FAKES_GOOSEBERRYLIFT_FAKE_H_
