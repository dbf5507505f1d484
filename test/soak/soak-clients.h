// Callers that send plain requests and streams on kept and on new connections
// and record each request that got no complete response.

#ifndef GOOSEBERRYLIFT_TEST_SOAK_SOAK_CLIENTS_H_
#define GOOSEBERRYLIFT_TEST_SOAK_SOAK_CLIENTS_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift::test {

// A request that was written and got no complete response.
struct UnansweredRequest
{
  std::string attempt_;
  std::size_t host_ = 0;
  bool first_ = false;   // on its connection
  bool partial_ = false; // a part of the response came
  std::string error_;
  TimePoint at_;
};

class SoakClients
{
public:
  struct Options
  {
    std::vector<std::uint16_t> ports_; // of the hosts
    int count_ = 0;
    std::uint64_t seed_ = 0;
  };

  explicit SoakClients(Options aOptions);
  ~SoakClients();
  SoakClients(const SoakClients&) = delete;
  SoakClients& operator=(const SoakClients&) = delete;

  /// Waits until the running requests have ended.
  void Stop();

  /// Returns the requests without a complete response. Requires Stop().
  const std::vector<UnansweredRequest>& Unanswered() const
  {
    return unanswered_;
  }

  /// Returns the number of responses by status. Requires Stop().
  const std::map<int, int>& Statuses() const { return statuses_; }

private:
  void Run(int aClient);

  Options options_;
  std::atomic<bool> stop_ = false;
  std::mutex mutex_; // guards the results
  std::vector<UnansweredRequest> unanswered_;
  std::map<int, int> statuses_;
  std::vector<std::thread> threads_;
};

} // namespace gooseberrylift::test

#endif // GOOSEBERRYLIFT_TEST_SOAK_SOAK_CLIENTS_H_
