#include "gooseberrylift/internal/gooseberrylift-config-follower.h"

#include <algorithm>

#include <boost/leaf/handle_errors.hpp>

#include "gooseberrylift/gooseberrylift-json-text.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;
namespace leaf = boost::leaf;

namespace {

const char* NameOf(ConfigSource aSource)
{
  switch (aSource) {
    case ConfigSource::kPeer:
      return "peer";
    case ConfigSource::kOperator:
      return "operator";
    case ConfigSource::kStore:
      break;
  }
  return "store";
}

} // namespace

ConfigFollower::ConfigFollower(ObjectStore& aStore,
                               Blackboard& aBoard,
                               Options aOptions)
  : store_(aStore)
  , board_(aBoard)
  , options_(std::move(aOptions))
  , random_(options_.seed_)
{
}

asio::awaitable<void> ConfigFollower::Run()
{
  while (true) {
    const bool reached = co_await ReadAndWatch();
    UpdateStoreState(reached);
    if (!reached) {
      co_await TimerService::SleepFor(Jittered(options_.reconnectDelay_));
    }
  }
}

// A watch can fail silently: its connection stays open without delivering
// events, and the host would keep an old configuration until the watch times
// out. Polling bounds that delay and also detects that the store is down.
asio::awaitable<void> ConfigFollower::Poll()
{
  while (true) {
    co_await TimerService::SleepFor(Jittered(PollPeriod()));
    const auto main =
      co_await store_.Read(kConfigurationKind,
                           kConfigurationName,
                           TimerService::Now() + options_.callTimeout_);
    UpdateStoreState(main || main.error().code_ == ResultCode::kStoreNotFound);
    if (main) {
      ApplyIfNewer(main.value());
    }
  }
}

bool ConfigFollower::ShouldWatch() const
{
  std::size_t rank = 0;
  for (const Digest& digest : board_.peers_.Read()->digests_) {
    if (digest.zone_ == options_.zone_ && digest.storeReachable_ &&
        digest.host_ < options_.host_) {
      ++rank;
    }
  }
  return rank < options_.watchersPerZone_;
}

std::chrono::milliseconds ConfigFollower::PollPeriod() const
{
  const auto hosts =
    static_cast<std::int64_t>(board_.peers_.Read()->known_ + 1);
  return std::max(options_.pollPeriod_,
                  std::chrono::milliseconds(1000) * hosts /
                    options_.pollsPerSecond_);
}

// Scales a delay by a factor between 3/4 and 5/4, so that hosts that lost the
// store at the same time don't reconnect at the same time.
std::chrono::milliseconds ConfigFollower::Jittered(
  std::chrono::milliseconds aPause)
{
  const std::lock_guard lock(storeMutex_);
  return aPause * (75 + static_cast<int>(random_() % 50)) / 100;
}

asio::awaitable<bool> ConfigFollower::ReadAndWatch()
{
  auto list = co_await store_.List(kConfigurationKind,
                                   TimerService::Now() + options_.callTimeout_);
  if (!list) {
    co_return false;
  }
  UpdateStoreState(true);
  for (const StoreObject& object : list.value().items_) {
    ApplyIfNewer(object);
  }
  if (!ShouldWatch()) {
    co_await TimerService::SleepFor(Jittered(PollPeriod()));
    co_return true;
  }
  const auto watched = co_await store_.Watch(
    kConfigurationKind,
    list.value().version_,
    [this](const StoreEvent& aEvent) {
      if (!aEvent.deleted_) {
        ApplyIfNewer(aEvent.object_);
      }
    },
    options_.watchTimeout_,
    TimerService::Now() + options_.watchTimeout_ + std::chrono::seconds(1));
  co_return watched.has_value() ||
    watched.error().code_ == ResultCode::kStoreGone;
}

bool ConfigFollower::ApplyIfNewer(const StoreObject& aObject)
{
  if (aObject.name_ != kConfigurationName) {
    return false;
  }
  return ApplyTextIfNewer(
    JsonFieldOr(aObject.spec_, "generation", std::uint64_t{ 0 }),
    JsonFieldOr(aObject.spec_, "configuration", nlohmann::json::object())
      .dump(),
    ConfigSource::kStore);
}

bool ConfigFollower::ApplyTextIfNewer(std::uint64_t aGeneration,
                                      const std::string& aText,
                                      ConfigSource aSource)
{
  const std::lock_guard lock(mutex_);
  const auto current = board_.configuration_.Read()->configuration_;
  // An older generation can come from a store that was restored from a backup
  // or from a peer that lags behind. A configuration in force is never replaced
  // by an older one.
  if (current && aGeneration <= current->Generation()) {
    if (aGeneration < current->Generation() &&
        aSource == ConfigSource::kStore) {
      ReportOlderGeneration(aGeneration);
    }
    return false;
  }
  return Apply(aGeneration, aText, aSource);
}

bool ConfigFollower::Apply(std::uint64_t aGeneration,
                           const std::string& aText,
                           ConfigSource aSource)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<bool> {
      BOOST_LEAF_AUTO(configuration, Configuration::Parse(aText, aGeneration));
      board_.configuration_.Write({ .configuration_ = configuration });
      Log(LogEvent::kConfigurationApplied,
          { { "generation", aGeneration }, { "source", NameOf(aSource) } });
      return true;
    },
    [&](const Error& aError) {
      Log(LogEvent::kConfigurationRejected,
          { { "generation", aGeneration }, { "fault", aError.text_ } });
      return false;
    },
    [] { return false; });
}

// Logs each older generation once, not on every read.
void ConfigFollower::ReportOlderGeneration(std::uint64_t aGeneration)
{
  if (lastOlderReported_ != aGeneration) {
    lastOlderReported_ = aGeneration;
    Log(LogEvent::kConfigurationOlder, { { "generation", aGeneration } });
  }
}

void ConfigFollower::UpdateStoreState(bool aReachable)
{
  const std::lock_guard lock(storeMutex_);
  const auto before = board_.store_.Read();
  if (before->since_ != TimePoint{} && before->reachable_ == aReachable) {
    return;
  }
  board_.store_.Write(
    { .reachable_ = aReachable, .since_ = TimerService::Now() });
  Log(aReachable ? LogEvent::kStoreReached : LogEvent::kStoreLost);
}

} // namespace gooseberrylift
