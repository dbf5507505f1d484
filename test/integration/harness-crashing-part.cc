#include "harness-crashing-part.h"

#include "harness-callers.h"

namespace gooseberrylift::test {

using namespace std::chrono_literals;
namespace names = gooseberrylift::platform;

namespace {

constexpr const char* kCommonPart = "c0"; // of all prompts
constexpr std::int64_t kUnlistedAfterMs = 1500;
constexpr std::int64_t kBackAfterMs = 2000;
constexpr std::int64_t kRetryMs = 100; // while another process has the port

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

} // namespace

HttpRequest MakeSoundPrompt(const std::string& aAttempt)
{
  return MakePrompt(aAttempt, "a1:200,");
}

HttpRequest MakeCrashingPrompt(const std::string& aAttempt)
{
  return MakePrompt(aAttempt, std::string(kCrashingPart) + ":200,");
}

ReturningEngines::ReturningEngines(GatewayDeployment& aDeployment,
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

ReturningEngines::~ReturningEngines()
{
  Stop();
}

void ReturningEngines::Stop()
{
  stop_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
}

std::vector<std::int64_t> ReturningEngines::Crashes() const
{
  const std::lock_guard lock(mutex_);
  return crashes_;
}

void ReturningEngines::Start(Slot& aSlot)
{
  json settings = settings_;
  aSlot.id_ = "engine-" + std::to_string(++started_);
  settings["id"] = aSlot.id_;
  settings["port"] = aSlot.port_;
  auto fake = std::make_unique<Fake>("fleet-engine", settings);
  if (fake->Port() == 0) {
    aSlot.crashedAt_ = NowMs() - kBackAfterMs + kRetryMs;
    return;
  }
  aSlot.fake_ = std::move(fake);
  aSlot.port_ = aSlot.fake_->Port();
  aSlot.crashedAt_ = 0;
  aSlot.listed_ = true;
  deployment_.List(aSlot.id_, *aSlot.fake_, "engines");
}

void ReturningEngines::Check(Slot& aSlot)
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

void ReturningEngines::Run()
{
  while (!stop_) {
    for (Slot& slot : slots_) {
      Check(slot);
    }
    std::this_thread::sleep_for(10ms);
  }
}

} // namespace gooseberrylift::test
