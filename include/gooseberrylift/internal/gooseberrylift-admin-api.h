// The port that operators, the balancer and the metrics collector use.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ADMIN_API_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ADMIN_API_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "gooseberrylift/gooseberrylift-settings.h"
#include "gooseberrylift/internal/gooseberrylift-blackboard.h"
#include "gooseberrylift/internal/gooseberrylift-http-server.h"
#include "gooseberrylift/internal/gooseberrylift-metrics.h"
#include "gooseberrylift/internal/gooseberrylift-pool-broker.h"

namespace gooseberrylift {

// Routes of the admin port. Parts add their own before the server starts:
//
//   admin.Add("GET", "/report/burn", [&](HttpExchange& aExchange) { ... });
//
// /healthz and /readyz are open; all else needs one of the admin keys, if the
// settings name any.
class AdminApi
{
public:
  struct Parts
  {
    const Settings& settings_;
    Blackboard& board_;
    PoolBroker& broker_;
    Metrics& metrics_;
  };

  explicit AdminApi(Parts aParts);

  /// Adds a route; only before the first request.
  void Add(const std::string& aMethod,
           const std::string& aPath,
           HttpHandler aHandler);

  /// Handles one request of the HTTP server.
  boost::asio::awaitable<void> Handle(HttpExchange& aExchange);

  /// Says whether the host can take callers' requests, and if not, why.
  /// @return empty when it is ready
  std::string WhyNotReady() const;

private:
  bool IsAllowed(const HttpRequest& aRequest) const;
  std::string StatusText() const;
  boost::asio::awaitable<void> HandleReady(HttpExchange& aExchange);
  boost::asio::awaitable<void> HandleStatus(HttpExchange& aExchange);

  Parts parts_;
  std::map<std::string, std::map<std::string, HttpHandler>> routes_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ADMIN_API_H_
