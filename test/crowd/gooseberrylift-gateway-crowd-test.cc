// Tests of clients that don't keep to the limits, at the addresses of hosts
// that serve routes: the host lives, stays within its machine's memory and
// descriptors, and still serves.

#include "crowd-host.h"
#include "harness-gateway.h"

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;
namespace names = gooseberrylift::platform;

namespace {

const std::string kLongLine =
  "X-Filler: " + std::string(8 * 1024, 'a') + "\r\n";

GatewayDeployment::Options NoHosts()
{
  return {
    .hosts_ = 0, .engines_ = 1, .boards_ = 2, .engine_ = { { "work_ms", 1000 } }
  };
}

std::string CallerFields(const std::string& aKey = "team-key")
{
  return std::string("Host: house.example\r\n") + names::kAttemptId +
         ": crowd\r\n" + names::kDeadlineMs + ": 2500\r\n" +
         names::kAuthorization + ": " + names::kKeyScheme + aKey + "\r\n";
}

std::string SafePost()
{
  return PostHead("/safe/crowd", CallerFields());
}

} // namespace

TEST_GROUP(GatewayCrowdTest)
{
  GatewayDeployment deployment_{ NoHosts() };
  std::unique_ptr<Process> host_;

  void setup() override
  {
    deployment_.PutDocument(WithLimits(deployment_.Document()));
    host_ = StartCrowdedHost(deployment_.HostSettings("host-0"));
    CHECK_TRUE(IsOrdinaryServed());
    ResetPeakMemory(host_->Pid());
  }

  std::uint16_t CallerPort()
  {
    return PortOf(*host_, "caller_port");
  }

  bool IsOrdinaryServed()
  {
    HttpRequest request = RouteRequest("POST", "/safe/ordinary", "ordinary");
    request.body_ = std::string(1024, 'a');
    return IsServed(CallerPort(), request);
  }

  // The clients stay connected while the ordinary request is sent.
  void CheckHolds(
    const std::string& aPort, std::size_t aClients, CrowdScript aScript)
  {
    Crowd crowd(PortOf(*host_, aPort), aClients, std::move(aScript));
    CHECK_TRUE(crowd.Send(kSendLimit) > 0);
    CHECK_TRUE(IsOrdinaryServed());
    CheckWithinMachine(*host_);
  }
};

// Guards against keeping trailers that have not ended.
TEST(GatewayCrowdTest, BoundsManyTrailers)
{
  CheckHolds("caller_port",
             kFewClients,
             EndlessTrailers(SafePost(), "a\r\n" + kLongLine));
}

// Guards against keeping a trailer line that has not ended.
TEST(GatewayCrowdTest, BoundsOneTrailer)
{
  CheckHolds("caller_port", kFewClients, EndlessTrailers(SafePost(), "a"));
}

// Guards against keeping the line that begins a chunk until it ends.
TEST(GatewayCrowdTest, BoundsAChunkExtension)
{
  CheckHolds(
    "caller_port", kFewClients, EndlessChunkLine(SafePost(), "5;ext=", "a"));
}

// Guards against keeping the digits of a chunk size until they end.
TEST(GatewayCrowdTest, BoundsAChunkSize)
{
  CheckHolds(
    "caller_port", kFewClients, EndlessChunkLine(SafePost(), "0", "0"));
}

// Guards against keeping a head that has not ended.
TEST(GatewayCrowdTest, BoundsAHead)
{
  const CrowdScript script{ .begin_ = SafePost(),
                            .unit_ = kLongLine,
                            .unitBytes_ = kEndlessBytes };
  CheckHolds("caller_port", kFewClients, script);
}

// Guards against keeping the heads of many requests that stop short.
TEST(GatewayCrowdTest, BoundsHeadsThatStopShort)
{
  const CrowdScript script{ .begin_ = SafePost() + "X-Filler: ",
                            .unit_ = "a",
                            .unitBytes_ = kMaxHeadBytes - 512 };
  CheckHolds("caller_port", kManyClients, script);
}

// Guards against reading bodies that are announced as longer than the limit.
TEST(GatewayCrowdTest, BoundsAnnouncedBodiesOverTheLimit)
{
  CrowdScript script = SizedBody(SafePost(), 4096 * kMiB, 0);
  script.unitBytes_ = 4 * kMaxBodyBytes;
  CheckHolds("caller_port", kManyClients, script);
}

// Guards against holding the allowed part of many bodies over the limit.
TEST(GatewayCrowdTest, BoundsChunkedBodiesOverTheLimit)
{
  CheckHolds("caller_port",
             kManyClients,
             ChunkedBody(SafePost(), 4 * kMaxBodyBytes, ""));
}

// Guards against holding many bodies that stop short of their length.
TEST(GatewayCrowdTest, BoundsBodiesThatStopShort)
{
  CheckHolds(
    "caller_port", kManyClients, SizedBody(SafePost(), kMaxBodyBytes, 1));
}

// Guards against holding many chunked bodies that stop short of their end.
TEST(GatewayCrowdTest, BoundsChunkedBodiesThatStopShort)
{
  CheckHolds("caller_port",
             kManyClients,
             ChunkedBody(SafePost(), kMaxBodyBytes, "0\r\n"));
}

// Guards against small bodies that stop short beside large ones.
TEST(GatewayCrowdTest, BoundsSmallBodiesThatStopShort)
{
  Crowd large(
    CallerPort(), kManyClients, SizedBody(SafePost(), kMaxBodyBytes, 1));
  CHECK_TRUE(large.Send(kSendLimit) > 0);
  CheckHolds(
    "caller_port", kManyClients, SizedBody(SafePost(), kMaxBodyBytes / 16, 1));
}

// Guards against holding bodies whose last bytes come one at a time.
TEST(GatewayCrowdTest, BoundsBodiesThatEndSlowly)
{
  CrowdScript script = SizedBody(SafePost(), kMaxBodyBytes, 32);
  script.end_ = std::string(32, 'a');
  script.endPiece_ = 1;
  script.endPause_ = 100ms;
  CheckHolds("caller_port", kManyClients, script);
}

// Guards against reading bodies of requests whose heads are refused.
TEST(GatewayCrowdTest, BoundsBodiesWithoutAValidKey)
{
  CheckHolds("caller_port",
             kManyClients,
             SizedBody(PostHead("/safe/crowd", CallerFields("no such key")),
                       kMaxBodyBytes,
                       1));
}

TEST(GatewayCrowdTest, BoundsBodiesWithoutARoute)
{
  CheckHolds(
    "caller_port",
    kManyClients,
    SizedBody(PostHead("/none/crowd", CallerFields()), kMaxBodyBytes, 1));
}

// Guards against an invitation to send bodies that can't be held.
TEST(GatewayCrowdTest, BoundsBodiesThatAwaitAnInvitation)
{
  CheckHolds(
    "caller_port",
    kManyClients,
    SizedBody(SafePost() + "Expect: 100-continue\r\n", kMaxBodyBytes, 1));
}

// Guards against holding many whole bodies, and keeping their memory.
TEST(GatewayCrowdTest, BoundsWholeBodiesAndReturnsTheirMemory)
{
  CheckHolds(
    "caller_port", kManyClients, SizedBody(SafePost(), kMaxBodyBytes, 0));
  CHECK_TRUE(WaitUntil(10s, [&] {
    ResetPeakMemory(host_->Pid());
    return PeakMemory(host_->Pid()) < kMachineBytes / 2;
  }));
}

// Guards against bytes behind requests, which the kernel holds.
TEST(GatewayCrowdTest, BoundsUnreadBytesBehindRequests)
{
  deployment_.Board(0).Control({ { "fault", "hang" }, { "times", 1000 } });
  deployment_.Board(1).Control({ { "fault", "hang" }, { "times", 1000 } });
  CrowdScript script = SizedBody(SafePost(), kMaxBodyBytes / 16, 0);
  script.end_ = std::string(8 * kMaxBodyBytes, 'a');
  Crowd crowd(CallerPort(), kManyClients, script);
  std::uint64_t unread = 0;
  for (int round = 0; round < 4; ++round) {
    crowd.Send(500ms);
    unread = std::max(unread, UnreadBytes(CallerPort()));
  }
  CHECK_TRUE(unread > 0);
  CHECK_COMPARE(
    (unread + PeakMemory(host_->Pid())) / kMiB, <, kMachineBytes / kMiB);
  deployment_.Board(0).Control({ { "fault", "" } });
  deployment_.Board(1).Control({ { "fault", "" } });
  CHECK_TRUE(IsOrdinaryServed());
  CheckWithinMachine(*host_);
}

// Guards against holding answers that clients don't read.
TEST(GatewayCrowdTest, BoundsUnreadAnswersToRequestsInSeries)
{
  CrowdScript script = SizedBody(SafePost(), kMaxBodyBytes / 8, 0);
  script.times_ = 32;
  CheckHolds("caller_port", kManyClients, script);
}

// Guards against limits that hold for callers only.
TEST(GatewayCrowdTest, BoundsTrailersOnEachAddress)
{
  for (const char* port : { "ready_port", "admin_port", "peer_port" }) {
    CheckHolds(port, kFewClients, EndlessTrailers(SafePost(), "a"));
  }
}

TEST(GatewayCrowdTest, BoundsBodiesOnEachAddress)
{
  for (const char* port : { "ready_port", "admin_port", "peer_port" }) {
    CheckHolds(port, kManyClients, SizedBody(SafePost(), kMaxBodyBytes, 1));
  }
}

// Guards against idle connections that keep new callers out.
TEST(GatewayCrowdTest, ServesBesideIdleConnections)
{
  const CrowdScript script{ .begin_ = "GET /open/x HTTP/1.1\r\n" +
                                      CallerFields() + "\r\n" };
  CheckHolds("caller_port", 2 * kManyClients, script);
}

// Guards against connections that leave no descriptors for endpoints.
TEST(GatewayCrowdTest, KeepsDescriptorsForEndpoints)
{
  const CrowdScript script{ .begin_ =
                              "GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n" };
  std::vector<std::unique_ptr<Crowd>> crowds;
  for (const char* port :
       { "peer_port", "admin_port", "ready_port", "caller_port" }) {
    crowds.push_back(
      std::make_unique<Crowd>(PortOf(*host_, port), kManyClients, script));
    CHECK_TRUE(crowds.back()->Send(kSendLimit) > 0);
  }
  CHECK_TRUE(IsOrdinaryServed());
  CheckWithinMachine(*host_);
}
