// Reloads a gateway host's settings when they change.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SETTINGS_WATCH_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SETTINGS_WATCH_H_

#include <functional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/signal_set.hpp>

#include "gooseberrylift/gooseberrylift-settings.h"
#include "gooseberrylift/internal/gooseberrylift-settings-file.h"

namespace gooseberrylift {

// Reloads the settings file on SIGHUP and when its content changes, which may
// happen without a signal. Settings that are invalid, missing or half-written
// are ignored until they are valid; the last valid ones stay in force.
class SettingsWatch
{
public:
  struct Parts
  {
    boost::asio::any_io_executor executor_;
    SettingsFile file_;
    Settings settings_; // as read from the file at the start
    // Applies the new settings.
    std::function<void(const Settings& aSettings)> apply_;
  };

  explicit SettingsWatch(Parts aParts);

  /// Starts to watch the file, if there is one, and to wait for signals.
  void Start();

private:
  enum class Cause
  {
    kPoll,
    kSignal,
  };

  boost::asio::awaitable<void> WatchFile();
  boost::asio::awaitable<void> WaitForSignals();
  void Check(Cause aCause);
  void ReportUnavailable(Cause aCause, const std::string& aFault);
  void Load();
  void Refuse(const std::string& aFault) const;

  Parts parts_; // parts_.file_.text_ is what was loaded or refused last
  // Text that was no complete JSON when last checked; its writer may not have
  // finished.
  std::string incomplete_;
  bool isAvailable_ = true;
  // A member, since without a handler SIGHUP would terminate the process.
  boost::asio::signal_set hangupSignals_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SETTINGS_WATCH_H_
