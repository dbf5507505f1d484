// Client of the admin ports of one or more hosts, shared by the subcommands
// that query running hosts.

#ifndef GOOSEBERRYLIFT_CLI_GOOSEBERRYLIFT_ADMIN_CLIENT_H_
#define GOOSEBERRYLIFT_CLI_GOOSEBERRYLIFT_ADMIN_CLIENT_H_

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <boost/leaf/result.hpp>

#include "gooseberrylift/internal/gooseberrylift-http.h"

namespace gooseberrylift {

// The command line options that these subcommands share.
struct AdminOptions
{
  std::vector<std::string> hosts_; // IP:port of admin ports
  std::string key_;
  std::string output_ = "text";
  std::chrono::milliseconds timeout_{ 5000 };

  bool IsJson() const { return output_ == "json"; }
};

// The response of one host, or the error that replaced it.
struct AdminAnswer
{
  std::string address_;
  Outcome<HttpResponse> response_;

  bool IsSuccess() const
  {
    return response_ && response_.value().status_ < 300;
  }

  /// Returns a short description of the error when IsSuccess() is false.
  std::string ErrorText() const;
};

/// Adds --hosts, --admin-key, --output and --timeout-ms to a subcommand.
std::shared_ptr<AdminOptions> AddAdminOptions(CLI::App& aCommand);

/// Sends a request to all hosts concurrently and waits for their responses or
/// the timeout.
/// @return the answers in the order of the hosts
std::vector<AdminAnswer> QueryHosts(const AdminOptions& aOptions,
                                    const HttpRequest& aRequest);

/// Combines the errors of all hosts into the error of a subcommand.
/// @return kHostsSilent or kAdminRefused with the addresses of the failed
///         hosts; kOk when all succeeded
Error CombineErrors(const std::vector<AdminAnswer>& aAnswers);

/// Returns the error of CombineErrors(), or success when there is none.
boost::leaf::result<void> ToResult(const std::vector<AdminAnswer>& aAnswers);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_CLI_GOOSEBERRYLIFT_ADMIN_CLIENT_H_
