// Keeps the blackboard's configuration at the highest generation that was
// received from the store, peers or operators.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_CONFIG_FOLLOWER_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_CONFIG_FOLLOWER_H_

#include <chrono>
#include <mutex>
#include <random>
#include <string>

#include "gooseberrylift/internal/gooseberrylift-blackboard.h"
#include "gooseberrylift/internal/gooseberrylift-store.h"

namespace gooseberrylift {

// The object that stores the operators' configuration.
constexpr const char* kConfigurationKind = "configurations";
constexpr const char* kConfigurationName = "main";

// The origin of a configuration.
enum class ConfigSource
{
  kStore,
  kPeer,
  kOperator // accepted by this host
};

// Writes the sections configuration_ and store_; reads peers_. A new
// configuration arrives in three ways, so that the loss of one causes no delay:
// a watch on the store, held by a few hosts of each zone because each watch
// adds load to the store; a poll, whose period grows with the number of hosts
// so that the fleet polls at a fixed rate; and peers that have a newer
// configuration. A broken watch is restarted after a delay with jitter.
class ConfigFollower
{
public:
  struct Options
  {
    std::chrono::milliseconds callTimeout_{ 2000 };
    std::chrono::milliseconds watchTimeout_{ 60'000 };
    std::chrono::milliseconds reconnectDelay_{ 250 };
    std::string host_;
    std::string zone_;
    // Two tolerate the loss of one host; the third covers a restart at the same
    // time.
    std::size_t watchersPerZone_ = 3;
    // Minimum, used in a small fleet.
    std::chrono::milliseconds pollPeriod_{ 1000 };
    // By all hosts together.
    std::int64_t pollsPerSecond_ = 10;
    std::uint64_t seed_ = 0;
  };

  ConfigFollower(ObjectStore& aStore, Blackboard& aBoard, Options aOptions);

  /// Reads and watches the store until cancelled.
  boost::asio::awaitable<void> Run();

  /// Polls the store until cancelled, concurrently with Run.
  boost::asio::awaitable<void> Poll();

  /// Applies a configuration, from any source, if its generation is higher than
  /// the current one.
  /// @return true when it was applied
  bool ApplyIfNewer(const StoreObject& aObject);

  /// The same for a serialized configuration instead of a stored object.
  bool ApplyTextIfNewer(std::uint64_t aGeneration,
                        const std::string& aText,
                        ConfigSource aSource);

private:
  boost::asio::awaitable<bool> ReadAndWatch();
  bool ShouldWatch() const;
  std::chrono::milliseconds PollPeriod() const;
  std::chrono::milliseconds Jittered(std::chrono::milliseconds aPause);
  bool Apply(std::uint64_t aGeneration,
             const std::string& aText,
             ConfigSource aSource);
  void ReportOlderGeneration(std::uint64_t aGeneration);
  void UpdateStoreState(bool aReachable);

  ObjectStore& store_;
  Blackboard& board_;
  Options options_;
  std::uint64_t lastOlderReported_ = 0; // the older generation reported last
  // Serializes updates, so that the generation never decreases.
  std::mutex mutex_;
  std::mutex storeMutex_; // guards random_, serializes writes of store_
  std::mt19937_64 random_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_CONFIG_FOLLOWER_H_
