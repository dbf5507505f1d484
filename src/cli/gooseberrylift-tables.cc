#include "gooseberrylift-command.h"

#include <iostream>

#include "gooseberrylift/internal/gooseberrylift-log.h"

namespace gooseberrylift {

namespace {

void PrintCodes()
{
  std::cout
    << "| code | name | HTTP | meaning |\n| ---: | --- | ---: | --- |\n";
  for (const ResultInfo& info : AllResults()) {
    std::cout << "| " << static_cast<int>(info.code_) << " | " << info.name_
              << " | " << info.httpStatus_ << " | " << info.meaning_ << " |\n";
  }
}

void PrintEvents()
{
  std::cout << "| event | name | level | meaning |\n"
               "| ---: | --- | --- | --- |\n";
  for (const LogEventInfo& info : AllLogEvents()) {
    std::cout << "| " << static_cast<int>(info.event_) << " | " << info.name_
              << " | " << NameOf(info.level_) << " | " << info.meaning_
              << " |\n";
  }
}

void AddTable(CLI::App& aApp,
              const CommandSink& aSink,
              const char* aName,
              const char* aText,
              void (*aPrint)())
{
  CLI::App* command = aApp.add_subcommand(aName, aText);
  command->footer(std::string("Example: gooseberrylift ") + aName);
  command->callback([aSink, aPrint] {
    aSink([aPrint]() -> boost::leaf::result<void> {
      aPrint();
      std::cout << std::flush;
      return {};
    });
  });
}

} // namespace

void AddTableCommands(CLI::App& aApp, const CommandSink& aSink)
{
  AddTable(aApp,
           aSink,
           "codes",
           "Print all result codes as a Markdown table",
           &PrintCodes);
  AddTable(aApp,
           aSink,
           "events",
           "Print all log events as a Markdown table",
           &PrintEvents);
}

} // namespace gooseberrylift
