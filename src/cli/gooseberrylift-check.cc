#include "gooseberrylift-command.h"

#include <iostream>
#include <memory>

#include "gooseberrylift/gooseberrylift-config.h"
#include "gooseberrylift/gooseberrylift-settings.h"

namespace gooseberrylift {

namespace leaf = boost::leaf;

namespace {

leaf::result<void> Check(const std::string& aPath)
{
  BOOST_LEAF_AUTO(text,
                  ReadTextFile(aPath, ResultCode::kConfigurationUnreadable));
  BOOST_LEAF_AUTO(configuration, Configuration::Parse(text, 1));
  std::cout << "ok: " << configuration->Teams().size() << " teams, "
            << configuration->Pools().size() << " pools, "
            << configuration->Services().size() << " services" << std::endl;
  return {};
}

leaf::result<void> CheckSettings(const std::string& aPath)
{
  BOOST_LEAF_AUTO(text, ReadTextFile(aPath, ResultCode::kSettingsUnreadable));
  BOOST_LEAF_AUTO(settings, Settings::Parse(text));
  std::cout << "ok: settings of " << settings.hostName_ << std::endl;
  return {};
}

} // namespace

void AddCheckCommand(CLI::App& aApp, const CommandSink& aSink)
{
  CLI::App* command =
    aApp.add_subcommand("check", "Check a configuration without applying it");
  command->footer("Example: gooseberrylift check services.json");
  auto path = std::make_shared<std::string>();
  auto isSettings = std::make_shared<bool>(false);
  command->add_option("file", *path, "a JSON file, - for standard input")
    ->required();
  command->add_flag(
    "--settings", *isSettings, "the file holds a host's settings");
  command->callback([path, isSettings, aSink] {
    aSink([path, isSettings] {
      return *isSettings ? CheckSettings(*path) : Check(*path);
    });
  });
}

} // namespace gooseberrylift
