// Measures how time and memory of the components of one process scale with the
// number of teams, engines, series and prompt bytes. Takes a few seconds.

#include <cstdio>

#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>

#include "gooseberrylift-slope-table.h"
#include "gooseberrylift/gooseberrylift-burn-document.h"
#include "gooseberrylift/gooseberrylift-digest-codec.h"
#include "gooseberrylift/gooseberrylift-endpoint-registry.h"
#include "gooseberrylift/gooseberrylift-peer-table.h"
#include "gooseberrylift/gooseberrylift-scheduler.h"
#include "gooseberrylift/internal/gooseberrylift-metrics.h"
#include "gooseberrylift/internal/gooseberrylift-model-request.h"

using namespace gooseberrylift;
using namespace gooseberrylift::bench;
using nlohmann::json;

namespace {

std::string ConfigurationOf(int aTeams)
{
  json teams = json::array();
  json services = json::array();
  for (int team = 0; team < aTeams; ++team) {
    const std::string name = "team-" + std::to_string(team);
    teams.push_back({ { "name", name }, { "keys", { "key-of-" + name } } });
  }
  for (int model = 0; model < 5; ++model) {
    const std::string name = "model-" + std::to_string(model);
    services.push_back({ { "name", name },
                         { "kind", "model" },
                         { "model", name },
                         { "pool", "llm" } });
  }
  const json configuration = { { "teams", teams },
                               { "pools", { { { "name", "llm" } } } },
                               { "services", services } };
  return configuration.dump();
}

Configuration::Ptr ParseOrNull(const std::string& aText)
{
  return boost::leaf::try_handle_all(
    [&] { return Configuration::Parse(aText, 1); },
    [] { return Configuration::Ptr(); });
}

std::vector<EndpointView> EnginesOf(int aCount)
{
  std::vector<EndpointView> views;
  views.reserve(static_cast<std::size_t>(aCount));
  for (int engine = 0; engine < aCount; ++engine) {
    views.push_back({ .name_ = "engine-" + std::to_string(engine),
                      .address_ = "10.0.0.1:8000",
                      .pool_ = "llm",
                      .zone_ = "region-1-zone-a",
                      .incarnation_ = 1 });
  }
  return views;
}

void MeasureConfiguration()
{
  const std::vector<double> sizes{ 500, 1000, 2000, 4000 };
  Measure("configuration text", "team", "bytes", sizes, [](double aTeams) {
    return static_cast<double>(
      ConfigurationOf(static_cast<int>(aTeams)).size());
  });
  Measure(
    "configuration parse and check", "team", "us", sizes, [](double aTeams) {
      const std::string text = ConfigurationOf(static_cast<int>(aTeams));
      return MicrosecondsOf([&] { ParseOrNull(text); });
    });
  Measure("configuration in memory", "team", "bytes", sizes, [](double aTeams) {
    const std::string text = ConfigurationOf(static_cast<int>(aTeams));
    const double before = HeapBytes();
    const Configuration::Ptr configuration = ParseOrNull(text);
    return HeapBytes() - before;
  });
  Measure("look-up of a team by key", "team", "us", sizes, [](double aTeams) {
    const int teams = static_cast<int>(aTeams);
    const auto configuration = ParseOrNull(ConfigurationOf(teams));
    int next = 0;
    return MicrosecondsOf([&] {
      next = (next + 7919) % teams;
      configuration->TeamByKey("key-of-team-" + std::to_string(next));
    });
  });
}

void MeasureEndpoints()
{
  const std::vector<double> sizes{ 1000, 3000, 10'000 };
  Measure("endpoint book and one snapshot in memory",
          "engine",
          "bytes",
          sizes,
          [](double aEngines) {
            const double before = HeapBytes();
            EndpointRegistry registry(EndpointRegistry::Options{});
            registry.OnList(EnginesOf(static_cast<int>(aEngines)), TimePoint{});
            const std::vector<EndpointView> snapshot = registry.Views();
            return HeapBytes() - before;
          });
  Measure("taking in the whole host list",
          "engine",
          "us",
          sizes,
          [](double aEngines) {
            EndpointRegistry registry(EndpointRegistry::Options{});
            const auto views = EnginesOf(static_cast<int>(aEngines));
            return MicrosecondsOf([&] { registry.OnList(views, TimePoint{}); });
          });
  Measure("one load report", "engine", "us", sizes, [](double aEngines) {
    EndpointRegistry registry(EndpointRegistry::Options{});
    registry.OnList(EnginesOf(static_cast<int>(aEngines)), TimePoint{});
    EndpointReport report{ .incarnation_ = 1 };
    return MicrosecondsOf([&] {
      ++report.load_.running_;
      registry.OnReport("engine-500", report, TimePoint{});
    });
  });
  Measure(
    "one snapshot for readers", "engine", "us", sizes, [](double aEngines) {
      EndpointRegistry registry(EndpointRegistry::Options{});
      registry.OnList(EnginesOf(static_cast<int>(aEngines)), TimePoint{});
      return MicrosecondsOf([&] { (void)registry.Views(); });
    });
}

void MeasureScheduler()
{
  const std::vector<double> sizes{ 100, 1000, 10'000 };
  Measure("taking a snapshot into the scheduler",
          "engine",
          "us",
          sizes,
          [](double aEngines) {
            Scheduler scheduler(Scheduler::Options{});
            const auto views = EnginesOf(static_cast<int>(aEngines));
            return MicrosecondsOf(
              [&] { scheduler.SetEndpoints(views, TimePoint{}); });
          });
  Measure(
    "one decision, from request to its end",
    "engine",
    "us",
    sizes,
    [](double aEngines) {
      Scheduler scheduler(Scheduler::Options{});
      scheduler.SetEndpoints(EnginesOf(static_cast<int>(aEngines)),
                             TimePoint{});
      RequestInfo info{ .team_ = "team-1",
                        .service_ = "model-1",
                        .promptTokens_ = 1000,
                        .maxTokens_ = 100,
                        .deadline_ = TimePoint{} + std::chrono::hours(1) };
      return MicrosecondsOf([&] {
        ++info.id_;
        scheduler.OnRequest(info, TimePoint{});
        (void)scheduler.TakeActions();
        scheduler.OnFirstToken(info.id_, TimePoint{});
        scheduler.OnFinished(info.id_, { .succeeded_ = true }, TimePoint{});
      });
    });
}

// Adds one request for each of the given number of teams to the counters.
void FillCounters(BurnCounters& aCounters, int aTeams)
{
  const ServiceObjective objective;
  for (int team = 0; team < aTeams; ++team) {
    aCounters.Record({ .team_ = "team-" + std::to_string(team),
                       .service_ = "model-1",
                       .promptTokens_ = 1000,
                       .succeeded_ = true },
                     objective,
                     TimePoint{});
  }
}

void MeasureBurn()
{
  const std::vector<double> sizes{ 250, 1000, 4000 };
  Measure("burn counts in memory", "team", "bytes", sizes, [](double aTeams) {
    const double before = HeapBytes();
    BurnCounters counters({ .maxSeries_ = 5000 });
    FillCounters(counters, static_cast<int>(aTeams));
    return HeapBytes() - before;
  });
  Measure(
    "burn report of one host, text", "team", "bytes", sizes, [](double aTeams) {
      BurnCounters counters({ .maxSeries_ = 5000 });
      FillCounters(counters, static_cast<int>(aTeams));
      const BurnDocument document{ .hosts_ = { "host" },
                                   .tally_ = counters.Tally(TimePoint{}) };
      return static_cast<double>(SerializeBurnDocument(document).size());
    });
  Measure("counting one request", "team", "us", sizes, [](double aTeams) {
    BurnCounters counters({ .maxSeries_ = 5000 });
    FillCounters(counters, static_cast<int>(aTeams));
    const BurnSample sample{ .team_ = "team-7", .service_ = "model-1" };
    return MicrosecondsOf(
      [&] { counters.Record(sample, ServiceObjective{}, TimePoint{}); });
  });
  Measure("merging one host's report", "team", "us", sizes, [](double aTeams) {
    BurnCounters counters({ .maxSeries_ = 5000 });
    FillCounters(counters, static_cast<int>(aTeams));
    const BurnTally tally = counters.Tally(TimePoint{});
    BurnTally merged;
    return MicrosecondsOf([&] { MergeTally(merged, tally); });
  });
}

Digest DigestOf(int aHost, int aTeams)
{
  Digest digest{ .host_ = "entry-" + std::to_string(aHost),
                 .zone_ = "region-1-zone-a",
                 .region_ = "region-1",
                 .peerAddress_ = "10.0.0.1:7000",
                 .incarnation_ = 1'764'700'000'000,
                 .sequence_ = 1000,
                 .generation_ = 100,
                 .configurationHash_ = 0x1234567812345678,
                 .storeReachable_ = true };
  for (int team = 0; team < aTeams; ++team) {
    digest.demand_.push_back(
      { .team_ = "team-" + std::to_string(team), .tokensPerSecond_ = 1234.5 });
  }
  return digest;
}

// Creates a table that has digests from the given number of hosts of its own
// zone.
PeerTable TableOf(int aHosts)
{
  PeerTable table({ .host_ = "entry-self",
                    .zone_ = "region-1-zone-a",
                    .region_ = "region-1",
                    .address_ = "10.0.0.2:7000",
                    .incarnation_ = 1,
                    .seed_ = 1 });
  for (int host = 0; host < aHosts; ++host) {
    table.OnMessage({ .from_ = DigestOf(host, 0) }, TimePoint{});
  }
  table.BeginRound(DigestOf(0, 0), TimePoint{});
  return table;
}

// Returns the JSON size of a message's digests in bytes, without the envelope.
double BytesOf(const PeerMessage& aMessage)
{
  std::size_t bytes = DigestToJson(aMessage.from_).dump().size();
  for (const Digest& digest : aMessage.relayed_) {
    bytes += DigestToJson(digest).dump().size();
  }
  return static_cast<double>(bytes);
}

void MeasurePeers()
{
  const std::vector<double> sizes{ 40, 80, 200, 2000 };
  Measure("peer table in memory",
          "host of the zone",
          "bytes",
          sizes,
          [](double aHosts) {
            const double before = HeapBytes();
            const PeerTable table = TableOf(static_cast<int>(aHosts));
            return HeapBytes() - before;
          });
  Measure("digests of a peer message",
          "host of the zone",
          "bytes",
          sizes,
          [](double aHosts) {
            PeerTable table = TableOf(static_cast<int>(aHosts));
            return BytesOf(table.MakeMessage("region-1-zone-a"));
          });
  Measure("making a peer message",
          "host of the zone",
          "us",
          sizes,
          [](double aHosts) {
            PeerTable table = TableOf(static_cast<int>(aHosts));
            return MicrosecondsOf(
              [&] { (void)table.MakeMessage("region-1-zone-a"); });
          });
  Measure(
    "own digest by teams that ask this host",
    "team",
    "bytes",
    { 0, 100, 1000, 4000 },
    [](double aTeams) {
      return static_cast<double>(
        DigestToJson(DigestOf(0, static_cast<int>(aTeams))).dump().size());
    });
}

void MeasureRequest()
{
  Measure("reading a request",
          "prompt byte",
          "us",
          { 4'000, 400'000, 4'000'000 },
          [](double aBytes) {
            const json body = {
              { "model", "m" },
              { "prompt", std::string(static_cast<std::size_t>(aBytes), 'x') }
            };
            const HttpRequest request{ .method_ = "POST",
                                       .target_ = "/v1/completions",
                                       .body_ = body.dump() };
            return MicrosecondsOf([&] { (void)ParseModelRequest(request); });
          });
  Measure(
    "/metrics text", "service", "us", { 5, 20, 80 }, [](double aServices) {
      Metrics metrics;
      for (int service = 0; service < static_cast<int>(aServices); ++service) {
        metrics.RecordFirstToken("model-" + std::to_string(service),
                                 1000,
                                 std::chrono::microseconds(5000));
      }
      return MicrosecondsOf([&] { (void)metrics.Text(); });
    });
}

} // namespace

int main()
{
  std::printf("Slopes of one process\n\n");
  MeasureConfiguration();
  MeasureEndpoints();
  MeasureScheduler();
  MeasureBurn();
  MeasurePeers();
  MeasureRequest();
  return 0;
}
