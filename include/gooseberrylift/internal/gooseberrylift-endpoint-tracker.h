// Polls the host list and the load reports of endpoints, and maintains the
// endpoints_ section of the blackboard.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ENDPOINT_TRACKER_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ENDPOINT_TRACKER_H_

#include <atomic>
#include <chrono>
#include <mutex>
#include <set>
#include <string>

#include "gooseberrylift/gooseberrylift-endpoint-registry.h"
#include "gooseberrylift/internal/gooseberrylift-blackboard.h"
#include "gooseberrylift/internal/gooseberrylift-http-client.h"

namespace gooseberrylift {

// Writes the section endpoints_; reads peers_. Thread-safe.
class EndpointTracker
{
public:
  struct Options
  {
    std::string listAddress_; // IP:port of the server of the host list
    std::chrono::milliseconds listPoll_{ 1000 };
    std::chrono::milliseconds loadPoll_{ 250 };
    // Timeout of one load poll. Three failed polls and the delays between them
    // must take less than 2 s even if the endpoint hangs: 3 * (350 + 250) ms.
    std::chrono::milliseconds timeout_{ 350 };
  };

  EndpointTracker(HttpClient& aClient,
                  boost::asio::any_io_executor aExecutor,
                  Blackboard& aBoard,
                  Options aOptions);

  /// Subscribes to the endpoint states that peers report, for the lifetime of
  /// the blackboard.
  void FollowPeers();

  /// Polls the host list and the endpoints until cancelled.
  boost::asio::awaitable<void> Run();

  /// Records that a request could not reach an endpoint.
  void ReportFailure(const std::string& aEndpoint);

  /// Records that an endpoint announced in a response that it is leaving.
  void ReportLeaving(const std::string& aEndpoint);

private:
  boost::asio::awaitable<void> PollList();
  boost::asio::awaitable<void> PollLoad(std::string aName,
                                        std::string aAddress);
  void StartLoadPolls();
  void Publish(bool aChanged);

  HttpClient& client_;
  boost::asio::any_io_executor executor_;
  Blackboard& board_;
  Options options_;
  std::mutex mutex_; // guards registry_, polling_, dirty_
  EndpointRegistry registry_;
  // Set while the host list is unavailable, so that this is logged once.
  std::atomic<bool> listUnavailable_ = false;
  // Endpoints with a poll in flight, at most one each.
  std::set<std::string> polling_;
  bool dirty_ = false;
  std::mutex publishMutex_; // keeps snapshots in order
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ENDPOINT_TRACKER_H_
