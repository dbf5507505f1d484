// Measures how the cost of whole processes scales with the number of entry
// hosts, engines, tokens and prompt bytes, with small fakes of the external
// systems. Runs at most 40 entry hosts and 60 engines at a time, and takes
// about four minutes.

#include <algorithm>
#include <cstdio>
#include <cstdlib>
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

constexpr std::chrono::seconds kIdlePeriod{ 10 };
// Hosts call the store more often while they join the fleet.
constexpr std::chrono::seconds kSettle{ 45 };
constexpr std::chrono::seconds kStorePeriod{ 60 };
constexpr const char* kConfigurationPath =
  "/apis/gooseberrylift.dev/v1/configurations/main";

Deployment::Options FleetOf(int aHosts, int aEngines)
{
  return { .hosts_ = aHosts,
           .engines_ = aEngines,
           .host_ = { { "load_poll_ms", 250 },
                      { "host_list", { { "poll_ms", 1000 } } } } };
}

// Returns the CPU time that a process has used, in microseconds.
double CpuTimeOf(int aPid)
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

// Returns a field of /proc/PID/status, such as "VmRSS:", in bytes.
double MemoryOf(int aPid, const std::string& aField)
{
  std::ifstream file("/proc/" + std::to_string(aPid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(aField)) {
      return std::stod(line.substr(aField.size())) * 1024;
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

// Resource use of idle hosts, averaged over the hosts.
struct IdleCost
{
  double corePercent_ = 0;
  double residentBytes_ = 0;
};

IdleCost MeasureIdle(Deployment& aDeployment)
{
  const auto time = [&] {
    double sum = 0;
    for (std::size_t host = 0; host < aDeployment.Hosts(); ++host) {
      sum += CpuTimeOf(aDeployment.At(host).Handle().Pid());
    }
    return sum;
  };
  const double timeBefore = time();
  std::this_thread::sleep_for(kIdlePeriod);
  const double seconds = static_cast<double>(kIdlePeriod.count());
  const auto hosts = static_cast<double>(aDeployment.Hosts());
  IdleCost cost{ .corePercent_ =
                   (time() - timeBefore) / (seconds * 1e6) * 100 / hosts };
  for (std::size_t host = 0; host < aDeployment.Hosts(); ++host) {
    cost.residentBytes_ +=
      MemoryOf(aDeployment.At(host).Handle().Pid(), "VmRSS:") / hosts;
  }
  return cost;
}

json ReadConfiguration(Deployment& aDeployment)
{
  const auto object =
    Send(aDeployment.Store().Port(), MakeRequest(kConfigurationPath));
  return json::parse(object.value().body_, nullptr, false);
}

// Writes the configuration with the next generation and waits until all hosts
// applied it. Returns the time in milliseconds, or -1 on timeout.
double MeasurePropagation(Deployment& aDeployment)
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
  std::vector<SlopePoint> spread;
  for (const int hosts : { 3, 10, 20, 40 }) {
    Deployment deployment(FleetOf(hosts, 8));
    const auto size = static_cast<double>(hosts);
    const IdleCost cost = MeasureIdle(deployment);
    core.push_back({ size, cost.corePercent_ });
    memory.push_back({ size, cost.residentBytes_ });
    spread.push_back({ size, MeasurePropagation(deployment) });
  }
  PrintSlope("idle host with 8 engines", "entry host", "% of a core", core);
  PrintSlope("idle host, resident", "entry host", "bytes", memory);
  PrintSlope("a configuration change in force everywhere, as polled host by "
             "host",
             "entry host",
             "ms",
             spread);
}

// Three concurrent fleets with 38 hosts in total.
void MeasureStoreCalls()
{
  std::vector<std::unique_ptr<Deployment>> fleets;
  for (const int hosts : { 3, 10, 25 }) {
    fleets.push_back(std::make_unique<Deployment>(FleetOf(hosts, 2)));
  }
  std::this_thread::sleep_for(kSettle);
  std::vector<double> before;
  before.reserve(fleets.size());
  for (const auto& fleet : fleets) {
    before.push_back(StoreCalls(*fleet));
  }
  std::this_thread::sleep_for(kStorePeriod);
  std::vector<SlopePoint> points;
  for (std::size_t index = 0; index < fleets.size(); ++index) {
    Deployment& fleet = *fleets.at(index);
    const double calls = StoreCalls(fleet) - before.at(index);
    points.push_back({ static_cast<double>(fleet.Hosts()),
                       calls / static_cast<double>(kStorePeriod.count()) });
  }
  PrintSlope("store calls of all hosts, settled and idle",
             "entry host",
             "calls/s",
             points);
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

struct RequestCost
{
  double processorTime_ = 0; // us per request
  double peakBytes_ = 0;     // peak resident memory
};

// Sends sequential requests to a newly started host for some seconds.
RequestCost CostOfRequest(std::size_t aPromptBytes, int aTokens)
{
  Deployment::Options options = FleetOf(1, 2);
  options.engine_ = { { "decode_us", 10 },
                      { "kv_tokens", 8'000'000 },
                      { "prefill_linear_us", 0.001 },
                      { "prefill_quadratic_us", 0.0 } };
  Deployment deployment(options);
  Host& host = deployment.At(0);
  const int pid = host.Handle().Pid();
  const double before = CpuTimeOf(pid);
  const TimePoint end = TimerService::Now() + std::chrono::seconds(3);
  int done = 0;
  while (TimerService::Now() < end || done < 5) {
    const auto answer = Send(
      host.Port(), ChatRequest(std::string(aPromptBytes, 'p'), aTokens, true));
    if (!answer || answer.value().status_ != 200) {
      std::printf("  a request failed: %s\n",
                  answer ? answer.value().body_.c_str()
                         : answer.error().text_.c_str());
      std::exit(1);
    }
    ++done;
  }
  return { .processorTime_ = (CpuTimeOf(pid) - before) / done,
           .peakBytes_ = MemoryOf(pid, "VmHWM:") };
}

void MeasureRequests()
{
  std::vector<SlopePoint> tokens;
  for (const int count : { 20, 200, 1000 }) {
    tokens.push_back(
      { static_cast<double>(count), CostOfRequest(400, count).processorTime_ });
  }
  PrintSlope(
    "request by tokens of its answer", "token", "us of processor time", tokens);
  std::vector<SlopePoint> time;
  std::vector<SlopePoint> memory;
  for (const std::size_t bytes : { 4'000U, 400'000U, 4'000'000U }) {
    const RequestCost cost = CostOfRequest(bytes, 4);
    time.push_back({ static_cast<double>(bytes), cost.processorTime_ });
    memory.push_back({ static_cast<double>(bytes), cost.peakBytes_ });
  }
  PrintSlope("request by bytes of its prompt",
             "prompt byte",
             "us of processor time",
             time);
  PrintSlope("peak of resident memory with one such request at a time",
             "prompt byte",
             "bytes",
             memory);
}

// Returns the size of a GET /load response, without TCP and IP headers.
void PrintLoadReport()
{
  Deployment deployment(FleetOf(1, 1));
  const auto load = Send(deployment.Engine(0).Port(), MakeRequest("/load"));
  if (!load) {
    return;
  }
  constexpr std::size_t kStatusLine = 17; // HTTP/1.1 200 OK and CRLF
  std::size_t head = kStatusLine;
  for (const HttpField& field : load.value().fields_) {
    head += field.name_.size() + field.value_.size() + 4;
  }
  std::printf("one load report: %zu bytes of body, %zu with its head\n",
              load.value().body_.size(),
              load.value().body_.size() + head + 2);
}

} // namespace

int main()
{
  std::printf("Slopes of whole processes\n\n");
  MeasureByHosts();
  MeasureByEngines();
  MeasureRequests();
  PrintLoadReport();
  MeasureStoreCalls();
  return 0;
}
