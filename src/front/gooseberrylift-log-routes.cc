#include "gooseberrylift/internal/gooseberrylift-log-routes.h"

#include <nlohmann/json.hpp>

#include "gooseberrylift/internal/gooseberrylift-log.h"

namespace gooseberrylift {

namespace asio = boost::asio;

namespace {

std::string LevelsText()
{
  nlohmann::json levels = nlohmann::json::object();
  for (const LogComponent& component : AllLogComponents()) {
    levels[std::string(component.name_)] = LogLevelOf(component);
  }
  return levels.dump();
}

HttpResponse ChangeLevel(const HttpRequest& aRequest)
{
  if (!SetLogLevel(aRequest.QueryParameter("component"),
                   aRequest.QueryParameter("level"))) {
    return ErrorResponse(
      MakeError(ResultCode::kBadField,
                "component and level: a component of GET /log or 'all', and "
                "debug, info, warning or error"),
      {});
  }
  return JsonResponse(200, LevelsText());
}

} // namespace

void AddLogRoutes(AdminApi& aAdminApi)
{
  aAdminApi.Add(
    "GET", "/log", [](HttpExchange& aExchange) -> asio::awaitable<void> {
      co_await aExchange.Send(JsonResponse(200, LevelsText()));
    });
  aAdminApi.Add(
    "POST", "/log", [](HttpExchange& aExchange) -> asio::awaitable<void> {
      co_await aExchange.Send(ChangeLevel(aExchange.Request()));
    });
}

} // namespace gooseberrylift
