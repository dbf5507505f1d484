// Runs calls with at-most-once semantics. The intent is written to the store
// before the dispatch and the outcome after it; a duplicate of the call gets
// the recorded outcome.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ONCE_RUNNER_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ONCE_RUNNER_H_

#include <atomic>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "gooseberrylift/internal/gooseberrylift-once-ledger.h"
#include "gooseberrylift/internal/gooseberrylift-service-runner.h"

namespace gooseberrylift {

// Each call runs in its own coroutine, so that a caller that disconnects or
// reaches its deadline can't interrupt it between the dispatch and the record
// of the outcome. Thread-safe:
//
//   auto answer = co_await once.Run(call, key);
class OnceRunner
{
public:
  struct Options
  {
    // Longer responses are not stored.
    std::size_t maxStoredResultBytes_ = 16 * 1024;
    std::size_t maxResponseBytes_ = 16 * 1024 * 1024;
    // For the write of an intent.
    std::chrono::milliseconds intentTimeout_{ 2000 };
    // Lease of an intent beyond the call's deadline.
    std::chrono::milliseconds leaseMargin_{ 1000 };
    // For retries of the outcome's write.
    std::chrono::milliseconds recordTimeout_{ 600'000 };
    // Delay of an outcome's write, so that it can be combined with others. It
    // is much shorter than the time a caller needs to send a duplicate. If the
    // host crashes within this delay, the call stays "unknown".
    std::chrono::milliseconds recordBatchDelay_{ 20 };
    // For the outcome of another attempt.
    std::chrono::milliseconds initialPollInterval_{ 20 };
    std::chrono::milliseconds maxPollInterval_{ 250 };
  };

  OnceRunner(ServiceRunner& aServices,
             OnceLedger& aLedger,
             boost::asio::any_io_executor aExecutor,
             Metrics& aMetrics,
             Options aOptions);

  /// Runs a call, or returns the outcome of an earlier call with the same key.
  /// @param aCall the call, with its deadline in info_
  /// @param aKey the caller's Idempotency-Key
  /// @return the endpoint's response, or an error whose ran_ refers to this
  /// request: kNo means that it was not and never will be dispatched
  boost::asio::awaitable<Outcome<HttpResponse>> Run(ServiceCall aCall,
                                                    std::string aKey);

  /// Returns whether no call is running and all outcomes are recorded.
  bool Idle() const;

private:
  struct Attempt;
  boost::asio::awaitable<void> RunAttempt(std::shared_ptr<Attempt> aAttempt);
  boost::asio::awaitable<OnceReply> Claim(std::shared_ptr<Attempt> aAttempt);
  boost::asio::awaitable<Outcome<HttpResponse>> Dispatch(
    std::shared_ptr<Attempt> aAttempt);
  boost::asio::awaitable<Outcome<HttpResponse>> ReadResponse(HttpCall& aCall);
  void RecordOutcome(const Attempt& aAttempt,
                     const Outcome<HttpResponse>& aOutcome);
  Outcome<HttpResponse> ResponseFor(const OnceReply& aReply) const;

  ServiceRunner& services_;
  OnceLedger& ledger_;
  boost::asio::any_io_executor executor_;
  Metrics& metrics_;
  Options options_;
  std::atomic<std::size_t> active_ = 0;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ONCE_RUNNER_H_
