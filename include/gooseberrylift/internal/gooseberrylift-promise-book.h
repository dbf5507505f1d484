// Gives rejected callers a time to return, and recognizes them when they do.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PROMISE_BOOK_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PROMISE_BOOK_H_

#include <chrono>
#include <mutex>
#include <string>
#include <vector>

#include "gooseberrylift/internal/gooseberrylift-metrics.h"
#include "gooseberrylift/limits/gooseberrylift-return-promises.h"
#include "gooseberrylift/membership/gooseberrylift-load-message.h"

namespace gooseberrylift {

// Thread-safe.
class PromiseBook
{
public:
  // A request that is being rejected. For requests without an engine profile,
  // prefill_ is the duration of a request.
  struct Rejection
  {
    const std::string& attemptId_;
    const std::string& fingerprint_;
    const std::string& service_;
    TimePoint firstArrived_{};
    std::chrono::milliseconds expectedWait_{ 0 };
    std::chrono::milliseconds maxDelay_{ 0 };
    std::chrono::microseconds prefill_{ 0 };
    std::size_t engines_ = 1;
  };

  explicit PromiseBook(Metrics& aMetrics)
    : metrics_(aMetrics)
  {
  }

  /// Sets the number of hosts, this one included.
  void SetHosts(std::size_t aHosts);

  /// Chooses and logs when a rejected caller is to return.
  /// @return the retry delay
  std::chrono::milliseconds Promise(const Rejection& aRejection);

  /// Records that a request has arrived; uses and logs its claim, if any.
  ArrivedReturn OnArrived(const std::string& aAttemptId,
                          const std::string& aFingerprint);

  /// Returns the prefill time that is kept for callers who return within a
  /// time, on a single engine.
  std::chrono::microseconds KeptPrefill(const std::string& aService,
                                        std::chrono::microseconds aWithin);

  /// Applies the promises of a load message.
  void OnLoadMessage(const LoadMessage& aMessage);

  /// Returns this host's changes, for its next load message.
  std::vector<ReturnPromise> TakeOwnNews();

  /// Returns the changes of this host's zone, for the other zones.
  std::vector<ReturnPromise> TakeZoneNews();

  /// Counts expired promises; to be called periodically.
  void Sweep();

private:
  Metrics& metrics_;
  std::mutex mutex_; // guards the members below
  ReturnPromises promises_{ ReturnPromises::Options{} };
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PROMISE_BOOK_H_
