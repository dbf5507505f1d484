#include "gooseberrylift-command.h"

#include <iostream>

#include <boost/leaf/error.hpp>

#include "gooseberrylift-admin-client.h"
#include "gooseberrylift/gooseberrylift-burn-document.h"

namespace gooseberrylift {

namespace leaf = boost::leaf;

namespace {

leaf::result<void> ReportBurn(const AdminOptions& aOptions)
{
  const auto answers = QueryHosts(aOptions, MakeRequest("/report/burn"));
  BurnDocument merged;
  std::vector<std::string> unresponsive;
  for (const AdminAnswer& answer : answers) {
    const auto document = answer.IsSuccess()
                            ? ParseBurnDocument(answer.response_.value().body_)
                            : std::nullopt;
    if (document) {
      MergeBurnDocument(merged, *document);
    } else {
      unresponsive.push_back(answer.address_);
    }
  }
  if (merged.hosts_.empty()) {
    return leaf::new_error(CombineErrors(answers));
  }
  std::cout << (aOptions.IsJson() ? BurnReportJson(merged, unresponsive)
                                  : BurnReportText(merged, unresponsive))
            << std::flush;
  if (!unresponsive.empty()) {
    return leaf::new_error(Error{ .code_ = ResultCode::kReportPartial,
                                  .text_ = CombineErrors(answers).text_ });
  }
  return {};
}

} // namespace

void AddReportCommand(CLI::App& aApp, const CommandSink& aSink)
{
  CLI::App* report =
    aApp.add_subcommand("report", "Reports aggregated over all hosts");
  report->require_subcommand(1);
  report->footer(
    "Example: gooseberrylift report burn --hosts 10.0.0.1:8081,10.0.0.2:8081");
  CLI::App* burn = report->add_subcommand(
    "burn",
    "How fast each team's error budgets are spent, highest burn rate first");
  burn->footer("Examples:\n"
               "  gooseberrylift report burn --hosts 10.0.0.1:8081\n"
               "  GOOSEBERRYLIFT_HOSTS=10.0.0.1:8081,10.0.0.2:8081 \\\n"
               "    gooseberrylift report burn --output json");
  const auto options = AddAdminOptions(*burn);
  burn->callback(
    [options, aSink] { aSink([options] { return ReportBurn(*options); }); });
}

} // namespace gooseberrylift
