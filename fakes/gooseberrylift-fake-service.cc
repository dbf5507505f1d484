// A fake HTTP service that counts the executions of each request, so that a
// test can detect a call that was executed twice or not at all.
//   any  /...       executes the request and returns
//                   {"service", "method", "path", "body", "tag", "runs"}
//   GET  /load      {"state": "live"|"leaving"}
//   GET  /stats     {"runs": {key: count}, "total": n, "refused": n,
//                    "bodies": {key: body}, "requests": {X-Request-Id: count}}
//   POST /control   {"delay_ms", "leaving", "hang", "status", "retry_after"}
// With a retry_after that is not empty, requests are rejected with that value.
// The key is the Idempotency-Key header or, if it is absent, X-Request-Id.

#include <map>

#include "gooseberrylift-fake.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift::fakes {

namespace asio = boost::asio;

namespace {

class FakeService
{
public:
  explicit FakeService(const json& aSettings)
    : name_(aSettings.value("name", "service"))
  {
    Control(aSettings);
  }

  asio::awaitable<void> Handle(HttpExchange& aExchange)
  {
    const std::string path(aExchange.Request().Path());
    if (path == "/control") {
      Control(ParseJsonBody(aExchange.Request()));
      co_await SendJson(aExchange, 200, json::object());
    } else if (path == "/stats") {
      co_await SendJson(aExchange, 200, Stats());
    } else if (path == "/load") {
      json load;
      load["state"] = leaving_ ? "leaving" : "live";
      co_await SendJson(aExchange, 200, load);
    } else if (leaving_ || !retryAfter_.empty()) {
      // Rejects the request and reports that it was not executed.
      ++refused_;
      HttpResponse refusal{ .status_ = 503 };
      if (leaving_) {
        refusal.fields_.push_back({ "X-Endpoint-State", "leaving" });
      }
      if (!retryAfter_.empty()) {
        refusal.fields_.push_back({ "Retry-After", retryAfter_ });
      }
      refusal.fields_.push_back({ "X-Not-Run", "true" });
      refusal.fields_.push_back(
        { "X-Request-Id",
          std::string(aExchange.Request().Field("X-Request-Id")) });
      co_await aExchange.Send(std::move(refusal));
    } else {
      co_await Run(aExchange);
    }
  }

private:
  json Stats() const
  {
    return { { "runs", runs_ },
             { "total", total_ },
             { "refused", refused_ },
             { "bodies", bodies_ },
             { "requests", requests_ } };
  }

  void Control(const json& aBody)
  {
    delay_ = std::chrono::milliseconds(
      aBody.value("delay_ms", static_cast<int>(delay_.count())));
    leaving_ = aBody.value("leaving", leaving_);
    retryAfter_ = aBody.value("retry_after", retryAfter_);
    hang_ = aBody.value("hang", hang_);
    status_ = aBody.value("status", status_);
  }

  HttpResponse MakeResponse(const HttpRequest& aRequest, int aRuns) const
  {
    const json answer = { { "service", name_ },
                          { "method", aRequest.method_ },
                          { "path", aRequest.target_ },
                          { "body", aRequest.body_.Text() },
                          { "tag", aRequest.Field("X-Tag") },
                          { "runs", aRuns } };
    HttpResponse response = JsonResponse(status_, answer.dump());
    response.fields_.push_back(
      { "X-Request-Id", std::string(aRequest.Field("X-Request-Id")) });
    return response;
  }

  asio::awaitable<void> Run(HttpExchange& aExchange)
  {
    // The service completes a request even if the client disconnects.
    aExchange.KeepRunningWithoutCaller();
    const HttpRequest& request = aExchange.Request();
    std::string key(request.Field("Idempotency-Key"));
    if (key.empty()) {
      key = request.Field("X-Request-Id");
    }
    ++total_;
    ++requests_[std::string(request.Field("X-Request-Id"))];
    const int runs = ++runs_[key];
    bodies_[key] = request.body_.Text();
    while (hang_) {
      co_await TimerService::SleepFor(std::chrono::milliseconds(50));
    }
    if (delay_.count() > 0) {
      co_await TimerService::SleepFor(delay_);
    }
    co_await aExchange.Send(MakeResponse(request, runs));
  }

  std::string name_;
  std::chrono::milliseconds delay_{ 0 };
  bool leaving_ = false;
  std::string retryAfter_;
  bool hang_ = false;
  int status_ = 200;
  std::map<std::string, int> runs_;
  std::map<std::string, int> requests_;
  std::map<std::string, std::string> bodies_;
  std::uint64_t total_ = 0;
  std::uint64_t refused_ = 0;
};

} // namespace

int RunFakeService(const json& aSettings)
{
  asio::io_context context(1);
  FakeService service(aSettings);
  return RunFake(context, aSettings, [&service](HttpExchange& aExchange) {
    return service.Handle(aExchange);
  });
}

} // namespace gooseberrylift::fakes
