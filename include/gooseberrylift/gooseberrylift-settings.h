// The settings of one host: its name, availability zone, addresses and limits.
// They are read once at the start; what changes while running lives in the
// Configuration. docs/CONFIGURATION.md describes each field.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_SETTINGS_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/leaf/result.hpp>

#include "gooseberrylift/gooseberrylift-result.h"

namespace gooseberrylift {

// An address to listen on.
struct ListenSettings
{
  std::string address_ = "127.0.0.1";
  std::uint16_t port_ = 0; // 0 picks a free port
  std::size_t maxConnections_ = 10'000;
};

// What a host that serves routes promises of them. The platform that it runs
// on states the figures; these are those of a small deployment.
struct GatewaySettings
{
  bool strictRevocation_ = true; // by hosts without a store as well
  // How long after a key was taken away it may still be served.
  std::chrono::milliseconds revokeWithin_{ 5'000 };
  double retryRatio_ = 0.2; // repeats for each request, over all hosts
  std::chrono::milliseconds retryWindow_{ 10'000 };
  double retryAllowance_ = 100; // repeats in a window beside these
  // The longest time for which an engine sets memory aside.
  std::chrono::milliseconds longestHold_{ 20'000 };
  // In large zones a few hosts read the store for all; else each for itself.
  bool relaysStore_ = true;
  // Whether operators may evacuate availability zones. Adds reads of the store.
  bool evacuations_ = false;
};

struct Settings
{
  std::string hostName_;
  std::string zone_;
  std::string region_;
  ListenSettings caller_;
  std::uint64_t maxBodyBytes_ = 16 * 1024 * 1024;
  std::uint32_t maxHeaderBytes_ = 16 * 1024;
  std::chrono::milliseconds headerTimeout_{ 10'000 };
  std::chrono::milliseconds bodyTimeout_{ 60'000 };
  std::chrono::milliseconds writeTimeout_{ 30'000 };
  ListenSettings ready_; // only with gateway_: where the balancer asks
  ListenSettings admin_;
  std::vector<std::string> adminKeys_;
  ListenSettings peer_;
  std::vector<std::string> peerKeys_;       // the first signs, all are accepted
  std::vector<std::string> peerSeeds_;      // IP:port, asked while alone
  std::vector<std::string> storeAddresses_; // IP:port
  std::string hostListAddress_;             // IP:port
  std::chrono::milliseconds hostListPoll_{ 1000 };
  std::chrono::milliseconds loadPoll_{ 250 };
  int threads_ = 2;
  std::chrono::milliseconds drainLag_{ 2000 };
  std::chrono::milliseconds drainLimit_{ 60'000 };
  std::size_t onceMaxBatch_ = 256; // calls in one write of the group commit
  std::chrono::milliseconds jobLease_{ 15'000 };
  std::string logLevel_ = "info";
  // Set on a host that serves routes instead of the services of the
  // operators' own configuration.
  std::optional<GatewaySettings> gateway_{};

  /// Checks settings and fills in the defaults.
  /// @param aText the JSON text of the settings file
  /// @return the settings, or a LEAF error carrying an Error with
  /// kSettingsInvalid whose text names the path of the fault
  static boost::leaf::result<Settings> Parse(std::string_view aText);

  /// Gives the JSON Schema that Parse checks a text against.
  static std::string_view Schema();
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_SETTINGS_H_
