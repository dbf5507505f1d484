// Keeps the blackboard's configuration at the highest generation that the
// object store shows.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_CONFIG_FOLLOWER_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_CONFIG_FOLLOWER_H_

#include <chrono>
#include <mutex>
#include <random>
#include <string>

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

// Writes the sections configuration_ and store_; reads peers_. Three ways lead
// to a new configuration, so that the loss of one delays nobody: a watch, which
// few hosts of a zone hold, since the store counts each; a poll, whose period
// grows with the number of hosts, so that the whole fleet's polls stay at a
// fixed rate; and peers, who offer what they have. A watch that breaks is begun
// again after a pause with jitter.
class ConfigFollower
{
public:
  struct Options
  {
    std::chrono::milliseconds callTimeout_{ 2000 };
    std::chrono::milliseconds watchFor_{ 60'000 };
    std::chrono::milliseconds pause_{ 250 };
    std::string host_;
    std::string zone_;
    // Two would do to lose one; a third covers a restart meanwhile.
    std::size_t watchersPerZone_ = 3;
    std::chrono::milliseconds pollPeriod_{ 1000 }; // of a small fleet
    std::int64_t pollsPerSecond_ = 10;             // of the whole fleet
    std::uint64_t seed_ = 0;
  };

  ConfigFollower(ObjectStore& aStore, Blackboard& aBoard, Options aOptions);

  /// Follows until cancelled.
  boost::asio::awaitable<void> Run();

  /// Polls until cancelled, beside Run.
  boost::asio::awaitable<void> Poll();

  /// Puts a configuration in force if its generation is higher than the
  /// present one's, from whatever source it came.
  /// @return true when it was applied
  bool Offer(const StoreObject& aObject);

  /// The same for a text that did not come as an object.
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
  void NoteOlder(std::uint64_t aGeneration);
  void NoteStore(bool aReachable);

  ObjectStore& store_;
  Blackboard& board_;
  Options options_;
  std::uint64_t alarmed_ = 0; // the older generation last alarmed
  std::mutex mutex_; // one offer at a time, so that a generation never falls
  std::mutex storeMutex_; // guards random_, orders the writes of store_
  std::mt19937_64 random_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_CONFIG_FOLLOWER_H_
