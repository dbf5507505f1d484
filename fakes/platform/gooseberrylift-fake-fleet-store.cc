// A fake of the fleet platform's store, with the failures that its
// users report.
//   GET|POST /-/objects/KIND, GET|PUT|DELETE /-/objects/KIND/NAME
//   POST /control  {"outage", "delay_ms", "lose_answers": n, "mute_ms",
//                   "forget_history": true, "page": n,
//                   "any_age_lags": [n, ...] (pages of lists that allow stale
//                   data lag by these numbers of revisions, in turn),
//                   "put": {"KIND/NAME": spec}, "remove": ["KIND/NAME"],
//                   "outage_kinds": ["KIND"] (calls for these get 503),
//                   "replace": {"PLACEHOLDER": text} (in all objects sent, for
//                   text that no JSON value represents),
//                   "form_query": true (a '+' in a query stands for a blank),
//                   "strict_after": true (a list that continues after a name
//                   that needs percent-encoding gets 400)}
//   GET  /stats    number of calls by type
// The text kInvalidUtf8Placeholder in an object is sent as invalid UTF-8. A
// replacement may contain the quotes of a string and so stand for any value.
// lose_answers: the next n calls are executed, but no response is sent.

#include <map>
#include <set>
#include <vector>

#include "gooseberrylift-fake.h"
#include "gooseberrylift-fleet-names.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"
#include "gooseberrylift/internal/gooseberrylift-uri.h"

namespace gooseberrylift::fakes {

namespace asio = boost::asio;
namespace names = gooseberrylift::platform;
using std::chrono::milliseconds;

namespace {

// Placeholder for bytes that are not valid UTF-8, which JSON cannot represent.
constexpr const char* kInvalidUtf8Placeholder = "ODD-BYTES";

void ReplaceAll(std::string& aText,
                std::string_view aPlaceholder,
                std::string_view aReplacement)
{
  std::size_t at = aText.find(aPlaceholder);
  while (at != std::string::npos) {
    aText.replace(at, aPlaceholder.size(), aReplacement);
    at = aText.find(aPlaceholder, at + aReplacement.size());
  }
}

struct Change
{
  std::uint64_t revision_ = 0;
  std::string kind_;
  bool removed_ = false;
  json object_;
};

class FakeFleetStore
{
public:
  explicit FakeFleetStore(const json& aSettings) { Control(aSettings); }

  asio::awaitable<void> Handle(HttpExchange& aExchange)
  {
    const HttpRequest& request = aExchange.Request();
    const std::string path(request.Path());
    if (path == "/control") {
      Control(ParseJsonBody(request));
      co_await SendJson(aExchange, 200, json::object());
      co_return;
    }
    if (path == "/stats") {
      co_await SendJson(aExchange, 200, json(counts_));
      co_return;
    }
    if (!HasValidTarget(request)) {
      ++counts_["invalid"];
      co_await SendJson(aExchange, 400, json::object());
      co_return;
    }
    ++counts_[request.method_];
    if (delay_.count() > 0) {
      co_await TimerService::SleepFor(delay_);
    }
    const std::string key =
      path.substr(std::string(names::kObjectsPath).size());
    if (outage_ || outageKinds_.contains(key.substr(0, key.find('/')))) {
      ++counts_["refused"];
      co_await SendJson(aExchange, 503, json::object());
      co_return;
    }
    co_await Serve(aExchange, key);
  }

private:
  asio::awaitable<void> Serve(HttpExchange& aExchange, std::string aKey)
  {
    const HttpRequest& request = aExchange.Request();
    const std::size_t slash = aKey.find('/');
    const std::string kind = aKey.substr(0, slash);
    const std::string name =
      slash == std::string::npos
        ? ""
        : DecodeUriComponent(aKey.substr(slash + 1)).value_or("");
    if (request.method_ == "GET" && !request.QueryParameter("watch").empty()) {
      co_await Watch(aExchange, kind);
      co_return;
    }
    json body = json::object();
    int status = 200;
    if (request.method_ == "GET") {
      status =
        name.empty() ? List(request, kind, body) : Find(kind, name, body);
    } else {
      status = Write(request, kind, name, body);
    }
    if (loseAnswers_ > 0) {
      --loseAnswers_;
      ++counts_["lost"];
      co_await TimerService::SleepFor(std::chrono::seconds(30));
      co_return;
    }
    co_await SendReplaced(aExchange, status, body);
  }

  asio::awaitable<void> SendReplaced(HttpExchange& aExchange,
                                     int aStatus,
                                     json aBody)
  {
    std::string text = aBody.dump();
    for (const auto& [placeholder, replacement] : replacements_) {
      ReplaceAll(text, placeholder, replacement);
    }
    co_await aExchange.Send(JsonResponse(aStatus, std::move(text)));
  }

  int List(const HttpRequest& aRequest, const std::string& aKind, json& aBody)
  {
    const bool allowStale =
      !aRequest.QueryParameter(names::kAllowStale).empty();
    ++counts_[(allowStale ? "list-any-age " : "list ") + aKind];
    const std::string after = ParameterOf(aRequest, "after");
    if (isAfterStrict_ && !IsUnreserved(after)) {
      return 400;
    }
    json items = json::array();
    bool more = false;
    const std::uint64_t lag = allowStale ? NextLag() : 0;
    const std::uint64_t asOf = revision_ > lag ? revision_ - lag : 0;
    for (const auto& [name, object] : ObjectsAsOf(aKind, asOf)) {
      if (name <= after && !after.empty()) {
        continue;
      }
      if (items.size() >= pageSize_) {
        more = true;
        break;
      }
      items.push_back(object);
    }
    aBody[names::kItems] = items;
    aBody[names::kHasMore] = more;
    aBody[names::kAsOf] = revision_;
    return 200;
  }

  std::string ParameterOf(HttpRequest aRequest, const char* aName) const
  {
    if (isFormQuery_) {
      ReplaceAll(aRequest.target_, "+", "%20");
    }
    return aRequest.QueryParameter(aName);
  }

  std::uint64_t NextLag()
  {
    return anyAgeLags_.empty()
             ? 0
             : anyAgeLags_[anyAgeLists_++ % anyAgeLags_.size()];
  }

  std::map<std::string, json> ObjectsAsOf(const std::string& aKind,
                                          std::uint64_t aRevision)
  {
    if (aRevision >= revision_) {
      return objects_[aKind];
    }
    std::map<std::string, json> objects;
    for (const Change& change : history_) {
      if (change.kind_ != aKind || change.revision_ > aRevision) {
        continue;
      }
      const std::string name = change.object_[names::kMetadata][names::kName];
      if (change.removed_) {
        objects.erase(name);
      } else {
        objects[name] = change.object_;
      }
    }
    return objects;
  }

  int Find(const std::string& aKind, const std::string& aName, json& aBody)
  {
    const auto found = objects_[aKind].find(aName);
    if (found == objects_[aKind].end()) {
      return 404;
    }
    aBody = found->second;
    return 200;
  }

  int Write(const HttpRequest& aRequest,
            const std::string& aKind,
            std::string aName,
            json& aBody)
  {
    const json body = ParseJsonBody(aRequest);
    const json metadata = body.value(names::kMetadata, json::object());
    const bool creates = aRequest.method_ == "POST";
    if (creates) {
      aName = metadata.value(names::kName, "");
    }
    auto& objects = objects_[aKind];
    const auto found = objects.find(aName);
    if (creates == (found != objects.end())) {
      aBody = creates ? found->second : json::object();
      return creates ? 409 : 404;
    }
    const auto expected = metadata.value(names::kRevision, std::uint64_t{ 0 });
    if (!creates && expected != 0 &&
        expected != found->second[names::kMetadata][names::kRevision]) {
      aBody = found->second;
      return 409;
    }
    if (aRequest.method_ == "DELETE") {
      Remove(aKind, aName);
      return 200;
    }
    aBody = Put(aKind, aName, body.value(names::kSpec, json::object()));
    return 200;
  }

  asio::awaitable<void> Watch(HttpExchange& aExchange, std::string aKind)
  {
    const HttpRequest& request = aExchange.Request();
    const auto from = std::stoull("0" + request.QueryParameter("watch"));
    const auto wait = std::atoi(request.QueryParameter("waitMs").c_str());
    const TimePoint end = TimerService::Now() + milliseconds(wait);
    while (TimerService::Now() < end &&
           (AreWatchesMuted() || !HasChanges(aKind, from))) {
      if (outage_) {
        co_return; // closes the pending watch
      }
      co_await TimerService::SleepFor(milliseconds(5));
    }
    json body;
    if (from < oldestRevision_) {
      co_await SendJson(aExchange, 410, json::object());
      co_return;
    }
    json events = json::array();
    for (const Change& change : history_) {
      if (!AreWatchesMuted() && change.kind_ == aKind &&
          change.revision_ > from) {
        events.push_back({ { names::kRemoved, change.removed_ },
                           { names::kObject, change.object_ } });
      }
    }
    body[names::kEvents] = events;
    body[names::kAsOf] = AreWatchesMuted() ? from : revision_;
    co_await SendReplaced(aExchange, 200, body);
  }

  bool AreWatchesMuted() const { return TimerService::Now() < muteUntil_; }

  bool HasChanges(const std::string& aKind, std::uint64_t aFrom) const
  {
    for (const Change& change : history_) {
      if (change.kind_ == aKind && change.revision_ > aFrom) {
        return true;
      }
    }
    return aFrom < oldestRevision_;
  }

  const json& Put(const std::string& aKind,
                  const std::string& aName,
                  const json& aSpec)
  {
    json& object = objects_[aKind][aName];
    object[names::kMetadata] = { { names::kName, aName },
                                 { names::kRevision, ++revision_ } };
    object[names::kSpec] = aSpec;
    history_.push_back(
      { .revision_ = revision_, .kind_ = aKind, .object_ = object });
    return object;
  }

  void Remove(const std::string& aKind, const std::string& aName)
  {
    json object = objects_[aKind][aName];
    objects_[aKind].erase(aName);
    ++revision_;
    history_.push_back({ .revision_ = revision_,
                         .kind_ = aKind,
                         .removed_ = true,
                         .object_ = std::move(object) });
  }

  void Control(const json& aBody)
  {
    outage_ = aBody.value("outage", outage_);
    delay_ =
      milliseconds(aBody.value("delay_ms", static_cast<int>(delay_.count())));
    loseAnswers_ = aBody.value("lose_answers", loseAnswers_);
    pageSize_ = aBody.value("page", pageSize_);
    if (aBody.contains("mute_ms")) {
      muteUntil_ = TimerService::Now() + milliseconds(aBody.at("mute_ms"));
    }
    const json put = aBody.value("put", json::object());
    for (const auto& [key, spec] : put.items()) {
      const std::size_t slash = key.find('/');
      Put(key.substr(0, slash), key.substr(slash + 1), spec);
    }
    for (const std::string key : aBody.value("remove", json::array())) {
      const std::size_t slash = key.find('/');
      Remove(key.substr(0, slash), key.substr(slash + 1));
    }
    isAfterStrict_ = aBody.value("strict_after", isAfterStrict_);
    isFormQuery_ = aBody.value("form_query", isFormQuery_);
    outageKinds_ = aBody.value("outage_kinds", outageKinds_);
    const json replacements = aBody.value("replace", json::object());
    for (const auto& [placeholder, text] : replacements.items()) {
      replacements_[placeholder] = text;
    }
    if (aBody.contains("any_age_lags")) {
      anyAgeLags_ = aBody.at("any_age_lags").get<std::vector<std::uint64_t>>();
      anyAgeLists_ = 0;
    }
    if (aBody.value("forget_history", false)) {
      oldestRevision_ = revision_;
    }
  }

  std::map<std::string, std::map<std::string, json>> objects_;
  std::vector<Change> history_;
  std::map<std::string, std::string> replacements_{ { kInvalidUtf8Placeholder,
                                                      "\xff\xfe\xc3" } };
  std::vector<std::uint64_t> anyAgeLags_;
  std::size_t anyAgeLists_ = 0; // answered
  std::uint64_t revision_ = 1;
  std::uint64_t oldestRevision_ = 0; // watches from an earlier revision get 410
  std::map<std::string, int> counts_;
  bool outage_ = false;
  std::set<std::string> outageKinds_;
  milliseconds delay_{ 0 };
  int loseAnswers_ = 0;
  std::size_t pageSize_ = 500;
  bool isFormQuery_ = false;
  bool isAfterStrict_ = false;
  TimePoint muteUntil_{};
};

} // namespace

int RunFakeFleetStore(const json& aSettings)
{
  asio::io_context context(1);
  FakeFleetStore store(aSettings);
  return RunFake(context, aSettings, [&store](HttpExchange& aExchange) {
    return store.Handle(aExchange);
  });
}

} // namespace gooseberrylift::fakes
