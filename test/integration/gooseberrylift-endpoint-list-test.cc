// Tests that every host stops sending requests to a draining endpoint in time,
// whatever part of the list of endpoints it could get from the store and from
// other hosts.

#include "harness-gateway.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;
namespace names = gooseberrylift::platform;

namespace {

// How long after the store accepted that an endpoint drains a host may still
// send requests to it, in the smallest fleets.
constexpr auto kDrainTime = 2s;

constexpr int kRequests = 30;

// Sends requests for the plain service to a host.
// @return how many of them an endpoint served
int CountServedBy(const std::string& aEndpoint, std::uint16_t aPort)
{
  int served = 0;
  for (int index = 0; index < kRequests; ++index) {
    const auto response = Send(
      aPort,
      RouteRequest("GET", "/safe/a", aEndpoint + "-" + std::to_string(index)));
    LONGS_EQUAL(200, response.value().status_);
    served += response.value().body_.ends_with("by " + aEndpoint) ? 1 : 0;
  }
  return served;
}

json PeerSettings(GatewayDeployment& aDeployment)
{
  return { { "port", 0 },
           { "seeds",
             { "127.0.0.1:" +
               std::to_string(aDeployment.At(0).AdminPort()) } } };
}

// The endpoints of a service that come and go at random, and callers that
// record which of them serves.
class ChangingService
{
public:
  static constexpr int kEndpoints = 8;

  ChangingService(GatewayDeployment& aDeployment, std::uint64_t aSeed)
    : deployment_(aDeployment)
    , random_(aSeed)
  {
  }

  /// Lets an endpoint drain, removes one without a notice, or lists one again
  /// as a new incarnation.
  void ChangeAny()
  {
    const int index = static_cast<int>(random_() % kEndpoints);
    const bool isListed = ListedCount() > 0 && !IsOff(index);
    if (!isListed) {
      SetOff(index, std::nullopt);
      Write(index, "ready");
    } else if (ListedCount() > kEndpoints / 2) {
      if (random_() % 3 == 0) {
        deployment_.Remove(KeyOf(index));
      } else {
        Write(index, "draining");
      }
      SetOff(index, std::chrono::steady_clock::now());
    }
  }

  /// Lets each page of the next lists of any age lag by up to seven changes.
  void ChangeLags()
  {
    json lags = json::array();
    for (int page = 0; page < 5; ++page) {
      lags.push_back(random_() % 8);
    }
    deployment_.Store().Control({ { "any_age_lags", lags } });
  }

  /// Sends a request and checks which endpoint served it.
  void SendTo(std::uint16_t aPort)
  {
    const auto sentAt = std::chrono::steady_clock::now();
    const auto response = Send(
      aPort, RouteRequest("GET", "/safe/a", "at-" + std::to_string(++id_)));
    if (!response || response.value().status_ != 200) {
      return; // the host has just been killed
    }
    ++served_;
    const std::string& body = response.value().body_;
    const int index = body.back() - '0';
    const std::lock_guard lock(mutex_);
    const auto off = offSince_[static_cast<std::size_t>(index)];
    late_ += off && sentAt - *off > kDrainTime ? 1 : 0;
  }

  int Served() const { return served_; }
  int Late() const { return late_; }

private:
  using Time = std::optional<std::chrono::steady_clock::time_point>;

  static std::string KeyOf(int aIndex)
  {
    return std::string(names::kEndpointsKind) + "/board-" +
           std::to_string(aIndex);
  }

  void Write(int aIndex, const char* aState)
  {
    deployment_.Put(
      KeyOf(aIndex),
      { { "service", "board" },
        { "address",
          deployment_.Board(static_cast<std::size_t>(aIndex)).Address() },
        { "zone", "zone-a" },
        { "version", "v1" },
        { "slots", 16 },
        { "sequence", 1 },
        { "born", incarnations_ += *aState == 'r' ? 1 : 0 },
        { "state", aState } });
  }

  bool IsOff(int aIndex)
  {
    const std::lock_guard lock(mutex_);
    return offSince_[static_cast<std::size_t>(aIndex)].has_value();
  }

  int ListedCount()
  {
    const std::lock_guard lock(mutex_);
    return static_cast<int>(
      std::count(offSince_.begin(), offSince_.end(), std::nullopt));
  }

  void SetOff(int aIndex, Time aTime)
  {
    const std::lock_guard lock(mutex_);
    offSince_[static_cast<std::size_t>(aIndex)] = aTime;
  }

  GatewayDeployment& deployment_;
  std::mt19937_64 random_;
  std::int64_t incarnations_ = 1'000;
  std::mutex mutex_; // guards offSince_
  std::array<Time, kEndpoints> offSince_;
  std::atomic<int> id_ = 0;
  std::atomic<int> served_ = 0;
  std::atomic<int> late_ = 0;
};

std::uint64_t ReadEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

// A text that doesn't become shorter by compression.
std::string RandomText(std::size_t aSize)
{
  static constexpr std::string_view kLetters =
    "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_";
  std::mt19937 random(1);
  std::string text(aSize, ' ');
  for (char& letter : text) {
    letter = kLetters[random() % kLetters.size()];
  }
  return text;
}

// Starts a host whose list has its first page from before the last two changes.
// The one before the last is that board-0 left.
void CheckStartedHostAvoidsFirstEndpoint(GatewayDeployment& aDeployment)
{
  aDeployment.List("board-3", aDeployment.Board(3), "board", "ready", "zone-b");
  aDeployment.Store().Control(
    { { "page", 2 }, { "any_age_lags", { 2, 0, 0, 0 } } });
  json settings = aDeployment.HostSettings("host-late");
  settings["peer"] = PeerSettings(aDeployment);
  Host late(settings);
  CHECK_TRUE(late.WaitReady(5s));
  std::this_thread::sleep_for(kDrainTime);
  LONGS_EQUAL(0, CountServedBy("board-0", late.Port()));
}

} // namespace

TEST_GROUP(EndpointListTest){};

// Guards against taking a list whose pages differ in age to be as recent as its
// most recent page.
TEST(EndpointListTest, LearnsOfADrainThatOnlyTheOldestPageOfAListLacks)
{
  GatewayDeployment deployment({ .boards_ = 4 });
  deployment.List("board-0", deployment.Board(0), "board", "draining");
  CheckStartedHostAvoidsFirstEndpoint(deployment);
}

// Guards against an endpoint that a list of any age still has and that no
// later change names again.
TEST(EndpointListTest, LearnsOfARemovalThatOnlyTheOldestPageOfAListLacks)
{
  GatewayDeployment deployment({ .boards_ = 4 });
  deployment.Remove(std::string(names::kEndpointsKind) + "/board-0");
  CheckStartedHostAvoidsFirstEndpoint(deployment);
}

// Guards against a host that keeps a list of endpoints of unlimited age, since
// other hosts prove its routes but can't send it the endpoints.
TEST(EndpointListTest, LearnsOfADrainThatNoOtherHostCanSend)
{
  constexpr int kHosts = 6;
  GatewayDeployment deployment({ .hosts_ = kHosts });
  // Until one host reads the store for all.
  std::this_thread::sleep_for(2 * kDrainTime);
  // Too large for an answer to another host.
  deployment.Put(std::string(names::kEndpointsKind) + "/large",
                 { { "state", RandomText(600'000) } });
  std::this_thread::sleep_for(kDrainTime);
  deployment.List("board-0", deployment.Board(0), "board", "draining");
  std::this_thread::sleep_for(kDrainTime);
  for (int host = 0; host < kHosts; ++host) {
    LONGS_EQUAL(0, CountServedBy("board-0", deployment.At(host).Port()));
  }
}

// Hosts start again and again from lists whose pages differ in age, while
// endpoints drain, disappear and return.
TEST(EndpointListTest, SendsNothingToLeftEndpointsInRandomSchedules)
{
  constexpr int kRounds = 25;
  constexpr std::size_t kRestarted = 3;
  const std::uint64_t first = ReadEnvironment("ENDPOINT_LIST_SEED", 1);
  const std::uint64_t count = ReadEnvironment("ENDPOINT_LIST_SEEDS", 1);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    GatewayDeployment deployment(
      { .hosts_ = 3, .boards_ = ChangingService::kEndpoints });
    deployment.Store().Control({ { "page", 2 } });
    ChangingService service(deployment, seed);
    json settings = deployment.HostSettings("");
    settings["peer"] = PeerSettings(deployment);
    std::vector<std::unique_ptr<Host>> hosts(kRestarted);
    std::array<std::atomic<std::uint16_t>, kRestarted> ports{};
    const auto restart = [&](std::size_t aIndex, int aRound) {
      settings["host"]["name"] =
        "host-late-" + std::to_string(aIndex) + "-" + std::to_string(aRound);
      hosts[aIndex] = std::make_unique<Host>(settings);
      ports[aIndex] = hosts[aIndex]->Port();
    };
    for (std::size_t index = 0; index < kRestarted; ++index) {
      restart(index, 0);
    }
    std::atomic<bool> stop = false;
    std::vector<std::thread> callers;
    for (std::size_t index = 0; index < 2 * kRestarted; ++index) {
      callers.emplace_back([&, index] {
        while (!stop) {
          service.SendTo(index < kRestarted
                           ? ports[index].load()
                           : deployment.At(index - kRestarted).Port());
          std::this_thread::sleep_for(10ms);
        }
      });
    }
    for (int round = 1; round <= kRounds; ++round) {
      service.ChangeLags();
      service.ChangeAny();
      restart(static_cast<std::size_t>(round) % kRestarted, round);
      service.ChangeAny();
      std::this_thread::sleep_for(400ms);
    }
    stop = true;
    for (std::thread& caller : callers) {
      caller.join();
    }
    UT_PRINT(("seed " + std::to_string(seed) + ": " +
              std::to_string(service.Served()) + " served, " +
              std::to_string(service.Late()) + " late")
               .c_str());
    CHECK_TRUE(service.Served() > 1'000);
    LONGS_EQUAL(0, service.Late());
  }
}
