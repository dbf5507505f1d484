// Keeps up with one kind of object in the store, through lost answers, mute
// watches, dropped history and connections that have gone silent.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_KIND_FOLLOWER_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_KIND_FOLLOWER_H_

#include <chrono>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "gooseberrylift/internal/gooseberrylift-store.h"
#include "gooseberrylift/membership/gooseberrylift-freshness-lease.h"

namespace gooseberrylift {

// Reads the whole kind, then waits for changes, again and again:
//
//   KindFollower follower(store, { .kind_ = "things" }, { .onList_ = ... });
//   co_await follower.Run();
class KindFollower
{
public:
  struct Options
  {
    std::string kind_;
    // A store in good order answers in a few ms, one that is slow by a factor
    // of sixty in a quarter of a second. What takes longer is lost.
    std::chrono::milliseconds callTimeout_{ 900 };
    // How long a watch waits. The silence of a dead connection is noticed only
    // after this, so it stays below the time in which a change must be known, 2
    // s on the smallest deployments. Each call is paid for: with 1.5 s a fleet
    // of 86 hosts made 309 a second.
    std::chrono::milliseconds watchFor_{ 1'900 };
    // Between two tries while the store does not answer.
    std::chrono::milliseconds pause_{ 200 };
    // Reads again when the last reading is older than a watch takes: only a
    // read proves that nothing was missed.
    bool readsAgain_ = false;
    std::uint64_t seed_ = 1; // of the jitter
  };

  struct Sink
  {
    // Called with the whole kind.
    std::function<void(const std::vector<StoreObject>& aObjects)> onList_;
    // Called with one change.
    std::function<void(const StoreEvent& aEvent)> onEvent_;
    // Called when a read showed all changes up to its beginning.
    std::function<void(BootTime aBegan)> onProof_;
    // Called when the store is lost or regained.
    std::function<void(bool aReachable)> onStore_;
  };

  KindFollower(ObjectStore& aStore, Options aOptions, Sink aSink);

  /// Follows until cancelled.
  boost::asio::awaitable<void> Run();

private:
  boost::asio::awaitable<bool> Read();
  boost::asio::awaitable<bool> Watch();
  void NoteStore(bool aReachable);
  std::chrono::milliseconds Pause();

  ObjectStore& store_;
  Options options_;
  Sink sink_;
  std::string version_; // from which the next watch goes on; empty: read first
  TimePoint read_{};    // when it was last read
  bool reachable_ = false;
  bool known_ = false; // whether reachable_ was ever set
  std::minstd_rand random_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_KIND_FOLLOWER_H_
