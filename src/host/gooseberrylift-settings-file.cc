#include "gooseberrylift/internal/gooseberrylift-settings-file.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <system_error>
#include <thread>

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-process-signals.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kMaxBytes = 1024 * 1024;
constexpr std::size_t kReadBytes = 4096;
constexpr milliseconds kPipeTimeout{ 500 };

constexpr milliseconds kWaitLimit{ 5'000 };
constexpr milliseconds kRetryInterval{ 50 };
constexpr milliseconds kLogInterval{ 1'000 };

Error Unreadable(const std::string& aPath, int aErrno)
{
  const std::string reason = std::generic_category().message(aErrno);
  return MakeError(ResultCode::kSettingsUnreadable,
                   aPath + ": can't be read: " + reason);
}

Error TooLarge(const std::string& aPath)
{
  return MakeError(ResultCode::kSettingsInvalid,
                   aPath + ": larger than " + std::to_string(kMaxBytes) +
                     " bytes");
}

bool IsPipeOrDevice(const std::string& aPath)
{
  std::error_code ignored; // an error is reported when the file is read
  const auto status = std::filesystem::status(aPath, ignored);
  return std::filesystem::is_fifo(status) ||
         std::filesystem::is_socket(status) ||
         std::filesystem::is_character_file(status) ||
         std::filesystem::is_block_file(status);
}

Outcome<std::string> ReadRegularFile(const std::string& aPath)
{
  errno = 0;
  std::ifstream file(aPath, std::ios::binary);
  std::string text;
  std::array<char, kReadBytes> buffer{};
  while (file && text.size() <= kMaxBytes) {
    file.read(buffer.data(), buffer.size());
    text.append(buffer.data(), static_cast<std::size_t>(file.gcount()));
  }
  if (!file.is_open() || file.bad()) {
    return Unreadable(aPath, errno);
  }
  if (text.size() > kMaxBytes) {
    return TooLarge(aPath);
  }
  return text;
}

Outcome<std::string> ReadPipe(const std::string& aPath, milliseconds aTimeout)
{
  const int descriptor =
    ::open(aPath.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
  if (descriptor < 0) {
    return Unreadable(aPath, errno);
  }
  const TimePoint deadline = TimerService::Now() + aTimeout;
  std::string text;
  std::array<char, kReadBytes> buffer{};
  ssize_t size = 1;
  int error = 0;
  while (size > 0 && text.size() <= kMaxBytes) {
    const auto left =
      duration_cast<milliseconds>(deadline - TimerService::Now());
    pollfd watched{ .fd = descriptor, .events = POLLIN };
    if (left.count() <= 0 ||
        ::poll(&watched, 1, static_cast<int>(left.count())) <= 0) {
      break;
    }
    size = ::read(descriptor, buffer.data(), buffer.size());
    error = size < 0 ? errno : 0;
    text.append(buffer.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
  }
  ::close(descriptor);
  if (error != 0) {
    return Unreadable(aPath, error);
  }
  if (text.size() > kMaxBytes) {
    return TooLarge(aPath);
  }
  return text;
}

// Whether waiting longer can't improve what was read.
bool IsFinal(const Outcome<std::string>& aText)
{
  return aText ? IsCompleteJson(aText.value())
               : aText.error().code_ == ResultCode::kSettingsInvalid;
}

std::string ReasonOf(const Outcome<std::string>& aText,
                     const std::string& aPath)
{
  if (!aText) {
    return aText.error().text_;
  }
  return aPath + (aText.value().empty() ? ": empty" : ": no complete JSON");
}

// Blocks the signals that stop a host or make it reload its settings, so that
// it can wait for them.
class BlockedSignals
{
public:
  BlockedSignals()
  {
    ::sigemptyset(&signals_);
    for (const int signal : kStopSignals) {
      ::sigaddset(&signals_, signal);
    }
    ::sigaddset(&signals_, kReloadSignal);
    ::pthread_sigmask(SIG_BLOCK, &signals_, &previous_);
  }
  ~BlockedSignals() { ::pthread_sigmask(SIG_SETMASK, &previous_, nullptr); }
  BlockedSignals(const BlockedSignals&) = delete;
  BlockedSignals& operator=(const BlockedSignals&) = delete;

  // Waits for a signal; returns whether it asks the host to stop.
  bool WaitForStop(milliseconds aTimeout) const
  {
    const auto seconds = duration_cast<std::chrono::seconds>(aTimeout);
    const std::chrono::nanoseconds rest = aTimeout - seconds;
    const timespec timeout{ .tv_sec = seconds.count(),
                            .tv_nsec = rest.count() };
    const int signal = ::sigtimedwait(&signals_, nullptr, &timeout);
    if (signal < 0 && errno != EAGAIN && errno != EINTR) {
      std::this_thread::sleep_for(aTimeout); // the call isn't available
    }
    return std::find(kStopSignals.begin(), kStopSignals.end(), signal) !=
           kStopSignals.end();
  }

private:
  sigset_t signals_{};
  sigset_t previous_{};
};

} // namespace

bool IsCompleteJson(const std::string& aText)
{
  return nlohmann::json::accept(aText);
}

Outcome<std::string> ReadSettingsFile(const std::string& aPath,
                                      milliseconds aPipeTimeout)
{
  if (!IsPipeOrDevice(aPath)) {
    return ReadRegularFile(aPath);
  }
  if (aPipeTimeout.count() == 0) {
    return MakeError(ResultCode::kSettingsUnreadable,
                     aPath + ": not a regular file");
  }
  return ReadPipe(aPath, aPipeTimeout);
}

Outcome<std::optional<std::string>> AwaitSettingsFile(const std::string& aPath)
{
  Outcome<std::string> text = ReadSettingsFile(aPath, kPipeTimeout);
  if (!IsFinal(text)) {
    WriteToStandardError("gooseberrylift: waits for its settings: " +
                         ReasonOf(text, aPath));
    StartLogging("info", "");
    const BlockedSignals signals;
    const TimePoint start = TimerService::Now();
    milliseconds waited{ 0 };
    milliseconds nextLog{ 0 };
    while (!IsFinal(text) && waited < kWaitLimit) {
      if (waited >= nextLog) {
        nextLog += kLogInterval;
        Log(LogEvent::kSettingsAwaited,
            { { "fault", ReasonOf(text, aPath) },
              { "waited_ms", waited.count() } });
      }
      if (signals.WaitForStop(kRetryInterval)) {
        return std::optional<std::string>();
      }
      text = ReadSettingsFile(aPath, kPipeTimeout);
      waited = duration_cast<milliseconds>(TimerService::Now() - start);
    }
  }
  if (!text) {
    return text.error();
  }
  return std::optional<std::string>(std::move(text.value()));
}

} // namespace gooseberrylift
