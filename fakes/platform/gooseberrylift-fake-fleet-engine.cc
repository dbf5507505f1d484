// A fake endpoint of the fleet platform. It streams events for requests with a
// token usage header, like an engine, and sends a single response to all
// others. Settings: "id", "events", "event_ms", "kv_total", "work_ms", and
// "crash_part": the process terminates 50 ms after it began to write an answer
// to a prompt that has this part, which is printed on arrival; "crash_at": what
// it has written by then, "nothing" (the default), "head" or "event" (half of
// the first one).
//   POST /control  {"fault": F, "times": n, "after_events": k, "id": new}
//     F: "cut" (after k events, within the next event), "drop" (no response),
//     "full" (503, not executed), "helper" (same, attributed to first helper),
//     "crossed" (response of another request), "status" (500, no stream),
//     "unsigned", "hang", "gap" (omits an event), "crash" (terminates the
//     process)
//   POST /control  {"limit": "1.5"}  announces a rate limit; "" removes it
//   POST /control  {"retry_after": "2"}  asks for a backoff in each response
//     that reports "full"; "" removes it
//   POST /control  {"leaving": true}  announces in all responses that it leaves
//   POST /control  {"order_ms": n}  delays the responses to orders
//   GET  /stats    arrivals, executions, active requests, helpers, orders and
//                  tickets whose lease has not ended

#include <cstdlib>
#include <iostream>
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

// Counts a request as long as its handler runs, also if it is cancelled.
class ActiveCount
{
public:
  explicit ActiveCount(int& aCount)
    : count_(aCount)
  {
    ++count_;
  }
  ~ActiveCount() { --count_; }
  ActiveCount(const ActiveCount&) = delete;
  ActiveCount& operator=(const ActiveCount&) = delete;

private:
  int& count_;
};

struct Ticket
{
  std::uint64_t tokens_ = 0;
  TimePoint until_; // the end of its lease
};

class FakeFleetEngine
{
public:
  explicit FakeFleetEngine(const json& aSettings)
    : id_(aSettings.value("id", "engine"))
    , events_(aSettings.value("events", 5))
    , eventInterval_(aSettings.value("event_ms", 5))
    , serviceTime_(aSettings.value("work_ms", 1))
    , kvTotal_(aSettings.value("kv_total", std::uint64_t{ 450'000 }))
    , crashPart_(aSettings.value("crash_part", ""))
    , crashAt_(aSettings.value("crash_at", "nothing"))
  {
  }

  asio::awaitable<void> Handle(HttpExchange& aExchange)
  {
    const std::string path(aExchange.Request().Path());
    if (path == "/control") {
      Control(ParseJsonBody(aExchange.Request()));
      co_await SendJson(aExchange, 200, json::object());
    } else if (path == "/stats") {
      co_await SendJson(aExchange, 200, Stats());
    } else if (path == names::kReportPath) {
      co_await SendJson(aExchange, 200, json::object());
    } else if (path == names::kOrderPath) {
      co_await HandleOrder(aExchange);
    } else {
      co_await HandleRequest(aExchange);
    }
  }

private:
  void Control(const json& aBody)
  {
    rateLimit_ = aBody.value("limit", rateLimit_);
    retryAfter_ = aBody.value("retry_after", retryAfter_);
    leaving_ = aBody.value("leaving", leaving_);
    orderTime_ = milliseconds(
      aBody.value("order_ms", static_cast<int>(orderTime_.count())));
    fault_ = aBody.value("fault", "");
    faultsRemaining_ = aBody.value("times", 1);
    afterEvents_ = aBody.value("after_events", 2);
    id_ = aBody.value("id", id_);
    namesItself_ = aBody.value("names_itself", namesItself_);
  }

  json Stats()
  {
    return { { "arrived", arrived_ },
             { "ran", ran_ },
             { "fields", fields_ },
             { "last_us", lastArrival_.time_since_epoch().count() / 1000 },
             { "times_ms", arrivalTimesMs_ },
             { "arrivals", arrivals_ },
             { "active", active_ },
             { "helpers", helpers_ },
             { "orders", orders_ },
             { "tickets", LiveTickets() } };
  }

  // Returns the configured fault, if any, and decrements its remaining count.
  std::string ConsumeFault()
  {
    if (fault_.empty() || faultsRemaining_ <= 0) {
      return {};
    }
    --faultsRemaining_;
    return fault_;
  }

  HttpResponse MakeResponseHead(int aStatus, const HttpRequest& aRequest) const
  {
    HttpResponse head{ .status_ = aStatus };
    head.fields_ = { { names::kAttemptId,
                       std::string(aRequest.Field(names::kAttemptId)) },
                     { names::kResponseStamp, "stamp-" + id_ } };
    if (!rateLimit_.empty()) {
      head.fields_.insert(head.fields_.begin() + 1,
                          { names::kServerLimit, rateLimit_ });
    }
    AddLeavingNotice(head);
    return head;
  }

  // Inserts between the attempt ID and the response stamp, which other code
  // expects to be the first and the last field.
  void AddLeavingNotice(HttpResponse& aHead) const
  {
    if (leaving_) {
      aHead.fields_.insert(aHead.fields_.begin() + 1,
                           { names::kServerLeaving, "1" });
    }
  }

  HttpResponse MakeNotExecutedResponse(int aStatus,
                                       const HttpRequest& aRequest) const
  {
    HttpResponse refusal = MakeResponseHead(aStatus, aRequest);
    refusal.fields_.pop_back(); // drops the response stamp
    refusal.fields_.push_back({ names::kNotExecuted, "1" });
    if (namesItself_) {
      refusal.fields_.push_back({ names::kInstanceId, id_ });
    }
    return refusal;
  }

  asio::awaitable<void> HandleOrder(HttpExchange& aExchange)
  {
    const json order = ParseJsonBody(aExchange.Request());
    const std::string id = order.value("id", "");
    const std::string op = order.value("op", "");
    ++orders_[op];
    co_await TimerService::SleepFor(orderTime_);
    HttpResponse response{ .status_ = 200 };
    const auto tokens = order.value("tokens", std::uint64_t{ 0 });
    EndExpiredTickets();
    if (op == names::kReleaseOp) {
      tickets_.erase(id);
    } else if (!tickets_.contains(id) && tokens > CountFreeTokens()) {
      response.status_ = 409;
    } else {
      const milliseconds lease(order.value("holdMs", 0));
      tickets_[id] = { .tokens_ = tokens,
                       .until_ = TimerService::Now() + lease };
    }
    response.fields_ = { { "Content-Type", "application/json" } };
    AddLeavingNotice(response);
    response.body_ = MakeFreeTokensBody().dump();
    co_await aExchange.Send(std::move(response));
  }

  void EndExpiredTickets()
  {
    std::erase_if(tickets_, [](const auto& aEntry) {
      return aEntry.second.until_ <= TimerService::Now();
    });
  }

  json LiveTickets()
  {
    EndExpiredTickets();
    json live = json::object();
    for (const auto& [id, ticket] : tickets_) {
      live[id] = ticket.tokens_;
    }
    return live;
  }

  json MakeFreeTokensBody() const
  {
    json body;
    body["free"] = CountFreeTokens();
    return body;
  }

  std::uint64_t CountFreeTokens() const
  {
    std::uint64_t used = 0;
    for (const auto& [id, ticket] : tickets_) {
      used += ticket.tokens_;
    }
    return used < kvTotal_ ? kvTotal_ - used : 0;
  }

  asio::awaitable<void> HandleRequest(HttpExchange& aExchange)
  {
    const HttpRequest& request = aExchange.Request();
    const std::string attempt(request.Field(names::kAttemptId));
    ++arrived_[attempt];
    lastArrival_ = TimerService::Now();
    arrivalTimesMs_.push_back(
      std::chrono::duration_cast<milliseconds>(lastArrival_.time_since_epoch())
        .count());
    for (const HttpField& field : request.fields_) {
      fields_[field.name_] = field.value_;
    }
    const std::string_view version = request.Field(names::kExpectVersion);
    if (request.Field(names::kExpectInstance) != id_ ||
        (!version.empty() && version != kVersion)) {
      HttpResponse refusal = MakeNotExecutedResponse(421, request);
      co_await aExchange.Send(std::move(refusal));
      co_return;
    }
    const std::string fault = ConsumeFault();
    const bool asksForBackoff = fault == "full" && !retryAfter_.empty();
    arrivals_.push_back({ { "attempt", attempt },
                          { "at_ms", arrivalTimesMs_.back() },
                          { "backoff", asksForBackoff } });
    if (fault == "full" || fault == "helper") {
      HttpResponse refusal = MakeNotExecutedResponse(503, request);
      if (asksForBackoff) {
        refusal.fields_.push_back({ names::kRetryAfter, retryAfter_ });
      }
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
    if (HasCrashingPart(request)) {
      std::cout << "crashed by " << attempt << std::endl;
      co_await CrashWhileWriting(aExchange);
    }
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
    if (request.Field(names::kTokenUsage).empty() || fault == "status") {
      co_await RespondPlain(aExchange, fault);
    } else {
      co_await RespondStream(aExchange, fault);
    }
  }

  bool HasCrashingPart(const HttpRequest& aRequest) const
  {
    const std::string parts =
      "," + std::string(aRequest.Field(names::kPrefixHash));
    return !crashPart_.empty() &&
           parts.find("," + crashPart_ + ":") != std::string::npos;
  }

  asio::awaitable<void> CrashWhileWriting(HttpExchange& aExchange) const
  {
    if (crashAt_ != "nothing") {
      HttpResponse head = MakeResponseHead(200, aExchange.Request());
      head.fields_.push_back({ "Content-Type", "text/event-stream" });
      co_await aExchange.StartStream(std::move(head));
    }
    if (crashAt_ == "event") {
      co_await aExchange.Write("id: 1\ndata: pi");
    }
    co_await TimerService::SleepFor(milliseconds(50));
    std::_Exit(1);
  }

  asio::awaitable<void> RespondPlain(HttpExchange& aExchange,
                                     std::string aFault)
  {
    const HttpRequest& request = aExchange.Request();
    const ActiveCount count(active_);
    co_await TimerService::SleepFor(serviceTime_);
    HttpResponse answer =
      MakeResponseHead(aFault == "status" ? 500 : 200, request);
    if (aFault == "crossed") {
      answer.fields_.front().value_ = "another";
    }
    if (aFault == "unsigned") {
      answer.fields_.pop_back();
    }
    answer.body_ = request.method_ + " " + request.target_ + " " +
                   request.body_.Text() + " by " + id_;
    co_await aExchange.Send(std::move(answer));
  }

  asio::awaitable<void> RespondStream(HttpExchange& aExchange,
                                      std::string aFault)
  {
    const HttpRequest& request = aExchange.Request();
    HttpResponse head = MakeResponseHead(200, request);
    head.fields_.push_back({ "Content-Type", "text/event-stream" });
    if (aFault == "crossed") {
      head.fields_.front().value_ = "another";
    }
    const int first =
      std::atoi(std::string(request.Field(names::kLastEventId)).c_str()) + 1;
    const ActiveCount count(active_);
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
      co_await TimerService::SleepFor(eventInterval_);
    }
    if (open) {
      co_await aExchange.Finish();
    }
  }

  static constexpr std::string_view kVersion = "1"; // of the model's weights

  std::string id_;
  bool namesItself_ = true; // in refusals
  int events_;
  milliseconds eventInterval_;
  milliseconds serviceTime_;
  std::uint64_t kvTotal_;
  std::string crashPart_;
  std::string crashAt_;
  // Header values; empty sends no header.
  std::string rateLimit_;
  std::string retryAfter_;
  bool leaving_ = false;
  milliseconds orderTime_{ 0 };
  std::string fault_;
  int faultsRemaining_ = 0;
  int afterEvents_ = 2;
  int active_ = 0; // requests that are being answered
  std::map<std::string, int> arrived_;
  std::map<std::string, int> ran_;
  // The headers of all requests, each with its latest value.
  std::map<std::string, std::string> fields_;
  TimePoint lastArrival_{};
  std::vector<std::int64_t> arrivalTimesMs_; // of all requests
  // The attempt, the time, and whether the response asked for a backoff.
  json arrivals_ = json::array();
  std::map<std::string, std::string> helpers_;
  std::map<std::string, int> orders_;
  std::map<std::string, Ticket> tickets_;
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
