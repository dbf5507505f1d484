// What the fakes of the outside systems share. Each fake is one process that
// takes its settings as JSON, listens on loopback and prints its port.

#ifndef GOOSEBERRYLIFT_FAKES_GOOSEBERRYLIFT_FAKE_H_
#define GOOSEBERRYLIFT_FAKES_GOOSEBERRYLIFT_FAKE_H_

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "gooseberrylift/internal/gooseberrylift-http-server.h"

namespace gooseberrylift::fakes {

using nlohmann::json;

/// Runs one fake until SIGTERM or SIGINT.
/// @param aSettings "address" and "port" (0 picks one) besides the fake's own
/// @param aHandler answers each request, one at a time on a single thread
/// @param aContext where the fake's own timers run too
/// @return the exit status
int RunFake(boost::asio::io_context& aContext,
            const json& aSettings,
            HttpHandler aHandler);

/// Answers with a JSON document.
boost::asio::awaitable<bool> Reply(HttpExchange& aExchange,
                                   int aStatus,
                                   const json& aBody);

/// Reads a request's body as JSON; an empty object when it is none.
json BodyOf(const HttpRequest& aRequest);

// One per kind of fake; each takes its settings and returns the exit status.
int RunFakeEngine(const json& aSettings);
int RunFakeService(const json& aSettings);
int RunFakeStore(const json& aSettings);
int RunFakeHosts(const json& aSettings);
int RunFakeProxy(const json& aSettings);
int RunFakeFleetStore(const json& aSettings);
int RunFakeFleetEngine(const json& aSettings);

} // namespace gooseberrylift::fakes

#endif // GOOSEBERRYLIFT_FAKES_GOOSEBERRYLIFT_FAKE_H_
