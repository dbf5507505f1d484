// Runs a generation on the engines of a pool: acquires a slot, sends the
// request and forwards its tokens. When an engine fails, the generation resumes
// on another engine after the last token received.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_MODEL_RUNNER_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_MODEL_RUNNER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json.hpp>

#include "gooseberrylift/gooseberrylift-attempt-limit.h"
#include "gooseberrylift/internal/gooseberrylift-endpoint-tracker.h"
#include "gooseberrylift/internal/gooseberrylift-metrics.h"
#include "gooseberrylift/internal/gooseberrylift-pool-broker.h"

namespace gooseberrylift {

// A request for a generation.
struct Generation
{
  std::string requestId_; // the engine echoes it in each event
  std::string pool_;
  std::string target_; // path in the engine's API
  RequestInfo info_;
  nlohmann::json body_; // as received; empty when text_ is set
  HttpBody text_;       // the unparsed body, when fields can be appended to it
  TimePoint arrived_;
};

// A token as received from an engine.
struct TokenEvent
{
  std::uint64_t index_ = 0;
  std::string text_;
  std::string finishReason_; // empty before the last token
  std::string_view raw_;     // the event's JSON
};

// Receives the tokens of a generation, each exactly once and in order.
class TokenSink
{
public:
  virtual ~TokenSink() = default;

  /// Handles the next token.
  /// @return false to end the generation, because the client has disconnected
  /// or this host has lost its claim on the job
  virtual boost::asio::awaitable<bool> OnToken(const TokenEvent& aToken) = 0;

  /// Called when no further token has been received yet, so that a sink that
  /// buffers tokens can send them.
  /// @return false to end the generation, because the client has disconnected
  virtual boost::asio::awaitable<bool> Flush() { co_return true; }
};

// State of a generation across its attempts. It outlives the generation, so
// that its owner can report why a response that has begun ended.
struct GenerationProgress
{
  std::uint64_t next_ = 0; // index of the next token for the caller
  bool callerLeft_ = false;
  int attempts_ = 0;        // engines that the request was sent to
  int startedAttempts_ = 0; // of these, ended by failure after a possible start
  std::set<std::string> failed_; // engines of failed attempts
};

// Keeps no state between generations. Thread-safe.
class ModelRunner
{
public:
  struct Options
  {
    AttemptLimit::Options attempts_; // that may have been executed
    // All engines tried for a stream that has not begun.
    int maxEngines_ = 10;
    // For a stream that has begun: how long one request for an engine waits,
    // and how long after a refusal the next one is made.
    std::chrono::milliseconds placementTimeout_{ 1000 };
    std::chrono::milliseconds placementRetryInterval_{ 250 };
  };

  ModelRunner(HttpClient& aClient,
              boost::asio::any_io_executor aExecutor,
              PoolBroker& aBroker,
              EndpointTracker& aTracker,
              Metrics& aMetrics,
              Options aOptions);

  /// Runs a generation to its end marker.
  /// @param aProgress kept up to date, also when the coroutine is cancelled
  /// @return the last error if the generation ended before its end marker
  boost::asio::awaitable<Outcome<void>> Run(Generation aGeneration,
                                            TokenSink& aSink,
                                            GenerationProgress& aProgress);

private:
  // What the attempts of one generation share.
  struct Attempts
  {
    AttemptLimit limit_;
    std::optional<Placement> replacement_; // of the current attempt, if silent
  };

  boost::asio::awaitable<Outcome<Placement>> AcquireEngine(
    Generation& aGeneration,
    const GenerationProgress& aProgress,
    Attempts& aAttempts);
  boost::asio::awaitable<bool> KeepsWaiting(const Error& aError,
                                            const Generation& aGeneration,
                                            const GenerationProgress& aProgress,
                                            Attempts& aAttempts,
                                            const std::string& aEngine,
                                            HttpCall& aCall);
  boost::asio::awaitable<Outcome<void>> Attempt(const Generation& aGeneration,
                                                GenerationProgress& aProgress,
                                                Attempts& aAttempts,
                                                Placement& aPlacement,
                                                TokenSink& aSink);
  boost::asio::awaitable<Outcome<void>> ReadStream(
    const Generation& aGeneration,
    GenerationProgress& aProgress,
    Attempts& aAttempts,
    Placement& aPlacement,
    HttpCall& aCall,
    TokenSink& aSink);
  boost::asio::awaitable<Outcome<void>> HandleToken(
    const Generation& aGeneration,
    GenerationProgress& aProgress,
    Placement& aPlacement,
    const std::string& aData,
    TokenSink& aSink);

  HttpClient& client_;
  boost::asio::any_io_executor executor_;
  PoolBroker& broker_;
  EndpointTracker& tracker_;
  Metrics& metrics_;
  Options options_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_MODEL_RUNNER_H_
