// The operators' configuration: teams, endpoint pools and services. A single
// document covers the whole fleet. docs/CONFIGURATION.md describes each field.

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

// Scheduling priority of a service's requests, highest first.
enum class ServiceClass
{
  kUrgent,
  kNormal,
  kBatch
};

// The type of backend that implements a service.
enum class ServiceKind
{
  kModel,
  kPlain
};

// Whether the engines of a pool reject orders with an outdated fencing token.
enum class Fencing
{
  kEnforced,
  kIgnored
};

// A tenant of the fleet.
struct TeamConfig
{
  std::string name_;
  std::vector<std::string> keys_; // bearer keys, any of which is accepted
  double weight_ = 1.0;           // relative share under contention
  double tokensPerSecond_ = 0;    // limit across all hosts; 0 is unlimited
};

// A set of interchangeable endpoints.
struct PoolConfig
{
  std::string name_;
  Fencing fencing_ = Fencing::kIgnored;
  std::string placement_ = "least-work"; // one of PlacementKinds
  int maxConcurrency_ = 32;              // concurrent requests per endpoint
};

// Service level objectives of a service, evaluated by the burn report.
struct ServiceObjective
{
  // Upper bound of the time to first token per prompt band. Requests of a band
  // without a bound are not counted.
  std::array<std::optional<std::chrono::milliseconds>, kPromptBands.size()>
    firstToken_{};
  double firstTokenShare_ = 0.95; // target fraction within the bound
  double successShare_ = 0.999;   // target fraction completed by the deadline
};

// A service that callers address by model or by name.
struct ServiceConfig
{
  std::string name_;
  ServiceKind kind_ = ServiceKind::kModel;
  std::string model_; // kModel: the model name in the request body
  std::string pool_;
  ServiceClass class_ = ServiceClass::kNormal;
  std::chrono::milliseconds deadline_{ 60'000 }; // default, complete response
  std::set<std::string> repeatableMethods_;      // kPlain: safe to retry
  std::vector<std::string> dependsOn_;           // service names
  std::optional<ServiceObjective> objective_;    // empty: not reported
};

// A validated, immutable configuration. It is shared through Ptr and read
// without locking.
class Configuration
{
public:
  using Ptr = std::shared_ptr<const Configuration>;

  /// Parses and validates a configuration, and indexes it for look-ups.
  /// @param aText the configuration as JSON
  /// @param aGeneration its generation, which increases with each accepted
  /// change
  /// @return the configuration, or a LEAF error carrying an Error with
  /// kConfigurationInvalid whose text contains the path of the invalid value
  static boost::leaf::result<Ptr> Parse(std::string_view aText,
                                        std::uint64_t aGeneration);

  /// Returns the JSON Schema that Parse validates against.
  static std::string_view Schema();

  std::uint64_t Generation() const { return generation_; }

  /// Returns the JSON text that this configuration was parsed from.
  const std::string& Text() const { return text_; }

  /// Returns the team that owns a bearer key, or nullptr.
  const TeamConfig* TeamByKey(std::string_view aKey) const;

  /// Returns the service that serves a model, or nullptr.
  const ServiceConfig* ServiceByModel(std::string_view aModel) const;

  /// Returns the service with a name, or nullptr.
  const ServiceConfig* ServiceByName(std::string_view aName) const;

  /// Returns the pool with a name, or nullptr.
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
