// Subcommands that read and change the configuration of the fleet through the
// admin port of an entry host.

#include "gooseberrylift-command.h"

#include <chrono>
#include <iostream>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>

#include "gooseberrylift/gooseberrylift-config-change.h"
#include "gooseberrylift/gooseberrylift-json-text.h"
#include "gooseberrylift/internal/gooseberrylift-http-client.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;
namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

// Longer than the host's own timeout for a change (8 s), so that its response
// is received.
constexpr std::chrono::seconds kCallTimeout(12);

struct HostOptions
{
  std::string address_;
  std::string key_;
};

struct ApplyOptions
{
  HostOptions host_;
  std::string path_;
  std::uint64_t base_ = 0;
  std::string author_;
  bool wait_ = false;
  int waitSeconds_ = 30;
};

std::shared_ptr<HostOptions> AddHostOptions(CLI::App* aCommand)
{
  auto host = std::make_shared<HostOptions>();
  aCommand
    ->add_option(
      "--host", host->address_, "admin address of any entry host, IP:port")
    ->required();
  aCommand->add_option("--key", host->key_, "an admin key");
  return host;
}

// Converts an error response to an Error, so that the exit status of the
// command is the result code that the host returned.
Error ErrorFromResponse(const HttpResponse& aResponse)
{
  const json body = ParseJson(aResponse.body_);
  if (!body.is_object() || !body.contains("error")) {
    return MakeError(ResultCode::kHostUnreachable,
                     "status " + std::to_string(aResponse.status_));
  }
  const json& error = body.at("error");
  return MakeError(static_cast<ResultCode>(error.value("code", 1)),
                   error.value("message", ""));
}

asio::awaitable<void> Fetch(HttpClient& aClient,
                            const HostOptions& aHost,
                            HttpRequest aRequest,
                            std::optional<Outcome<HttpResponse>>& aResult)
{
  aResult = co_await aClient.Fetch(
    aHost.address_, std::move(aRequest), TimerService::Now() + kCallTimeout);
}

leaf::result<json> Call(const HostOptions& aHost, HttpRequest aRequest)
{
  if (!aHost.key_.empty()) {
    aRequest.fields_.push_back({ "Authorization", "Bearer " + aHost.key_ });
  }
  asio::io_context context(1);
  HttpClient client(context.get_executor(), HttpClient::Options{});
  std::optional<Outcome<HttpResponse>> result;
  asio::co_spawn(
    context, Fetch(client, aHost, std::move(aRequest), result), asio::detached);
  context.run();
  if (!*result) {
    return leaf::new_error(
      MakeError(ResultCode::kHostUnreachable,
                aHost.address_ + ": " + result->error().text_));
  }
  if (result->value().status_ != 200) {
    return leaf::new_error(ErrorFromResponse(result->value()));
  }
  return ParseJson(result->value().body_);
}

// Returns the names of the host's live peers that still use an older
// generation.
leaf::result<std::set<std::string>> FindLaggingHosts(const HostOptions& aHost,
                                                     std::uint64_t aGeneration)
{
  BOOST_LEAF_AUTO(hostGenerations,
                  Call(aHost, MakeRequest("/configuration/spread")));
  std::set<std::string> lagging;
  for (const json& host : hostGenerations.value("hosts", json::array())) {
    if (host.value("generation", std::uint64_t{ 0 }) < aGeneration) {
      lagging.insert(host.value("host", ""));
    }
  }
  return lagging;
}

std::string Join(const std::set<std::string>& aNames)
{
  std::string text;
  for (const std::string& name : aNames) {
    text += text.empty() ? name : ", " + name;
  }
  return text;
}

leaf::result<void> WaitForAllHosts(const ApplyOptions& aOptions,
                                   std::uint64_t aGeneration)
{
  const TimePoint end =
    TimerService::Now() + std::chrono::seconds(aOptions.waitSeconds_);
  std::set<std::string> lagging;
  do {
    BOOST_LEAF_ASSIGN(lagging, FindLaggingHosts(aOptions.host_, aGeneration));
    if (lagging.empty()) {
      std::cout << "generation " << aGeneration << " in force on all live hosts"
                << std::endl;
      return {};
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  } while (TimerService::Now() < end);
  return leaf::new_error(
    MakeError(ResultCode::kConfigurationLagging,
              "accepted as generation " + std::to_string(aGeneration) +
                ", not in force yet on: " + Join(lagging)));
}

leaf::result<void> Apply(const ApplyOptions& aOptions)
{
  BOOST_LEAF_AUTO(
    text, ReadTextFile(aOptions.path_, ResultCode::kConfigurationUnreadable));
  BOOST_LEAF_AUTO(
    accepted,
    Call(aOptions.host_,
         MakeRequest("POST",
                     "/configuration?base=" + std::to_string(aOptions.base_) +
                       "&author=" + aOptions.author_,
                     text)));
  const std::uint64_t generation =
    accepted.value("generation", std::uint64_t{ 0 });
  std::cout << "accepted as generation " << generation << std::endl;
  if (aOptions.wait_) {
    return WaitForAllHosts(aOptions, generation);
  }
  return {};
}

leaf::result<void> Show(const HostOptions& aHost)
{
  BOOST_LEAF_AUTO(shown, Call(aHost, MakeRequest("/configuration")));
  std::cerr << "generation " << shown.value("generation", 0ULL) << std::endl;
  std::cout << shown.at("configuration").dump(2) << std::endl;
  return {};
}

leaf::result<void> History(const HostOptions& aHost)
{
  BOOST_LEAF_AUTO(history, Call(aHost, MakeRequest("/configuration/history")));
  for (const json& change : history.value("recent", json::array())) {
    std::cout << change.value("generation", 0ULL) << " "
              << change.value("at_ms", 0LL) << " " << change.value("author", "")
              << std::endl;
  }
  return {};
}

leaf::result<json> Generation(const HostOptions& aHost, std::uint64_t aNumber)
{
  return Call(
    aHost,
    MakeRequest("/configuration/generation?number=" + std::to_string(aNumber)));
}

leaf::result<void> Diff(const HostOptions& aHost,
                        std::uint64_t aFrom,
                        std::uint64_t aTo)
{
  BOOST_LEAF_AUTO(from, Generation(aHost, aFrom));
  BOOST_LEAF_AUTO(to, Generation(aHost, aTo));
  for (const std::string& line : DiffConfigurations(from, to)) {
    std::cout << line << std::endl;
  }
  return {};
}

void AddApply(CLI::App& aApp, const CommandSink& aSink)
{
  CLI::App* command = aApp.add_subcommand(
    "apply", "Apply a file as the configuration of the fleet");
  command->footer("Example: gooseberrylift apply services.json --base 7 "
                  "--host 127.0.0.1:9001 --wait");
  auto options = std::make_shared<ApplyOptions>();
  auto host = AddHostOptions(command);
  command
    ->add_option("file", options->path_, "a JSON file, - for standard input")
    ->required();
  command->add_option("--base",
                      options->base_,
                      "the generation that the file is based on, as printed by "
                      "`show`; omitted for the first configuration");
  command
    ->add_option(
      "--author", options->author_, "the author that the history shows")
    ->check([](const std::string& aName) {
      const bool isValid =
        aName.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRST"
                                "UVWXYZ0123456789-_.") == std::string::npos;
      return isValid ? "" : "only letters, digits and -_. are allowed";
    });
  command->add_flag(
    "--wait", options->wait_, "wait until it is in force on all live hosts");
  command->add_option(
    "--wait-seconds", options->waitSeconds_, "how long to wait");
  command->callback([options, host, aSink] {
    options->host_ = *host;
    aSink([options] { return Apply(*options); });
  });
}

} // namespace

void AddConfigurationCommands(CLI::App& aApp, const CommandSink& aSink)
{
  AddApply(aApp, aSink);

  CLI::App* show = aApp.add_subcommand(
    "show", "Print the configuration in force; its generation goes to stderr");
  show->footer("Example: gooseberrylift show --host 127.0.0.1:9001 > now.json");
  auto showHost = AddHostOptions(show);
  show->callback(
    [showHost, aSink] { aSink([showHost] { return Show(*showHost); }); });

  CLI::App* history =
    aApp.add_subcommand("history", "List the accepted changes, oldest first");
  history->footer("Example: gooseberrylift history --host 127.0.0.1:9001");
  auto historyHost = AddHostOptions(history);
  history->callback([historyHost, aSink] {
    aSink([historyHost] { return History(*historyHost); });
  });

  CLI::App* diff = aApp.add_subcommand(
    "diff", "Print the differences between two generations");
  diff->footer("Example: gooseberrylift diff 6 7 --host 127.0.0.1:9001");
  auto diffHost = AddHostOptions(diff);
  auto range = std::make_shared<std::pair<std::uint64_t, std::uint64_t>>();
  diff->add_option("from", range->first, "a generation")->required();
  diff->add_option("to", range->second, "a generation")->required();
  diff->callback([diffHost, range, aSink] {
    aSink([diffHost, range] {
      return Diff(*diffHost, range->first, range->second);
    });
  });
}

} // namespace gooseberrylift
