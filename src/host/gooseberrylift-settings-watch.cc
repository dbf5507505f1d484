#include "gooseberrylift/internal/gooseberrylift-settings-watch.h"

#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>

#include <boost/asio/use_awaitable.hpp>
#include <boost/leaf/handle_errors.hpp>

#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-process-signals.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;
namespace leaf = boost::leaf;

namespace {

// The settings file may change without a signal. Checking it is cheap, since it
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
  SpawnLoop(parts_.executor_, [this] { return WatchFile(); });
  SpawnLoop(parts_.executor_, [this] { return WaitForSignals(); });
}

void SettingsWatch::Reload()
{
  std::ifstream file(parts_.path_);
  const std::string text(std::istreambuf_iterator<char>(file), {});
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(settings, Settings::Parse(text));
      if (!settings.gateway_) {
        return leaf::new_error(MakeError(ResultCode::kSettingsInvalid,
                                         "<root>: no 'gateway' section"));
      }
      parts_.apply_(*settings.gateway_);
      SetLogLevel("all", settings.logLevel_);
      Log(LogEvent::kSettingsReloaded, { { "path", parts_.path_ } });
      return {};
    },
    [&](const Error& aError) {
      Log(LogEvent::kSettingsRefused,
          { { "path", parts_.path_ }, { "fault", aError.text_ } });
    },
    [] { Log(LogEvent::kSettingsRefused); });
}

asio::awaitable<void> SettingsWatch::WatchFile()
{
  std::error_code error;
  auto lastWriteTime = std::filesystem::last_write_time(parts_.path_, error);
  while (!error) {
    co_await TimerService::SleepFor(kPollInterval);
    const auto changed = std::filesystem::last_write_time(parts_.path_, error);
    if (!error && changed != lastWriteTime) {
      lastWriteTime = changed;
      Reload();
    }
  }
}

asio::awaitable<void> SettingsWatch::WaitForSignals()
{
  while (true) {
    co_await hangupSignals_.async_wait(asio::use_awaitable);
    Reload();
  }
}

} // namespace gooseberrylift
