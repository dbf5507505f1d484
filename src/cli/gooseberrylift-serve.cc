#include "gooseberrylift-command.h"
#include "gooseberrylift-startup.h"

#include <memory>

#include <boost/leaf/error.hpp>

#include "gooseberrylift/gooseberrylift-settings.h"
#include "gooseberrylift/internal/gooseberrylift-descriptor-limit.h"
#include "gooseberrylift/internal/gooseberrylift-entry-host.h"
#include "gooseberrylift/internal/gooseberrylift-gateway-host.h"
#include "gooseberrylift/internal/gooseberrylift-host-memory.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-settings-file.h"

namespace gooseberrylift {

namespace leaf = boost::leaf;

namespace {

constexpr const char* kDefaultPath = "/etc/gooseberrylift/local.conf";

// JSON text and standard input are read once and can't be reloaded.
bool IsFile(const std::string& aPath)
{
  return aPath != "-" && !aPath.starts_with("{");
}

leaf::result<void> Run(SettingsFile aFile)
{
  BOOST_LEAF_AUTO(settings, Settings::Parse(aFile.text_));
  StartLogging(settings.logLevel_, settings.hostName_);
  BoundConnections(settings, RaiseDescriptorLimit());
  const auto ended =
    settings.gateway_ ? GatewayHost(std::move(settings), std::move(aFile)).Run()
                      : EntryHost(std::move(settings)).Run();
  if (!ended) {
    return leaf::new_error(ended.error());
  }
  return {};
}

leaf::result<void> Serve(const std::string& aPath)
{
  PrepareToServe();
  PrepareAllocator();
  if (!IsFile(aPath)) {
    BOOST_LEAF_AUTO(text, ReadTextFile(aPath, ResultCode::kSettingsUnreadable));
    return Run({ .text_ = std::move(text) });
  }
  const auto text = AwaitSettingsFile(aPath);
  if (!text) {
    return leaf::new_error(text.error());
  }
  if (!text.value()) {
    return {}; // stopped by a signal
  }
  return Run({ .path_ = aPath, .text_ = *text.value() });
}

} // namespace

void AddServeCommand(CLI::App& aApp, const CommandSink& aSink)
{
  CLI::App* command =
    aApp.add_subcommand("serve", "Run an entry host until SIGTERM");
  command->footer(
    "Waits up to 5 s for a file that is missing or half-written. JSON text may "
    "be given\nin place of the path, - for standard input.\n"
    "Example: gooseberrylift serve --settings host-1.json");
  auto path = std::make_shared<std::string>(kDefaultPath);
  command->add_option("--settings", *path, "the host's settings, a JSON file")
    ->envname("GOOSEBERRYLIFT_SETTINGS")
    ->capture_default_str();
  command->callback([path, aSink] { aSink([path] { return Serve(*path); }); });
}

} // namespace gooseberrylift
