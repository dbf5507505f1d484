// Keeps this host at what the platform's store shows, mostly by what other
// hosts have read there.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_STORE_FOLLOWER_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_STORE_FOLLOWER_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <nlohmann/json.hpp>

#include "gooseberrylift/gooseberrylift-peer-table.h"
#include "gooseberrylift/internal/gooseberrylift-store.h"
#include "gooseberrylift/membership/gooseberrylift-freshness-lease.h"
#include "gooseberrylift/membership/gooseberrylift-store-read-schedule.h"
#include "gooseberrylift/membership/gooseberrylift-store-view.h"

namespace gooseberrylift {

// Follows three kinds of objects: routes, endpoints and evacuations of
// availability zones. Each exchange between two hosts carries a headline of
// what each knows; who lacks something fetches it from the other. So what one
// host read reaches all in a few exchanges, and StoreReadSchedule sees to it
// that one host reads.
//
// Reading: the routes are listed each time, since only a linearizable read
// proves that no key was taken away. The store counts all its changes in one
// number, which the answer bears: the endpoints are listed when it has moved.
// A starting host first reads lists of any age, which cost less, and learns of
// later changes from other hosts. It serves their routes only with a proof:
// from another host, or from its own linearizable read. That read is delayed at
// random so that the hosts of a fleet that starts at once do not all read.
// Watches are not used. One that is mute looks like a store without changes,
// and each costs as much as a list.
//
// Why a proof may be passed on: the teller says how old its proof was when it
// answered, and the asker takes that age from the time at which it asked. The
// answer was made after the question, so the proof is in truth younger than
// that. No clocks are compared, only spans on clocks that count suspension; a
// host that stands still, or an answer that comes late, shortens the lease. A
// proof that comes unasked has no such bound and is not believed.
//
// All of it runs on one executor, to which its owner's calls belong too.
class StoreFollower
{
public:
  struct Parts
  {
    ObjectStore& store_;
    boost::asio::any_io_executor executor_;
    // Calls another host; its Answer is the result.
    std::function<boost::asio::awaitable<Outcome<nlohmann::json>>(
      PeerMember aPeer,
      nlohmann::json aParams,
      TimePoint aDeadline)>
      call_;
    // One change of a kind.
    std::function<void(const StoreEvent& aEvent)> onRoutes_;
    std::function<void(const StoreEvent& aEvent)> onEndpoint_;
    std::function<void(const StoreEvent& aEvent)> onEvacuation_;
    // The routes taken in show all changes from before that time.
    std::function<void(BootTime aBegan)> onProof_;
    // This host's own tries to read the store fail, or succeed again.
    std::function<void(bool aReachable)> onStore_;
    // Nobody had read the store for a while, and now it was read again.
    std::function<void()> onReturned_;
    // This host read something new.
    std::function<void()> onNews_;
    // Where this host stands among the live ones.
    std::function<ReaderRank()> rank_;
  };

  struct Options
  {
    std::string routesKind_;
    std::string endpointsKind_;
    std::string evacuationsKind_; // empty if not followed
    // A store in good order answers in a few ms, one that is slow by a factor
    // of sixty in a quarter of a second. What takes longer is lost.
    std::chrono::milliseconds callTimeout_{ 500 };
    // A host answers within some ms; one that does not is gone, and another one
    // has the news as well.
    std::chrono::milliseconds peerTimeout_{ 400 };
    // Between two proofs. Endpoints list themselves each 1.2 s and lapse after
    // three times that; with a fleet's readers no gap is as long unless the
    // store was away, and then what is missing may only have lapsed.
    std::chrono::milliseconds outage_{ 2'500 };
    // An answer beyond it is not passed on: on the narrowest links of hosts, 20
    // Mbit/s, it takes 0.1 s.
    std::size_t mostBytes_ = 256 * 1024;
    // Whether other hosts may be available to report changes.
    bool hasPeers_ = false;
    // Upper limit of the random delay before a starting host's own linearizable
    // read. It lets a proof spread from the few hosts that read first through a
    // fleet of thousands.
    std::chrono::milliseconds firstReadMaxDelay_{ 2'000 };
    // How long after a list of any age this host relies on others for endpoint
    // changes instead of listing the endpoints again.
    std::chrono::milliseconds peerUpdateWait_{ 1'000 };
    StoreReadSchedule::Options turn_{};
  };

  StoreFollower(Parts aParts, Options aOptions);

  /// Follows until cancelled.
  boost::asio::awaitable<void> Run();

  /// Gives what an exchange with another host is to carry.
  StoreStatus Headline() const;

  /// Takes in another host's headline.
  /// @param aAsked when the question was sent that it answers; nothing when it
  /// came with a question of the other host
  void OnHeadline(const PeerMember& aPeer,
                  const StoreStatus& aHeadline,
                  std::optional<BootTime> aAsked);

  /// Makes a host without a proof read at once, for a request that waits.
  /// @return whether the first proof is still missing
  bool ExpediteFirstProof();

  /// Answers another host's question for what it lacks.
  nlohmann::json Answer(const nlohmann::json& aParams) const;

  /// Says whether this host's last try to read the store failed.
  bool IsStoreUnavailable() const { return turn_.IsStoreUnavailable(); }

private:
  boost::asio::awaitable<void> Read();
  boost::asio::awaitable<void> ReadAllowStale();
  boost::asio::awaitable<bool> ReadRoutes();
  boost::asio::awaitable<bool> ReadKind(std::string aKind, StoreView& aView);
  boost::asio::awaitable<bool> ReadChanges();
  bool FollowsEvacuations() const { return !options_.evacuationsKind_.empty(); }
  boost::asio::awaitable<void> Fetch(PeerMember aPeer);
  void TakeInList(const std::string& aKind, StoreView& aView, StoreList aList);
  nlohmann::json Question() const;
  void TakeIn(const nlohmann::json& aAnswer, BootTime aAsked);
  void Publish(const std::string& aKind, const ViewUpdate& aNews);
  void OnProof(BootTime aBegan);
  void NoteGap(BootTime aBegan);
  void NoteReading(bool aReads);
  std::optional<std::chrono::milliseconds> ProofAge() const;

  Parts parts_;
  Options options_;
  StoreReadSchedule turn_;
  StoreView routes_{ StoreView::Options{} };
  StoreView endpoints_{ StoreView::Options{} };
  StoreView evacuations_{ StoreView::Options{} };
  std::optional<BootTime> proof_;
  ViewUpdate unprovenRoutes_; // from a list of any age, not published yet
  std::optional<TimePoint> anyAgeReadAt_;
  bool fetching_ = false;
  bool reads_ = false; // as last logged
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_STORE_FOLLOWER_H_
