// Keeps up with one kind of object in the store, through lost answers, mute
// watches, dropped history and connections that have gone silent.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_KIND_FOLLOWER_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_KIND_FOLLOWER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gooseberrylift/internal/gooseberrylift-store-relay.h"
#include "gooseberrylift/internal/gooseberrylift-store.h"
#include "gooseberrylift/membership/gooseberrylift-freshness-lease.h"

namespace gooseberrylift {

// Reads the whole kind, then waits for changes, again and again; or asks a host
// that does, where the relay says so, and reads only when none can answer:
//
//   KindFollower follower(store, relay, { .kind_ = "things" }, { ... });
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
    // The same of a host that others ask: what it does not notice they don't
    // either, and they add their own time to it.
    std::chrono::milliseconds servingWatch_{ 800 };
    // Between two tries while the store does not answer.
    std::chrono::milliseconds pause_{ 200 };
    // Between two tries of a host that asks others, when these have lost the
    // store as well: most likely all have, and each try is paid for. With 200
    // ms an outage of 8 s cost a fleet of 91 hosts twice its usual calls.
    std::chrono::milliseconds ownPause_{ 1'500 };
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
    // Called with each answer of another host, with the time for which that
    // one has had the store without an outage.
    std::function<void(std::chrono::milliseconds aFor)> onSteady_{};
  };

  KindFollower(ObjectStore& aStore,
               StoreRelay& aRelay,
               Options aOptions,
               Sink aSink);

  /// Follows until cancelled.
  boost::asio::awaitable<void> Run();

private:
  boost::asio::awaitable<bool> AskReader();
  void TakeIn(const ViewChanges& aChanges);
  void OnEvent(const StoreEvent& aEvent);
  boost::asio::awaitable<void> FollowStore();
  boost::asio::awaitable<bool> Read();
  boost::asio::awaitable<bool> Watch();
  void NoteStore(bool aReachable);
  std::chrono::milliseconds Pause();

  ObjectStore& store_;
  StoreRelay& relay_;
  Options options_;
  Sink sink_;
  std::set<std::string> names_; // of the objects that are known
  std::string version_; // from which the next watch goes on; empty: read first
  bool secondHand_ = false; // what is known came from another host
  // The store's revision up to which all has been taken in; it outlasts
  // version_, which a lost watch clears.
  std::uint64_t highest_ = 0;
  TimePoint read_{};   // when it was last read
  TimePoint ownTry_{}; // before then a host that asks does not read itself
  bool reachable_ = false;
  bool known_ = false; // whether reachable_ was ever set
  std::minstd_rand random_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_KIND_FOLLOWER_H_
