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

std::uint64_t ParseNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

std::string ArchiveName(std::uint64_t aGeneration)
{
  return "g-" + std::to_string(aGeneration);
}

std::string GenerateNonce()
{
  std::random_device device;
  return std::to_string(device()) + "-" + std::to_string(device()) + "-" +
         std::to_string(device());
}

std::int64_t WallClockMilliseconds()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

Outcome<void> Validate(const std::string& aText)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<Outcome<void>> {
      BOOST_LEAF_CHECK(Configuration::Parse(aText, 1));
      return Outcome<void>(boost::outcome_v2::success());
    },
    [](const Error& aError) { return Outcome<void>(aError); },
    [] { return Outcome<void>(MakeError(ResultCode::kInternal)); });
}

Error MakeOutcomeUnknownError()
{
  return { .code_ = ResultCode::kWriteUnsettled,
           .text_ = "the store does not respond; the change may have been "
                    "accepted: run `show` once the store is reachable",
           .ran_ = RanState::kUnknown,
           .retryAfter_ = std::chrono::milliseconds(2000) };
}

std::string HostGenerationsText(const Blackboard& aBoard, std::uint64_t aOwn)
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
    return HandleCurrent(aExchange);
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
      return HandleHostGenerations(aExchange);
    });
}

asio::awaitable<void> ConfigApi::HandleCurrent(HttpExchange& aExchange)
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
  // A change that was started runs to completion even when the caller
  // disconnects, so that an interrupted command leaves the change either
  // rejected or applied.
  aExchange.KeepRunningWithoutCaller();
  const HttpRequest& request = aExchange.Request();
  const auto accepted =
    co_await ApplyChange(ParseNumber(request.QueryParameter("base")),
                         request.body_,
                         request.QueryParameter("author"));
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
    ParseNumber(aExchange.Request().QueryParameter("number"));
  const auto text = co_await ReadGeneration(
    number, TimerService::Now() + options_.callTimeout_);
  if (!text) {
    co_await aExchange.Send(ErrorResponse(text.error(), {}));
    co_return;
  }
  co_await aExchange.Send(JsonResponse(200, text.value().dump()));
}

asio::awaitable<void> ConfigApi::HandleHostGenerations(HttpExchange& aExchange)
{
  const auto current = board_.configuration_.Read()->configuration_;
  co_await aExchange.Send(JsonResponse(
    200, HostGenerationsText(board_, current ? current->Generation() : 0)));
}

asio::awaitable<Outcome<std::uint64_t>> ConfigApi::ApplyChange(
  std::uint64_t aBase,
  std::string aText,
  std::string aAuthor)
{
  const TimePoint deadline = TimerService::Now() + options_.timeout_;
  const auto checked = Validate(aText);
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
                                 .highestInForce_ = HighestKnownGeneration() };
  const auto generation = NextGeneration(stored, proposal);
  if (!generation) {
    co_return co_await MakeConflictError(aBase, deadline);
  }
  const auto archived = co_await ArchiveReplaced(stored, deadline);
  if (!archived) {
    co_return archived.error();
  }
  json configuration = json::parse(aText);
  const std::string text = configuration.dump();
  const std::string nonce = GenerateNonce();
  ConfigChange change{ .generation_ = *generation,
                       .nonce_ = nonce,
                       .author_ = std::move(aAuthor),
                       .atMs_ = WallClockMilliseconds() };
  object.spec_ =
    AppendChange(stored, std::move(configuration), std::move(change)).ToSpec();
  const auto written =
    co_await WriteWithRetry(std::move(object), nonce, deadline);
  if (!written && written.error().code_ == ResultCode::kStoreConflict) {
    co_return co_await MakeConflictError(aBase, deadline);
  }
  if (!written) {
    co_return written.error();
  }
  Log(LogEvent::kConfigurationAccepted, { { "generation", *generation } });
  follower_.ApplyTextIfNewer(*generation, text, ConfigSource::kOperator);
  const auto executor = co_await asio::this_coro::executor;
  SpawnTask(executor, DeleteOldestArchived(*generation, deadline));
  co_return *generation;
}

asio::awaitable<Outcome<void>> ConfigApi::WriteWithRetry(StoreObject aObject,
                                                         std::string aNonce,
                                                         TimePoint aDeadline)
{
  bool mayHaveTakenEffect = false;
  const bool create = aObject.version_.empty();
  while (true) {
    // The conditional write is safe to retry: it takes effect at most once,
    // since its success changes the version that it requires.
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
      co_return co_await ResolveConflict(aNonce, aDeadline);
    }
    mayHaveTakenEffect =
      mayHaveTakenEffect || written.error().ran_ != RanState::kNo;
    if (TimerService::Now() + options_.retryDelay_ >= aDeadline) {
      co_return mayHaveTakenEffect ? MakeOutcomeUnknownError()
                                   : written.error();
    }
    co_await TimerService::SleepFor(options_.retryDelay_);
  }
}

// Determines whether a conflict was caused by an earlier attempt of the same
// write whose response was lost. If that were reported as a conflict, the
// operator might apply the change again, or might believe that the change was
// rejected although it takes effect. The nonce in the object's recent changes
// identifies this host's write, even after other writes followed it.
asio::awaitable<Outcome<void>> ConfigApi::ResolveConflict(std::string aNonce,
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
    if (TimerService::Now() + options_.retryDelay_ >= aDeadline) {
      co_return MakeOutcomeUnknownError();
    }
    co_await TimerService::SleepFor(options_.retryDelay_);
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

// Stores the generation that is about to be replaced before the new one is
// written, so that the history has no gap even if this host crashes in between.
asio::awaitable<Outcome<void>> ConfigApi::ArchiveReplaced(
  StoredConfiguration aReplaced,
  TimePoint aDeadline)
{
  if (aReplaced.generation_ == 0) {
    co_return boost::outcome_v2::success();
  }
  StoreObject object{ .kind_ = kHistoryKind,
                      .name_ = ArchiveName(aReplaced.generation_) };
  object.spec_["configuration"] = aReplaced.configuration_;
  while (true) {
    // The object is created once and never changed, so a conflict means that it
    // exists, possibly from an earlier attempt whose response was lost.
    const auto created =
      co_await store_.Create(object, CallDeadline(aDeadline));
    if (created || created.error().code_ == ResultCode::kStoreConflict) {
      co_return boost::outcome_v2::success();
    }
    if (TimerService::Now() + options_.retryDelay_ >= aDeadline) {
      Error error = created.error();
      error.ran_ = RanState::kNo; // the change itself was not written
      co_return error;
    }
    co_await TimerService::SleepFor(options_.retryDelay_);
  }
}

asio::awaitable<void> ConfigApi::DeleteOldestArchived(std::uint64_t aGeneration,
                                                      TimePoint aDeadline)
{
  if (aGeneration <= StoredConfiguration::kMaxRecentChanges) {
    co_return;
  }
  (void)co_await store_.Delete(
    kHistoryKind,
    ArchiveName(aGeneration - StoredConfiguration::kMaxRecentChanges),
    {},
    CallDeadline(aDeadline));
}

asio::awaitable<Outcome<json>> ConfigApi::ReadGeneration(
  std::uint64_t aGeneration,
  TimePoint aDeadline)
{
  const auto current = board_.configuration_.Read()->configuration_;
  if (current && current->Generation() == aGeneration) {
    co_return json::parse(current->Text());
  }
  const auto archived = co_await store_.Read(
    kHistoryKind, ArchiveName(aGeneration), CallDeadline(aDeadline));
  if (archived) {
    co_return archived.value().spec_.value("configuration", json::object());
  }
  if (archived.error().code_ != ResultCode::kStoreNotFound) {
    co_return archived.error();
  }
  const auto main = co_await ReadMain(aDeadline);
  if (!main) {
    co_return main.error();
  }
  const auto stored = StoredConfiguration::FromSpec(main.value().spec_);
  if (stored.generation_ != aGeneration) {
    co_return MakeError(ResultCode::kStoreNotFound,
                        "generation " + std::to_string(aGeneration) +
                          " is not in the history");
  }
  co_return stored.configuration_;
}

asio::awaitable<Error> ConfigApi::MakeConflictError(std::uint64_t aBase,
                                                    TimePoint aDeadline)
{
  std::uint64_t newest = HighestKnownGeneration();
  const auto main = co_await ReadMain(aDeadline);
  if (main) {
    newest = std::max(
      newest, StoredConfiguration::FromSpec(main.value().spec_).generation_);
  }
  Log(LogEvent::kConfigurationConflicted,
      { { "base", aBase }, { "newest", newest } });
  const auto from = co_await ReadGeneration(aBase, aDeadline);
  const auto to = co_await ReadGeneration(newest, aDeadline);
  std::string text = "the change is based on generation " +
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

std::uint64_t ConfigApi::HighestKnownGeneration() const
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
