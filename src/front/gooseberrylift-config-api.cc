#include "gooseberrylift/internal/gooseberrylift-config-api.h"

#include <algorithm>
#include <charconv>
#include <random>

#include <boost/leaf/handle_errors.hpp>

#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;
namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

std::uint64_t NumberOf(std::string_view aText)
{
  std::uint64_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

std::string HistoryName(std::uint64_t aGeneration)
{
  return "g-" + std::to_string(aGeneration);
}

std::string NewNonce()
{
  std::random_device device;
  return std::to_string(device()) + "-" + std::to_string(device()) + "-" +
         std::to_string(device());
}

std::int64_t WallMilliseconds()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

Outcome<void> CheckText(const std::string& aText)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<Outcome<void>> {
      BOOST_LEAF_CHECK(Configuration::Parse(aText, 1));
      return Outcome<void>(boost::outcome_v2::success());
    },
    [](const Error& aError) { return Outcome<void>(aError); },
    [] { return Outcome<void>(MakeError(ResultCode::kInternal)); });
}

Error Unsettled()
{
  return { .code_ = ResultCode::kWriteUnsettled,
           .text_ = "the store does not answer; the change may have been "
                    "accepted: `show` tells once the store is back",
           .ran_ = RanState::kUnknown,
           .retryAfter_ = std::chrono::milliseconds(2000) };
}

std::string SpreadText(const Blackboard& aBoard, std::uint64_t aOwn)
{
  json hosts = json::array();
  for (const Digest& digest : aBoard.peers_.Read()->digests_) {
    hosts.push_back(
      { { "host", digest.host_ }, { "generation", digest.generation_ } });
  }
  json document;
  document["generation"] = aOwn;
  document["known"] = aBoard.peers_.Read()->known_;
  document["hosts"] = std::move(hosts);
  return document.dump();
}

std::string ShowText(const Configuration& aConfiguration)
{
  json document;
  document["generation"] = aConfiguration.Generation();
  document["configuration"] = json::parse(aConfiguration.Text());
  return document.dump();
}

std::string HistoryText(const StoredConfiguration& aStored)
{
  json document;
  document["generation"] = aStored.generation_;
  document["recent"] = aStored.ToSpec().at("recent");
  return document.dump();
}

} // namespace

ConfigApi::ConfigApi(ObjectStore& aStore,
                     ConfigFollower& aFollower,
                     Blackboard& aBoard,
                     Options aOptions)
  : store_(aStore)
  , follower_(aFollower)
  , board_(aBoard)
  , options_(aOptions)
{
}

void ConfigApi::AddRoutes(AdminApi& aAdminApi)
{
  aAdminApi.Add("GET", "/configuration", [this](HttpExchange& aExchange) {
    return HandleShow(aExchange);
  });
  aAdminApi.Add("POST", "/configuration", [this](HttpExchange& aExchange) {
    return HandleApply(aExchange);
  });
  aAdminApi.Add(
    "GET", "/configuration/history", [this](HttpExchange& aExchange) {
      return HandleHistory(aExchange);
    });
  aAdminApi.Add(
    "GET", "/configuration/generation", [this](HttpExchange& aExchange) {
      return HandleGeneration(aExchange);
    });
  aAdminApi.Add(
    "GET", "/configuration/spread", [this](HttpExchange& aExchange) {
      return HandleSpread(aExchange);
    });
}

asio::awaitable<void> ConfigApi::HandleShow(HttpExchange& aExchange)
{
  const auto current = board_.configuration_.Read()->configuration_;
  if (!current) {
    co_await aExchange.Send(
      ErrorResponse(MakeError(ResultCode::kNoConfiguration), {}));
    co_return;
  }
  co_await aExchange.Send(JsonResponse(200, ShowText(*current)));
}

asio::awaitable<void> ConfigApi::HandleApply(HttpExchange& aExchange)
{
  // A change that has begun is carried to its end, so that a command that was
  // cut short leaves a change either refused or in force, not in between.
  aExchange.KeepRunningWithoutCaller();
  const HttpRequest& request = aExchange.Request();
  const auto accepted =
    co_await Change(NumberOf(request.QueryParameter("base")),
                    request.body_,
                    std::string(request.QueryParameter("author")));
  if (!accepted) {
    co_await aExchange.Send(ErrorResponse(accepted.error(), {}));
    co_return;
  }
  json document;
  document["generation"] = accepted.value();
  co_await aExchange.Send(JsonResponse(200, document.dump()));
}

asio::awaitable<void> ConfigApi::HandleHistory(HttpExchange& aExchange)
{
  const auto main =
    co_await ReadMain(TimerService::Now() + options_.callTimeout_);
  if (!main) {
    co_await aExchange.Send(ErrorResponse(main.error(), {}));
    co_return;
  }
  const auto stored = StoredConfiguration::FromSpec(main.value().spec_);
  co_await aExchange.Send(JsonResponse(200, HistoryText(stored)));
}

asio::awaitable<void> ConfigApi::HandleGeneration(HttpExchange& aExchange)
{
  const std::uint64_t number =
    NumberOf(aExchange.Request().QueryParameter("number"));
  const auto text =
    co_await TextOf(number, TimerService::Now() + options_.callTimeout_);
  if (!text) {
    co_await aExchange.Send(ErrorResponse(text.error(), {}));
    co_return;
  }
  co_await aExchange.Send(JsonResponse(200, text.value().dump()));
}

asio::awaitable<void> ConfigApi::HandleSpread(HttpExchange& aExchange)
{
  const auto current = board_.configuration_.Read()->configuration_;
  co_await aExchange.Send(
    JsonResponse(200, SpreadText(board_, current ? current->Generation() : 0)));
}

asio::awaitable<Outcome<std::uint64_t>> ConfigApi::Change(std::uint64_t aBase,
                                                          std::string aText,
                                                          std::string aAuthor)
{
  const TimePoint deadline = TimerService::Now() + options_.timeout_;
  const auto checked = CheckText(aText);
  if (!checked) {
    co_return checked.error();
  }
  const auto main = co_await ReadMain(deadline);
  if (!main) {
    co_return main.error();
  }
  StoreObject object = main.value();
  const auto stored = StoredConfiguration::FromSpec(object.spec_);
  const ConfigProposal proposal{ .base_ = aBase,
                                 .highestInForce_ = HighestKnown() };
  const auto generation = NextGeneration(stored, proposal);
  if (!generation) {
    co_return co_await Conflict(aBase, deadline);
  }
  const auto kept = co_await KeepOld(stored, deadline);
  if (!kept) {
    co_return kept.error();
  }
  json configuration = json::parse(aText);
  const std::string text = configuration.dump();
  const std::string nonce = NewNonce();
  ConfigChange change{ .generation_ = *generation,
                       .nonce_ = nonce,
                       .author_ = std::move(aAuthor),
                       .atMs_ = WallMilliseconds() };
  object.spec_ =
    AppendChange(stored, std::move(configuration), std::move(change)).ToSpec();
  const auto written = co_await Write(std::move(object), nonce, deadline);
  if (!written && written.error().code_ == ResultCode::kStoreConflict) {
    co_return co_await Conflict(aBase, deadline);
  }
  if (!written) {
    co_return written.error();
  }
  Log(LogEvent::kConfigurationAccepted, { { "generation", *generation } });
  follower_.ApplyTextIfNewer(*generation, text, ConfigSource::kOperator);
  const auto executor = co_await asio::this_coro::executor;
  SpawnTask(executor, DropOldest(*generation, deadline));
  co_return *generation;
}

asio::awaitable<Outcome<void>> ConfigApi::Write(StoreObject aObject,
                                                std::string aNonce,
                                                TimePoint aDeadline)
{
  bool mayHaveRun = false;
  const bool create = aObject.version_.empty();
  while (true) {
    // The same conditional write may be sent again and again: it takes effect
    // once at most, since its own effect changes the version it asks for.
    Outcome<StoreObject> written = MakeError(ResultCode::kInternal);
    if (create) {
      written = co_await store_.Create(aObject, CallDeadline(aDeadline));
    } else {
      written = co_await store_.Update(aObject, CallDeadline(aDeadline));
    }
    if (written) {
      co_return boost::outcome_v2::success();
    }
    if (written.error().code_ == ResultCode::kStoreConflict) {
      co_return co_await Settle(aNonce, aDeadline);
    }
    mayHaveRun = mayHaveRun || written.error().ran_ != RanState::kNo;
    if (TimerService::Now() + options_.pause_ >= aDeadline) {
      co_return mayHaveRun ? Unsettled() : written.error();
    }
    co_await TimerService::SleepFor(options_.pause_);
  }
}

// A conflict may be with our own earlier try, whose answer was lost: an
// operator who were told "conflict" then would apply the change again, or
// believe it refused while it comes into force. The nonce in the object's
// recent changes tells the two apart, also when others have written since.
asio::awaitable<Outcome<void>> ConfigApi::Settle(std::string aNonce,
                                                 TimePoint aDeadline)
{
  while (true) {
    const auto main = co_await ReadMain(aDeadline);
    if (main) {
      const auto stored = StoredConfiguration::FromSpec(main.value().spec_);
      if (stored.FindChange(aNonce)) {
        co_return boost::outcome_v2::success();
      }
      co_return MakeError(ResultCode::kStoreConflict);
    }
    if (TimerService::Now() + options_.pause_ >= aDeadline) {
      co_return Unsettled();
    }
    co_await TimerService::SleepFor(options_.pause_);
  }
}

asio::awaitable<Outcome<StoreObject>> ConfigApi::ReadMain(TimePoint aDeadline)
{
  auto read = co_await store_.Read(
    kConfigurationKind, kConfigurationName, CallDeadline(aDeadline));
  if (!read && read.error().code_ == ResultCode::kStoreNotFound) {
    co_return StoreObject{ .kind_ = kConfigurationKind,
                           .name_ = kConfigurationName };
  }
  co_return read;
}

// The text of the generation that is about to be replaced is stored first, so
// that the history has no gap even when this host dies in between.
asio::awaitable<Outcome<void>> ConfigApi::KeepOld(StoredConfiguration aOld,
                                                  TimePoint aDeadline)
{
  if (aOld.generation_ == 0) {
    co_return boost::outcome_v2::success();
  }
  StoreObject object{ .kind_ = kHistoryKind,
                      .name_ = HistoryName(aOld.generation_) };
  object.spec_["configuration"] = aOld.configuration_;
  while (true) {
    // Created once and never changed, so a conflict says that it is there,
    // also when it is our own try whose answer was lost.
    const auto created =
      co_await store_.Create(object, CallDeadline(aDeadline));
    if (created || created.error().code_ == ResultCode::kStoreConflict) {
      co_return boost::outcome_v2::success();
    }
    if (TimerService::Now() + options_.pause_ >= aDeadline) {
      Error error = created.error();
      error.ran_ = RanState::kNo; // of the change itself
      co_return error;
    }
    co_await TimerService::SleepFor(options_.pause_);
  }
}

asio::awaitable<void> ConfigApi::DropOldest(std::uint64_t aGeneration,
                                            TimePoint aDeadline)
{
  if (aGeneration <= StoredConfiguration::kMaxRecentChanges) {
    co_return;
  }
  (void)co_await store_.Delete(
    kHistoryKind,
    HistoryName(aGeneration - StoredConfiguration::kMaxRecentChanges),
    {},
    CallDeadline(aDeadline));
}

asio::awaitable<Outcome<json>> ConfigApi::TextOf(std::uint64_t aGeneration,
                                                 TimePoint aDeadline)
{
  const auto current = board_.configuration_.Read()->configuration_;
  if (current && current->Generation() == aGeneration) {
    co_return json::parse(current->Text());
  }
  const auto kept = co_await store_.Read(
    kHistoryKind, HistoryName(aGeneration), CallDeadline(aDeadline));
  if (kept) {
    co_return kept.value().spec_.value("configuration", json::object());
  }
  if (kept.error().code_ != ResultCode::kStoreNotFound) {
    co_return kept.error();
  }
  const auto main = co_await ReadMain(aDeadline);
  if (!main) {
    co_return main.error();
  }
  const auto stored = StoredConfiguration::FromSpec(main.value().spec_);
  if (stored.generation_ != aGeneration) {
    co_return MakeError(ResultCode::kStoreNotFound,
                        "generation " + std::to_string(aGeneration) +
                          " is not kept");
  }
  co_return stored.configuration_;
}

asio::awaitable<Error> ConfigApi::Conflict(std::uint64_t aBase,
                                           TimePoint aDeadline)
{
  std::uint64_t newest = HighestKnown();
  const auto main = co_await ReadMain(aDeadline);
  if (main) {
    newest = std::max(
      newest, StoredConfiguration::FromSpec(main.value().spec_).generation_);
  }
  Log(LogEvent::kConfigurationConflicted,
      { { "base", aBase }, { "newest", newest } });
  const auto from = co_await TextOf(aBase, aDeadline);
  const auto to = co_await TextOf(newest, aDeadline);
  std::string text = "the change was made from generation " +
                     std::to_string(aBase) + ", but the newest is " +
                     std::to_string(newest);
  if (from && to) {
    text += "; accepted since:";
    for (const std::string& line :
         DiffConfigurations(from.value(), to.value())) {
      text += "\n" + line;
    }
  }
  co_return MakeError(aBase == 0 ? ResultCode::kConfigurationBaseMissing
                                 : ResultCode::kConfigurationConflict,
                      text);
}

std::uint64_t ConfigApi::HighestKnown() const
{
  const auto current = board_.configuration_.Read()->configuration_;
  std::uint64_t highest = current ? current->Generation() : 0;
  for (const Digest& digest : board_.peers_.Read()->digests_) {
    highest = std::max(highest, digest.generation_);
  }
  return highest;
}

TimePoint ConfigApi::CallDeadline(TimePoint aDeadline) const
{
  return std::min(aDeadline, TimerService::Now() + options_.callTimeout_);
}

} // namespace gooseberrylift
