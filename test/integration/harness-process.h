// Starts programs with chosen standard descriptors and limits, for tests of
// what a host does where these are unusual.

#ifndef GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_PROCESS_H_
#define GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_PROCESS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <sys/resource.h>
#include <sys/types.h>

namespace gooseberrylift::test {

// A descriptor that is closed at the end of its scope.
class Descriptor
{
public:
  explicit Descriptor(int aNumber = -1)
    : number_(aNumber)
  {
  }
  ~Descriptor() { Close(); }
  Descriptor(Descriptor&& aOther) noexcept;
  Descriptor& operator=(Descriptor&& aOther) noexcept;

  int Number() const { return number_; }
  void Close();

private:
  int number_;
};

// The two ends of a pipe or a pair of stream sockets.
struct Channel
{
  Descriptor reader_;
  Descriptor writer_;

  static Channel Pipe();
  /// The writing end has the smallest possible buffer.
  static Channel Sockets();

  /// Writes until the writing end takes no more bytes.
  void Fill() const;

  /// Reads all that has been written so far.
  std::string Drain() const;
};

// A child process of the product without a reader of its own. The destructor
// kills it if it still runs.
class BareProcess
{
public:
  struct Options
  {
    std::vector<std::string> arguments_;
    int output_ = -1;                     // stdout; closed if negative
    int errors_ = -1;                     // stderr; closed if negative
    std::optional<rlim_t> fileSizeLimit_; // bytes
  };

  explicit BareProcess(const Options& aOptions);
  ~BareProcess();
  BareProcess(const BareProcess&) = delete;
  BareProcess& operator=(const BareProcess&) = delete;

  void Signal(int aSignal) const;

  /// Waits for the process to end.
  /// @return the exit status; 128 and the signal's number if it ended by a
  /// signal; -1 on timeout
  int WaitForExit(std::chrono::milliseconds aLimit);

  bool Runs() { return WaitForExit(std::chrono::milliseconds(0)) == -1; }

  pid_t Pid() const { return pid_; }

private:
  pid_t pid_;
  std::optional<int> status_;
};

/// Returns a port of the loopback address that is free now.
std::uint16_t FreePort();

} // namespace gooseberrylift::test

#endif // GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_PROCESS_H_
