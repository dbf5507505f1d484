// Tests that a graceful shutdown of a host and a draining endpoint interrupt no
// requests under load.

#include "harness.h"

#include "harness-raw-connection.h"

#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "../../fakes/gooseberrylift-fake-tokens.h"
#include "gooseberrylift/internal/gooseberrylift-http-client.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Simulates the platform's load balancer: polls /readyz and gives callers only
// hosts that were ready at the last poll.
class LoadBalancer
{
public:
  void SetHosts(std::vector<Host*> aHosts)
  {
    const std::lock_guard lock(mutex_);
    hosts_ = std::move(aHosts);
    ready_ = hosts_;
  }

  void PollReadiness()
  {
    std::vector<Host*> hosts;
    {
      const std::lock_guard lock(mutex_);
      hosts = hosts_;
    }
    std::vector<Host*> ready;
    for (Host* host : hosts) {
      const auto answer = Send(host->AdminPort(), MakeRequest("/readyz"));
      if (answer && answer.value().status_ == 200) {
        ready.push_back(host);
      }
    }
    const std::lock_guard lock(mutex_);
    if (hosts == hosts_) {
      ready_ = std::move(ready);
    }
  }

  std::uint16_t Choose(std::uint64_t aCall)
  {
    const std::lock_guard lock(mutex_);
    return ready_.at(aCall % ready_.size())->Port();
  }

private:
  std::mutex mutex_;
  std::vector<Host*> hosts_;
  std::vector<Host*> ready_;
};

// A caller that reuses its connections between calls.
class PersistentCaller
{
public:
  Outcome<HttpResponse> Call(std::uint16_t aPort, HttpRequest aRequest)
  {
    std::optional<Outcome<HttpResponse>> result;
    asio_.restart();
    boost::asio::co_spawn(
      asio_,
      [&]() -> boost::asio::awaitable<void> {
        result = co_await client_.Fetch("127.0.0.1:" + std::to_string(aPort),
                                        std::move(aRequest),
                                        TimerService::Now() + seconds(20));
      },
      boost::asio::detached);
    asio_.run();
    return *result;
  }

private:
  boost::asio::io_context asio_{ 1 };
  HttpClient client_{ asio_.get_executor(), HttpClient::Options{} };
};

// Generates load until destroyed: streams, non-streamed completions and service
// calls from several callers. Compares every response byte for byte.
class LoadGenerator
{
public:
  LoadGenerator(LoadBalancer& aBalancer, int aCallers)
    : balancer_(aBalancer)
  {
    threads_.reserve(static_cast<std::size_t>(aCallers) + 1);
    for (int caller = 0; caller < aCallers; ++caller) {
      threads_.emplace_back([this, caller] { RunCaller(caller); });
    }
    threads_.emplace_back([this] {
      while (!done_) {
        balancer_.PollReadiness();
        std::this_thread::sleep_for(milliseconds(50));
      }
    });
  }

  ~LoadGenerator() { Stop(); }
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  void Stop()
  {
    done_ = true;
    for (std::thread& thread : threads_) {
      thread.join();
    }
    threads_.clear();
  }

  int Succeeded() const { return succeeded_; }
  int Failed() const { return failed_; }

  /// Waits for a number of further correct responses.
  bool WaitForMore(int aAnswers)
  {
    const int goal = succeeded_ + aAnswers;
    return WaitUntil(seconds(60), [&] { return succeeded_ >= goal; });
  }

private:
  void RunCaller(int aCaller)
  {
    PersistentCaller persistent;
    for (int call = 0; !done_; ++call) {
      const std::string tag =
        "caller-" + std::to_string(aCaller) + "-" + std::to_string(call);
      const std::uint16_t port = balancer_.Choose(aCaller + call);
      const int kind = aCaller < kLongCallers ? kLongStream : call % 4;
      HttpRequest request = RequestOf(tag, kind);
      const auto answer = aCaller % 2 == 0
                            ? persistent.Call(port, std::move(request))
                            : Send(port, std::move(request));
      if (IsExpectedResponse(tag, kind, answer)) {
        ++succeeded_;
      } else {
        ++failed_;
        std::printf("failed: %s kind %d: %s\n",
                    tag.c_str(),
                    kind,
                    answer ? answer.value().body_.c_str()
                           : answer.error().text_.c_str());
      }
    }
  }

  // Half of the callers send streams that last about two seconds, longer than
  // the drain lag, so that some streams always run when the lag ends.
  static constexpr int kLongCallers = 4;
  static constexpr int kLongStream = 4;

  static int TokensOf(int aKind) { return aKind == kLongStream ? 500 : 40; }
  static bool IsStream(int aKind) { return aKind == 0 || aKind == kLongStream; }

  static HttpRequest RequestOf(const std::string& aTag, int aKind)
  {
    if (aKind == 2 || aKind == 3) {
      return BoardRequest(aKind == 2 ? "GET" : "POST", "/" + aTag, aTag);
    }
    return ChatRequest(aTag, TokensOf(aKind), IsStream(aKind));
  }

  static bool IsExpectedResponse(const std::string& aTag,
                                 int aKind,
                                 const Outcome<HttpResponse>& aAnswer)
  {
    if (!aAnswer || aAnswer.value().status_ != 200) {
      return false;
    }
    const std::string& text = aAnswer.value().body_;
    const std::string expected = fakes::ReferenceAnswer(aTag, TokensOf(aKind));
    if (IsStream(aKind)) {
      bool whole = false;
      return StreamText(text, &whole) == expected && whole;
    }
    const json body = json::parse(text, nullptr, false);
    return aKind == 1 ? body.value("/choices/0/message/content"_json_pointer,
                                   "") == expected
                      : body.value("path", "") == "/" + aTag;
  }

  LoadBalancer& balancer_;
  std::atomic<bool> done_ = false;
  std::atomic<int> succeeded_ = 0;
  std::atomic<int> failed_ = 0;
  std::vector<std::thread> threads_;
};

constexpr int kCallers = 8;

Deployment::Options ThreeHosts()
{
  return { .hosts_ = 3,
           .engines_ = 3,
           .services_ = 2,
           .engine_ = { { "decode_us", 4000 } },
           .host_ = {
             { "drain", { { "lag_ms", 1000 }, { "limit_ms", 20'000 } } } } };
}

} // namespace

TEST_GROUP(PlannedStopTest)
{
  Deployment deployment_{ ThreeHosts() };
  LoadBalancer balancer_;

  void UseHosts(std::initializer_list<std::size_t> aIndices)
  {
    std::vector<Host*> hosts;
    for (const std::size_t index : aIndices) {
      hosts.push_back(&deployment_.At(index));
    }
    balancer_.SetHosts(std::move(hosts));
  }

  // Stops a host and checks that it exits cleanly within drain lag and limit.
  void CheckCleanStop(std::size_t aIndex)
  {
    Process& process = deployment_.At(aIndex).Handle();
    process.Signal(SIGTERM);
    LONGS_EQUAL(0, process.WaitForExit(seconds(25)));
    STRCMP_CONTAINS("\"cut\":0", process.Output().c_str());
  }
};

// One of three hosts is stopped while all of them process streams and plain
// calls. It must become unready first, accept what the balancer still sends,
// complete the running requests and exit, without a failed request.
TEST(PlannedStopTest, StopsOneHostUnderLoadWithoutCuttingARequest)
{
  UseHosts({ 0, 1, 2 });
  LoadGenerator load(balancer_, kCallers);
  CHECK_TRUE(load.WaitForMore(100));
  CheckCleanStop(0);
  UseHosts({ 1, 2 });
  CHECK_TRUE(load.WaitForMore(50));
  load.Stop();
  std::printf(
    "one stop: %d succeeded, %d failed\n", load.Succeeded(), load.Failed());
  LONGS_EQUAL(0, load.Failed());
}

// A rolling restart: the hosts are stopped and replaced one at a time.
TEST(PlannedStopTest, ReplacesAllHostsInTurnWithoutCuttingARequest)
{
  UseHosts({ 0, 1, 2 });
  LoadGenerator load(balancer_, kCallers);
  CHECK_TRUE(load.WaitForMore(50));
  for (std::size_t index = 0; index < 3; ++index) {
    CheckCleanStop(index);
    CHECK_TRUE(deployment_.AddHost().WaitReady(seconds(20)));
    std::vector<Host*> hosts;
    for (std::size_t other = index + 1; other < deployment_.Hosts(); ++other) {
      hosts.push_back(&deployment_.At(other));
    }
    balancer_.SetHosts(std::move(hosts));
    CHECK_TRUE(load.WaitForMore(50));
  }
  load.Stop();
  std::printf("rolling restart: %d succeeded, %d failed\n",
              load.Succeeded(),
              load.Failed());
  LONGS_EQUAL(0, load.Failed());
}

// Guards against interrupting a request whose body is incomplete when the host
// is stopped. No handler runs yet, so a host that counts only handlers would
// exit too early.
TEST(PlannedStopTest, FinishesARequestWhoseBodyIsStillComing)
{
  const std::string body =
    R"({"model":"m","max_tokens":4,"messages":[{"role":"user","content":"x"}]})";
  const std::string request = RawChatRequest(body);
  Host& host = deployment_.At(0);
  RawConnection wire(host.Port());
  wire.Write(request.substr(0, request.size() - 20));
  host.Handle().Signal(SIGTERM);
  CHECK_FALSE(host.Handle().WaitForLine("\"event\":1001", seconds(10)).empty());
  // Longer than the drain lag, after which only this request is in flight.
  CHECK_EQUAL(-1, host.Handle().WaitForExit(milliseconds(1500)));
  wire.Write(request.substr(request.size() - 20));
  CHECK_TRUE(wire.ReadToEnd());
  LONGS_EQUAL(200, wire.Status());
  LONGS_EQUAL(0, host.Handle().WaitForExit(seconds(25)));
}

// The platform's host list marks an engine as draining while it still responds.
// It may complete its requests, but after three seconds it must get no new
// ones.
TEST(PlannedStopTest, GivesALeavingEndpointNoNewWorkThreeSecondsAfterTheList)
{
  UseHosts({ 0, 1, 2 });
  LoadGenerator load(balancer_, kCallers);
  CHECK_TRUE(load.WaitForMore(100));
  json list = deployment_.HostList();
  list[0]["state"] = "leaving";
  deployment_.List().Control({ { "hosts", list } });
  std::this_thread::sleep_for(seconds(3)); // the promised upper bound
  const int started = deployment_.Engine(0).Stats().value("started", -1);
  CHECK_TRUE(started > 0);
  CHECK_TRUE(load.WaitForMore(200));
  LONGS_EQUAL(started, deployment_.Engine(0).Stats().value("started", -1));
  load.Stop();
  LONGS_EQUAL(0, load.Failed());
}

// The engine reports that it drains in its load report and by rejecting new
// requests, while the host list still shows it as live. Each host may get a few
// rejections for requests in flight at that moment, and none later.
TEST(PlannedStopTest, StopsNewWorkAtOnceWhenAnEngineReportsThatItIsLeaving)
{
  constexpr int kUnderWay = kCallers;
  UseHosts({ 0, 1, 2 });
  LoadGenerator load(balancer_, kCallers);
  CHECK_TRUE(load.WaitForMore(100));
  deployment_.Engine(0).Control({ { "leaving", true } });
  CHECK_TRUE(load.WaitForMore(200));
  load.Stop();
  const int refused = deployment_.Engine(0).Stats().value("refused", -1);
  std::printf(
    "leaving reported by an engine: %d rejections, %d succeeded, %d failed\n",
    refused,
    load.Succeeded(),
    load.Failed());
  CHECK_TRUE(refused >= 0);
  CHECK_TRUE(refused <= kUnderWay);
  LONGS_EQUAL(0, load.Failed());
}

// The same for a plain service that reports that it drains while the host list
// still shows it as live. Rejected calls have not run and must be retried at
// the other endpoint.
TEST(PlannedStopTest, RetriesElsewhereWhenAServiceReportsThatItIsLeaving)
{
  constexpr int kUnderWay = kCallers;
  UseHosts({ 0, 1, 2 });
  LoadGenerator load(balancer_, kCallers);
  CHECK_TRUE(load.WaitForMore(100));
  deployment_.Service(0).Control({ { "leaving", true } });
  CHECK_TRUE(load.WaitForMore(200));
  load.Stop();
  const json stats = deployment_.Service(0).Stats();
  const int refused = stats.value("refused", -1);
  std::printf("leaving reported by a service: %d rejections, %d failed\n",
              refused,
              load.Failed());
  CHECK_TRUE(stats.value("total", 0) > 0);
  CHECK_TRUE(refused >= 0);
  CHECK_TRUE(refused <= kUnderWay);
  LONGS_EQUAL(0, load.Failed());
}

// The same with the host list as the only source: after three seconds the
// service must get no new calls.
TEST(PlannedStopTest, GivesALeavingServiceNoNewCallThreeSecondsAfterTheList)
{
  UseHosts({ 0, 1, 2 });
  LoadGenerator load(balancer_, kCallers);
  CHECK_TRUE(load.WaitForMore(100));
  json list = deployment_.HostList();
  for (json& host : list) {
    if (host["name"] == "board-0") {
      host["state"] = "leaving";
    }
  }
  deployment_.List().Control({ { "hosts", list } });
  std::this_thread::sleep_for(seconds(3)); // the promised upper bound
  const int total = deployment_.Service(0).Stats().value("total", -1);
  CHECK_TRUE(total > 0);
  CHECK_TRUE(load.WaitForMore(200));
  LONGS_EQUAL(total, deployment_.Service(0).Stats().value("total", -1));
  load.Stop();
  LONGS_EQUAL(0, load.Failed());
}
