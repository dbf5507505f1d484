// Tests of large requests that a host without links to endpoints relays: both
// hosts stay within their machines' memory.

#include "crowd-host.h"
#include "harness-callers.h"
#include "harness-links.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
namespace names = gooseberrylift::platform;

TEST_GROUP(RelayCrowdTest){};

// Guards against holding a body once for each host and attempt that has it.
TEST(RelayCrowdTest, BoundsBodiesOnBothHosts)
{
  GatewayDeployment::Options options = ThreeHosts(1);
  options.hosts_ = 2;
  options.host_ = { { "host", { { "memory_mb", kMachineBytes / kMiB } } } };
  options.engine_["work_ms"] = 1000;
  GatewayDeployment deployment(options);
  deployment.PutDocument(WithLimits(deployment.Document()));
  CutOff(deployment, 1);
  const HttpRequest ordinary = MakeSafeRequest("ordinary");
  CHECK_TRUE(IsServed(deployment.At(0).Port(), ordinary));
  for (std::size_t host : { 0, 1 }) {
    ResetPeakMemory(deployment.At(host).Handle().Pid());
  }
  const std::string head = PostHead(
    "/safe/crowd",
    std::string("Host: house.example\r\n") + names::kAttemptId + ": crowd\r\n" +
      names::kAuthorization + ": " + names::kKeyScheme + "team-key\r\n");
  Crowd crowd(
    deployment.At(0).Port(), kManyClients, SizedBody(head, kMaxBodyBytes, 0));
  CHECK_TRUE(crowd.Send(kSendLimit) > 0);
  CHECK_TRUE(IsServed(deployment.At(0).Port(), ordinary));
  for (std::size_t host : { 0, 1 }) {
    CheckWithinMachine(deployment.At(host).Handle());
  }
}
