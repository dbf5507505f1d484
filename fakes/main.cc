// Runs one fake server: gooseberrylift-fakes KIND --settings FILE-OR-JSON

#include <fstream>
#include <functional>
#include <iostream>
#include <map>

#include <CLI/CLI.hpp>

#include "gooseberrylift-fake.h"

namespace {

using gooseberrylift::fakes::json;

json ReadSettings(const std::string& aText)
{
  if (aText.starts_with("{")) {
    return json::parse(aText);
  }
  std::ifstream file(aText);
  return json::parse(file);
}

} // namespace

int main(int aCount, char** aArguments)
{
  namespace fakes = gooseberrylift::fakes;
  const std::map<std::string, std::function<int(const json&)>> kinds = {
    { "engine", fakes::RunFakeEngine },
    { "service", fakes::RunFakeService },
    { "store", fakes::RunFakeStore },
    { "hosts", fakes::RunFakeHosts },
    { "proxy", fakes::RunFakeProxy },
    { "fleet-store", fakes::RunFakeFleetStore },
    { "fleet-engine", fakes::RunFakeFleetEngine },
  };
  CLI::App app("Test doubles for the systems that gooseberrylift talks to");
  std::string kind;
  std::string settings = "{}";
  app
    .add_option("kind",
                kind,
                "engine, service, store, hosts, proxy, fleet-store or "
                "fleet-engine")
    ->required();
  app.add_option(
    "--settings", settings, "path of a JSON file, or a JSON object");
  CLI11_PARSE(app, aCount, aArguments);
  const auto found = kinds.find(kind);
  if (found == kinds.end()) {
    std::cerr << "no such kind of fake: " << kind << std::endl;
    return 2;
  }
  return found->second(ReadSettings(settings));
}
