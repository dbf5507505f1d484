#include "gooseberrylift-command.h"

#include <iostream>
#include <set>

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>

#include "gooseberrylift-admin-client.h"
#include "gooseberrylift/gooseberrylift-text-table.h"

namespace gooseberrylift {

namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

const std::set<std::string> kShownApart = { "pools",
                                            "endpoints",
                                            "failures",
                                            "peers" };

// A field as text, whatever its type; "-" when it is missing.
std::string Cell(const json& aItem, const char* aName)
{
  const auto field = aItem.find(aName);
  if (field == aItem.end() || field->is_null()) {
    return "-";
  }
  return field->is_string() ? field->get<std::string>() : field->dump();
}

std::string YesNo(const json& aItem, const char* aName)
{
  return aItem.value(aName, false) ? "yes" : "no";
}

// Hosts that were not asked, as their peers last heard of them.
void AddUnaskedPeers(const std::vector<json>& aHosts, TextTable& aTable)
{
  std::set<std::string> shown;
  for (const json& host : aHosts) {
    shown.insert(Cell(host, "host"));
  }
  for (const json& host : aHosts) {
    const json peers = host.value("peers", json::array());
    for (const json& peer : peers) {
      if (shown.insert(Cell(peer, "host")).second) {
        aTable.Add({ Cell(peer, "host"),
                     Cell(peer, "zone"),
                     peer.value("draining", false) ? "no" : "-",
                     Cell(peer, "generation"),
                     peer.value("store_reachable", false) ? "reached" : "lost",
                     "-",
                     "not asked; heard of by " + Cell(host, "host") });
      }
    }
  }
}

std::string HostsText(const std::vector<json>& aHosts,
                      const std::vector<AdminAnswer>& aAnswers)
{
  TextTable table({ { "HOST" },
                    { "ZONE" },
                    { "READY" },
                    { "GENERATION", true },
                    { "STORE" },
                    { "PEERS", true },
                    { "WHY NOT READY" } });
  for (const json& host : aHosts) {
    table.Add({ Cell(host, "host"),
                Cell(host, "zone"),
                YesNo(host, "ready"),
                Cell(host, "generation"),
                host.value("store_reachable", false) ? "reached" : "lost",
                std::to_string(host.value("peers", json::array()).size()),
                Cell(host, "why_not_ready") });
  }
  for (const AdminAnswer& answer : aAnswers) {
    if (!answer.IsGood()) {
      table.Add({ answer.address_, "-", "no", "-", "-", "-", answer.Fault() });
    }
  }
  AddUnaskedPeers(aHosts, table);
  return "Hosts\n" + table.Text();
}

std::string QueuesText(const std::vector<json>& aHosts)
{
  TextTable table(
    { { "HOST" }, { "POOL" }, { "WAITING", true }, { "RUNNING", true } });
  for (const json& host : aHosts) {
    const json pools = host.value("pools", json::object());
    for (const auto& [name, load] : pools.items()) {
      table.Add({ Cell(host, "host"),
                  name,
                  Cell(load, "waiting"),
                  Cell(load, "running") });
    }
  }
  return "\nQueues\n" + table.Text();
}

// Endpoints as the hosts see them; where hosts differ, each view gets a row.
std::string EndpointsText(const std::vector<json>& aHosts)
{
  struct Row
  {
    std::vector<std::string> cells_;
    std::size_t seenBy_ = 0;
  };
  std::map<std::pair<std::string, std::string>, Row> rows; // by name and state
  for (const json& host : aHosts) {
    const json endpoints = host.value("endpoints", json::array());
    for (const json& endpoint : endpoints) {
      const std::string state = Cell(endpoint, "state");
      Row& row = rows[{ Cell(endpoint, "name"), state }];
      ++row.seenBy_;
      row.cells_ = { Cell(endpoint, "name"),    Cell(endpoint, "pool"),
                     Cell(endpoint, "zone"),    state,
                     Cell(endpoint, "running"), Cell(endpoint, "waiting"),
                     Cell(endpoint, "kv_used"), Cell(endpoint, "kv_total") };
    }
  }
  TextTable table({ { "ENDPOINT" },
                    { "POOL" },
                    { "ZONE" },
                    { "STATE" },
                    { "RUN", true },
                    { "WAIT", true },
                    { "KV USED", true },
                    { "KV TOTAL", true },
                    { "SEEN BY", true } });
  for (auto& [key, row] : rows) {
    row.cells_.push_back(std::to_string(row.seenBy_));
    table.Add(std::move(row.cells_));
  }
  return "\nEndpoints\n" + table.Text();
}

std::string FailuresText(const std::vector<json>& aHosts)
{
  TextTable table({ { "HOST" },
                    { "CODE", true },
                    { "NAME" },
                    { "COUNT", true },
                    { "MEANING" } });
  bool any = false;
  for (const json& host : aHosts) {
    const json failures = host.value("failures", json::array());
    for (const json& failure : failures) {
      table.Add({ Cell(host, "host"),
                  Cell(failure, "code"),
                  Cell(failure, "name"),
                  Cell(failure, "count"),
                  Cell(failure, "meaning") });
      any = true;
    }
  }
  return any ? "\nRequests refused or failed since the start\n" + table.Text()
             : "";
}

// Sections that parts add to the status: one line for each of their fields.
std::string OthersText(const std::vector<json>& aHosts)
{
  TextTable table({ { "HOST" }, { "SECTION" }, { "VALUE" } });
  bool any = false;
  for (const json& host : aHosts) {
    for (const auto& [name, value] : host.items()) {
      if (!kShownApart.contains(name) && value.is_structured() &&
          !value.empty()) {
        table.Add({ Cell(host, "host"), name, value.dump() });
        any = true;
      }
    }
  }
  return any ? "\nMore (whole with --output json)\n" + table.Text() : "";
}

leaf::result<void> Status(const AdminOptions& aOptions)
{
  const auto answers = AskHosts(aOptions, MakeRequest("/status"));
  std::vector<json> hosts;
  json silent = json::array();
  for (const AdminAnswer& answer : answers) {
    json host = answer.IsGood()
                  ? json::parse(answer.response_.value().body_, nullptr, false)
                  : json();
    if (host.is_object()) {
      host["admin_address"] = answer.address_;
      hosts.push_back(std::move(host));
    } else {
      silent.push_back(
        { { "host", answer.address_ }, { "fault", answer.Fault() } });
    }
  }
  if (aOptions.IsJson()) {
    const json status = { { "hosts", hosts }, { "silent_hosts", silent } };
    std::cout << status.dump(2) << '\n';
  } else {
    std::cout << HostsText(hosts, answers) << QueuesText(hosts)
              << FailuresText(hosts) << EndpointsText(hosts)
              << OthersText(hosts);
  }
  std::cout << std::flush;
  return EndWith(answers);
}

} // namespace

void AddStatusCommand(CLI::App& aApp, const CommandSink& aSink)
{
  CLI::App* command = aApp.add_subcommand(
    "status", "Show hosts, queues and endpoints as the hosts see them");
  command->footer("Example: gooseberrylift status --hosts 10.0.0.1:8081 "
                  "--output json");
  const auto options = AddAdminOptions(*command);
  command->callback(
    [options, aSink] { aSink([options] { return Status(*options); }); });
}

} // namespace gooseberrylift
