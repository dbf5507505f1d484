#include "gooseberrylift-command.h"

#include <memory>

#include <boost/leaf/error.hpp>

#include "gooseberrylift/gooseberrylift-settings.h"
#include "gooseberrylift/internal/gooseberrylift-descriptor-limit.h"
#include "gooseberrylift/internal/gooseberrylift-entry-host.h"
#include "gooseberrylift/internal/gooseberrylift-gateway-host.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"

namespace gooseberrylift {

namespace leaf = boost::leaf;

namespace {

leaf::result<void> Serve(const std::string& aPath)
{
  BOOST_LEAF_AUTO(text, ReadTextFile(aPath, ResultCode::kSettingsUnreadable));
  BOOST_LEAF_AUTO(settings, Settings::Parse(text));
  StartLogging(settings.logLevel_, settings.hostName_);
  settings.caller_.maxConnections_ = BoundCallerConnections(
    settings.caller_.maxConnections_, RaiseDescriptorLimit());
  const auto ended = settings.gateway_
                       ? GatewayHost(std::move(settings), aPath).Run()
                       : EntryHost(std::move(settings)).Run();
  if (!ended) {
    return leaf::new_error(ended.error());
  }
  return {};
}

} // namespace

void AddServeCommand(CLI::App& aApp, const CommandSink& aSink)
{
  CLI::App* command =
    aApp.add_subcommand("serve", "Run an entry host until SIGTERM");
  command->footer("Example: gooseberrylift serve --settings host-1.json");
  auto path = std::make_shared<std::string>();
  command->add_option("--settings", *path, "the host's settings, a JSON file")
    ->required();
  command->callback([path, aSink] { aSink([path] { return Serve(*path); }); });
}

} // namespace gooseberrylift
