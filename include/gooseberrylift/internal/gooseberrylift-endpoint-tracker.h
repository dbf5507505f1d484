// Polls the host list and the endpoints' load reports and keeps the
// blackboard's section of endpoints.

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

// Writes the section endpoints_; reads peers_. Safe to use from several
// threads.
class EndpointTracker
{
public:
  struct Options
  {
    std::string listAddress_; // IP:port of the host list
    std::chrono::milliseconds listPoll_{ 1000 };
    std::chrono::milliseconds loadPoll_{ 250 };
    // Of one poll. Three failed polls with the pauses between them must fit
    // into 2 s also for an endpoint that hangs: 3 * (350 + 250) ms.
    std::chrono::milliseconds timeout_{ 350 };
  };

  EndpointTracker(HttpClient& aClient,
                  boost::asio::any_io_executor aExecutor,
                  Blackboard& aBoard,
                  Options aOptions);

  /// Takes in what peers say of the endpoints, until the board goes.
  void FollowPeers();

  /// Polls until cancelled.
  boost::asio::awaitable<void> Run();

  /// Notes that a request met an endpoint that can't be reached.
  void ReportFailure(const std::string& aEndpoint);

  /// Notes that an endpoint refused a request because it is leaving.
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
  std::mutex mutex_; // guards book_, polling_, dirty_
  EndpointRegistry book_;
  std::atomic<bool> listLost_ = false; // said once, not at every poll
  std::set<std::string> polling_; // a slow endpoint gets one poll at a time
  bool dirty_ = false;
  std::mutex publishMutex_; // snapshots are written in their order
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ENDPOINT_TRACKER_H_
