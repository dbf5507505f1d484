// The platform's host list: shows live and leaving endpoints, some time late.
//   GET  /hosts            the list as it was lag_ms ago
//   POST /control          {"hosts": [...], "lag_ms": n, "outage": bool}
// A host: {"name", "address", "pool", "zone", "kind": "engine"|"service",
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
      Control(BodyOf(aExchange.Request()));
      co_await Reply(aExchange, 200, json::object());
      co_return;
    }
    if (outage_) {
      co_await Reply(aExchange, 503, json::object());
      co_return;
    }
    json body;
    body["hosts"] = Visible();
    co_await Reply(aExchange, 200, body);
  }

private:
  struct Version
  {
    TimePoint at_;
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

  const json& Visible()
  {
    const TimePoint limit = TimerService::Now() - lag_;
    while (versions_.size() > 1 && versions_[1].at_ <= limit) {
      versions_.pop_front();
    }
    return versions_.front().hosts_;
  }

  std::chrono::milliseconds lag_;
  bool outage_ = false;
  std::deque<Version> versions_;
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
