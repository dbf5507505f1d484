// Slopes of whole processes against the number of entry hosts, engines, tokens
// and prompt bytes, with small fakes for the outside systems. At most 40 entry
// hosts and 60 engines run at a time; takes about two minutes.

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

#include <unistd.h>

#include "gooseberrylift-slope-table.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"
#include "harness.h"

using namespace gooseberrylift;
using namespace gooseberrylift::bench;
using namespace gooseberrylift::test;

namespace {

constexpr std::chrono::seconds kWatch{ 10 };
constexpr const char* kConfigurationPath =
  "/apis/gooseberrylift.dev/v1/configurations/main";

Deployment::Options FleetOf(int aHosts, int aEngines)
{
  return { .hosts_ = aHosts,
           .engines_ = aEngines,
           .host_ = { { "load_poll_ms", 250 },
                      { "host_list", { { "poll_ms", 1000 } } } } };
}

// Processor time of a process so far, in microseconds.
double ProcessorTime(int aPid)
{
  std::ifstream file("/proc/" + std::to_string(aPid) + "/stat");
  std::string text;
  std::getline(file, text);
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::vector<std::string> words;
  for (std::string word; fields >> word;) {
    words.push_back(word);
  }
  constexpr std::size_t kUser = 11; // utime; the next is stime
  const double ticks =
    std::stod(words.at(kUser)) + std::stod(words.at(kUser + 1));
  return ticks * 1e6 / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double ResidentBytes(int aPid)
{
  std::ifstream file("/proc/" + std::to_string(aPid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("VmRSS:")) {
      return std::stod(line.substr(6)) * 1024;
    }
  }
  return 0;
}

double StoreCalls(Deployment& aDeployment)
{
  double sum = 0;
  const json stats = aDeployment.Store().Stats();
  for (const auto& [kind, count] : stats.items()) {
    sum += count.is_number() ? count.get<double>() : 0;
  }
  return sum;
}

// What idle hosts cost, as a mean over them.
struct IdleCost
{
  double corePercent_ = 0;
  double residentBytes_ = 0;
  double storeCallsPerSecond_ = 0; // of all hosts
};

IdleCost MeasureIdle(Deployment& aDeployment)
{
  const auto time = [&] {
    double sum = 0;
    for (std::size_t host = 0; host < aDeployment.Hosts(); ++host) {
      sum += ProcessorTime(aDeployment.At(host).Handle().Pid());
    }
    return sum;
  };
  const double timeBefore = time();
  const double callsBefore = StoreCalls(aDeployment);
  std::this_thread::sleep_for(kWatch);
  const double seconds = static_cast<double>(kWatch.count());
  const auto hosts = static_cast<double>(aDeployment.Hosts());
  IdleCost cost{ .corePercent_ =
                   (time() - timeBefore) / (seconds * 1e6) * 100 / hosts,
                 .storeCallsPerSecond_ =
                   (StoreCalls(aDeployment) - callsBefore) / seconds };
  for (std::size_t host = 0; host < aDeployment.Hosts(); ++host) {
    cost.residentBytes_ +=
      ResidentBytes(aDeployment.At(host).Handle().Pid()) / hosts;
  }
  return cost;
}

json ReadConfiguration(Deployment& aDeployment)
{
  const auto object =
    Send(aDeployment.Store().Port(), MakeRequest(kConfigurationPath));
  return json::parse(object.value().body_, nullptr, false);
}

// Writes the configuration with the next generation and waits for all hosts.
// Gives the time in milliseconds; -1 when a host did not follow in time.
double MeasureSpread(Deployment& aDeployment)
{
  json object = ReadConfiguration(aDeployment);
  const int generation = object["spec"]["generation"].get<int>() + 1;
  object["spec"]["generation"] = generation;
  const TimePoint start = TimerService::Now();
  const auto written =
    Send(aDeployment.Store().Port(),
         MakeRequest("PUT", kConfigurationPath, object.dump()));
  if (!written || written.value().status_ >= 300) {
    return -1;
  }
  for (std::size_t host = 0; host < aDeployment.Hosts(); ++host) {
    const bool followed = WaitUntil(std::chrono::seconds(20), [&] {
      return aDeployment.At(host).Status().value("generation", 0) >= generation;
    });
    if (!followed) {
      return -1;
    }
  }
  const std::chrono::duration<double, std::milli> passed =
    TimerService::Now() - start;
  return passed.count();
}

void MeasureByHosts()
{
  std::vector<SlopePoint> core;
  std::vector<SlopePoint> memory;
  std::vector<SlopePoint> calls;
  std::vector<SlopePoint> spread;
  for (const int hosts : { 3, 10, 20, 40 }) {
    Deployment deployment(FleetOf(hosts, 8));
    const auto size = static_cast<double>(hosts);
    const IdleCost cost = MeasureIdle(deployment);
    core.push_back({ size, cost.corePercent_ });
    memory.push_back({ size, cost.residentBytes_ });
    calls.push_back({ size, cost.storeCallsPerSecond_ });
    spread.push_back({ size, MeasureSpread(deployment) });
  }
  PrintSlope("idle host with 8 engines", "entry host", "% of a core", core);
  PrintSlope("idle host, resident", "entry host", "bytes", memory);
  PrintSlope("store calls of all hosts", "entry host", "calls/s", calls);
  PrintSlope("a configuration change in force everywhere, as polled host by "
             "host",
             "entry host",
             "ms",
             spread);
}

void MeasureByEngines()
{
  std::vector<SlopePoint> core;
  std::vector<SlopePoint> memory;
  for (const int engines : { 10, 30, 60 }) {
    Deployment deployment(FleetOf(2, engines));
    const IdleCost cost = MeasureIdle(deployment);
    core.push_back({ static_cast<double>(engines), cost.corePercent_ });
    memory.push_back({ static_cast<double>(engines), cost.residentBytes_ });
  }
  PrintSlope("idle host by engines", "engine", "% of a core", core);
  PrintSlope("idle host by engines, resident", "engine", "bytes", memory);
}

// Processor time of the host for each of so many requests, in microseconds.
double CostOfRequest(Host& aHost, std::size_t aPromptBytes, int aTokens)
{
  const int pid = aHost.Handle().Pid();
  const double before = ProcessorTime(pid);
  const TimePoint end = TimerService::Now() + std::chrono::seconds(3);
  int done = 0;
  while (TimerService::Now() < end || done < 5) {
    const auto answer = Send(
      aHost.Port(), ChatRequest(std::string(aPromptBytes, 'p'), aTokens, true));
    if (!answer || answer.value().status_ != 200) {
      return -1;
    }
    ++done;
  }
  return (ProcessorTime(pid) - before) / done;
}

void MeasureRequests()
{
  Deployment::Options options = FleetOf(1, 2);
  options.engine_ = { { "decode_us", 10 },
                      { "prefill_linear_us", 0.001 },
                      { "prefill_quadratic_us", 0.0 } };
  Deployment deployment(options);
  Host& host = deployment.At(0);
  Measure("request by tokens of its answer",
          "token",
          "us of processor time",
          { 20, 200, 1000 },
          [&host](double aTokens) {
            return CostOfRequest(host, 400, static_cast<int>(aTokens));
          });
  Measure("request by bytes of its prompt",
          "prompt byte",
          "us of processor time",
          { 4'000, 400'000, 4'000'000 },
          [&host](double aBytes) {
            return CostOfRequest(host, static_cast<std::size_t>(aBytes), 4);
          });
  Measure("resident after requests with so many bytes of prompt",
          "prompt byte",
          "bytes",
          { 4'000, 400'000, 4'000'000 },
          [&host](double aBytes) {
            (void)CostOfRequest(host, static_cast<std::size_t>(aBytes), 4);
            return ResidentBytes(host.Handle().Pid());
          });
  const auto load = Send(deployment.Engine(0).Port(), MakeRequest("/load"));
  std::printf("body of one load report: %zu bytes\n",
              load ? load.value().body_.size() : 0);
}

} // namespace

int main()
{
  std::printf("Slopes of whole processes\n\n");
  MeasureByHosts();
  MeasureByEngines();
  MeasureRequests();
  return 0;
}
