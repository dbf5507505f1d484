// A host process whose log reader, signals and end are controlled by a test.

#ifndef GOOSEBERRYLIFT_TEST_SOAK_SOAK_PROCESS_H_
#define GOOSEBERRYLIFT_TEST_SOAK_SOAK_PROCESS_H_

#include <atomic>
#include <chrono>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace gooseberrylift::test {

enum class LogReader
{
  kReads,
  kStalls, // the pipe or socket fills up
  kEnded,  // the reading end is closed
};

enum class LogChannel
{
  kPipe,
  kSocket,
};

// Starts a host with a settings file that the environment names. Kills it in
// the destructor if it still runs.
class SoakProcess
{
public:
  SoakProcess(const std::string& aSettingsPath, LogChannel aChannel);
  ~SoakProcess();
  SoakProcess(const SoakProcess&) = delete;
  SoakProcess& operator=(const SoakProcess&) = delete;

  void Signal(int aSignal);

  /// Waits until the program itself runs, which blocks SIGHUP first.
  bool WaitUntilLoaded(std::chrono::milliseconds aLimit) const;

  /// Sends SIGTERM; the process is expected to end from now on.
  void Stop();

  void SetLogReader(LogReader aReader) { logReader_ = aReader; }

  /// Waits for the end of the process. @return false on timeout
  bool WaitForEnd(std::chrono::milliseconds aLimit);

  /// Returns how the process ended, unless it did so after Stop() and with the
  /// exit status 0; empty while it runs.
  std::string Fault() const;

  /// Returns the last lines of the log.
  std::string LogTail() const;

private:
  void ReadLog(int aDescriptor);

  int pid_ = -1;
  bool stopped_ = false;
  std::optional<int> status_; // of waitpid()
  std::atomic<LogReader> logReader_ = LogReader::kReads;
  std::atomic<bool> done_ = false;
  mutable std::mutex mutex_; // guards log_
  std::string log_;
  std::thread reader_;
};

} // namespace gooseberrylift::test

#endif // GOOSEBERRYLIFT_TEST_SOAK_SOAK_PROCESS_H_
