#include "gooseberrylift/internal/gooseberrylift-admin-api.h"

#include <algorithm>

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

// Above a store's short fault and a peer's few lost rounds.
constexpr std::chrono::seconds kIsolationLimit(5);

const char* NameOf(EndpointState aState)
{
  switch (aState) {
    case EndpointState::kLive:
      return "live";
    case EndpointState::kLeaving:
      return "leaving";
    case EndpointState::kDead:
      break;
  }
  return "dead";
}

json StatusOf(const EndpointView& aView)
{
  return { { "name", aView.name_ },
           { "address", aView.address_ },
           { "pool", aView.pool_ },
           { "zone", aView.zone_ },
           { "state", NameOf(aView.state_) },
           { "incarnation", aView.incarnation_ },
           { "running", aView.load_.running_ },
           { "waiting", aView.load_.waiting_ },
           { "waiting_tokens", aView.load_.waitingTokens_ },
           { "kv_used", aView.load_.kvTokensUsed_ },
           { "kv_total", aView.load_.kvTokensTotal_ } };
}

json StatusOf(const Digest& aDigest)
{
  return { { "host", aDigest.host_ },
           { "zone", aDigest.zone_ },
           { "generation", aDigest.generation_ },
           { "store_reachable", aDigest.storeReachable_ },
           { "draining", aDigest.draining_ } };
}

// Says why requests failed since the start, as counted for /metrics.
json FailuresOf(const Metrics& aMetrics)
{
  const auto counts = aMetrics.Counts("gooseberrylift_requests_total");
  json failures = json::array();
  for (const ResultInfo& info : AllResults()) {
    const auto found = counts.find(
      "code=\"" + std::to_string(static_cast<int>(info.code_)) + "\"");
    if (found != counts.end() && info.code_ != ResultCode::kOk) {
      failures.push_back({ { "code", static_cast<int>(info.code_) },
                           { "name", info.name_ },
                           { "meaning", info.meaning_ },
                           { "count", found->second } });
    }
  }
  return failures;
}

} // namespace

AdminApi::AdminApi(Parts aParts)
  : parts_(aParts)
{
  Add("GET", "/healthz", [](HttpExchange& aExchange) -> asio::awaitable<void> {
    co_await aExchange.Send(TextResponse(200, "ok\n"));
  });
  Add("GET", "/readyz", [this](HttpExchange& aExchange) {
    return HandleReady(aExchange);
  });
  Add("GET", "/status", [this](HttpExchange& aExchange) {
    return HandleStatus(aExchange);
  });
  Add("GET",
      "/metrics",
      [this](HttpExchange& aExchange) -> asio::awaitable<void> {
        HttpResponse response{ .status_ = 200,
                               .body_ = parts_.metrics_.Text() };
        response.fields_.push_back(
          { "Content-Type", "text/plain; version=0.0.4" });
        co_await aExchange.Send(std::move(response));
      });
}

void AdminApi::Add(const std::string& aMethod,
                   const std::string& aPath,
                   HttpHandler aHandler)
{
  routes_[aPath][aMethod] = std::move(aHandler);
}

asio::awaitable<void> AdminApi::Handle(HttpExchange& aExchange)
{
  const HttpRequest& request = aExchange.Request();
  const std::string path(request.Path());
  const auto methods = routes_.find(path);
  if (methods == routes_.end()) {
    co_await aExchange.Send(
      ErrorResponse(MakeError(ResultCode::kUnknownRoute), {}));
    co_return;
  }
  const auto route = methods->second.find(request.method_);
  if (route == methods->second.end()) {
    co_await aExchange.Send(
      ErrorResponse(MakeError(ResultCode::kMethodNotAllowed), {}));
    co_return;
  }
  if (path != "/healthz" && path != "/readyz" && !IsAllowed(request)) {
    co_await aExchange.Send(ErrorResponse(
      MakeError(ResultCode::kUnknownTeamKey,
                "Authorization: Bearer KEY with an admin key is needed"),
      {}));
    co_return;
  }
  co_await route->second(aExchange);
}

std::string AdminApi::WhyNotReady() const
{
  if (parts_.board_.host_.Read()->draining_) {
    return "draining";
  }
  if (!parts_.board_.configuration_.Read()->configuration_) {
    return "no configuration yet";
  }
  if (parts_.board_.endpoints_.Read()->endpoints_.empty()) {
    return "no endpoint known yet";
  }
  // A host that hears neither the store nor any other host it knew may go on
  // with a configuration that was replaced elsewhere, and would never learn it.
  const auto store = parts_.board_.store_.Read();
  const auto peers = parts_.board_.peers_.Read();
  if (!store->reachable_ && peers->known_ > 0 && peers->digests_.empty() &&
      TimerService::Now() - store->since_ > kIsolationLimit) {
    return "cut off from the store and all peers";
  }
  return {};
}

bool AdminApi::IsAllowed(const HttpRequest& aRequest) const
{
  if (parts_.settings_.adminKeys_.empty()) {
    return true; // only on the loopback address, as the settings' check sees to
  }
  const std::string_view field = aRequest.Field("Authorization");
  // Compared in constant time, so that a key can't be guessed byte by byte.
  return std::any_of(
    parts_.settings_.adminKeys_.begin(),
    parts_.settings_.adminKeys_.end(),
    [field](const std::string& aKey) {
      const std::string expected = "Bearer " + aKey;
      return field.size() == expected.size() &&
             CRYPTO_memcmp(field.data(), expected.data(), field.size()) == 0;
    });
}

asio::awaitable<void> AdminApi::HandleReady(HttpExchange& aExchange)
{
  const std::string reason = WhyNotReady();
  const std::string text = reason.empty() ? "ready" : reason;
  co_await aExchange.Send(
    TextResponse(reason.empty() ? 200 : 503, text + "\n"));
}

std::string AdminApi::StatusText() const
{
  const auto configuration =
    parts_.board_.configuration_.Read()->configuration_;
  json endpoints = json::array();
  for (const EndpointView& view : parts_.board_.endpoints_.Read()->endpoints_) {
    endpoints.push_back(StatusOf(view));
  }
  json pools = json::object();
  for (const auto& [name, load] : parts_.broker_.Loads()) {
    pools[name] = { { "waiting", load.waiting_ },
                    { "running", load.running_ } };
  }
  json peers = json::array();
  for (const Digest& digest : parts_.board_.peers_.Read()->digests_) {
    peers.push_back(StatusOf(digest));
  }
  const json status = {
    { "host", parts_.settings_.hostName_ },
    { "zone", parts_.settings_.zone_ },
    { "ready", WhyNotReady().empty() },
    { "why_not_ready", WhyNotReady() },
    { "generation", configuration ? configuration->Generation() : 0 },
    { "store_reachable", parts_.board_.store_.Read()->reachable_ },
    { "peers", peers },
    { "failures", FailuresOf(parts_.metrics_) },
    { "pools", pools },
    { "endpoints", endpoints },
  };
  return status.dump();
}

asio::awaitable<void> AdminApi::HandleStatus(HttpExchange& aExchange)
{
  co_await aExchange.Send(JsonResponse(200, StatusText()));
}

} // namespace gooseberrylift
