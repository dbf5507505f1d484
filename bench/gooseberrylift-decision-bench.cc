// Runs the load patterns with several strategies and identical seeds, and
// prints a table, or JSON with --json:
//
//   decision-bench [--json] [--fleet huonetila|vatuvola] [--seed N]
//                  [--patterns a,b,...] [--strategies s,t,...]

#include <cstdio>
#include <iostream>
#include <sstream>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "bench/gooseberrylift-bench-report.h"

using namespace gooseberrylift;
using namespace gooseberrylift::bench;

namespace {

void PrintRow(const std::string& aPattern,
              const std::string& aStrategy,
              const nlohmann::json& aRow)
{
  const nlohmann::json& times = aRow["ttft_ms"];
  std::printf("%-5s %-24s %6d %6d %6d %6d %8.3f%% %9.2f",
              aPattern.c_str(),
              aStrategy.c_str(),
              aRow["sent"].get<int>(),
              aRow["answered"].get<int>(),
              aRow["refused"].get<int>(),
              aRow["missed"].get<int>(),
              aRow["miss_share"].get<double>() * 100,
              aRow["goodput"].get<double>());
  for (const char* band : { "le4k", "le30k", "le100k", "le1m" }) {
    std::printf(" %7.1f/%8.1f",
                times[band]["p50"].get<double>(),
                times[band]["p99"].get<double>());
  }
  std::printf("\n");
  std::fflush(stdout);
}

} // namespace

int main(int aCount, char** aArguments)
{
  CLI::App app("decision bench");
  bool asJson = false;
  std::uint64_t seed = 1;
  std::string fleet = "huonetila";
  std::vector<std::string> patterns = PatternNames();
  std::vector<std::string> strategies = { "fcfs-round-robin",
                                          "fcfs-least-outstanding",
                                          "least-outstanding",
                                          "least-work" };
  app.add_flag("--json", asJson);
  app.add_option("--fleet", fleet)
    ->check(CLI::IsMember({ "huonetila", "vatuvola" }));
  app.add_option("--seed", seed);
  app.add_option("--patterns", patterns)->delimiter(',');
  app.add_option("--strategies", strategies)->delimiter(',');
  CLI11_PARSE(app, aCount, aArguments);

  const FleetSize& size = fleet == "vatuvola" ? kVatuvola : kHuonetila;
  if (!asJson) {
    std::printf("%-5s %-24s %6s %6s %6s %6s %9s %9s  time to first token in ms,"
                " p50/p99, of <=4k, <=30k, <100k, 100k-1M\n",
                "load",
                "strategy",
                "sent",
                "whole",
                "refuse",
                "miss",
                "miss",
                "goodput");
  }
  nlohmann::json all;
  for (const std::string& pattern : patterns) {
    for (const std::string& strategy : strategies) {
      Summary summary;
      const std::vector<Record> records =
        RunPattern(MakePattern(pattern, size, seed), strategy, &summary);
      const nlohmann::json row = RowOf(records, summary);
      all[pattern][strategy] = row;
      if (!asJson) {
        PrintRow(pattern, strategy, row);
      }
    }
  }
  if (asJson) {
    std::cout << all.dump(2) << "\n";
  }
  return 0;
}
