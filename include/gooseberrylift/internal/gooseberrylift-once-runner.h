// Runs calls that may not be repeated: intent in the store, dispatch, outcome
// in the store; a call sent again gets the recorded outcome.

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

// Each call runs in a coroutine of its own, so that neither the caller's
// leaving nor its deadline can cut it between dispatch and record. Safe from
// any thread:
//
//   auto answer = co_await once.Run(call, key);
class OnceRunner
{
public:
  struct Options
  {
    std::size_t maxResultBytes_ = 16 * 1024; // a longer answer is not kept
    std::size_t maxAnswerBytes_ = 16 * 1024 * 1024;
    std::chrono::milliseconds storeLimit_{ 2000 };   // for writing an intent
    std::chrono::milliseconds leaseSlack_{ 1000 };   // intent beyond deadline
    std::chrono::milliseconds recordFor_{ 600'000 }; // retries of an outcome
    // How long an outcome waits to share a write. It is short beside the time
    // in which a caller can send again, and a host that dies in it leaves the
    // call "unknown".
    std::chrono::milliseconds recordAfter_{ 20 };
    std::chrono::milliseconds firstPoll_{ 20 }; // of another's outcome
    std::chrono::milliseconds lastPoll_{ 250 };
  };

  OnceRunner(ServiceRunner& aServices,
             OnceLedger& aLedger,
             boost::asio::any_io_executor aExecutor,
             Metrics& aMetrics,
             Options aOptions);

  /// Runs a call, or answers for the earlier one with the same key.
  /// @param aCall the call; its deadline is its info_'s
  /// @param aKey the caller's Idempotency-Key
  /// @return the endpoint's answer, or an error whose ran_ speaks of this
  /// request: kNo means that it was not and never will be handed on
  boost::asio::awaitable<Outcome<HttpResponse>> Run(ServiceCall aCall,
                                                    std::string aKey);

  /// Says whether no call runs and nothing is left to be recorded.
  bool Idle() const;

private:
  struct Attempt;
  boost::asio::awaitable<void> Work(std::shared_ptr<Attempt> aAttempt);
  boost::asio::awaitable<OnceReply> Claim(std::shared_ptr<Attempt> aAttempt);
  boost::asio::awaitable<Outcome<HttpResponse>> Dispatch(
    std::shared_ptr<Attempt> aAttempt);
  boost::asio::awaitable<Outcome<HttpResponse>> ReadAnswer(HttpCall& aCall);
  void Record(const Attempt& aAttempt, const Outcome<HttpResponse>& aOutcome);
  Outcome<HttpResponse> AnswerOf(const OnceReply& aReply) const;

  ServiceRunner& services_;
  OnceLedger& ledger_;
  boost::asio::any_io_executor executor_;
  Metrics& metrics_;
  Options options_;
  std::atomic<std::size_t> active_ = 0;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ONCE_RUNNER_H_
