#include "gooseberrylift-fake.h"

#include <iostream>

#include <boost/asio/signal_set.hpp>
#include <boost/url/parse.hpp>

namespace gooseberrylift::fakes {

namespace asio = boost::asio;

int RunFake(asio::io_context& aContext,
            const json& aSettings,
            HttpHandler aHandler)
{
  HttpServer server(aContext.get_executor(),
                    { .address_ = aSettings.value("address", "127.0.0.1"),
                      .port_ = aSettings.value("port", std::uint16_t{ 0 }),
                      .maxBodyBytes_ = 64 * 1024 * 1024 },
                    std::move(aHandler));
  if (const auto error = server.Listen()) {
    std::cerr << error.message() << std::endl;
    return static_cast<int>(ResultCode::kListenFailed);
  }
  std::cout << "listening " << server.Port() << std::endl;
  asio::signal_set signals(aContext, SIGTERM, SIGINT);
  signals.async_wait([&aContext](auto, int) { aContext.stop(); });
  aContext.run();
  return 0;
}

asio::awaitable<bool> SendJson(HttpExchange& aExchange,
                               int aStatus,
                               const json& aBody)
{
  co_return co_await aExchange.Send(JsonResponse(
    aStatus, aBody.dump(-1, ' ', false, json::error_handler_t::replace)));
}

bool HasValidTarget(const HttpRequest& aRequest)
{
  return boost::urls::parse_origin_form(aRequest.target_).has_value();
}

json ParseJsonBody(const HttpRequest& aRequest)
{
  json body = json::parse(aRequest.body_.Text(), nullptr, false);
  return body.is_discarded() ? json::object() : body;
}

} // namespace gooseberrylift::fakes
