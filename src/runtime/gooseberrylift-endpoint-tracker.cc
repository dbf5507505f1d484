#include "gooseberrylift/internal/gooseberrylift-endpoint-tracker.h"

#include <nlohmann/json.hpp>

#include "gooseberrylift/gooseberrylift-json-text.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

EndpointView ViewOf(const json& aHost)
{
  return {
    .name_ = JsonFieldOr(aHost, "name", std::string()),
    .address_ = JsonFieldOr(aHost, "address", std::string()),
    .pool_ = JsonFieldOr(aHost, "pool", std::string()),
    .zone_ = JsonFieldOr(aHost, "zone", std::string()),
    .kind_ = JsonFieldOr(aHost, "kind", std::string("engine")) == "service"
               ? EndpointKind::kService
               : EndpointKind::kEngine,
    .state_ = JsonFieldOr(aHost, "state", std::string("live")) == "leaving"
                ? EndpointState::kLeaving
                : EndpointState::kLive,
    .incarnation_ = JsonFieldOr(aHost, "incarnation", std::uint64_t{ 0 }),
  };
}

EndpointReport ReportOf(const json& aBody, TimePoint aNow)
{
  EndpointReport report;
  report.leaving_ =
    JsonFieldOr(aBody, "state", std::string("live")) == "leaving";
  report.incarnation_ = JsonFieldOr(aBody, "incarnation", std::uint64_t{ 0 });
  report.load_.at_ =
    aNow - std::chrono::milliseconds(JsonFieldOr(aBody, "age_ms", 0));
  report.load_.waitingTokens_ =
    JsonFieldOr(aBody, "waiting_tokens", std::uint64_t{ 0 });
  report.load_.running_ = JsonFieldOr(aBody, "running", 0);
  report.load_.waiting_ = JsonFieldOr(aBody, "waiting", 0);
  report.load_.kvTokensUsed_ =
    JsonFieldOr(aBody, "kv_used", std::uint64_t{ 0 });
  report.load_.kvTokensTotal_ =
    JsonFieldOr(aBody, "kv_total", std::uint64_t{ 0 });
  return report;
}

} // namespace

EndpointTracker::EndpointTracker(HttpClient& aClient,
                                 asio::any_io_executor aExecutor,
                                 Blackboard& aBoard,
                                 Options aOptions)
  : client_(aClient)
  , executor_(std::move(aExecutor))
  , board_(aBoard)
  , options_(std::move(aOptions))
  , registry_(EndpointRegistry::Options{})
{
}

void EndpointTracker::FollowPeers()
{
  board_.peers_.Subscribe([this](const auto& aPeers) {
    bool changed = false;
    {
      const std::lock_guard lock(mutex_);
      for (const Digest& digest : aPeers->digests_) {
        for (const EndpointDigest& endpoint : digest.endpoints_) {
          changed =
            registry_.OnPeerDigest(endpoint, TimerService::Now()) || changed;
        }
      }
    }
    Publish(changed);
  });
}

asio::awaitable<void> EndpointTracker::Run()
{
  TimePoint nextList{};
  while (true) {
    if (TimerService::Now() >= nextList) {
      nextList = TimerService::Now() + options_.listPoll_;
      SpawnTask(executor_, PollList());
    }
    StartLoadPolls();
    bool dirty = false;
    {
      const std::lock_guard lock(mutex_);
      dirty = std::exchange(dirty_, false);
    }
    Publish(dirty);
    co_await TimerService::SleepFor(options_.loadPoll_);
  }
}

void EndpointTracker::ReportFailure(const std::string& aEndpoint)
{
  bool changed = false;
  {
    const std::lock_guard lock(mutex_);
    changed = registry_.OnFailure(aEndpoint, TimerService::Now());
  }
  Publish(changed);
}

void EndpointTracker::ReportLeaving(const std::string& aEndpoint)
{
  bool changed = false;
  {
    const std::lock_guard lock(mutex_);
    changed = registry_.OnLeaving(aEndpoint, TimerService::Now());
  }
  Publish(changed);
}

asio::awaitable<void> EndpointTracker::PollList()
{
  const auto response =
    co_await client_.Fetch(options_.listAddress_,
                           MakeRequest("/hosts"),
                           TimerService::Now() + options_.listPoll_);
  json body;
  if (response && response.value().status_ == 200) {
    body = ParseJson(response.value().body_);
  }
  if (!body.is_object()) {
    if (!listUnavailable_.exchange(true)) {
      Log(LogEvent::kHostListLost, { { "address", options_.listAddress_ } });
    }
    co_return;
  }
  listUnavailable_ = false;
  std::vector<EndpointView> listed;
  for (const json& host : JsonFieldOr(body, "hosts", json::array())) {
    listed.push_back(ViewOf(host));
  }
  bool changed = false;
  {
    const std::lock_guard lock(mutex_);
    changed = registry_.OnList(listed, TimerService::Now());
  }
  Publish(changed);
}

void EndpointTracker::StartLoadPolls()
{
  std::vector<EndpointView> due;
  {
    const std::lock_guard lock(mutex_);
    for (EndpointView& view : registry_.Views()) {
      if (polling_.insert(view.name_).second) {
        due.push_back(std::move(view));
      }
    }
  }
  for (EndpointView& view : due) {
    SpawnTask(executor_,
              PollLoad(std::move(view.name_), std::move(view.address_)));
  }
}

asio::awaitable<void> EndpointTracker::PollLoad(std::string aName,
                                                std::string aAddress)
{
  const auto response = co_await client_.Fetch(
    aAddress, MakeRequest("/load"), TimerService::Now() + options_.timeout_);
  const TimePoint now = TimerService::Now();
  json body;
  if (response && response.value().status_ == 200) {
    body = ParseJson(response.value().body_);
  }
  bool changed = false;
  {
    const std::lock_guard lock(mutex_);
    polling_.erase(aName);
    if (body.is_object()) {
      changed = registry_.OnReport(aName, ReportOf(body, now), now);
      dirty_ = true;
    } else {
      changed = registry_.OnFailure(aName, now);
    }
  }
  Publish(changed);
}

void EndpointTracker::Publish(bool aChanged)
{
  if (!aChanged) {
    return;
  }
  const std::lock_guard order(publishMutex_);
  std::vector<EndpointView> views;
  {
    const std::lock_guard lock(mutex_);
    views = registry_.Views();
  }
  board_.endpoints_.Write({ .endpoints_ = std::move(views) });
}

} // namespace gooseberrylift
