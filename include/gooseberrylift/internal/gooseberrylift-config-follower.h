// Keeps the blackboard's configuration at the highest generation that the
// object store shows.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_CONFIG_FOLLOWER_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_CONFIG_FOLLOWER_H_

#include <chrono>
#include <mutex>

#include "gooseberrylift/internal/gooseberrylift-blackboard.h"
#include "gooseberrylift/internal/gooseberrylift-store.h"

namespace gooseberrylift {

// The one object that holds the operators' configuration.
constexpr const char* kConfigurationKind = "configurations";
constexpr const char* kConfigurationName = "main";

// Where a configuration came from.
enum class ConfigSource
{
  kStore,
  kPeer,
  kOperator // accepted by this host itself
};

// Writes the sections configuration_ and store_. Reads the object, then
// watches it; a watch that breaks is begun again after a pause.
class ConfigFollower
{
public:
  struct Options
  {
    std::chrono::milliseconds callTimeout_{ 2000 };
    std::chrono::milliseconds watchFor_{ 60'000 };
    std::chrono::milliseconds pause_{ 250 };
  };

  ConfigFollower(ObjectStore& aStore, Blackboard& aBoard, Options aOptions);

  /// Follows until cancelled.
  boost::asio::awaitable<void> Run();

  /// Puts a configuration in force if its generation is higher than the
  /// present one's, from whatever source it came.
  /// @return true when it was applied
  bool Offer(const StoreObject& aObject);

  /// The same for a text that did not come as an object.
  bool OfferText(std::uint64_t aGeneration,
                 const std::string& aText,
                 ConfigSource aSource);

private:
  boost::asio::awaitable<bool> ReadAndWatch();
  bool Apply(std::uint64_t aGeneration,
             const std::string& aText,
             ConfigSource aSource);
  void NoteOlder(std::uint64_t aGeneration);
  void NoteStore(bool aReachable);

  ObjectStore& store_;
  Blackboard& board_;
  Options options_;
  std::uint64_t alarmed_ = 0; // the older generation last alarmed
  std::mutex mutex_; // one offer at a time, so that a generation never falls
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_CONFIG_FOLLOWER_H_
