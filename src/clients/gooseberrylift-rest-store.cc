#include "gooseberrylift/internal/gooseberrylift-rest-store.h"

#include "gooseberrylift/gooseberrylift-json-text.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"
#include "gooseberrylift/internal/gooseberrylift-uri.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr std::string_view kApiPrefix = "/apis/gooseberrylift.dev/v1/";

std::string ResourcePath(const std::string& aKind)
{
  return std::string(kApiPrefix) + aKind;
}

std::string ResourcePath(const std::string& aKind, const std::string& aName)
{
  return ResourcePath(aKind) + "/" + EncodeUriComponent(aName);
}

StoreObject ToStoreObject(const json& aBody)
{
  const json metadata = JsonFieldOr(aBody, "metadata", json::object());
  return { .kind_ = JsonFieldOr(aBody, "kind", std::string()),
           .name_ = JsonFieldOr(metadata, "name", std::string()),
           .version_ = JsonFieldOr(metadata, "resourceVersion", std::string()),
           .spec_ = JsonFieldOr(aBody, "spec", json::object()) };
}

std::string ToRequestBody(const StoreObject& aObject)
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

Error StoreUnavailable(std::string aText, RanState aRan)
{
  return { .code_ = ResultCode::kStoreUnavailable,
           .text_ = std::move(aText),
           .ran_ = aRan,
           .retryAfter_ = std::chrono::milliseconds(1000) };
}

Error NotJsonError()
{
  return StoreUnavailable("the response of the store is not JSON",
                          RanState::kUnknown);
}

// Returns the text of an object's member; empty if there is none.
std::string_view FindMember(std::string_view aText, std::string_view aName)
{
  const auto members = SplitJson(aText);
  if (members) {
    for (const JsonPart& member : *members) {
      if (ParseJson(member.name_) == aName) {
        return member.value_;
      }
    }
  }
  return {};
}

// Parses an object without the members that can't be read.
json ParseReadableMembers(std::string_view aText)
{
  json object = json::object();
  const auto members = SplitJson(aText);
  if (members) {
    for (const JsonPart& member : *members) {
      const json name = ParseJson(member.name_);
      json value = ParseJson(member.value_);
      if (name.is_string() && !value.is_discarded()) {
        object[name.get<std::string>()] = std::move(value);
      }
    }
  }
  return object;
}

// A 4xx status proves that a rejected write had no effect. A 5xx status does
// not, because it may come from a proxy in between, and others reject nothing.
std::optional<Error> ErrorFromStatus(const HttpResponse& aResponse)
{
  const int status = aResponse.status_;
  switch (status) {
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
      return StoreUnavailable("the store limits the call rate", RanState::kNo);
    default:
      return StoreUnavailable(
        "the store responded with status " + std::to_string(status),
        status >= 400 && status < 500 ? RanState::kNo : RanState::kUnknown);
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

void RestStore::ReportCall(std::string_view aKind) const
{
  if (options_.onCall_) {
    options_.onCall_(aKind);
  }
}

asio::awaitable<Outcome<std::string>> RestStore::Fetch(HttpRequest aRequest,
                                                       TimePoint aDeadline)
{
  auto response =
    co_await client_.Fetch(Address(), std::move(aRequest), aDeadline);
  if (!response) {
    ++current_;
    co_return StoreUnavailable(response.error().text_, response.error().ran_);
  }
  if (const auto error = ErrorFromStatus(response.value())) {
    co_return *error;
  }
  co_return std::move(response.value().body_);
}

asio::awaitable<Outcome<json>> RestStore::Call(HttpRequest aRequest,
                                               TimePoint aDeadline)
{
  const auto text = co_await Fetch(std::move(aRequest), aDeadline);
  if (!text) {
    co_return text.error();
  }
  json body = ParseJson(text.value());
  if (body.is_discarded()) {
    co_return NotJsonError();
  }
  co_return body;
}

asio::awaitable<Outcome<StoreObject>> RestStore::Read(std::string aKind,
                                                      std::string aName,
                                                      TimePoint aDeadline)
{
  ReportCall("read");
  const auto body =
    co_await Call(MakeRequest(ResourcePath(aKind, aName)), aDeadline);
  if (!body) {
    co_return body.error();
  }
  co_return ToStoreObject(body.value());
}

asio::awaitable<Outcome<StoreList>> RestStore::List(std::string aKind,
                                                    TimePoint aDeadline)
{
  ReportCall("list");
  const auto text = co_await Fetch(MakeRequest(ResourcePath(aKind)), aDeadline);
  if (!text) {
    co_return text.error();
  }
  json body = ParseJson(text.value());
  if (body.is_discarded()) {
    body = ParseReadableList(aKind, text.value());
  }
  if (body.is_discarded()) {
    co_return NotJsonError();
  }
  StoreList list;
  list.version_ = ToStoreObject(body).version_;
  for (const json& item : JsonFieldOr(body, "items", json::array())) {
    list.items_.push_back(ToStoreObject(item));
  }
  co_return list;
}

// Parses a list item by item, without those that can't be read.
// @return discarded if the list itself can't be read
json RestStore::ParseReadableList(const std::string& aKind,
                                  const std::string& aText) const
{
  const std::string_view itemsText = FindMember(aText, "items");
  const auto parts = SplitJson(itemsText);
  if (!parts || !itemsText.starts_with('[')) {
    return json(json::value_t::discarded);
  }
  json list = ParseReadableMembers(aText);
  json& items = list["items"] = json::array();
  for (const JsonPart& part : *parts) {
    std::string fault;
    json item = ParseJson(part.value_, &fault);
    if (item.is_discarded()) {
      ReportUnreadable(aKind, part.value_, fault);
    } else {
      items.push_back(std::move(item));
    }
  }
  return list;
}

// @param aText the text of an object
void RestStore::ReportUnreadable(const std::string& aKind,
                                 std::string_view aText,
                                 const std::string& aFault) const
{
  if (options_.onUnreadable_) {
    StoreObject object = ToStoreObject(ParseReadableMembers(aText));
    object.kind_ = aKind;
    options_.onUnreadable_(object, aFault);
  }
}

asio::awaitable<Outcome<StoreObject>> RestStore::Create(StoreObject aObject,
                                                        TimePoint aDeadline)
{
  ReportCall("write");
  const auto body = co_await Call(
    MakeRequest("POST", ResourcePath(aObject.kind_), ToRequestBody(aObject)),
    aDeadline);
  if (!body) {
    co_return body.error();
  }
  co_return ToStoreObject(body.value());
}

asio::awaitable<Outcome<StoreObject>> RestStore::Update(StoreObject aObject,
                                                        TimePoint aDeadline)
{
  ReportCall("write");
  const auto body =
    co_await Call(MakeRequest("PUT",
                              ResourcePath(aObject.kind_, aObject.name_),
                              ToRequestBody(aObject)),
                  aDeadline);
  if (!body) {
    co_return body.error();
  }
  co_return ToStoreObject(body.value());
}

asio::awaitable<Outcome<void>> RestStore::Delete(std::string aKind,
                                                 std::string aName,
                                                 std::string aVersion,
                                                 TimePoint aDeadline)
{
  ReportCall("write");
  const auto body =
    co_await Call(MakeRequest("DELETE",
                              ResourcePath(aKind, aName) + "?resourceVersion=" +
                                EncodeUriComponent(aVersion),
                              {}),
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
  ReportCall("watch");
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(aWait);
  HttpRequest request =
    MakeRequest(ResourcePath(aKind) +
                "?watch=true&resourceVersion=" + EncodeUriComponent(aVersion) +
                "&timeoutSeconds=" + std::to_string(seconds.count()));
  const HttpClient::CallOptions options;
  auto call =
    co_await client_.Start(Address(), std::move(request), aDeadline, options);
  if (!call) {
    ++current_;
    co_return StoreUnavailable(call.error().text_, RanState::kNo);
  }
  if (const auto error = ErrorFromStatus(call.value()->Head())) {
    co_return *error;
  }
  std::string text;
  while (true) {
    auto piece = co_await call.value()->ReadSome();
    if (!piece) {
      co_return StoreUnavailable(piece.error().text_, RanState::kNo);
    }
    if (!piece.value()) {
      co_return aVersion;
    }
    text += *piece.value();
    std::size_t end = 0;
    while ((end = text.find('\n')) != std::string::npos) {
      const auto event =
        ParseEvent(aKind, std::string_view(text).substr(0, end));
      text.erase(0, end + 1);
      if (event) {
        aVersion = event->object_.version_;
        aSink(*event);
      }
    }
  }
}

// @param aLine a line of a watch
// @return no event if it can't be read
std::optional<StoreEvent> RestStore::ParseEvent(const std::string& aKind,
                                                std::string_view aLine) const
{
  std::string fault;
  const json event = ParseJson(aLine, &fault);
  if (event.is_discarded()) {
    ReportUnreadable(aKind, FindMember(aLine, "object"), fault);
  }
  if (!event.is_object() || !event.contains("object")) {
    return std::nullopt;
  }
  return StoreEvent{ .deleted_ =
                       JsonFieldOr(event, "type", std::string()) == "DELETED",
                     .object_ = ToStoreObject(event.at("object")) };
}

} // namespace gooseberrylift
