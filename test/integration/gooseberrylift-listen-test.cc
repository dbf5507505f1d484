// Tests hosts whose ports, addresses or descriptors are not available when they
// start: they wait for what will pass by itself and serve callers meanwhile.

#include "harness-gateway.h"
#include "harness-ports.h"
#include "harness-raw-connection.h"

#include <csignal>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds kLimit(10);
constexpr const char* kStarted = "\"event\":1000";
constexpr const char* kAwaited = "\"event\":1009";
constexpr const char* kOpened = "\"event\":1016";

json Started(Process& aProcess)
{
  return json::parse(
    aProcess.WaitForLine(kStarted, kLimit), nullptr, false, true);
}

std::uint16_t PortOf(const json& aStarted, const char* aName)
{
  return aStarted.is_object() ? aStarted.value(aName, std::uint16_t{ 0 }) : 0;
}

int StatusOf(std::uint16_t aPort, HttpRequest aRequest)
{
  const auto response = Send(aPort, std::move(aRequest));
  return response ? response.value().status_ : 0;
}

std::size_t Count(const std::string& aText, const std::string& aPart)
{
  std::size_t count = 0;
  for (std::size_t at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

struct Answers
{
  int served_ = 0;
  int refused_ = 0; // by a response that says that the request did not run
  int missing_ = 0;
};

void Add(const RawConnection& aConnection, Answers& aAnswers)
{
  const bool isRefusal =
    aConnection.Status() == 503 &&
    aConnection.Received().find("Retry-After: ") != std::string::npos &&
    aConnection.Received().find("Connection: close") != std::string::npos;
  aAnswers.served_ += aConnection.Status() == 200 ? 1 : 0;
  aAnswers.refused_ += isRefusal ? 1 : 0;
  aAnswers.missing_ += aConnection.Status() == 0 ? 1 : 0;
}

} // namespace

TEST_GROUP(ListenTest)
{
  GatewayDeployment deployment_{ { .hosts_ = 0, .engines_ = 1 } };

  std::unique_ptr<Process> Start(const json& aChange,
                                 const std::string& aLimits = "true")
  {
    json settings = deployment_.HostSettings("host-0");
    settings.merge_patch(aChange);
    return std::make_unique<Process>(
      "/bin/sh",
      std::vector<std::string>{ "-c",
                                aLimits +
                                  " && exec \"$0\" serve --settings \"$1\"",
                                PRODUCT_BINARY,
                                settings.dump() });
  }

  bool WaitServing(std::uint16_t aPort)
  {
    return WaitUntil(kLimit, [&] {
      return StatusOf(aPort, RouteRequest("GET", "/open/x", "probe", "")) ==
             200;
    });
  }

  // Opens all connections and then sends a request over one after the other.
  // Connections that were served stay open. Ends after some missing answers.
  Answers SendOverConnections(Process & aHost, int aCount)
  {
    const std::uint16_t port = PortOf(Started(aHost), "caller_port");
    CHECK_TRUE(WaitServing(port));
    std::vector<std::unique_ptr<RawConnection>> connections;
    connections.reserve(static_cast<std::size_t>(aCount));
    for (int index = 0; index < aCount; ++index) {
      connections.push_back(std::make_unique<RawConnection>(port));
    }
    Answers answers;
    for (auto& connection : connections) {
      if (answers.missing_ >= 3) {
        break;
      }
      connection->Write("GET /open/x HTTP/1.1\r\nHost: house.example\r\n" +
                        std::string(platform::kAttemptId) + ": " +
                        std::to_string(connections.size()) + "\r\n\r\n");
      connection->ReadUntil("\r\n\r\n", 3s);
      Add(*connection, answers);
      if (connection->Status() != 200) {
        connection.reset();
      }
    }
    return answers;
  }

  // Sends requests to another host until it has told this one of its load.
  bool WaitForLoadMessages(Process & aHost, std::uint16_t aOtherPort)
  {
    const std::uint16_t admin = PortOf(Started(aHost), "admin_port");
    return WaitUntil(kLimit, [&] {
      StatusOf(aOtherPort, StreamRequest("load-" + std::to_string(++load_)));
      const auto metrics = Send(admin, MakeRequest("/metrics"));
      return metrics &&
             metrics.value().body_.find("gooseberrylift_load_words_total") !=
               std::string::npos;
    });
  }

  int load_ = 0;
};

// Guards against a host that exits because another process holds its peer port.
TEST(ListenTest, ServesCallersWhileItsPeerPortIsHeld)
{
  const std::uint16_t port = FindFreePorts(1);
  auto held = std::make_unique<HeldPort>(port);
  const auto host = Start({ { "peer", { { "port", port } } } });
  const json started = Started(*host);
  CHECK_TRUE(WaitServing(PortOf(started, "caller_port")));
  CHECK_EQUAL(0, PortOf(started, "peer_port"));
  CHECK_EQUAL(200,
              StatusOf(PortOf(started, "ready_port"), MakeRequest("/readyz")));
  CHECK_FALSE(host->WaitForLine(kAwaited, kLimit).empty());
  held.reset();
  STRCMP_CONTAINS(("\"port\":" + std::to_string(port)).c_str(),
                  host->WaitForLine(kOpened, kLimit).c_str());
  CHECK_EQUAL(-1, host->WaitForExit(0ms));
  CHECK_EQUAL(1U, Count(host->Output(), kStarted));
}

// Guards against a host that exits because the previous process still drains.
TEST(ListenTest, StartsOnTheSamePortsOnceThePreviousProcessHasEnded)
{
  const std::uint16_t first = FindFreePorts(4);
  const json ports = { { "caller", { { "port", first } } },
                       { "ready", { { "port", first + 1 } } },
                       { "admin", { { "port", first + 2 } } },
                       { "peer", { { "port", first + 3 } } },
                       { "drain", { { "lag_ms", 1000 } } } };
  const auto previous = Start(ports);
  CHECK_TRUE(WaitServing(first));
  previous->Signal(SIGTERM);
  const auto host = Start(ports);
  CHECK_EQUAL(0, previous->WaitForExit(kLimit));
  const json started = Started(*host);
  CHECK_EQUAL(first, PortOf(started, "caller_port"));
  CHECK_EQUAL(first + 1, PortOf(started, "ready_port"));
  CHECK_EQUAL(first + 2, PortOf(started, "admin_port"));
  CHECK_TRUE(WaitServing(first));
}

// Guards against a host that exits because the kernel gave its callers' port to
// an outgoing connection.
TEST(ListenTest, WaitsForACallersPortThatAnOutgoingConnectionHolds)
{
  const std::uint16_t port = FindFreePorts(1);
  auto held =
    std::make_unique<ConnectionFromPort>(port, deployment_.Store().Port());
  const auto host = Start({ { "caller", { { "port", port } } } });
  CHECK_FALSE(host->WaitForLine(kAwaited, kLimit).empty());
  CHECK_EQUAL(0U, Count(host->Output(), kStarted));
  held.reset();
  CHECK_EQUAL(port, PortOf(Started(*host), "caller_port"));
  CHECK_TRUE(WaitServing(port));
}

TEST(ListenTest, StopsAtOnceWhileItWaitsForItsCallersPort)
{
  const std::uint16_t port = FindFreePorts(1);
  const HeldPort held(port);
  const auto host = Start({ { "caller", { { "port", port } } },
                            { "drain", { { "lag_ms", 8000 } } } });
  CHECK_FALSE(host->WaitForLine(kAwaited, kLimit).empty());
  host->Signal(SIGTERM);
  CHECK_EQUAL(0, host->WaitForExit(1s));
}

TEST(ListenTest, WaitsForAnAddressThatTheMachineDoesNotHaveYet)
{
  // Reserved for documentation, so no machine has it.
  const auto host = Start({ { "caller", { { "address", "192.0.2.1" } } } });
  CHECK_FALSE(host->WaitForLine(kAwaited, kLimit).empty());
  host->Signal(SIGTERM);
  CHECK_EQUAL(0, host->WaitForExit(1s));
}

TEST(ListenTest, ExitsAtOnceIfTheAddressIsNone)
{
  const auto host =
    Start({ { "peer", { { "address", "no-address" }, { "port", 0 } } } });
  CHECK_EQUAL(12, host->WaitForExit(kLimit));
}

// Datagrams and calls between hosts use the same port number.
TEST(ListenTest, TakesTheFirstPeerPortThatIsFreeForBothProtocols)
{
  const std::uint16_t first = FindFreePorts(4);
  const HeldPort heldForCalls(first);
  const HeldUdpPort heldForDatagrams(first + 1);
  const auto host =
    Start({ { "peer", { { "ports", { first, first + 3 } } } } });
  CHECK_EQUAL(first + 2, PortOf(Started(*host), "peer_port"));
  CHECK_TRUE(HeldUdpPort::IsHeld(first + 2));
}

TEST(ListenTest, TakesAPortOfTheRangeOnceOneIsFree)
{
  const std::uint16_t first = FindFreePorts(2);
  const HeldPort held(first);
  auto released = std::make_unique<HeldPort>(first + 1);
  const auto host =
    Start({ { "peer", { { "ports", { first, first + 1 } } } } });
  CHECK_TRUE(WaitServing(PortOf(Started(*host), "caller_port")));
  released.reset();
  STRCMP_CONTAINS(("\"port\":" + std::to_string(first + 1)).c_str(),
                  host->WaitForLine(kOpened, kLimit).c_str());
}

// Guards against a host without load messages for good, because its port for
// datagrams was held when it started.
TEST(ListenTest, OpensItsDatagramPortOnceItIsFree)
{
  const std::uint16_t port = FindFreePorts(1);
  auto held = std::make_unique<HeldUdpPort>(port);
  const auto host = Start({ { "peer", { { "port", port } } } });
  CHECK_EQUAL(port, PortOf(Started(*host), "peer_port"));
  held.reset();
  CHECK_FALSE(host->WaitForLine(kOpened, kLimit).empty());
  CHECK_TRUE(HeldUdpPort::IsHeld(port));
}

// Guards against peers that go on using the address of the previous process.
TEST(ListenTest, IsFoundByItsPeersAtAnotherPortAfterARestart)
{
  const std::uint16_t first = FindFreePorts(2);
  const json peer = { { "peer", { { "ports", { first, first + 1 } } } } };
  const auto other = Start({ { "host", { { "name", "host-1" } } } });
  const std::uint16_t otherPort = PortOf(Started(*other), "caller_port");
  auto previous = Start(peer);
  CHECK_EQUAL(first, PortOf(Started(*previous), "peer_port"));
  CHECK_TRUE(WaitForLoadMessages(*previous, otherPort));
  previous.reset();
  const HeldPort held(first);
  const auto host = Start(peer);
  CHECK_EQUAL(first + 1, PortOf(Started(*host), "peer_port"));
  CHECK_TRUE(WaitForLoadMessages(*host, otherPort));
}

// Guards against callers that hold so many connections that the host neither
// reaches endpoints nor accepts another caller.
TEST(ListenTest, AnswersEachCallerWhileTheyHoldMoreConnectionsThanItCanServe)
{
  const auto host = Start(json::object(), "ulimit -n 64");
  const Answers answers = SendOverConnections(*host, 200);
  CHECK_EQUAL(0, answers.missing_);
  CHECK_EQUAL(200, answers.served_ + answers.refused_);
  CHECK_TRUE(answers.served_ >= 30);
  CHECK_EQUAL(-1, host->WaitForExit(0ms));
}

TEST(ListenTest, RaisesItsLimitOfDescriptorsAsFarAsItMay)
{
  const auto host = Start(json::object(), "ulimit -S -n 64");
  CHECK_EQUAL(200, SendOverConnections(*host, 200).served_);
}
