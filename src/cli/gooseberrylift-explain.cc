#include "gooseberrylift-command.h"

#include <algorithm>
#include <iostream>
#include <memory>
#include <vector>

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>

#include "gooseberrylift/gooseberrylift-json-text.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"

namespace gooseberrylift {

namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

// Returns the log lines of a request from all hosts, ordered by time. Lines
// that are not JSON, such as those of other programs, are skipped.
std::vector<json> ReadRequestLines(const std::string& aId, std::istream& aIn)
{
  std::vector<json> lines;
  std::string text;
  while (std::getline(aIn, text)) {
    const std::size_t begin = text.find('{');
    if (begin == std::string::npos || text.find(aId) == std::string::npos) {
      continue;
    }
    json line = ParseJson(std::string_view(text).substr(begin));
    if (line.is_object() && line.value("request_id", "") == aId) {
      lines.push_back(std::move(line));
    }
  }
  std::stable_sort(
    lines.begin(), lines.end(), [](const json& aLeft, const json& aRight) {
      return aLeft.value("at_ms", std::int64_t{ 0 }) <
             aRight.value("at_ms", std::int64_t{ 0 });
    });
  return lines;
}

std::string_view MeaningOf(int aEvent)
{
  for (const LogEventInfo& info : AllLogEvents()) {
    if (static_cast<int>(info.event_) == aEvent) {
      return info.meaning_;
    }
  }
  return "An event unknown to this version.";
}

void Print(json aLine, std::int64_t aFirstMs)
{
  const int event = aLine.value("event", 0);
  std::cout << "+" << aLine.value("at_ms", std::int64_t{ 0 }) - aFirstMs
            << " ms " << aLine.value("host", "?") << ": " << event << " "
            << aLine.value("name", "?") << "\n    " << MeaningOf(event) << "\n";
  if (aLine.contains("code")) {
    const ResultInfo& info =
      InfoOf(static_cast<ResultCode>(aLine.value("code", 0)));
    std::cout << "    code " << aLine.value("code", 0) << ", " << info.name_
              << ": " << info.meaning_ << "\n";
  }
  for (const char* shown : { "at_ms", "host", "event", "name", "request_id" }) {
    aLine.erase(shown);
  }
  std::cout << "    " << aLine.dump() << "\n";
}

leaf::result<void> Explain(const std::string& aId)
{
  const std::vector<json> lines = ReadRequestLines(aId, std::cin);
  if (lines.empty()) {
    return leaf::new_error(MakeError(ResultCode::kRequestNotLogged,
                                     "no log line of request " + aId +
                                       "; check that the logs of all hosts are "
                                       "included"));
  }
  const auto first = lines.front().value("at_ms", std::int64_t{ 0 });
  for (const json& line : lines) {
    Print(line, first);
  }
  std::cout << std::flush;
  return {};
}

} // namespace

void AddExplainCommand(CLI::App& aApp, const CommandSink& aSink)
{
  CLI::App* command = aApp.add_subcommand(
    "explain", "Show how a request was handled, from the logs of all hosts");
  command->footer(
    "Example: cat *.log | gooseberrylift explain 73361362a94cae68");
  auto id = std::make_shared<std::string>();
  command->add_option("id", *id, "the request's identifier")->required();
  command->callback([id, aSink] { aSink([id] { return Explain(*id); }); });
}

} // namespace gooseberrylift
