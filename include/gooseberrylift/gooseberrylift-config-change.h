// Turns a configuration change into the next generation: assigns its number,
// detects conflicting changes, and determines the outcome of a write whose
// response was lost.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_CONFIG_CHANGE_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_CONFIG_CHANGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace gooseberrylift {

// One accepted change, as recorded in the stored object.
struct ConfigChange
{
  std::uint64_t generation_ = 0;
  std::string nonce_; // unique per change
  std::string author_;
  std::int64_t atMs_ = 0; // Unix time, by the accepting host's clock
};

// The stored configuration and its most recent changes, oldest first.
struct StoredConfiguration
{
  // The number of changes kept. At about 100 bytes each, they stay far below
  // the 1 MB limit of the object. This also bounds how many changes ago a write
  // can have been for its outcome to be determined, for which a few seconds'
  // worth suffices, and how many configuration texts the store keeps.
  static constexpr std::size_t kMaxRecentChanges = 100;

  std::uint64_t generation_ = 0;
  nlohmann::json configuration_ = nlohmann::json::object();
  std::vector<ConfigChange> recent_;

  static StoredConfiguration FromSpec(const nlohmann::json& aSpec);
  nlohmann::json ToSpec() const;

  /// Returns the change with a nonce, if it is still in the list. This tells
  /// whether a write whose response was lost took effect, even if other writes
  /// followed.
  std::optional<ConfigChange> FindChange(std::string_view aNonce) const;
};

// The generations that determine whether a proposed change is accepted.
struct ConfigProposal
{
  std::uint64_t base_ = 0;           // generation that the change is based on
  std::uint64_t highestInForce_ = 0; // highest in force on any known host
};

/// Computes the generation of the next change.
/// The store may have been restored to an older generation than the hosts have
/// in force. In that case the hosts' generation is used, so that no number is
/// assigned twice.
/// @return the generation, or std::nullopt if the base is not the newest one
std::optional<std::uint64_t> NextGeneration(const StoredConfiguration& aStored,
                                            const ConfigProposal& aProposal);

/// Returns the stored object with the new configuration and the change appended
/// to its list. The caller writes it by a conditional update.
StoredConfiguration AppendChange(const StoredConfiguration& aStored,
                                 nlohmann::json aConfiguration,
                                 ConfigChange aChange);

/// Lists the differences between two configurations, one path per line:
/// "+ path", "- path" or "~ path: old -> new". List items are matched by
/// "name".
std::vector<std::string> DiffConfigurations(const nlohmann::json& aFrom,
                                            const nlohmann::json& aTo);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_CONFIG_CHANGE_H_
