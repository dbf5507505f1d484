#include "gooseberrylift-command.h"

#include <iostream>
#include <set>

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>

#include "gooseberrylift-admin-client.h"
#include "gooseberrylift/gooseberrylift-json-text.h"
#include "gooseberrylift/gooseberrylift-text-table.h"

namespace gooseberrylift {

namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

const std::set<std::string> kSeparateSections = { "pools",
                                                  "endpoints",
                                                  "failures",
                                                  "peers" };

// Returns a field of any type as text, or "-" when it is missing.
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

// Adds rows for hosts that were not queried, from the state that their peers
// last received.
void AddUnqueriedPeers(const std::vector<json>& aHosts, TextTable& aTable)
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
                     "not queried; reported by " + Cell(host, "host") });
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
    if (!answer.IsSuccess()) {
      table.Add(
        { answer.address_, "-", "no", "-", "-", "-", answer.ErrorText() });
    }
  }
  AddUnqueriedPeers(aHosts, table);
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

// Lists the endpoints as the hosts see them. An endpoint whose state differs
// between hosts gets a row for each state.
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
  bool hasRows = false;
  for (const json& host : aHosts) {
    const json failures = host.value("failures", json::array());
    for (const json& failure : failures) {
      table.Add({ Cell(host, "host"),
                  Cell(failure, "code"),
                  Cell(failure, "name"),
                  Cell(failure, "count"),
                  Cell(failure, "meaning") });
      hasRows = true;
    }
  }
  return hasRows
           ? "\nRequests refused or failed since the start\n" + table.Text()
           : "";
}

// Lists the remaining sections of the status, one row for each section of a
// host.
std::string OtherSectionsText(const std::vector<json>& aHosts)
{
  TextTable table({ { "HOST" }, { "SECTION" }, { "VALUE" } });
  bool hasRows = false;
  for (const json& host : aHosts) {
    for (const auto& [name, value] : host.items()) {
      if (!kSeparateSections.contains(name) && value.is_structured() &&
          !value.empty()) {
        table.Add({ Cell(host, "host"), name, value.dump() });
        hasRows = true;
      }
    }
  }
  return hasRows
           ? "\nOther sections (in full with --output json)\n" + table.Text()
           : "";
}

leaf::result<void> Status(const AdminOptions& aOptions)
{
  const auto answers = QueryHosts(aOptions, MakeRequest("/status"));
  std::vector<json> hosts;
  json unresponsive = json::array();
  for (const AdminAnswer& answer : answers) {
    json host =
      answer.IsSuccess() ? ParseJson(answer.response_.value().body_) : json();
    if (host.is_object()) {
      host["admin_address"] = answer.address_;
      hosts.push_back(std::move(host));
    } else {
      unresponsive.push_back(
        { { "host", answer.address_ }, { "fault", answer.ErrorText() } });
    }
  }
  if (aOptions.IsJson()) {
    const json status = { { "hosts", hosts },
                          { "silent_hosts", unresponsive } };
    std::cout << status.dump(2) << '\n';
  } else {
    std::cout << HostsText(hosts, answers) << QueuesText(hosts)
              << FailuresText(hosts) << EndpointsText(hosts)
              << OtherSectionsText(hosts);
  }
  std::cout << std::flush;
  return ToResult(answers);
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
