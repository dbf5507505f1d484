// The operators' configuration: teams, pools of endpoints and services. One
// text describes the whole fleet; docs/CONFIGURATION.md describes each field.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_CONFIG_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_CONFIG_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/leaf/result.hpp>

#include "gooseberrylift/gooseberrylift-prompt-band.h"
#include "gooseberrylift/gooseberrylift-result.h"

namespace gooseberrylift {

// How urgent a service's requests are. The order is the order of service.
enum class ServiceClass
{
  kUrgent,
  kNormal,
  kBatch
};

// What stands behind a service.
enum class ServiceKind
{
  kModel,
  kPlain
};

// Whether the engines of a pool refuse an order with an old fencing number.
enum class Fencing
{
  kEnforced,
  kIgnored
};

// A customer that shares the fleet.
struct TeamConfig
{
  std::string name_;
  std::vector<std::string> keys_; // bearer keys, any of which is accepted
  double weight_ = 1.0;           // share under contention
  double tokensPerSecond_ = 0;    // over all hosts; 0 is unlimited
};

// A set of endpoints that serve the same thing.
struct PoolConfig
{
  std::string name_;
  Fencing fencing_ = Fencing::kIgnored;
  std::string placement_ = "least-work"; // one of PlacementKinds
  int maxConcurrency_ = 32;              // requests per endpoint
};

// What a service promises its teams; the burn report counts against it.
struct ServiceObjective
{
  // Bound of the time to first token by prompt band; none is not counted.
  std::array<std::optional<std::chrono::milliseconds>, kPromptBands.size()>
    firstToken_{};
  double firstTokenShare_ = 0.95; // of requests that are to keep the bound
  double successShare_ = 0.999;   // to be answered whole within the deadline
};

// What callers address: a model or a plain service, with its objectives.
struct ServiceConfig
{
  std::string name_;
  ServiceKind kind_ = ServiceKind::kModel;
  std::string model_; // kModel: the name callers give in the body
  std::string pool_;
  ServiceClass class_ = ServiceClass::kNormal;
  std::chrono::milliseconds deadline_{ 60'000 }; // whole answer, by default
  std::set<std::string> repeatableMethods_;      // kPlain: safe to send twice
  std::vector<std::string> dependsOn_;           // names of services
  std::optional<ServiceObjective> objective_;    // none is not reported on
};

// A configuration that passed its checks. It never changes after it was made;
// parts share it by Ptr and read without a lock.
class Configuration
{
public:
  using Ptr = std::shared_ptr<const Configuration>;

  /// Checks a configuration and makes it ready for look-ups.
  /// @param aText the operators' JSON text
  /// @param aGeneration the number that rises with each accepted change
  /// @return the configuration, or a LEAF error carrying an Error with
  /// kConfigurationInvalid whose text names the path of the fault
  static boost::leaf::result<Ptr> Parse(std::string_view aText,
                                        std::uint64_t aGeneration);

  /// Gives the JSON Schema that Parse checks a text against.
  static std::string_view Schema();

  std::uint64_t Generation() const { return generation_; }

  /// Gives the text that this configuration was made from.
  const std::string& Text() const { return text_; }

  /// Finds the team that owns a bearer key; null when there is none.
  const TeamConfig* TeamByKey(std::string_view aKey) const;

  /// Finds the model service that serves a model; null when there is none.
  const ServiceConfig* ServiceByModel(std::string_view aModel) const;

  /// Finds a service by name; null when there is none.
  const ServiceConfig* ServiceByName(std::string_view aName) const;

  /// Finds a pool by name; null when there is none.
  const PoolConfig* PoolByName(std::string_view aName) const;

  const std::map<std::string, TeamConfig, std::less<>>& Teams() const
  {
    return teams_;
  }
  const std::map<std::string, PoolConfig, std::less<>>& Pools() const
  {
    return pools_;
  }
  const std::map<std::string, ServiceConfig, std::less<>>& Services() const
  {
    return services_;
  }

private:
  friend class ConfigurationParser;

  std::uint64_t generation_ = 0;
  std::string text_;
  std::map<std::string, TeamConfig, std::less<>> teams_;
  std::map<std::string, std::string, std::less<>> teamOfKey_;
  std::map<std::string, PoolConfig, std::less<>> pools_;
  std::map<std::string, ServiceConfig, std::less<>> services_;
  std::map<std::string, std::string, std::less<>> serviceOfModel_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_CONFIG_H_
