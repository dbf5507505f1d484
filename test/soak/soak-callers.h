// Callers that send one stream request after the other and keep their
// connections open between them.

#ifndef GOOSEBERRYLIFT_TEST_SOAK_SOAK_CALLERS_H_
#define GOOSEBERRYLIFT_TEST_SOAK_SOAK_CALLERS_H_

#include "harness-gateway.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace gooseberrylift::test {

enum class StreamEnd
{
  kWhole,
  kLeft,    // the caller's stall timeout or deadline passed
  kRefused, // without a part of a stream
  kCut,     // with a part of a stream, or with a wrong one
};

struct SoakStream
{
  std::string attempt_;
  std::size_t host_ = 0;
  StreamEnd end_ = StreamEnd::kRefused;
  int bytes_ = 0; // of its body
  TimePoint endedAt_;
};

// A route, and the time without an event after which its callers leave.
struct SoakRoute
{
  std::string path_;
  std::chrono::milliseconds stallTimeout_{ 0 };
};

class SoakCallers
{
public:
  struct Options
  {
    std::vector<std::uint16_t> ports_; // of the hosts
    std::vector<SoakRoute> routes_;
    int count_ = 0;
    int events_ = 0; // of a whole stream
    std::chrono::milliseconds deadline_{ 20'000 };
  };

  explicit SoakCallers(Options aOptions);
  ~SoakCallers();
  SoakCallers(const SoakCallers&) = delete;
  SoakCallers& operator=(const SoakCallers&) = delete;

  /// Waits until the running streams have ended.
  /// @return all streams
  std::vector<SoakStream> Stop();

private:
  void Run(int aCaller);

  Options options_;
  std::atomic<bool> stop_ = false;
  std::mutex mutex_; // guards streams_
  std::vector<SoakStream> streams_;
  std::vector<std::thread> threads_;
};

} // namespace gooseberrylift::test

#endif // GOOSEBERRYLIFT_TEST_SOAK_SOAK_CALLERS_H_
