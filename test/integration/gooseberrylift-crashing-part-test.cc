// Tests of prompts that share a part which crashes each engine that begins to
// write an answer to it. The engines return after some seconds, as new
// incarnations at the same addresses.

#include "harness-callers.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;
namespace names = gooseberrylift::platform;

namespace {

constexpr int kHosts = 3;
constexpr const char* kCrashingPart = "bad0";
constexpr const char* kCommonPart = "c0"; // of all prompts
// The hosts have to reject the prompts within this time after the fifth crash,
// and to serve the others within twice this time.
constexpr std::chrono::milliseconds kReactionTime{ 3'000 };
constexpr int kCrashesToReact = 5;
constexpr int kMaxLateArrivals = 3;

HttpRequest MakePrompt(const std::string& aAttempt, const std::string& aParts)
{
  HttpRequest request = StreamRequest(aAttempt);
  request.body_ = "prompt of " + aAttempt;
  request.fields_.push_back(
    { names::kPrefixHash,
      std::string(kCommonPart) + ":40," + aParts + "5e" +
        std::to_string(std::hash<std::string>{}(aAttempt)) + ":500" });
  return request;
}

HttpRequest MakeSoundPrompt(const std::string& aAttempt)
{
  return MakePrompt(aAttempt, "a1:200,");
}

HttpRequest MakeCrashingPrompt(const std::string& aAttempt)
{
  return MakePrompt(aAttempt, std::string(kCrashingPart) + ":200,");
}

// Engines that are started again some time after they crashed.
class ReturningEngines
{
public:
  ReturningEngines(GatewayDeployment& aDeployment,
                   std::size_t aCount,
                   json aSettings)
    : deployment_(aDeployment)
    , settings_(std::move(aSettings))
  {
    for (std::size_t slot = 0; slot < aCount; ++slot) {
      slots_.push_back({});
      Start(slots_.back());
    }
    thread_ = std::thread([this] { Run(); });
  }

  ~ReturningEngines() { Stop(); }
  ReturningEngines(const ReturningEngines&) = delete;
  ReturningEngines& operator=(const ReturningEngines&) = delete;

  void Stop()
  {
    stop_ = true;
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  /// Returns when engines crashed, in order, by the steady clock in ms.
  std::vector<std::int64_t> Crashes() const
  {
    const std::lock_guard lock(mutex_);
    return crashes_;
  }

private:
  struct Slot
  {
    std::string id_;
    std::unique_ptr<Fake> fake_;
    std::uint16_t port_ = 0;
    std::int64_t crashedAt_ = 0; // 0 while it runs
    bool listed_ = false;
  };

  void Start(Slot& aSlot)
  {
    json settings = settings_;
    aSlot.id_ = "engine-" + std::to_string(++started_);
    settings["id"] = aSlot.id_;
    settings["port"] = aSlot.port_;
    aSlot.fake_ = std::make_unique<Fake>("fleet-engine", settings);
    aSlot.port_ = aSlot.fake_->Port();
    aSlot.crashedAt_ = 0;
    aSlot.listed_ = true;
    deployment_.List(aSlot.id_, *aSlot.fake_, "engines");
  }

  void Check(Slot& aSlot)
  {
    const std::int64_t now = NowMs();
    if (aSlot.crashedAt_ == 0) {
      if (aSlot.fake_->Handle().WaitForExit(0ms) != -1) {
        aSlot.crashedAt_ = now;
        const std::lock_guard lock(mutex_);
        crashes_.push_back(now);
      }
      return;
    }
    if (aSlot.listed_ && now - aSlot.crashedAt_ > kUnlistedAfterMs) {
      aSlot.listed_ = false;
      deployment_.Remove(std::string(names::kEndpointsKind) + "/" + aSlot.id_);
    }
    if (now - aSlot.crashedAt_ > kBackAfterMs) {
      Start(aSlot);
    }
  }

  void Run()
  {
    while (!stop_) {
      for (Slot& slot : slots_) {
        Check(slot);
      }
      std::this_thread::sleep_for(10ms);
    }
  }

  static constexpr std::int64_t kUnlistedAfterMs = 1500;
  static constexpr std::int64_t kBackAfterMs = 2000;

  GatewayDeployment& deployment_;
  json settings_;
  int started_ = 0;
  std::vector<Slot> slots_;
  std::atomic<bool> stop_ = false;
  mutable std::mutex mutex_; // guards the member below
  std::vector<std::int64_t> crashes_;
  std::thread thread_;
};

struct Scenario
{
  std::string crashAt_ = "nothing"; // what the engine has written by then
  std::size_t engines_ = 10;
  std::chrono::milliseconds pause_{ 300 }; // of each host's crashing callers
};

// Sends crashing prompts beside sound ones until the reaction is complete.
void CheckRejectsTheCrashingPartAlone(const Scenario& aScenario)
{
  GatewayDeployment deployment(
    { .hosts_ = kHosts, .engines_ = 0, .boards_ = 1 });
  ReturningEngines engines(deployment,
                           aScenario.engines_,
                           { { "event_ms", 20 },
                             { "events", 20 },
                             { "crash_part", kCrashingPart },
                             { "crash_at", aScenario.crashAt_ } });
  const auto hosts = HostsOf(deployment, kHosts);
  for (Host* host : hosts) {
    CHECK_TRUE(WaitUntil(10s, [host] {
      const auto answer = Send(host->Port(), MakeSoundPrompt("at-known"));
      return answer && answer.value().status_ == 200;
    }));
  }
  Callers before(hosts, MakeSoundPrompt, 20ms);
  std::this_thread::sleep_for(1500ms);
  before.Stop();
  CHECK_EQUAL(before.Asked(), before.Served());

  Callers crashing(hosts, MakeCrashingPrompt, aScenario.pause_);
  Callers beside(hosts, MakeSoundPrompt, 20ms);
  const auto crashed = [&] { return engines.Crashes().size(); };
  WaitUntil(10s, [&] { return crashed() >= kCrashesToReact; });
  std::this_thread::sleep_for(2 * kReactionTime);
  beside.Stop();

  Callers after(hosts, MakeSoundPrompt, 20ms);
  std::this_thread::sleep_for(2s);
  after.Stop();
  crashing.Stop();
  engines.Stop();
  LONGS_EQUAL(0, crashing.Served());

  const auto crashes = engines.Crashes();
  int late = 0;
  if (crashes.size() >= kCrashesToReact) {
    const std::int64_t limit =
      crashes[kCrashesToReact - 1] + kReactionTime.count();
    late = static_cast<int>(
      std::count_if(crashes.begin(), crashes.end(), [limit](std::int64_t aAt) {
        return aAt > limit;
      }));
  }
  std::printf("%zu crashes, %d of them late; sound prompts served: %d of %d "
              "beside, %d of %d after\n",
              crashes.size(),
              late,
              beside.Served(),
              beside.Asked(),
              after.Served(),
              after.Asked());
  CHECK_TRUE(late <= kMaxLateArrivals);
  CHECK_TRUE(after.Served() * 2 >= after.Asked());
  CHECK_TRUE(after.Asked() * 2 >= before.Asked());
}

} // namespace

TEST_GROUP(CrashingPartTest){};

// Guards against a part that crashes engines one after the other.
TEST(CrashingPartTest, IsRejectedIfEnginesCrashBeforeTheyAnswer)
{
  CheckRejectsTheCrashingPartAlone({});
}

TEST(CrashingPartTest, IsRejectedIfEnginesCrashAfterTheHead)
{
  CheckRejectsTheCrashingPartAlone({ .crashAt_ = "head" });
}

TEST(CrashingPartTest, IsRejectedIfEnginesCrashWithinAnEvent)
{
  CheckRejectsTheCrashingPartAlone({ .crashAt_ = "event" });
}

// Guards against hosts that take engines which crashed together for lost links,
// and count none of the crashes.
TEST(CrashingPartTest, IsRejectedThoughMostEnginesAreDown)
{
  CheckRejectsTheCrashingPartAlone({ .engines_ = 14, .pause_ = 20ms });
}
