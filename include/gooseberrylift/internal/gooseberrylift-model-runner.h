// Runs one generation on the engines of a pool: takes a place, sends the
// request, passes tokens on one by one, and goes on elsewhere from the last
// token when an engine fails.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_MODEL_RUNNER_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_MODEL_RUNNER_H_

#include <chrono>
#include <cstdint>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json.hpp>

#include "gooseberrylift/internal/gooseberrylift-endpoint-tracker.h"
#include "gooseberrylift/internal/gooseberrylift-metrics.h"
#include "gooseberrylift/internal/gooseberrylift-pool-broker.h"

namespace gooseberrylift {

// One generation to run.
struct Generation
{
  std::string requestId_; // echoed by the engine in each event
  std::string pool_;
  std::string target_; // path of the engine's API
  RequestInfo info_;
  nlohmann::json body_; // as the caller sent it; empty when text_ is set
  std::string text_;    // the same as text, when fields can be added to it
  TimePoint arrived_;
};

// One token as an engine sent it.
struct TokenEvent
{
  std::uint64_t index_ = 0;
  std::string text_;
  std::string finishReason_; // empty before the last token
  std::string_view raw_;     // the event's JSON
};

// Where the tokens of a generation go, each once and in order.
class TokenSink
{
public:
  virtual ~TokenSink() = default;

  /// Takes the next token.
  /// @return false to end the generation, because nobody reads on
  virtual boost::asio::awaitable<bool> OnToken(const TokenEvent& aToken) = 0;

  /// Says that no further token has arrived yet, so that a sink that gathers
  /// tokens passes them on now.
  /// @return false to end the generation, because nobody reads on
  virtual boost::asio::awaitable<bool> Flush() { co_return true; }
};

struct GenerationResult
{
  std::uint64_t tokens_ = 0;
  int attempts_ = 0;
  std::chrono::microseconds firstToken_{ 0 };
};

// Holds no state of its own between generations; safe from any thread.
class ModelRunner
{
public:
  struct Options
  {
    int maxAttempts_ = 3; // engines that may begin one generation
    int maxEngines_ = 10; // and engines tried, with those that did not
    std::chrono::milliseconds noEnginePause_{ 250 }; // of a stream under way
  };

  ModelRunner(HttpClient& aClient,
              boost::asio::any_io_executor aExecutor,
              PoolBroker& aBroker,
              EndpointTracker& aTracker,
              Metrics& aMetrics,
              Options aOptions);

  /// Runs a generation to its end marker.
  /// @return what came of it, or the error of the last attempt
  boost::asio::awaitable<Outcome<GenerationResult>> Run(Generation aGeneration,
                                                        TokenSink& aSink);

private:
  struct Progress;
  boost::asio::awaitable<Outcome<void>> Attempt(const Generation& aGeneration,
                                                Progress& aProgress,
                                                Placement& aPlacement,
                                                TokenSink& aSink);
  boost::asio::awaitable<Outcome<void>> ReadStream(
    const Generation& aGeneration,
    Progress& aProgress,
    Placement& aPlacement,
    HttpCall& aCall,
    TokenSink& aSink);
  boost::asio::awaitable<Outcome<void>> TakeToken(const Generation& aGeneration,
                                                  Progress& aProgress,
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
