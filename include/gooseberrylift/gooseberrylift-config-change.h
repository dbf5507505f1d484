// How a change of configuration becomes the next generation: numbering,
// conflicts between operators, and telling after a lost answer what became of
// a write.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_CONFIG_CHANGE_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_CONFIG_CHANGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace gooseberrylift {

// One accepted change, as the object's history keeps it.
struct ConfigChange
{
  std::uint64_t generation_ = 0;
  std::string nonce_; // unlike that of any other change
  std::string author_;
  std::int64_t atMs_ = 0; // wall clock of the host that took it
};

// The stored configuration with its recent changes, the newest last.
struct StoredConfiguration
{
  // At some 100 bytes each, the list stays far below the object's megabyte.
  // It is also how far back a lost answer can be told, which is a matter of
  // seconds, and how many texts the store keeps.
  static constexpr std::size_t kRecent = 100;

  std::uint64_t generation_ = 0;
  nlohmann::json configuration_ = nlohmann::json::object();
  std::vector<ConfigChange> recent_;

  static StoredConfiguration FromSpec(const nlohmann::json& aSpec);
  nlohmann::json ToSpec() const;

  /// Finds the change with a nonce. After a lost answer this tells whether the
  /// write took effect, also when others wrote since.
  std::optional<ConfigChange> FindChange(std::string_view aNonce) const;
};

// What decides over a proposed change.
struct ConfigProposal
{
  std::uint64_t base_ = 0;         // what the operator's text was made from
  std::uint64_t highestKnown_ = 0; // in force on any host heard of
};

/// Gives the number for the next change.
/// @return nothing when the base is not the newest generation. The store may
/// have been put back to an older one than hosts have in force: then the
/// hosts' number counts, so that generations never repeat.
std::optional<std::uint64_t> NextGeneration(const StoredConfiguration& aStored,
                                            const ConfigProposal& aProposal);

/// Makes the object that the conditional update writes.
StoredConfiguration WithChange(const StoredConfiguration& aStored,
                               nlohmann::json aConfiguration,
                               ConfigChange aChange);

/// Lists what differs between two configurations, one path a line:
/// "+ path: value", "- path: value", "~ path: old -> new". Items of lists
/// are matched by their "name".
std::vector<std::string> DiffConfigurations(const nlohmann::json& aFrom,
                                            const nlohmann::json& aTo);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_CONFIG_CHANGE_H_
