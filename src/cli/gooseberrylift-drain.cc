#include "gooseberrylift-command.h"

#include <iostream>

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>

#include "gooseberrylift-admin-client.h"

namespace gooseberrylift {

namespace leaf = boost::leaf;

namespace {

// Sends a request to all hosts, prints their responses and returns the combined
// error of the hosts that failed, if any.
leaf::result<void> QueryAndPrint(const AdminOptions& aOptions,
                                 const HttpRequest& aRequest)
{
  const auto answers = QueryHosts(aOptions, aRequest);
  nlohmann::json items = nlohmann::json::array();
  for (const AdminAnswer& answer : answers) {
    const std::string text = answer.IsSuccess() ? answer.response_.value().body_
                                                : answer.ErrorText() + "\n";
    if (aOptions.IsJson()) {
      items.push_back({ { "host", answer.address_ },
                        { "done", answer.IsSuccess() },
                        { "answer", text } });
    } else if (answer.IsSuccess()) {
      std::cout << answer.address_ << ": " << text
                << (text.ends_with('\n') ? "" : "\n");
    }
  }
  if (aOptions.IsJson()) {
    std::cout << items.dump(2) << '\n';
  }
  std::cout << std::flush;
  return ToResult(answers);
}

} // namespace

void AddDrainCommand(CLI::App& aApp, const CommandSink& aSink)
{
  CLI::App* command =
    aApp.add_subcommand("drain", "Shut hosts down gracefully, as SIGTERM does");
  command->footer("Example: gooseberrylift drain --hosts 10.0.0.1:8081");
  const auto options = AddAdminOptions(*command);
  command->callback([options, aSink] {
    aSink([options] {
      return QueryAndPrint(*options, MakeRequest("POST", "/drain", ""));
    });
  });
}

void AddLogCommand(CLI::App& aApp, const CommandSink& aSink)
{
  CLI::App* command =
    aApp.add_subcommand("log", "Show or set log levels of running hosts");
  command->footer("Examples:\n"
                  "  gooseberrylift log --hosts 10.0.0.1:8081\n"
                  "  gooseberrylift log requests debug --hosts 10.0.0.1:8081");
  auto component = std::make_shared<std::string>();
  auto level = std::make_shared<std::string>();
  CLI::Option* named =
    command->add_option("component",
                        *component,
                        "a component, or all; shows the levels when omitted");
  command->add_option("level", *level, "debug, info, warning or error")
    ->needs(named);
  const auto options = AddAdminOptions(*command);
  command->callback([component, level, options, aSink] {
    aSink([component, level, options] {
      return QueryAndPrint(
        *options,
        component->empty()
          ? MakeRequest("/log")
          : MakeRequest(
              "POST", "/log?component=" + *component + "&level=" + *level, ""));
    });
  });
}

} // namespace gooseberrylift
