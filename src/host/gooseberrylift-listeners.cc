#include "gooseberrylift/internal/gooseberrylift-listeners.h"

#include <algorithm>

#include "gooseberrylift/internal/gooseberrylift-listener.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kFirstRetryDelay{ 50 };
constexpr milliseconds kMaxRetryDelay{ 100 };
constexpr std::chrono::seconds kLogInterval{ 5 };

// Attempts with a port chosen by the system, which may be in use for the other
// protocol.
constexpr int kFreePortAttempts = 4;

// Datagrams go first, because their socket can be closed again without a
// connection that was accepted meanwhile.
error_code OpenForBoth(HttpServer& aServer,
                       PeerDatagrams& aDatagrams,
                       const std::string& aAddress,
                       std::uint16_t aPort)
{
  error_code error = aDatagrams.Open(aAddress, aPort);
  if (!error) {
    error = aServer.Listen(aDatagrams.Port());
    if (error) {
      aDatagrams.Close();
    }
  }
  return error;
}

error_code OpenForBoth(HttpServer& aServer,
                       PeerDatagrams& aDatagrams,
                       const ListenSettings& aSettings)
{
  error_code error;
  const int attempts = aSettings.port_ == 0 ? kFreePortAttempts : 1;
  for (int attempt = 0; attempt < attempts; ++attempt) {
    for (int port = aSettings.port_; port <= aSettings.LastPort(); ++port) {
      error = OpenForBoth(aServer,
                          aDatagrams,
                          aSettings.address_,
                          static_cast<std::uint16_t>(port));
      if (!error) {
        return error;
      }
    }
  }
  return error;
}

error_code OpenForCalls(HttpServer& aServer, const ListenSettings& aSettings)
{
  error_code error;
  for (int port = aSettings.port_; port <= aSettings.LastPort(); ++port) {
    error = aServer.Listen(static_cast<std::uint16_t>(port));
    if (!error) {
      break;
    }
  }
  return error;
}

std::string Describe(const ListenSettings& aSettings)
{
  std::string text = aSettings.address_ + ":" + std::to_string(aSettings.port_);
  if (aSettings.LastPort() != aSettings.port_) {
    text += "-" + std::to_string(aSettings.LastPort());
  }
  return text;
}

} // namespace

void Listeners::Add(const std::string& aName,
                    HttpServer& aServer,
                    const ListenSettings& aSettings)
{
  listeners_.push_back({ .name_ = aName,
                         .address_ = Describe(aSettings),
                         .open_ = [&aServer] { return aServer.Listen(); },
                         .port_ = [&aServer] { return aServer.Port(); },
                         .onOpened_ = [] {} });
}

void Listeners::AddPeerPort(HttpServer& aServer,
                            PeerDatagrams* aDatagrams,
                            const ListenSettings& aSettings,
                            std::function<void()> aOnOpened)
{
  listeners_.push_back(
    { .name_ = "peer",
      .address_ = Describe(aSettings),
      .open_ =
        [&aServer, aDatagrams, aSettings] {
          const bool opened = aDatagrams != nullptr &&
                              !OpenForBoth(aServer, *aDatagrams, aSettings);
          return opened ? error_code() : OpenForCalls(aServer, aSettings);
        },
      .port_ = [&aServer] { return aServer.Port(); },
      .onOpened_ =
        [this, &aServer, aDatagrams, aSettings, opened = std::move(aOnOpened)] {
          if (aDatagrams != nullptr && !aDatagrams->IsOpen()) {
            AddDatagramPort(*aDatagrams, aSettings.address_, aServer.Port());
          }
          opened();
        } });
}

void Listeners::AddDatagramPort(PeerDatagrams& aDatagrams,
                                const std::string& aAddress,
                                std::uint16_t aPort)
{
  Log(LogEvent::kLoadPortUnavailable, { { "port", aPort } });
  listeners_.push_back({ .name_ = "peer-datagrams",
                         .address_ = aAddress + ":" + std::to_string(aPort),
                         .open_ =
                           [&aDatagrams, aAddress, aPort] {
                             return aDatagrams.Open(aAddress, aPort);
                           },
                         .port_ = [aPort] { return aPort; },
                         .onOpened_ = [] {} });
}

Outcome<void> Listeners::Open()
{
  AttemptAll();
  for (const Listener& listener : listeners_) {
    const error_code& error = listener.lastError_;
    if (error && !IsTransientListenError(error) &&
        listener.name_ != "peer-datagrams") {
      return Error{ .code_ = ResultCode::kListenFailed,
                    .text_ = listener.address_ + ": " + error.message() };
    }
  }
  NotifyIfServing();
  return boost::outcome_v2::success();
}

asio::awaitable<void> Listeners::Run()
{
  milliseconds delay = kFirstRetryDelay;
  while (IsWaiting()) {
    co_await TimerService::SleepFor(delay);
    if (stopped_) {
      co_return;
    }
    delay = std::min(delay * 3 / 2, kMaxRetryDelay);
    AttemptAll();
    NotifyIfServing();
  }
}

bool Listeners::IsWaiting() const
{
  return std::any_of(
    listeners_.begin(), listeners_.end(), [](const Listener& aListener) {
      return !aListener.isOpen_;
    });
}

void Listeners::AttemptAll()
{
  for (Listener& listener : listeners_) {
    if (!listener.isOpen_) {
      Attempt(listener);
    }
  }
}

void Listeners::NotifyIfServing()
{
  if (!serving_ && listeners_.front().isOpen_) {
    serving_ = true;
    parts_.onServing_();
  }
}

void Listeners::Attempt(Listener& aListener)
{
  if (aListener.firstAttempt_ == TimePoint{}) {
    aListener.firstAttempt_ = TimerService::Now();
  }
  aListener.lastError_ = aListener.open_();
  if (aListener.lastError_) {
    OnFailed(aListener);
  } else {
    OnOpened(aListener);
  }
}

void Listeners::OnOpened(Listener& aListener)
{
  aListener.isOpen_ = true;
  if (aListener.lastLog_ != TimePoint{}) {
    const auto waited = TimerService::Now() - aListener.firstAttempt_;
    Log(LogEvent::kListenerOpened,
        { { "listener", aListener.name_ },
          { "port", aListener.port_() },
          { "waited_ms", duration_cast<milliseconds>(waited).count() } });
  }
  aListener.onOpened_();
}

void Listeners::OnFailed(Listener& aListener)
{
  parts_.metrics_.Count("gooseberrylift_listen_failures_total",
                        "listener=\"" + aListener.name_ + "\"");
  const TimePoint now = TimerService::Now();
  if (aListener.lastLog_ != TimePoint{} &&
      now - aListener.lastLog_ < kLogInterval) {
    return;
  }
  aListener.lastLog_ = now;
  const auto waited = now - aListener.firstAttempt_;
  Log(LogEvent::kListenerAwaited,
      { { "listener", aListener.name_ },
        { "address", aListener.address_ },
        { "fault", aListener.lastError_.message() },
        { "waited_ms", duration_cast<milliseconds>(waited).count() } });
}

} // namespace gooseberrylift
