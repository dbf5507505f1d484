// Reloads a gateway host's settings when they change.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SETTINGS_WATCH_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SETTINGS_WATCH_H_

#include <functional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/signal_set.hpp>

#include "gooseberrylift/gooseberrylift-settings.h"

namespace gooseberrylift {

// Reloads the settings file on SIGHUP and when its modification time changes,
// which may happen without a signal. Invalid settings are logged and ignored.
class SettingsWatch
{
public:
  struct Parts
  {
    boost::asio::any_io_executor executor_;
    std::string path_; // of the settings file
    // Applies the new settings.
    std::function<void(const GatewaySettings& aGatewaySettings)> apply_;
  };

  explicit SettingsWatch(Parts aParts);

  /// Starts to watch the file and to wait for signals.
  void Start();

private:
  boost::asio::awaitable<void> WatchFile();
  boost::asio::awaitable<void> WaitForSignals();
  void Reload();

  Parts parts_;
  // A member, since without a handler SIGHUP would terminate the process.
  boost::asio::signal_set hangupSignals_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SETTINGS_WATCH_H_
