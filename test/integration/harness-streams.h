// Streams that last for seconds, for tests in which hosts, endpoints or the
// store stand still meanwhile.

#ifndef GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_STREAMS_H_
#define GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_STREAMS_H_

#include "harness-gateway.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace gooseberrylift::test {

// Callers that each read one stream and wait for it as long as it takes.
class LongStreams
{
public:
  struct Options
  {
    std::vector<std::uint16_t> ports_; // of the hosts, in turn
    int count_ = 24;
    int events_ = 0; // of a whole stream
    std::chrono::milliseconds deadline_{ 60'000 };
  };

  explicit LongStreams(Options aOptions);
  ~LongStreams();
  LongStreams(const LongStreams&) = delete;
  LongStreams& operator=(const LongStreams&) = delete;

  /// Waits for the ends of all streams.
  /// @return the number of those that are not whole
  int CountCut();

  /// Returns the attempt IDs of the streams that are not whole; see CountCut.
  std::vector<std::string> Cut() const { return cut_; }

private:
  void Read(int aStream);

  Options options_;
  std::mutex mutex_; // guards cut_
  std::vector<std::string> cut_;
  std::vector<std::thread> threads_;
};

/// Returns a deployment's initial route document, with timeouts that are longer
/// than the streams.
json LongStreamDocument(const GatewayDeployment& aDeployment);

/// Writes a route document and waits until the first hosts have applied it.
void ApplyDocument(GatewayDeployment& aDeployment,
                   const json& aDocument,
                   std::size_t aHosts);

/// Applies LongStreamDocument at the first hosts.
void ApplyLongTimeouts(GatewayDeployment& aDeployment, std::size_t aHosts = 1);

/// Returns the body of a whole stream.
std::string LongStreamBody(int aEvents);

/// Returns settings of engines whose streams last for a while.
json LongStreamEngine(int aEvents, std::chrono::milliseconds aInterval);

/// Sends a signal, such as SIGSTOP, to the first engines.
void SignalEngines(GatewayDeployment& aDeployment, int aEngines, int aSignal);

/// Stops the first engines for a while.
void PauseEngines(GatewayDeployment& aDeployment,
                  int aEngines,
                  std::chrono::milliseconds aPause);

/// Sends a signal to all proxies on links of hosts.
void SignalLinks(GatewayDeployment& aDeployment, int aSignal);

/// Sums a counter of a host, over all of its labels.
int SumMetric(Host& aHost, const std::string& aName);

} // namespace gooseberrylift::test

#endif // GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_STREAMS_H_
