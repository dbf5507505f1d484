// Entry point of the binary: parses the command line, runs the selected
// subcommand and returns its result code as the exit status.

#include "gooseberrylift-command.h"
#include "gooseberrylift-startup.h"

#include <array>
#include <cerrno>
#include <fstream>
#include <iostream>
#include <string>
#include <system_error>

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

#include "gooseberrylift/internal/gooseberrylift-log.h"

namespace gooseberrylift {

namespace leaf = boost::leaf;

namespace {

constexpr std::size_t kReadBytes = 64 * 1024;
constexpr std::size_t kMaxTextBytes = 64 * 1024 * 1024;

} // namespace

leaf::result<std::string> ReadTextFile(const std::string& aPath,
                                       ResultCode aCode)
{
  // JSON text in place of a path, for tools that start many hosts.
  if (aPath.starts_with("{")) {
    return aPath;
  }
  errno = 0;
  std::ifstream file;
  if (aPath != "-") {
    file.open(aPath);
  }
  std::istream& in = aPath == "-" ? std::cin : file;
  std::string text;
  std::array<char, kReadBytes> buffer{};
  while (in && text.size() <= kMaxTextBytes) {
    in.read(buffer.data(), buffer.size());
    text.append(buffer.data(), static_cast<std::size_t>(in.gcount()));
  }
  const bool isOpen = aPath == "-" || file.is_open();
  if (!isOpen || in.bad() || text.size() > kMaxTextBytes) {
    const std::string reason = text.size() > kMaxTextBytes
                                 ? "too large"
                                 : std::generic_category().message(errno);
    return leaf::new_error(
      Error{ .code_ = aCode, .text_ = aPath + ": can't be read: " + reason });
  }
  return text;
}

void AddVersionCommand(CLI::App& aApp, const CommandSink& aSink)
{
  CLI::App* command = aApp.add_subcommand("version", "Print the version");
  command->footer("Example: gooseberrylift version");
  command->callback([aSink] {
    aSink([]() -> leaf::result<void> {
      std::cout << "gooseberrylift " << GOOSEBERRYLIFT_VERSION << std::endl;
      return {};
    });
  });
}

} // namespace gooseberrylift

namespace {

using gooseberrylift::CommandBody;
using gooseberrylift::Error;
using gooseberrylift::ResultCode;

using ErrorWriter = void (*)(std::string aLine);

void WriteError(std::string aLine)
{
  aLine += '\n';
  std::cerr << aLine << std::flush;
}

int Report(const Error& aError, ErrorWriter aWrite)
{
  const auto& info = gooseberrylift::InfoOf(aError.code_);
  std::string line = "gooseberrylift: ";
  line += info.name_;
  line += " (" + std::to_string(static_cast<int>(aError.code_)) + "): ";
  line += aError.text_.empty() ? info.meaning_ : aError.text_;
  aWrite(std::move(line));
  return static_cast<int>(aError.code_);
}

int HandleErrors(const CommandBody& aBody, ErrorWriter aWrite)
{
  return boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<int> {
      BOOST_LEAF_CHECK(aBody());
      return 0;
    },
    [aWrite](const Error& aError) { return Report(aError, aWrite); },
    [aWrite] { return Report({ .code_ = ResultCode::kInternal }, aWrite); });
}

// Without descriptors or memory, the parts of a host throw while it starts.
int RunBody(const CommandBody& aBody, ErrorWriter aWrite)
{
  try {
    return HandleErrors(aBody, aWrite);
  } catch (const std::exception& error) {
    return Report({ .code_ = ResultCode::kInternal, .text_ = error.what() },
                  aWrite);
  }
}

} // namespace

int main(int aCount, char** aArguments)
{
  CLI::App app("A serving layer for language model requests");
  app.require_subcommand(1);
  app.footer("Each subcommand has --help with examples. The exit status is the "
             "result code,\nwhich is printed to standard error with its name "
             "and text; see docs/RESULT-CODES.md.");
  CommandBody body;
  const gooseberrylift::CommandSink sink = [&body](CommandBody aBody) {
    body = std::move(aBody);
  };
  gooseberrylift::AddServeCommand(app, sink);
  gooseberrylift::AddCheckCommand(app, sink);
  gooseberrylift::AddConfigurationCommands(app, sink);
  gooseberrylift::AddStatusCommand(app, sink);
  gooseberrylift::AddReportCommand(app, sink);
  gooseberrylift::AddDrainCommand(app, sink);
  gooseberrylift::AddLogCommand(app, sink);
  gooseberrylift::AddExplainCommand(app, sink);
  gooseberrylift::AddTableCommands(app, sink);
  gooseberrylift::AddVersionCommand(app, sink);
  try {
    app.parse(aCount, aArguments);
  } catch (const CLI::ParseError& aError) {
    const int status = app.exit(aError);
    return status == 0 ? 0 : static_cast<int>(ResultCode::kUsage);
  }
  // A host that can't start must end, whether or not its standard error is
  // read.
  return RunBody(body,
                 app.got_subcommand("serve")
                   ? &gooseberrylift::WriteToStandardError
                   : &WriteError);
}
