// Tests of clients that don't keep to the limits, at hosts that serve models:
// the host lives, stays within its machine's memory, and still serves.

#include "crowd-host.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;

namespace {

Deployment::Options SmallHost()
{
  return { .engines_ = 1,
           .host_ = { { "host", { { "memory_mb", kMachineBytes / kMiB } } },
                      { "caller",
                        { { "port", 0 },
                          { "max_body_bytes", kMaxBodyBytes },
                          { "max_header_bytes", kMaxHeadBytes } } } } };
}

std::string ModelPost()
{
  return PostHead("/v1/completions",
                  "Host: h\r\nAuthorization: Bearer team-one-key\r\n");
}

} // namespace

TEST_GROUP(EntryCrowdTest)
{
  Deployment deployment_{ SmallHost() };

  Process& Handle()
  {
    return deployment_.At(0).Handle();
  }

  void setup() override
  {
    CHECK_TRUE(IsOrdinaryServed());
    ResetPeakMemory(Handle().Pid());
  }

  bool IsOrdinaryServed()
  {
    return IsServed(deployment_.At(0).Port(), ChatRequest("hi", 2, false));
  }

  void CheckHolds(
    const std::string& aPort, std::size_t aClients, CrowdScript aScript)
  {
    Crowd crowd(PortOf(Handle(), aPort), aClients, std::move(aScript));
    CHECK_TRUE(crowd.Send(kSendLimit) > 0);
    CHECK_TRUE(IsOrdinaryServed());
    CheckWithinMachine(Handle());
  }
};

// Guards against keeping trailers that have not ended.
TEST(EntryCrowdTest, BoundsTrailersOnEachAddress)
{
  for (const char* port : { "caller_port", "admin_port", "peer_port" }) {
    CheckHolds(port, kFewClients, EndlessTrailers(ModelPost(), "a"));
  }
}

// Guards against holding many bodies that stop short of their length.
TEST(EntryCrowdTest, BoundsBodiesThatStopShortOnEachAddress)
{
  for (const char* port : { "caller_port", "admin_port", "peer_port" }) {
    CheckHolds(port, kManyClients, SizedBody(ModelPost(), kMaxBodyBytes, 1));
  }
}

// Guards against documents that need many times their text once parsed.
TEST(EntryCrowdTest, BoundsParsedNumbers)
{
  CheckHolds("caller_port",
             kManyClients,
             RepeatedText(ModelPost(),
                          R"({"model":"m","prompt":"a","x":[1)",
                          ",1",
                          900 * 1024,
                          R"(,1],"max_tokens":100000})"));
}

// Guards against holding many whole prompts while engines are at work.
TEST(EntryCrowdTest, BoundsWholePrompts)
{
  CheckHolds("caller_port",
             kManyClients,
             RepeatedText(ModelPost(),
                          R"({"model":"m","prompt":")",
                          "word ",
                          kMaxBodyBytes - 1024,
                          R"(","max_tokens":100000})"));
}
