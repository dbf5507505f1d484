// A fake of the platform's host list. It returns live and leaving endpoints
// with a configurable delay.
//   GET  /hosts            the list as of lag_ms ago
//   POST /control          {"hosts": [...], "lag_ms": n, "outage": bool}
// Each host is {"name", "address", "pool", "zone", "kind": "engine"|"service",
// "state": "live"|"leaving", "incarnation"}.

#include <deque>

#include "gooseberrylift-fake.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift::fakes {

namespace asio = boost::asio;

namespace {

class FakeHosts
{
public:
  explicit FakeHosts(const json& aSettings)
    : lag_(aSettings.value("lag_ms", 0))
  {
    versions_.push_back(
      { TimePoint{}, aSettings.value("hosts", json::array()) });
  }

  asio::awaitable<void> Handle(HttpExchange& aExchange)
  {
    if (aExchange.Request().Path() == "/control") {
      Control(ParseJsonBody(aExchange.Request()));
      co_await SendJson(aExchange, 200, json::object());
      co_return;
    }
    if (outage_) {
      co_await SendJson(aExchange, 503, json::object());
      co_return;
    }
    json body;
    body["hosts"] = VisibleHosts();
    co_await SendJson(aExchange, 200, body);
  }

private:
  struct HostListVersion
  {
    TimePoint publishedAt_;
    json hosts_;
  };

  void Control(const json& aBody)
  {
    outage_ = aBody.value("outage", outage_);
    lag_ = std::chrono::milliseconds(
      aBody.value("lag_ms", static_cast<int>(lag_.count())));
    if (aBody.contains("hosts")) {
      versions_.push_back({ TimerService::Now(), aBody.at("hosts") });
    }
  }

  const json& VisibleHosts()
  {
    const TimePoint cutoff = TimerService::Now() - lag_;
    while (versions_.size() > 1 && versions_[1].publishedAt_ <= cutoff) {
      versions_.pop_front();
    }
    return versions_.front().hosts_;
  }

  std::chrono::milliseconds lag_;
  bool outage_ = false;
  std::deque<HostListVersion> versions_;
};

} // namespace

int RunFakeHosts(const json& aSettings)
{
  asio::io_context context(1);
  FakeHosts hosts(aSettings);
  return RunFake(context, aSettings, [&hosts](HttpExchange& aExchange) {
    return hosts.Handle(aExchange);
  });
}

} // namespace gooseberrylift::fakes
