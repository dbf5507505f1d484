// Reads a host's settings again when they change.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SETTINGS_WATCH_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SETTINGS_WATCH_H_

#include <functional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/signal_set.hpp>

#include "gooseberrylift/gooseberrylift-settings.h"

namespace gooseberrylift {

// Of a host that serves routes. SIGHUP says that the file has changed, but it
// may also change without a signal. Settings that are not valid change nothing.
class SettingsWatch
{
public:
  struct Parts
  {
    boost::asio::any_io_executor executor_;
    std::string path_; // of the settings file
    // Takes the new bounds.
    std::function<void(const GatewaySettings& aBounds)> apply_;
  };

  explicit SettingsWatch(Parts aParts);

  /// Begins to watch the file and to wait for signals.
  void Start();

private:
  boost::asio::awaitable<void> WatchFile();
  boost::asio::awaitable<void> WaitForSignals();
  void Reload();

  Parts parts_;
  // Lives as long as the host: without it SIGHUP would end the process.
  boost::asio::signal_set hangupSignals_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SETTINGS_WATCH_H_
