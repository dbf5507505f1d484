// A fake of the platform's object API, modeled on the Kubernetes API.
//   GET    /apis/gooseberrylift.dev/v1/KIND               list
//   GET    /apis/gooseberrylift.dev/v1/KIND?watch=true&resourceVersion=N
//   GET    /apis/gooseberrylift.dev/v1/KIND/NAME          read
//   POST   /apis/gooseberrylift.dev/v1/KIND               creates if absent
//   PUT    /apis/gooseberrylift.dev/v1/KIND/NAME          conditional update
//   DELETE /apis/gooseberrylift.dev/v1/KIND/NAME          (?resourceVersion=N)
//   POST   /control  {"outage", "delay_ms", "lose_answers": n, "hang",
//                     "writes_per_second", "reads_per_second",
//                     "mute_watches", "forget_history", "replace":
//                     {"KIND/NAME": object}}
//   GET    /stats    number of calls by type
// lose_answers: the next n writes are committed, but the connection is closed
// without a complete response.
// mute_watches: watches stay open but deliver no events.

#include <deque>
#include <map>

#include "gooseberrylift-fake.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"
#include "gooseberrylift/internal/gooseberrylift-uri.h"

namespace gooseberrylift::fakes {

namespace asio = boost::asio;

namespace {

constexpr std::string_view kApiPath = "/apis/gooseberrylift.dev/v1/";
constexpr std::size_t kMaxHistoryEvents = 1000;
constexpr std::size_t kMaxObjectBytes = 1024 * 1024;

// Limits calls to a rate per second.
class TokenBucket
{
public:
  bool Allow(double aPerSecond)
  {
    const TimePoint now = TimerService::Now();
    const std::chrono::duration<double> passed = now - last_;
    last_ = now;
    tokens_ = std::min(aPerSecond, tokens_ + passed.count() * aPerSecond);
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

private:
  TimePoint last_ = TimerService::Now();
  double tokens_ = 100;
};

class FakeStore
{
public:
  explicit FakeStore(const json& aSettings)
  {
    Control(aSettings);
    const json objects = aSettings.value("objects", json::object());
    for (const auto& [path, spec] : objects.items()) {
      const std::size_t slash = path.find('/');
      Put(path.substr(0, slash),
          path.substr(slash + 1),
          { { "spec", spec } },
          "ADDED");
    }
  }

  asio::awaitable<void> Handle(HttpExchange& aExchange)
  {
    const std::string path(aExchange.Request().Path());
    if (path == "/control") {
      Control(ParseJsonBody(aExchange.Request()));
      co_await SendJson(aExchange, 200, json::object());
      co_return;
    }
    if (path == "/stats") {
      co_await SendJson(aExchange, 200, json(counts_));
      co_return;
    }
    if (!HasValidTarget(aExchange.Request())) {
      ++counts_["invalid"];
      co_await SendJson(aExchange, 400, json::object());
      co_return;
    }
    while (hang_) {
      co_await TimerService::SleepFor(std::chrono::milliseconds(20));
    }
    if (delay_.count() > 0) {
      co_await TimerService::SleepFor(delay_);
    }
    const HttpRequest& request = aExchange.Request();
    if (!outage_ && !request.QueryParameter("watch").empty()) {
      ++counts_["watch"];
      co_await Watch(aExchange, path.substr(kApiPath.size()));
      co_return;
    }
    StoreResponse response = Failure(503, "ServiceUnavailable");
    if (!outage_) {
      response = path.starts_with(kApiPath)
                   ? Route(request, path.substr(kApiPath.size()))
                   : Failure(404, "NotFound");
    }
    if (response.committed_ && loseAnswers_ > 0) {
      // The write is committed, but the client receives no complete response.
      --loseAnswers_;
      ++counts_["lost_answer"];
      co_await aExchange.StartStream(TextResponse(200, ""));
      co_return; // an unfinished stream closes the connection
    }
    co_await SendJson(aExchange, response.status_, response.body_);
  }

private:
  struct StoreResponse
  {
    int status_;
    json body_;
    bool committed_ = false;
  };

  struct Event
  {
    std::uint64_t version_;
    std::string kind_;
    json body_;
  };

  void Control(const json& aBody)
  {
    outage_ = aBody.value("outage", outage_);
    hang_ = aBody.value("hang", hang_);
    delay_ = std::chrono::milliseconds(
      aBody.value("delay_ms", static_cast<int>(delay_.count())));
    loseAnswers_ = aBody.value("lose_answers", loseAnswers_);
    writesPerSecond_ = aBody.value("writes_per_second", writesPerSecond_);
    readsPerSecond_ = aBody.value("reads_per_second", readsPerSecond_);
    muteWatches_ = aBody.value("mute_watches", muteWatches_);
    watchCutCount_ += aBody.value("cut_watches", false) ? 1 : 0;
    if (aBody.value("forget_history", false)) {
      history_.clear();
      ++watchCutCount_;
    }
    const json replaced = aBody.value("replace", json::object());
    for (const auto& [path, object] : replaced.items()) {
      const std::size_t slash = path.find('/');
      Put(path.substr(0, slash), path.substr(slash + 1), object, "MODIFIED");
    }
  }

  // Handles all requests except watches.
  StoreResponse Route(const HttpRequest& aRequest, const std::string& aPath)
  {
    const std::size_t slash = aPath.find('/');
    const std::string kind = aPath.substr(0, slash);
    const bool isCollection = slash == std::string::npos;
    const std::string name =
      isCollection ? ""
                   : DecodeUriComponent(aPath.substr(slash + 1)).value_or("");
    const bool isRead = aRequest.method_ == "GET";
    ++counts_[!isRead ? "write" : isCollection ? "list" : "read"];
    if (!isRead) {
      ++counts_["write_" + kind];
    }
    const bool allowed = isRead ? readLimiter_.Allow(readsPerSecond_)
                                : writeLimiter_.Allow(writesPerSecond_);
    if (!allowed) {
      ++counts_["throttled"];
      return Failure(429, "TooManyRequests");
    }
    if (!isRead) {
      return Write(aRequest, kind, name);
    }
    return isCollection ? List(kind) : Read(kind, name);
  }

  StoreResponse List(const std::string& aKind)
  {
    json body = json::object();
    body["metadata"]["resourceVersion"] = std::to_string(version_);
    body["items"] = json::array();
    for (const auto& [name, object] : objects_[aKind]) {
      body["items"].push_back(object);
    }
    return { 200, body };
  }

  StoreResponse Read(const std::string& aKind, const std::string& aName)
  {
    const auto found = objects_[aKind].find(aName);
    return found == objects_[aKind].end() ? Failure(404, "NotFound")
                                          : StoreResponse{ 200, found->second };
  }

  StoreResponse Write(const HttpRequest& aRequest,
                      const std::string& aKind,
                      std::string aName)
  {
    json body = json::parse(aRequest.body_.Text(), nullptr, false);
    if (!body.is_object()) {
      body = json::object();
    }
    if (aRequest.method_ == "POST") {
      aName = body.value("/metadata/name"_json_pointer, "");
    }
    const auto found = objects_[aKind].find(aName);
    const bool exists = found != objects_[aKind].end();
    std::string expected =
      body.value("/metadata/resourceVersion"_json_pointer, "");
    if (aRequest.method_ == "DELETE") {
      expected = aRequest.QueryParameter("resourceVersion");
    }
    if (aRequest.body_.Text().size() > kMaxObjectBytes) {
      return Failure(413, "RequestEntityTooLarge");
    }
    if (aRequest.method_ == "POST" && exists) {
      return Failure(409, "AlreadyExists");
    }
    if (aRequest.method_ != "POST" && !exists) {
      return Failure(404, "NotFound");
    }
    if (exists && !expected.empty() &&
        expected != found->second["metadata"]["resourceVersion"]) {
      ++counts_["conflict"];
      return Failure(409, "Conflict");
    }
    if (aRequest.method_ == "DELETE") {
      const json old = found->second;
      objects_[aKind].erase(found);
      RecordEvent(aKind, "DELETED", old);
      return { 200, old, true };
    }
    const json& stored =
      Put(aKind, aName, std::move(body), exists ? "MODIFIED" : "ADDED");
    return { exists ? 200 : 201, stored, true };
  }

  const json& Put(const std::string& aKind,
                  const std::string& aName,
                  json aObject,
                  const char* aEvent)
  {
    aObject["kind"] = aKind;
    aObject["metadata"]["name"] = aName;
    aObject["metadata"]["resourceVersion"] = std::to_string(version_ + 1);
    json& stored = objects_[aKind][aName];
    stored = std::move(aObject);
    RecordEvent(aKind, aEvent, stored);
    return stored;
  }

  void RecordEvent(const std::string& aKind,
                   const char* aType,
                   const json& aObject)
  {
    ++version_;
    json object = aObject;
    object["metadata"]["resourceVersion"] = std::to_string(version_);
    history_.push_back(
      { version_, aKind, { { "type", aType }, { "object", object } } });
    if (history_.size() > kMaxHistoryEvents) {
      history_.pop_front();
    }
  }

  asio::awaitable<void> Watch(HttpExchange& aExchange, std::string aKind)
  {
    const HttpRequest& request = aExchange.Request();
    std::uint64_t lastSentVersion = std::strtoull(
      request.QueryParameter("resourceVersion").c_str(), nullptr, 10);
    const std::uint64_t oldest =
      history_.empty() ? version_ : history_.front().version_ - 1;
    if (lastSentVersion < oldest) {
      const StoreResponse expired = Failure(410, "Expired");
      co_await SendJson(aExchange, expired.status_, expired.body_);
      co_return;
    }
    const int initialCutCount = watchCutCount_;
    const std::string limit = request.QueryParameter("timeoutSeconds");
    const TimePoint end =
      TimerService::Now() +
      std::chrono::seconds(limit.empty() ? 300 : std::atoi(limit.c_str()));
    co_await aExchange.StartStream(JsonResponse(200, ""));
    while (TimerService::Now() < end) {
      if ((outage_ && !muteWatches_) || hang_ ||
          initialCutCount != watchCutCount_) {
        co_return;
      }
      std::string lines;
      for (const Event& event : history_) {
        if (event.version_ > lastSentVersion && !muteWatches_) {
          lastSentVersion = event.version_;
          lines += event.kind_ == aKind ? event.body_.dump() + "\n" : "";
        }
      }
      const bool written = co_await aExchange.Write(lines);
      if (!written) {
        co_return;
      }
      co_await TimerService::SleepFor(std::chrono::milliseconds(5));
    }
    co_await aExchange.Finish();
  }

  static StoreResponse Failure(int aStatus, const char* aReason)
  {
    return { aStatus,
             { { "kind", "Status" },
               { "status", "Failure" },
               { "reason", aReason },
               { "code", aStatus } } };
  }

  bool outage_ = false;
  bool hang_ = false;
  int loseAnswers_ = 0;
  int watchCutCount_ = 0;
  bool muteWatches_ = false; // keep watches open without events
  double writesPerSecond_ = 400;
  double readsPerSecond_ = 2000;
  std::chrono::milliseconds delay_{ 2 };
  TokenBucket writeLimiter_;
  TokenBucket readLimiter_;
  std::uint64_t version_ = 1;
  std::map<std::string, std::map<std::string, json>> objects_;
  std::deque<Event> history_;
  std::map<std::string, std::uint64_t> counts_;
};

} // namespace

int RunFakeStore(const json& aSettings)
{
  asio::io_context context(1);
  FakeStore store(aSettings);
  return RunFake(context, aSettings, [&store](HttpExchange& aExchange) {
    return store.Handle(aExchange);
  });
}

} // namespace gooseberrylift::fakes
