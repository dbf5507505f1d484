// Subcommands of the one binary. Each has a file of its own and adds itself to
// the command line; its result is a ResultCode, which is the exit status.

#ifndef GOOSEBERRYLIFT_CLI_GOOSEBERRYLIFT_COMMAND_H_
#define GOOSEBERRYLIFT_CLI_GOOSEBERRYLIFT_COMMAND_H_

#include <functional>
#include <string>

#include <CLI/CLI.hpp>
#include <boost/leaf/result.hpp>

#include "gooseberrylift/gooseberrylift-result.h"

namespace gooseberrylift {

// What a subcommand does once its arguments were read.
using CommandBody = std::function<boost::leaf::result<void>()>;

// Receives the body of the subcommand that the arguments chose.
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

/// Reads a whole file, or standard input for "-"; a text that begins with "{"
/// stands for itself.
/// @param aPath the file
/// @param aCode the code of the error when it can't be read
/// @return its text
boost::leaf::result<std::string> ReadTextFile(const std::string& aPath,
                                              ResultCode aCode);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_CLI_GOOSEBERRYLIFT_COMMAND_H_
