// The subcommands of the binary. Each registers itself with the command line
// parser; its ResultCode becomes the exit status.

#ifndef GOOSEBERRYLIFT_CLI_GOOSEBERRYLIFT_COMMAND_H_
#define GOOSEBERRYLIFT_CLI_GOOSEBERRYLIFT_COMMAND_H_

#include <functional>
#include <string>

#include <CLI/CLI.hpp>
#include <boost/leaf/result.hpp>

#include "gooseberrylift/gooseberrylift-result.h"

namespace gooseberrylift {

// The action of a subcommand, run after its arguments were parsed.
using CommandBody = std::function<boost::leaf::result<void>()>;

// Receives the body of the selected subcommand.
using CommandSink = std::function<void(CommandBody aBody)>;

void AddServeCommand(CLI::App& aApp, const CommandSink& aSink);
void AddCheckCommand(CLI::App& aApp, const CommandSink& aSink);
void AddConfigurationCommands(CLI::App& aApp, const CommandSink& aSink);
void AddStatusCommand(CLI::App& aApp, const CommandSink& aSink);
void AddReportCommand(CLI::App& aApp, const CommandSink& aSink);
void AddDrainCommand(CLI::App& aApp, const CommandSink& aSink);
void AddLogCommand(CLI::App& aApp, const CommandSink& aSink);
void AddExplainCommand(CLI::App& aApp, const CommandSink& aSink);
void AddTableCommands(CLI::App& aApp, const CommandSink& aSink);
void AddVersionCommand(CLI::App& aApp, const CommandSink& aSink);

/// Reads a whole file of at most 64 MiB, or standard input for "-". An argument
/// that begins with "{" is returned as it is.
/// @param aPath the path, "-", or JSON text
/// @param aCode the code of the error when the file can't be read
/// @return the text
boost::leaf::result<std::string> ReadTextFile(const std::string& aPath,
                                              ResultCode aCode);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_CLI_GOOSEBERRYLIFT_COMMAND_H_
