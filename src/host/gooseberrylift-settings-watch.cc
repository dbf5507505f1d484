#include "gooseberrylift/internal/gooseberrylift-settings-watch.h"

#include <chrono>
#include <utility>

#include <boost/asio/use_awaitable.hpp>
#include <boost/leaf/handle_errors.hpp>

#include "gooseberrylift/internal/gooseberrylift-descriptor-limit.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-process-signals.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;
namespace leaf = boost::leaf;

namespace {

// The settings file may change without a signal. Reading it is cheap, since it
// is small and in memory.
constexpr std::chrono::milliseconds kPollInterval{ 1'000 };

} // namespace

SettingsWatch::SettingsWatch(Parts aParts)
  : parts_(std::move(aParts))
  , hangupSignals_(parts_.executor_, kReloadSignal)
{
}

void SettingsWatch::Start()
{
  if (!parts_.file_.path_.empty()) {
    SpawnLoop(parts_.executor_, [this] { return WatchFile(); });
  }
  SpawnLoop(parts_.executor_, [this] { return WaitForSignals(); });
}

void SettingsWatch::Check(Cause aCause)
{
  const auto text =
    ReadSettingsFile(parts_.file_.path_, std::chrono::milliseconds(0));
  if (!text || text.value().empty()) {
    ReportUnavailable(aCause, text ? "empty" : text.error().text_);
    return;
  }
  isAvailable_ = true;
  const bool isPoll = aCause == Cause::kPoll;
  const std::string previous = std::exchange(incomplete_, {});
  if (isPoll && text.value() == parts_.file_.text_) {
    return;
  }
  if (isPoll && !IsCompleteJson(text.value()) && text.value() != previous) {
    incomplete_ = text.value();
    return;
  }
  parts_.file_.text_ = text.value();
  Load();
}

void SettingsWatch::ReportUnavailable(Cause aCause, const std::string& aFault)
{
  if (aCause == Cause::kSignal) {
    Refuse(aFault);
  } else if (std::exchange(isAvailable_, false)) {
    Log(LogEvent::kSettingsUnavailable,
        { { "path", parts_.file_.path_ }, { "fault", aFault } });
  }
}

void SettingsWatch::Load()
{
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(settings, Settings::Parse(parts_.file_.text_));
      if (!settings.gateway_) {
        return leaf::new_error(MakeError(ResultCode::kSettingsInvalid,
                                         "<root>: no 'gateway' section"));
      }
      BoundConnections(settings, RaiseDescriptorLimit()); // as at the start
      parts_.apply_(settings);
      SetLogLevel("all", settings.logLevel_);
      Log(LogEvent::kSettingsReloaded, { { "path", parts_.file_.path_ } });
      const auto fields = FindRestartFields(parts_.settings_, settings);
      if (!fields.empty()) {
        Log(LogEvent::kSettingsNeedRestart,
            { { "path", parts_.file_.path_ }, { "fields", fields } });
      }
      return {};
    },
    [&](const Error& aError) { Refuse(aError.text_); },
    [&] { Refuse(""); });
}

void SettingsWatch::Refuse(const std::string& aFault) const
{
  Log(LogEvent::kSettingsRefused,
      { { "path", parts_.file_.path_ }, { "fault", aFault } });
}

asio::awaitable<void> SettingsWatch::WatchFile()
{
  while (true) {
    co_await TimerService::SleepFor(kPollInterval);
    Check(Cause::kPoll);
  }
}

asio::awaitable<void> SettingsWatch::WaitForSignals()
{
  while (true) {
    co_await hangupSignals_.async_wait(asio::use_awaitable);
    if (!parts_.file_.path_.empty()) {
      Check(Cause::kSignal);
    }
  }
}

} // namespace gooseberrylift
