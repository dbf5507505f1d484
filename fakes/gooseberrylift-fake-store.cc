// The platform's object API, in the style of the Kubernetes API.
//   GET    /apis/gooseberrylift.dev/v1/KIND               list
//   GET    /apis/gooseberrylift.dev/v1/KIND?watch=true&resourceVersion=N
//   GET    /apis/gooseberrylift.dev/v1/KIND/NAME          read
//   POST   /apis/gooseberrylift.dev/v1/KIND               create if absent
//   PUT    /apis/gooseberrylift.dev/v1/KIND/NAME          conditional update
//   DELETE /apis/gooseberrylift.dev/v1/KIND/NAME          (?resourceVersion=N)
//   POST   /control  {"outage", "delay_ms", "lose_answers": n, "hang",
//                     "writes_per_second", "reads_per_second",
//                     "mute_watches", "forget_history", "replace":
//                     {"KIND/NAME": object}}
//   GET    /stats    counts by kind of call
// A lost answer: the write takes effect and the connection then closes.

#include <deque>
#include <map>

#include "gooseberrylift-fake.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift::fakes {

namespace asio = boost::asio;

namespace {

constexpr std::string_view kRoot = "/apis/gooseberrylift.dev/v1/";
constexpr std::size_t kHistory = 1000;
constexpr std::size_t kMaxObjectBytes = 1024 * 1024;

// Lets so many calls through each second.
class RateGate
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
      Control(BodyOf(aExchange.Request()));
      co_await Reply(aExchange, 200, json::object());
      co_return;
    }
    if (path == "/stats") {
      co_await Reply(aExchange, 200, json(counts_));
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
      co_await Watch(aExchange, path.substr(kRoot.size()));
      co_return;
    }
    Answer answer = Failure(503, "ServiceUnavailable");
    if (!outage_) {
      answer = path.starts_with(kRoot)
                 ? Route(request, path.substr(kRoot.size()))
                 : Failure(404, "NotFound");
    }
    if (answer.wrote_ && loseAnswers_ > 0) {
      // The write has taken effect, but nobody is told.
      --loseAnswers_;
      ++counts_["lost_answer"];
      co_await aExchange.StartStream(TextResponse(200, ""));
      co_return; // never finished, so the connection is cut
    }
    co_await Reply(aExchange, answer.status_, answer.body_);
  }

private:
  struct Answer
  {
    int status_;
    json body_;
    bool wrote_ = false;
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
    cutWatches_ += aBody.value("cut_watches", false) ? 1 : 0;
    if (aBody.value("forget_history", false)) {
      history_.clear();
      ++cutWatches_;
    }
    const json replaced = aBody.value("replace", json::object());
    for (const auto& [path, object] : replaced.items()) {
      const std::size_t slash = path.find('/');
      Put(path.substr(0, slash), path.substr(slash + 1), object, "MODIFIED");
    }
  }

  // Answers everything but a watch.
  Answer Route(const HttpRequest& aRequest, const std::string& aPath)
  {
    const std::size_t slash = aPath.find('/');
    const std::string kind = aPath.substr(0, slash);
    const bool whole = slash == std::string::npos;
    const std::string name = whole ? "" : aPath.substr(slash + 1);
    const bool reads = aRequest.method_ == "GET";
    ++counts_[!reads ? "write" : whole ? "list" : "read"];
    if (!reads) {
      ++counts_["write_" + kind];
    }
    const bool allowed =
      reads ? reads_.Allow(readsPerSecond_) : writes_.Allow(writesPerSecond_);
    if (!allowed) {
      ++counts_["throttled"];
      return Failure(429, "TooManyRequests");
    }
    if (!reads) {
      return Write(aRequest, kind, name);
    }
    return whole ? List(kind) : Read(kind, name);
  }

  Answer List(const std::string& aKind)
  {
    json body = json::object();
    body["metadata"]["resourceVersion"] = std::to_string(version_);
    body["items"] = json::array();
    for (const auto& [name, object] : objects_[aKind]) {
      body["items"].push_back(object);
    }
    return { 200, body };
  }

  Answer Read(const std::string& aKind, const std::string& aName)
  {
    const auto found = objects_[aKind].find(aName);
    return found == objects_[aKind].end() ? Failure(404, "NotFound")
                                          : Answer{ 200, found->second };
  }

  Answer Write(const HttpRequest& aRequest,
               const std::string& aKind,
               std::string aName)
  {
    json body = json::parse(aRequest.body_, nullptr, false);
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
    if (aRequest.body_.size() > kMaxObjectBytes) {
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
      Record(aKind, "DELETED", old);
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
    Record(aKind, aEvent, stored);
    return stored;
  }

  void Record(const std::string& aKind, const char* aType, const json& aObject)
  {
    ++version_;
    json object = aObject;
    object["metadata"]["resourceVersion"] = std::to_string(version_);
    history_.push_back(
      { version_, aKind, { { "type", aType }, { "object", object } } });
    if (history_.size() > kHistory) {
      history_.pop_front();
    }
  }

  asio::awaitable<void> Watch(HttpExchange& aExchange, std::string aKind)
  {
    const HttpRequest& request = aExchange.Request();
    std::uint64_t seen = std::strtoull(
      std::string(request.QueryParameter("resourceVersion")).c_str(),
      nullptr,
      10);
    const std::uint64_t oldest =
      history_.empty() ? version_ : history_.front().version_ - 1;
    if (seen < oldest) {
      const Answer expired = Failure(410, "Expired");
      co_await Reply(aExchange, expired.status_, expired.body_);
      co_return;
    }
    const int cuts = cutWatches_;
    const std::string limit(request.QueryParameter("timeoutSeconds"));
    const TimePoint end =
      TimerService::Now() +
      std::chrono::seconds(limit.empty() ? 300 : std::atoi(limit.c_str()));
    co_await aExchange.StartStream(JsonResponse(200, ""));
    while (TimerService::Now() < end) {
      if ((outage_ && !muteWatches_) || hang_ || cuts != cutWatches_) {
        co_return;
      }
      std::string lines;
      for (const Event& event : history_) {
        if (event.version_ > seen && !muteWatches_) {
          seen = event.version_;
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

  static Answer Failure(int aStatus, const char* aReason)
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
  int cutWatches_ = 0;
  bool muteWatches_ = false; // open, but silent
  double writesPerSecond_ = 400;
  double readsPerSecond_ = 2000;
  std::chrono::milliseconds delay_{ 2 };
  RateGate writes_;
  RateGate reads_;
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
