// Concurrent callers for tests in which several hosts share endpoints.

#ifndef GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_CALLERS_H_
#define GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_CALLERS_H_

#include "harness-gateway.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace gooseberrylift::test {

/// Creates a request with the given attempt ID.
using MakeCallerRequest = HttpRequest (*)(const std::string& aAttempt);

/// Creates a request of the route /safe/.
HttpRequest MakeSafeRequest(const std::string& aAttempt);

/// Creates a request of the route /unsafe/ with a short body.
HttpRequest MakeUnsafeRequest(const std::string& aAttempt);

/// Creates a streaming request with a short prompt.
HttpRequest MakeShortPrompt(const std::string& aAttempt);

/// Returns the first hosts of a deployment.
std::vector<Host*> HostsOf(GatewayDeployment& aDeployment, std::size_t aCount);

/// Returns the steady clock's time, which the fakes report arrivals in.
std::int64_t NowMs();

/// Returns the attempt ID of a caller's request, which names its host.
std::string AttemptIdOf(std::size_t aHost, int aNumber);

/// Returns the host that an attempt ID of AttemptIdOf names.
std::size_t HostOf(const std::string& aAttempt);

// One caller thread per host, each of which sends requests with a pause of
// aPause between them.
class Callers
{
public:
  Callers(const std::vector<Host*>& aHosts,
          MakeCallerRequest aMake,
          std::chrono::milliseconds aPause);

  /// The same for hosts that may restart, by their ports.
  Callers(const std::vector<std::uint16_t>& aPorts,
          MakeCallerRequest aMake,
          std::chrono::milliseconds aPause);

  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  void Stop();

  int Asked() const { return asked_; }
  int Served() const { return served_; }

private:
  std::atomic<bool> stop_ = false;
  std::atomic<int> asked_ = 0;
  std::atomic<int> served_ = 0;
  std::vector<std::thread> threads_;
};

} // namespace gooseberrylift::test

#endif // GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_CALLERS_H_
