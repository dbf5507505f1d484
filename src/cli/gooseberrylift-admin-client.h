// Asks the admin ports of one or more hosts, for the subcommands that do.

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

// What such subcommands share on the command line.
struct AdminOptions
{
  std::vector<std::string> hosts_; // IP:port of admin ports
  std::string key_;
  std::string output_ = "text";
  std::chrono::milliseconds timeout_{ 5000 };

  bool IsJson() const { return output_ == "json"; }
};

// One host's answer.
struct AdminAnswer
{
  std::string address_;
  Outcome<HttpResponse> response_;

  bool IsGood() const { return response_ && response_.value().status_ < 300; }

  /// Says in a few words why the answer is not good.
  std::string Fault() const;
};

/// Adds --hosts, --admin-key, --output and --timeout-ms to a subcommand.
std::shared_ptr<AdminOptions> AddAdminOptions(CLI::App& aCommand);

/// Sends a request to each host at the same time and waits for all of them or
/// the timeout.
/// @return the answers in the order of the hosts
std::vector<AdminAnswer> AskHosts(const AdminOptions& aOptions,
                                  const HttpRequest& aRequest);

/// Makes the error of a subcommand from the hosts that gave no good answer.
/// @return kHostsSilent or kAdminRefused with their addresses; kOk when none
Error FaultOf(const std::vector<AdminAnswer>& aAnswers);

/// Ends a subcommand: with FaultOf's error, or well when there is none.
boost::leaf::result<void> EndWith(const std::vector<AdminAnswer>& aAnswers);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_CLI_GOOSEBERRYLIFT_ADMIN_CLIENT_H_
