// Tests an engine that is lost while it reads a long prompt with the help of
// others, which hold a part of the prompt in their memory.

#include "harness-gateway.h"

#include <csignal>
#include <future>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kEngines = 6;
constexpr std::uint64_t kLongPrompt = 600'000; // beyond one engine's memory
constexpr auto kMaxUnusedMemory = 4s;
constexpr auto kMaxIdleMemory = 9s; // reserved and never used

// Callers of the stream route wait long enough for the whole prompt.
json PatientDocument(const GatewayDeployment& aDeployment, int aMaxAttempts)
{
  json document = aDeployment.Document();
  document["version"] = 2;
  document["routes"][0]["targetLatencyMs"] = 3'000;
  document["routes"][0]["timeoutMs"] = 15'000;
  document["routes"][0]["maxAttempts"] = aMaxAttempts;
  return document;
}

HttpRequest LongRequest()
{
  HttpRequest request = StreamRequest("at-1", kLongPrompt);
  for (HttpField& field : request.fields_) {
    if (field.name_ == platform::kDeadlineMs) {
      field.value_ = "15000";
    }
  }
  return request;
}

std::optional<std::size_t> FindReader(GatewayDeployment& aDeployment)
{
  for (std::size_t engine = 0; engine < kEngines; ++engine) {
    if (aDeployment.Engine(engine).Stats().at("helpers").contains("at-1")) {
      return engine;
    }
  }
  return std::nullopt;
}

bool HoldsMemory(GatewayDeployment& aDeployment,
                 std::size_t aLost,
                 const std::string& aTicket)
{
  for (std::size_t engine = 0; engine < kEngines; ++engine) {
    if (engine != aLost &&
        aDeployment.Engine(engine).Stats().at("tickets").contains(aTicket)) {
      return true;
    }
  }
  return false;
}

} // namespace

TEST_GROUP(LostReaderTest)
{
  GatewayDeployment deployment_{ { .engines_ = kEngines } };
  std::future<Outcome<HttpResponse>> answer_;
  std::size_t reader_ = 0;

  // Sends a long prompt to an engine that doesn't answer it.
  void StartReading(int aMaxAttempts = 2)
  {
    deployment_.PutDocument(PatientDocument(deployment_, aMaxAttempts));
    CHECK_TRUE(WaitUntil(5s, [this] {
      return deployment_.At(0).Status().value("generation", 0) == 2;
    }));
    SetFault("hang");
    answer_ = std::async(std::launch::async, [this] {
      return deployment_.SendToFirstHost(LongRequest());
    });
    CHECK_TRUE(
      WaitUntil(5s, [this] { return FindReader(deployment_).has_value(); }));
    reader_ = *FindReader(deployment_);
    SetFault("");
  }

  void SetFault(const std::string& aFault)
  {
    for (std::size_t engine = 0; engine < kEngines; ++engine) {
      deployment_.Engine(engine).Control({ { "fault", aFault } });
    }
  }
};

// Guards against memory that stays reserved for a request whose engine is gone.
TEST(LostReaderTest, ReleasesTheMemoryOfARequestWhoseEngineIsLost)
{
  StartReading();
  deployment_.Engine(reader_).Handle().Signal(SIGSTOP);
  CHECK_TRUE(WaitUntil(kMaxUnusedMemory, [this] {
    return !HoldsMemory(deployment_, reader_, "at-1-host-0-1-1");
  }));
  const auto answer = answer_.get();
  CHECK_TRUE(answer.has_value());
  LONGS_EQUAL(200, answer.value().status_);
  deployment_.Engine(reader_).Handle().Signal(SIGCONT);
}

// Guards against memory that is released while its engine still reads.
TEST(LostReaderTest, KeepsTheMemoryOfARequestWhoseEngineReports)
{
  StartReading();
  CHECK_FALSE(WaitUntil(kMaxUnusedMemory, [this] {
    return !HoldsMemory(deployment_, reader_, "at-1-host-0-1-1");
  }));
  deployment_.Engine(reader_).Handle().Signal(SIGKILL);
  (void)answer_.get();
}

// Guards against memory that stays reserved for an engine that hangs but
// reports, and against another attempt that is held back meanwhile.
TEST(LostReaderTest, ReleasesTheMemoryThatAHangingEngineDoesNotUse)
{
  StartReading();
  SetFault("hang");
  CHECK_TRUE(WaitUntil(kMaxIdleMemory, [this] {
    return !HoldsMemory(deployment_, kEngines, "at-1-host-0-1-1");
  }));
  CHECK_TRUE(HoldsMemory(deployment_, kEngines, "at-1-host-0-1-2"));
  (void)answer_.get();
}

// Guards against memory that is reserved again for a request that was cut off
// when its memory lapsed, and against a caller that waits for it.
TEST(LostReaderTest, ReservesNoMemoryAgainForARequestWhoseMemoryHasLapsed)
{
  StartReading(1);
  deployment_.Engine(reader_).Handle().Signal(SIGSTOP);
  CHECK_TRUE(WaitUntil(kMaxUnusedMemory, [this] {
    return !HoldsMemory(deployment_, reader_, "at-1-host-0-1-1");
  }));
  deployment_.Engine(reader_).Handle().Signal(SIGCONT);
  CHECK_FALSE(WaitUntil(kMaxUnusedMemory, [this] {
    return HoldsMemory(deployment_, reader_, "at-1-host-0-1-1");
  }));
  CHECK_TRUE(answer_.wait_for(0s) == std::future_status::ready);
  CHECK_TRUE(answer_.get().value().status_ >= 500);
}
