// Reads a host's settings file, which may be missing or half-written while
// another process replaces it.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SETTINGS_FILE_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SETTINGS_FILE_H_

#include <chrono>
#include <optional>
#include <string>

#include "gooseberrylift/internal/gooseberrylift-http.h"

namespace gooseberrylift {

// A settings file and what was read from it last.
struct SettingsFile
{
  std::string path_; // empty: the settings don't come from a file
  std::string text_;
};

/// Reads a file of at most 1 MiB. Never waits for a regular file.
/// @param aPath of a file, pipe or device
/// @param aPipeTimeout the time to wait for the data of a pipe or device; zero:
/// reads only regular files
/// @return the text, which may be empty; kSettingsUnreadable with the reason if
/// it can't be read, or kSettingsInvalid if it is too large
Outcome<std::string> ReadSettingsFile(const std::string& aPath,
                                      std::chrono::milliseconds aPipeTimeout);

/// Returns whether a text is complete JSON, whose writer has thus finished.
bool IsCompleteJson(const std::string& aText);

/// Reads a settings file. Waits up to 5 s while it is missing, unreadable or no
/// complete JSON, and reports so in the log and once on standard error. Blocks
/// the calling thread, and while it waits also SIGTERM, SIGINT and SIGHUP.
/// @return the text, complete or not; std::nullopt if SIGTERM or SIGINT ended
/// the wait; otherwise the error of ReadSettingsFile
Outcome<std::optional<std::string>> AwaitSettingsFile(const std::string& aPath);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SETTINGS_FILE_H_
