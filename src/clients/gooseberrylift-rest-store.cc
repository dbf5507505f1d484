#include "gooseberrylift/internal/gooseberrylift-rest-store.h"

#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr std::string_view kRoot = "/apis/gooseberrylift.dev/v1/";

std::string PathOf(const std::string& aKind)
{
  return std::string(kRoot) + aKind;
}

std::string PathOf(const std::string& aKind, const std::string& aName)
{
  return PathOf(aKind) + "/" + aName;
}

StoreObject ObjectOf(const json& aBody)
{
  return { .kind_ = aBody.value("kind", ""),
           .name_ = aBody.value("/metadata/name"_json_pointer, ""),
           .version_ =
             aBody.value("/metadata/resourceVersion"_json_pointer, ""),
           .spec_ = aBody.value("spec", json::object()) };
}

std::string BodyOf(const StoreObject& aObject)
{
  json metadata = { { "name", aObject.name_ } };
  if (!aObject.version_.empty()) {
    metadata["resourceVersion"] = aObject.version_;
  }
  return json{
    { "kind", aObject.kind_ },
    { "metadata", metadata },
    { "spec", aObject.spec_ }
  }.dump();
}

Error Unavailable(std::string aText, RanState aRan)
{
  return { .code_ = ResultCode::kStoreUnavailable,
           .text_ = std::move(aText),
           .ran_ = aRan,
           .retryAfter_ = std::chrono::milliseconds(1000) };
}

// An answer with a status is a proof that a refused write had no effect; a 5xx
// is none, since it may come from something in between.
std::optional<Error> FaultOf(const HttpResponse& aResponse)
{
  switch (aResponse.status_) {
    case 200:
    case 201:
      return std::nullopt;
    case 404:
      return Error{ .code_ = ResultCode::kStoreNotFound };
    case 409:
      return Error{ .code_ = ResultCode::kStoreConflict };
    case 410:
      return Error{ .code_ = ResultCode::kStoreGone };
    case 429:
      return Unavailable("the store is over its rate", RanState::kNo);
    default:
      return Unavailable("status " + std::to_string(aResponse.status_),
                         aResponse.status_ < 500 ? RanState::kNo
                                                 : RanState::kUnknown);
  }
}

} // namespace

RestStore::RestStore(HttpClient& aClient, Options aOptions)
  : client_(aClient)
  , options_(std::move(aOptions))
{
}

const std::string& RestStore::Address() const
{
  return options_.addresses_[current_ % options_.addresses_.size()];
}

void RestStore::Count(std::string_view aKind) const
{
  if (options_.onCall_) {
    options_.onCall_(aKind);
  }
}

asio::awaitable<Outcome<json>> RestStore::Call(HttpRequest aRequest,
                                               TimePoint aDeadline)
{
  auto response =
    co_await client_.Fetch(Address(), std::move(aRequest), aDeadline);
  if (!response) {
    ++current_;
    co_return Unavailable(response.error().text_, response.error().ran_);
  }
  if (const auto fault = FaultOf(response.value())) {
    co_return *fault;
  }
  json body = json::parse(response.value().body_, nullptr, false);
  if (body.is_discarded()) {
    co_return Unavailable("the answer is not JSON", RanState::kUnknown);
  }
  co_return body;
}

asio::awaitable<Outcome<StoreObject>> RestStore::Read(std::string aKind,
                                                      std::string aName,
                                                      TimePoint aDeadline)
{
  Count("read");
  const auto body = co_await Call(MakeRequest(PathOf(aKind, aName)), aDeadline);
  if (!body) {
    co_return body.error();
  }
  co_return ObjectOf(body.value());
}

asio::awaitable<Outcome<StoreList>> RestStore::List(std::string aKind,
                                                    TimePoint aDeadline)
{
  Count("list");
  const auto body = co_await Call(MakeRequest(PathOf(aKind)), aDeadline);
  if (!body) {
    co_return body.error();
  }
  StoreList list;
  list.version_ =
    body.value().value("/metadata/resourceVersion"_json_pointer, "");
  for (const json& item : body.value().value("items", json::array())) {
    list.items_.push_back(ObjectOf(item));
  }
  co_return list;
}

asio::awaitable<Outcome<StoreObject>> RestStore::Create(StoreObject aObject,
                                                        TimePoint aDeadline)
{
  Count("write");
  const auto body = co_await Call(
    MakeRequest("POST", PathOf(aObject.kind_), BodyOf(aObject)), aDeadline);
  if (!body) {
    co_return body.error();
  }
  co_return ObjectOf(body.value());
}

asio::awaitable<Outcome<StoreObject>> RestStore::Update(StoreObject aObject,
                                                        TimePoint aDeadline)
{
  Count("write");
  const auto body = co_await Call(
    MakeRequest("PUT", PathOf(aObject.kind_, aObject.name_), BodyOf(aObject)),
    aDeadline);
  if (!body) {
    co_return body.error();
  }
  co_return ObjectOf(body.value());
}

asio::awaitable<Outcome<void>> RestStore::Delete(std::string aKind,
                                                 std::string aName,
                                                 std::string aVersion,
                                                 TimePoint aDeadline)
{
  Count("write");
  const auto body = co_await Call(
    MakeRequest(
      "DELETE", PathOf(aKind, aName) + "?resourceVersion=" + aVersion, {}),
    aDeadline);
  if (!body) {
    co_return body.error();
  }
  co_return boost::outcome_v2::success();
}

asio::awaitable<Outcome<std::string>> RestStore::Watch(
  std::string aKind,
  std::string aVersion,
  EventSink aSink,
  std::chrono::milliseconds aWait,
  TimePoint aDeadline)
{
  Count("watch");
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(aWait);
  HttpRequest request =
    MakeRequest(PathOf(aKind) + "?watch=true&resourceVersion=" + aVersion +
                "&timeoutSeconds=" + std::to_string(seconds.count()));
  const HttpClient::CallOptions options;
  auto call =
    co_await client_.Start(Address(), std::move(request), aDeadline, options);
  if (!call) {
    ++current_;
    co_return Unavailable(call.error().text_, RanState::kNo);
  }
  if (const auto fault = FaultOf(call.value()->Head())) {
    co_return *fault;
  }
  std::string text;
  while (true) {
    auto piece = co_await call.value()->ReadSome();
    if (!piece) {
      co_return Unavailable(piece.error().text_, RanState::kNo);
    }
    if (!piece.value()) {
      co_return aVersion;
    }
    text += *piece.value();
    std::size_t end = 0;
    while ((end = text.find('\n')) != std::string::npos) {
      const json event = json::parse(text.substr(0, end), nullptr, false);
      text.erase(0, end + 1);
      if (event.is_object() && event.contains("object")) {
        StoreObject object = ObjectOf(event.at("object"));
        aVersion = object.version_;
        aSink({ .deleted_ = event.value("type", "") == "DELETED",
                .object_ = std::move(object) });
      }
    }
  }
}

} // namespace gooseberrylift
