// An endpoint of the fleet platform: an engine for requests with a prompt, a
// plain service for all others. Settings: "id", "events", "event_ms",
// "kv_total", "work_ms".
//   POST /control  {"fault": F, "times": n, "after_events": k, "id": new}
//     F: "cut" (after k events, in the middle of the next), "drop" (no answer),
//     "full" (503, not run), "helper" (the same, for the first helper's fault),
//     "crossed" (another request's answer), "status" (500), "unsigned", "hang",
//     "gap" (leaves an event out), "crash" (ends the process)
//   POST /control  {"limit": "1.5"}  names that rate limit; "" ends it
//   GET  /stats    what arrived and when, what ran, the tickets

#include <cstdlib>
#include <map>
#include <vector>

#include "gooseberrylift-fake.h"
#include "gooseberrylift-fleet-names.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift::fakes {

namespace asio = boost::asio;
namespace names = gooseberrylift::platform;
using std::chrono::milliseconds;

namespace {

class FakeFleetEngine
{
public:
  explicit FakeFleetEngine(const json& aSettings)
    : id_(aSettings.value("id", "engine"))
    , events_(aSettings.value("events", 5))
    , eventTime_(aSettings.value("event_ms", 5))
    , workTime_(aSettings.value("work_ms", 1))
    , total_(aSettings.value("kv_total", std::uint64_t{ 450'000 }))
  {
  }

  asio::awaitable<void> Handle(HttpExchange& aExchange)
  {
    const std::string path(aExchange.Request().Path());
    if (path == "/control") {
      Control(BodyOf(aExchange.Request()));
      co_await Reply(aExchange, 200, json::object());
    } else if (path == "/stats") {
      co_await Reply(aExchange, 200, Stats());
    } else if (path == names::kOrderPath) {
      co_await HandleOrder(aExchange);
    } else {
      co_await HandleRequest(aExchange);
    }
  }

private:
  void Control(const json& aBody)
  {
    limit_ = aBody.value("limit", limit_);
    fault_ = aBody.value("fault", "");
    times_ = aBody.value("times", 1);
    afterEvents_ = aBody.value("after_events", 2);
    id_ = aBody.value("id", id_);
  }

  json Stats() const
  {
    return { { "arrived", arrived_ },
             { "ran", ran_ },
             { "fields", fields_ },
             { "last_us", last_.time_since_epoch().count() / 1000 },
             { "times_ms", timesMs_ },
             { "helpers", helpers_ },
             { "orders", orders_ },
             { "tickets", tickets_ } };
  }

  // Takes the fault, if one is set, and counts it down.
  std::string TakeFault()
  {
    if (fault_.empty() || times_ <= 0) {
      return {};
    }
    --times_;
    return fault_;
  }

  HttpResponse Head(int aStatus, const HttpRequest& aRequest) const
  {
    HttpResponse head{ .status_ = aStatus };
    head.fields_ = { { names::kAttemptId,
                       std::string(aRequest.Field(names::kAttemptId)) },
                     { names::kResponseStamp, "stamp-" + id_ } };
    if (!limit_.empty()) {
      head.fields_.insert(head.fields_.begin() + 1,
                          { names::kServerLimit, limit_ });
    }
    return head;
  }

  HttpResponse NotRun(int aStatus, const HttpRequest& aRequest) const
  {
    HttpResponse refusal = Head(aStatus, aRequest);
    refusal.fields_.pop_back(); // no signature
    refusal.fields_.push_back({ names::kNotExecuted, "1" });
    refusal.fields_.push_back({ names::kInstanceId, id_ });
    return refusal;
  }

  asio::awaitable<void> HandleOrder(HttpExchange& aExchange)
  {
    const json order = BodyOf(aExchange.Request());
    const std::string id = order.value("id", "");
    const std::string op = order.value("op", "");
    ++orders_[op];
    if (op == names::kReleaseOp) {
      tickets_.erase(id);
      co_await Reply(aExchange, 200, FreeBody());
      co_return;
    }
    const auto tokens = order.value("tokens", std::uint64_t{ 0 });
    if (!tickets_.contains(id) && tokens > Free()) {
      co_await Reply(aExchange, 409, FreeBody());
      co_return;
    }
    tickets_[id] = tokens;
    co_await Reply(aExchange, 200, FreeBody());
  }

  json FreeBody() const
  {
    json body;
    body["free"] = Free();
    return body;
  }

  std::uint64_t Free() const
  {
    std::uint64_t used = 0;
    for (const auto& [id, tokens] : tickets_) {
      used += tokens;
    }
    return used < total_ ? total_ - used : 0;
  }

  asio::awaitable<void> HandleRequest(HttpExchange& aExchange)
  {
    const HttpRequest& request = aExchange.Request();
    const std::string attempt(request.Field(names::kAttemptId));
    ++arrived_[attempt];
    last_ = TimerService::Now();
    timesMs_.push_back(
      std::chrono::duration_cast<milliseconds>(last_.time_since_epoch())
        .count());
    for (const HttpField& field : request.fields_) {
      fields_[field.name_] = field.value_;
    }
    if (request.Field(names::kExpectInstance) != id_) {
      HttpResponse refusal = NotRun(421, request);
      co_await aExchange.Send(std::move(refusal));
      co_return;
    }
    const std::string fault = TakeFault();
    if (fault == "full" || fault == "helper") {
      HttpResponse refusal = NotRun(503, request);
      if (fault == "helper") {
        const std::string helpers(request.Field(names::kHelpers));
        refusal.fields_.push_back(
          { names::kAtServer, helpers.substr(0, helpers.find_first_of("/,")) });
      }
      co_await aExchange.Send(std::move(refusal));
      co_return;
    }
    helpers_[attempt] = request.Field(names::kHelpers);
    ++ran_[attempt];
    if (fault == "hang") {
      co_await TimerService::SleepFor(std::chrono::seconds(20));
    }
    if (fault == "crash") {
      std::_Exit(1);
    }
    if (fault == "drop") {
      aExchange.Disconnect();
      co_return;
    }
    if (request.Field(names::kTokenUsage).empty()) {
      co_await AnswerPlain(aExchange, fault);
    } else {
      co_await AnswerStream(aExchange, fault);
    }
  }

  asio::awaitable<void> AnswerPlain(HttpExchange& aExchange, std::string aFault)
  {
    const HttpRequest& request = aExchange.Request();
    co_await TimerService::SleepFor(workTime_);
    HttpResponse answer = Head(aFault == "status" ? 500 : 200, request);
    if (aFault == "crossed") {
      answer.fields_.front().value_ = "another";
    }
    if (aFault == "unsigned") {
      answer.fields_.pop_back();
    }
    answer.body_ = request.method_ + " " + request.target_ + " " +
                   request.body_ + " by " + id_;
    co_await aExchange.Send(std::move(answer));
  }

  asio::awaitable<void> AnswerStream(HttpExchange& aExchange,
                                     std::string aFault)
  {
    const HttpRequest& request = aExchange.Request();
    HttpResponse head = Head(200, request);
    head.fields_.push_back({ "Content-Type", "text/event-stream" });
    if (aFault == "crossed") {
      head.fields_.front().value_ = "another";
    }
    const int first =
      std::atoi(std::string(request.Field(names::kLastEventId)).c_str()) + 1;
    bool open = co_await aExchange.StartStream(std::move(head));
    for (int event = first; open && event <= events_; ++event) {
      const std::string text =
        "id: " + std::to_string(event) + "\ndata: piece\n\n";
      if (aFault == "cut" && event > afterEvents_) {
        co_await aExchange.Write(text.substr(0, text.size() / 2));
        co_return;
      }
      if (aFault != "gap" || event != afterEvents_ + 1) {
        open = co_await aExchange.Write(text);
      }
      co_await TimerService::SleepFor(eventTime_);
    }
    if (open) {
      co_await aExchange.Finish();
    }
  }

  std::string id_;
  int events_;
  milliseconds eventTime_;
  milliseconds workTime_;
  std::uint64_t total_;
  std::string limit_; // as it stands in the answers; empty: none
  std::string fault_;
  int times_ = 0;
  int afterEvents_ = 2;
  std::map<std::string, int> arrived_;
  std::map<std::string, int> ran_;
  std::map<std::string, std::string> fields_; // of the last request
  TimePoint last_{};                          // when it came
  std::vector<std::int64_t> timesMs_;         // when each request came
  std::map<std::string, std::string> helpers_;
  std::map<std::string, int> orders_;
  std::map<std::string, std::uint64_t> tickets_;
};

} // namespace

int RunFakeFleetEngine(const json& aSettings)
{
  asio::io_context context(1);
  FakeFleetEngine engine(aSettings);
  return RunFake(context, aSettings, [&engine](HttpExchange& aExchange) {
    return engine.Handle(aExchange);
  });
}

} // namespace gooseberrylift::fakes
