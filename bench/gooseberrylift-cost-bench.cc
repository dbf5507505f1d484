// Measures the overhead of an entry host: sends the same calls directly to a
// fake endpoint and through one entry host, alternating within one run.
//
//   build/bench/gooseberrylift-cost-bench [SECONDS-A-CASE] [CASE]
//
// For each case it prints the latency of both paths, the latency that the host
// adds at p50 and p99, and the host's CPU time per call, from which the calls
// per second and core follow.

#include "harness.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <optional>
#include <thread>

#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "gooseberrylift/internal/gooseberrylift-http-client.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::seconds;

namespace {

constexpr int kCallers = 4;

// A benchmark case: the same call in the endpoint's and in the host's format.
struct Case
{
  const char* name_;
  HttpRequest direct_;
  HttpRequest throughHost_;
  std::uint16_t endpoint_ = 0;
};

HttpRequest EngineRequest(const HttpRequest& aRequest)
{
  HttpRequest request = aRequest;
  json body = json::parse(request.body_.Text());
  body["request_id"] = "bench";
  body["stream"] = true;
  request.body_ = body.dump();
  return request;
}

Case ModelCase(const char* aName,
               std::size_t aBytes,
               int aTokens,
               const Fake& aEngine)
{
  std::string prompt;
  while (prompt.size() < aBytes) {
    prompt += "room " + std::to_string(prompt.size()) + " is ready\n";
  }
  const HttpRequest request = ChatRequest(prompt, aTokens, true);
  return { aName, EngineRequest(request), request, aEngine.Port() };
}

Case BoardCase(const Fake& aService)
{
  return { "service call",
           MakeRequest("/rooms/12"),
           BoardRequest("GET", "/rooms/12"),
           aService.Port() };
}

// A caller with persistent connections.
class Caller
{
public:
  bool Call(std::uint16_t aPort, const HttpRequest& aRequest)
  {
    bool good = false;
    asio_.restart();
    boost::asio::co_spawn(
      asio_,
      [&]() -> boost::asio::awaitable<void> {
        const auto answer =
          co_await client_.Fetch("127.0.0.1:" + std::to_string(aPort),
                                 aRequest,
                                 TimerService::Now() + seconds(30));
        good = answer && answer.value().status_ == 200;
      },
      boost::asio::detached);
    asio_.run();
    return good;
  }

private:
  boost::asio::io_context asio_{ 1 };
  HttpClient client_{ asio_.get_executor(), HttpClient::Options{} };
};

struct Samples
{
  std::vector<double> direct_; // microseconds
  std::vector<double> throughHost_;
  int failed_ = 0;
};

void Sample(Caller& aCaller,
            std::uint16_t aPort,
            const HttpRequest& aRequest,
            std::vector<double>& aLatencies,
            int& aFailed)
{
  const TimePoint begin = TimerService::Now();
  const bool good = aCaller.Call(aPort, aRequest);
  const auto taken = duration_cast<microseconds>(TimerService::Now() - begin);
  aLatencies.push_back(static_cast<double>(taken.count()));
  aFailed += good ? 0 : 1;
}

Samples RunCaller(const Case& aCase, std::uint16_t aHost, TimePoint aEnd)
{
  Caller caller;
  Samples samples;
  while (TimerService::Now() < aEnd) {
    Sample(
      caller, aCase.endpoint_, aCase.direct_, samples.direct_, samples.failed_);
    Sample(
      caller, aHost, aCase.throughHost_, samples.throughHost_, samples.failed_);
  }
  return samples;
}

double Quantile(std::vector<double>& aValues, double aQuantile)
{
  std::sort(aValues.begin(), aValues.end());
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(aQuantile * last)];
}

// Returns the CPU time that a process has used, in microseconds.
double CpuTimeOf(int aProcess)
{
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int field = 0; field < 11; ++field) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) * 1e6 / static_cast<double>(sysconf(_SC_CLK_TCK));
}

void Run(const Case& aCase, Host& aHost, seconds aDuration)
{
  std::vector<Samples> parts(kCallers);
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  const double cpuBefore = CpuTimeOf(aHost.Handle().Pid());
  const TimePoint end = TimerService::Now() + aDuration;
  for (Samples& part : parts) {
    callers.emplace_back([&] { part = RunCaller(aCase, aHost.Port(), end); });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  const double cpu = CpuTimeOf(aHost.Handle().Pid()) - cpuBefore;
  Samples all;
  for (const Samples& part : parts) {
    all.direct_.insert(
      all.direct_.end(), part.direct_.begin(), part.direct_.end());
    all.throughHost_.insert(all.throughHost_.end(),
                            part.throughHost_.begin(),
                            part.throughHost_.end());
    all.failed_ += part.failed_;
  }
  const double each = cpu / static_cast<double>(all.throughHost_.size());
  const double p50 = Quantile(all.direct_, 0.5);
  const double p99 = Quantile(all.direct_, 0.99);
  const double hostP50 = Quantile(all.throughHost_, 0.5);
  const double hostP99 = Quantile(all.throughHost_, 0.99);
  std::printf("%-16s %6zu calls %d failed | direct p50 %7.0f p99 %7.0f us | "
              "host p50 %7.0f p99 %7.0f us | added p50 %7.0f p99 %7.0f us | "
              "%7.0f us processor a call, %6.0f calls/s a core\n",
              aCase.name_,
              all.throughHost_.size(),
              all.failed_,
              p50,
              p99,
              hostP50,
              hostP99,
              hostP50 - p50,
              hostP99 - p99,
              each,
              1e6 / each);
  std::fflush(stdout);
}

} // namespace

int main(int aCount, char** aArguments)
{
  const seconds duration(aCount > 1 ? std::atoi(aArguments[1]) : 5);
  const std::string only = aCount > 2 ? aArguments[2] : "";
  Deployment deployment({ .engines_ = 1,
                          .services_ = 1,
                          .engine_ = { { "prefill_linear_us", 0.0 },
                                       { "prefill_quadratic_us", 0.0 },
                                       { "decode_us", 100 },
                                       { "kv_tokens", 100'000'000 },
                                       { "chunk_tokens", 10'000'000 } },
                          .host_ = { { "threads", 2 } } });
  const Fake& engine = deployment.Engine(0);
  const std::vector<Case> cases = {
    BoardCase(deployment.Service(0)),
    ModelCase("chat 1 token", 200, 1, engine),
    ModelCase("chat 50 tokens", 200, 50, engine),
    ModelCase("chat 4 MB", 4'000'000, 1, engine),
  };
  for (const Case& one : cases) {
    if (only.empty() || only == one.name_) {
      Run(one, deployment.At(0), duration);
    }
  }
  return 0;
}
