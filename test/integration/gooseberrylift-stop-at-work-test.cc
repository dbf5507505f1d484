// Guards against crashes, late exits, unfinished tasks and unreleased engine
// memory when a host is stopped while requests or background tasks still run.

#include "harness-gateway.h"

#include <csignal>
#include <cstdlib>
#include <optional>
#include <random>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

// Drain lag and limit, limit of the final phase of a stop, and a margin.
constexpr milliseconds kExitLimit = 200ms + 600ms + 1000ms;

// Number of seeds, each giving another delay, that every test case runs with.
int SeedCount()
{
  const char* text = std::getenv("GOOSEBERRYLIFT_STOP_SEEDS");
  return text == nullptr ? 2 : std::atoi(text);
}

milliseconds DrawDelay(int aSeed)
{
  std::minstd_rand random(static_cast<unsigned>(aSeed + 1));
  return milliseconds(random() % 400);
}

GatewayDeployment::Options ShortDrain()
{
  GatewayDeployment::Options options;
  options.engines_ = 3;
  options.engine_ = { { "event_ms", 800 } };
  options.host_["drain"] = { { "lag_ms", 50 }, { "limit_ms", 150 } };
  return options;
}

// Sends a request on a separate thread.
class PendingRequest
{
public:
  PendingRequest(Host& aHost, HttpRequest aRequest)
    : thread_([this, port = aHost.Port(), request = std::move(aRequest)] {
      answer_ = Send(port, request);
    })
  {
  }

  ~PendingRequest() { Wait(); }
  PendingRequest(const PendingRequest&) = delete;
  PendingRequest& operator=(const PendingRequest&) = delete;

  const Outcome<HttpResponse>& Answer()
  {
    Wait();
    return *answer_;
  }

private:
  void Wait()
  {
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  std::optional<Outcome<HttpResponse>> answer_;
  std::thread thread_;
};

bool EnginesHoldMemory(GatewayDeployment& aDeployment)
{
  for (std::size_t engine = 0; engine < 3; ++engine) {
    if (!aDeployment.Engine(engine).Stats().at("tickets").empty()) {
      return true;
    }
  }
  return false;
}

void WaitUntilRunning(GatewayDeployment& aDeployment, const std::string& aId)
{
  CHECK_TRUE(WaitUntil(5s, [&] { return aDeployment.Count("ran", aId) == 1; }));
}

// Checks that a signalled host exits with 0 in time and with no task left.
void CheckCleanExit(Host& aHost)
{
  LONGS_EQUAL(0, aHost.Handle().WaitForExit(kExitLimit));
  STRCMP_CONTAINS("\"tasks_left\":0", aHost.Handle().Output().c_str());
}

} // namespace

TEST_GROUP(StopAtWorkTest){
  // Runs a test case once for each seed.
  static void ForEachSeed(void (*aCase)(milliseconds aDelay)){
    for (int seed = 0; seed < SeedCount(); ++seed){ aCase(DrawDelay(seed));
}
}
}
;

TEST(StopAtWorkTest, EndsCleanlyWhenItCutsAStream)
{
  ForEachSeed([](milliseconds aDelay) {
    GatewayDeployment deployment(ShortDrain());
    PendingRequest stream(deployment.At(0), StreamRequest("at-1"));
    WaitUntilRunning(deployment, "at-1");
    std::this_thread::sleep_for(aDelay);
    deployment.At(0).Handle().Signal(SIGTERM);
    CheckCleanExit(deployment.At(0));
    CHECK_FALSE(stream.Answer().has_value()); // must not look complete
  });
}

// Guards against engines that keep memory reserved for an abandoned request.
TEST(StopAtWorkTest, FreesMemoryAtEnginesWhenItCutsALongPrompt)
{
  ForEachSeed([](milliseconds aDelay) {
    GatewayDeployment deployment(ShortDrain());
    PendingRequest stream(deployment.At(0), StreamRequest("at-1", 600'000));
    WaitUntilRunning(deployment, "at-1");
    std::this_thread::sleep_for(700ms + aDelay); // renewals are under way
    CHECK_TRUE(EnginesHoldMemory(deployment));
    deployment.At(0).Handle().Signal(SIGTERM);
    CheckCleanExit(deployment.At(0));
    CHECK_FALSE(EnginesHoldMemory(deployment));
  });
}

// Guards against closing the connection without an answer: the caller could not
// tell that an unsafe request is safe to retry.
TEST(StopAtWorkTest, Answers503ToAHeldPromptThatWasNotSent)
{
  ForEachSeed([](milliseconds aDelay) {
    GatewayDeployment deployment(ShortDrain());
    PendingRequest first(deployment.At(0), StreamRequest("at-1", 900'000));
    WaitUntilRunning(deployment, "at-1");
    PendingRequest held(deployment.At(0), StreamRequest("at-2", 900'000));
    std::this_thread::sleep_for(aDelay);
    deployment.At(0).Handle().Signal(SIGTERM);
    CheckCleanExit(deployment.At(0));
    const HttpResponse answer = held.Answer().value();
    LONGS_EQUAL(503, answer.status_);
    CHECK_TRUE(std::stod(std::string(answer.Field("Retry-After"))) > 0);
    LONGS_EQUAL(0, deployment.Count("arrived", "at-2"));
  });
}

TEST(StopAtWorkTest, EndsCleanlyWhileAnotherHostDoesNotRespond)
{
  ForEachSeed([](milliseconds aDelay) {
    GatewayDeployment::Options options = ShortDrain();
    options.hosts_ = 2;
    GatewayDeployment deployment(options);
    deployment.Board(0).Control({ { "limit", "1" } });
    deployment.At(1).Handle().Signal(SIGSTOP);
    // Peer exchanges and permit requests now get no response.
    for (int call = 0; call < 4; ++call) {
      const std::string id = "at-" + std::to_string(call);
      (void)deployment.SendToFirstHost(RouteRequest("GET", "/safe/a", id));
    }
    std::this_thread::sleep_for(aDelay);
    deployment.At(0).Handle().Signal(SIGTERM);
    CheckCleanExit(deployment.At(0));
  });
}

TEST(StopAtWorkTest, EndsCleanlyWhileTheStoreIsSlow)
{
  ForEachSeed([](milliseconds aDelay) {
    GatewayDeployment deployment(ShortDrain());
    deployment.Store().Control({ { "delay_ms", 5000 } });
    std::this_thread::sleep_for(1s + aDelay);
    deployment.At(0).Handle().Signal(SIGTERM);
    CheckCleanExit(deployment.At(0));
  });
}

TEST(StopAtWorkTest, EndsCleanlyWhenSignalsRepeatDuringTheStop)
{
  ForEachSeed([](milliseconds aDelay) {
    GatewayDeployment deployment(ShortDrain());
    PendingRequest stream(deployment.At(0), StreamRequest("at-1", 600'000));
    WaitUntilRunning(deployment, "at-1");
    std::this_thread::sleep_for(aDelay);
    Process& host = deployment.At(0).Handle();
    for (const int signal : { SIGTERM, SIGTERM, SIGHUP, SIGINT, SIGTERM }) {
      host.Signal(signal);
      std::this_thread::sleep_for(50ms);
    }
    CheckCleanExit(deployment.At(0));
    CHECK_FALSE(EnginesHoldMemory(deployment));
  });
}

TEST(StopAtWorkTest, EndsCleanlyWhenAnEntryHostCutsAStream)
{
  ForEachSeed([](milliseconds aDelay) {
    Deployment deployment(
      { .hosts_ = 1,
        .engine_ = { { "decode_us", 20'000 } },
        .host_ = { { "drain", { { "lag_ms", 50 }, { "limit_ms", 150 } } } } });
    Host& host = deployment.At(0);
    PendingRequest stream(host, ChatRequest("at-1", 500, true));
    CHECK_TRUE(WaitUntil(5s, [&] {
      return deployment.Engine(0).Stats().value("started", 0) +
               deployment.Engine(1).Stats().value("started", 0) >
             0;
    }));
    std::this_thread::sleep_for(aDelay);
    host.Handle().Signal(SIGTERM);
    CheckCleanExit(host);
    bool whole = false;
    if (stream.Answer()) {
      (void)StreamText(stream.Answer().value().body_, &whole);
    }
    CHECK_FALSE(whole);
  });
}
