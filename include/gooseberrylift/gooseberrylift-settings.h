// The settings of one host: its name, availability zone, addresses and limits.
// docs/CONFIGURATION.md describes each field and which of them take effect
// while the host runs. Configuration holds what all hosts share.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_SETTINGS_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_SETTINGS_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
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
  std::uint16_t port_ = 0;     // 0 selects a free port
  std::uint16_t lastPort_ = 0; // of a range that begins with port_; 0: no range
  std::size_t maxConnections_ = 10'000;

  bool operator==(const ListenSettings& aOther) const = default;
  std::uint16_t LastPort() const { return std::max(port_, lastPort_); }
};

// Guarantees and limits of a gateway, a host that serves routes. The platform
// specifies the values; the defaults suit a small deployment.
struct GatewaySettings
{
  // Whether a host that can't reach the store rejects keys after
  // revokeWithin_.
  bool strictRevocation_ = true;
  // The maximum time for which a revoked key may still be accepted.
  std::chrono::milliseconds revokeWithin_{ 5'000 };
  double retryRatio_ = 0.2; // retries per request, across all hosts
  std::chrono::milliseconds retryWindow_{ 10'000 };
  double retryAllowance_ = 100; // retries per window on top of the ratio
  // The longest time for which an engine reserves memory.
  std::chrono::milliseconds maxHold_{ 20'000 };
  // Whether in large zones a few hosts read the store and relay it to the
  // others. Otherwise every host reads the store itself.
  bool relaysStore_ = true;
  // Whether operators may evacuate availability zones. Requires additional
  // reads of the store.
  bool evacuations_ = false;
  // Bound on the requests per second to a cold endpoint: a multiple of what it
  // tolerates, and a number on top. Without both, cold endpoints are treated as
  // warm ones.
  std::optional<double> coldOvershoot_{};
  std::optional<double> coldSlack_{};
  // The region of each availability zone. Zones that are missing here are in no
  // allowed region.
  std::map<std::string, std::string> zoneRegions_{};
};

// Settings of a host, with the default of each.
struct Settings
{
  std::string hostName_;
  std::string zone_;
  std::string region_;
  // The memory of the machine; nothing: what the system reports.
  std::optional<std::uint64_t> memoryBytes_{};
  ListenSettings caller_;
  std::uint64_t maxBodyBytes_ = 16 * 1024 * 1024;
  std::uint32_t maxHeaderBytes_ = 16 * 1024;
  std::chrono::milliseconds headerTimeout_{ 10'000 };
  std::chrono::milliseconds bodyTimeout_{ 60'000 };
  std::chrono::milliseconds writeTimeout_{ 30'000 };
  ListenSettings ready_; // only with gateway_: load balancer health checks
  ListenSettings admin_;
  std::vector<std::string> adminKeys_;
  ListenSettings peer_;
  std::vector<std::string> peerKeys_;       // signs with the first, accepts all
  std::vector<std::string> peerSeeds_;      // IP:port, used without known peers
  std::vector<std::string> storeAddresses_; // IP:port
  std::string hostListAddress_;             // IP:port
  std::chrono::milliseconds hostListPoll_{ 1000 };
  std::chrono::milliseconds loadPoll_{ 250 };
  int threads_ = 2;
  std::chrono::milliseconds drainLag_{ 2000 };
  std::chrono::milliseconds drainLimit_{ 60'000 };
  std::size_t onceMaxBatch_ = 256; // calls per group commit
  std::chrono::milliseconds jobLease_{ 15'000 };
  std::string logLevel_ = "info";
  // Set on a gateway, which serves routes instead of the services of the
  // operators' configuration.
  std::optional<GatewaySettings> gateway_{};

  /// Parses and validates settings, and applies the defaults.
  /// @param aText the JSON text of the settings file
  /// @return the settings, or a LEAF error carrying an Error with
  /// kSettingsInvalid whose text contains the path of the invalid value
  static boost::leaf::result<Settings> Parse(std::string_view aText);

  /// Returns the JSON Schema that Parse validates against.
  static std::string_view Schema();
};

/// Returns the fields that differ and that a running host can't change, such as
/// its name and addresses.
/// @param aStart the settings with which the host was started
/// @param aNew the settings that its file has now
/// @return their names in the settings file
std::vector<std::string> FindRestartFields(const Settings& aStart,
                                           const Settings& aNew);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_SETTINGS_H_
