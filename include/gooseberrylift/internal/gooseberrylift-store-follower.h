// Keeps this host in sync with the platform's store, mostly with data that
// other hosts have read there.

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

// Where an update of the endpoints was read, for the log.
struct EndpointUpdateSource
{
  std::string origin_; // "store", "store-any-age" or the host that sent it
  std::uint64_t revisionBefore_ = 0;
  std::uint64_t revision_ = 0; // up to which the list is complete now
  // Age of what was read; nothing if unknown.
  std::optional<std::chrono::milliseconds> age_;
};

// Follows three kinds of objects: routes, endpoints and evacuations of
// availability zones. Each exchange between two hosts carries the revisions
// that each of them has; a host that is behind fetches the difference from the
// other. Data that one host has read thus reaches all hosts in a few exchanges,
// and StoreReadSchedule ensures that one host reads.
//
// Reading: the routes are listed each time, since only a linearizable read
// proves that no key was revoked. The store has one revision number for all its
// changes, which the answer contains: the endpoints are listed when it has
// changed.
// A host also reads when its endpoints are too old, although others prove its
// routes: it may be unable to fetch the endpoints from any of them.
// A starting host first reads lists of any age, which cost less, and learns of
// later changes from other hosts. It serves their routes only with a proof:
// from another host, or from its own linearizable read. That read is delayed at
// random so that the hosts of a fleet that starts at once do not all read.
// Watches are not used: one that silently stopped looks like a store without
// changes, and each costs as much as a list.
//
// Why a proof may be passed on: the responder sends the age of its proof at the
// time of the response, and the requester subtracts that age from the time of
// its request. The response was created after the request, so the proof is in
// fact younger than computed. Clocks of different hosts are never compared;
// only durations are, on clocks that also advance while a machine is suspended.
// A paused host or a late response only shortens the lease. A proof that
// arrives unrequested has no such bound and is ignored.
//
// A list that can't be completed changes and adds objects but proves nothing:
// the read counts as failed, and is repeated. Of the routes only one object is
// used, which is then read by itself.
//
// Everything runs on one executor, on which the owner must make its calls too.
class StoreFollower
{
public:
  struct Parts
  {
    ObjectStore& store_;
    boost::asio::any_io_executor executor_;
    // Calls Answer on another host and returns the result.
    std::function<boost::asio::awaitable<Outcome<nlohmann::json>>(
      PeerMember aPeer,
      nlohmann::json aParams,
      TimePoint aDeadline)>
      call_;
    // Called for each changed or deleted object of a kind.
    std::function<void(const StoreEvent& aEvent)> onRoutes_;
    std::function<void(const StoreEvent& aEvent)> onEvacuation_;
    // Called with changed endpoint entries.
    std::function<void(const ViewUpdate& aUpdate,
                       const EndpointUpdateSource& aSource)>
      onEndpoints_;
    // Called when the applied routes include all changes made before that time.
    std::function<void(BootTime aReadStart)> onProof_;
    // Called when this host's own reads of the store begin to fail, or succeed
    // again.
    std::function<void(bool aReachable)> onReachabilityChanged_;
    // Called after a store outage, when this or another host has read the store
    // again, before the new data is applied.
    // @param aGap between the two reads before and after the outage
    std::function<void(std::chrono::milliseconds aGap)> onStoreReturned_;
    // Called when the list of endpoints becomes late, or current again.
    std::function<void(bool aLate, const StoreStatus& aStatus)>
      onEndpointsLate_;
    // Called when this host has read a change from the store.
    std::function<void()> onNewData_;
    // Returns this host's rank among the live hosts.
    std::function<ReaderRank()> rank_;
  };

  struct Options
  {
    std::string routesKind_;
    std::string routesName_; // of the only object of that kind that is used
    std::string endpointsKind_;
    std::string evacuationsKind_; // empty if not followed
    // Of one read of the store. A healthy store answers in a few ms, and one
    // that is sixty times slower in a quarter of a second. Slower calls count
    // as failed.
    std::chrono::milliseconds callTimeout_{ 500 };
    // Of a call to another host. A host answers within a few ms; one that does
    // not is considered down, and another host has the same data.
    std::chrono::milliseconds peerTimeout_{ 400 };
    // A longer gap between two proofs counts as a store outage. Endpoints renew
    // their entries every 1.2 s, and these expire after three times that. The
    // readers of a fleet leave no such gap unless the store was unavailable; a
    // missing entry may then merely have expired.
    std::chrono::milliseconds outageThreshold_{ 2'500 };
    // A larger answer is not sent to other hosts. On the slowest links between
    // hosts, 20 Mbit/s, an answer of this size takes 0.1 s.
    std::size_t maxAnswerBytes_ = 256 * 1024;
    // Whether other hosts may be available to report changes.
    bool hasPeers_ = false;
    // Upper limit of the random delay before a starting host's own linearizable
    // read. It lets a proof spread from the few hosts that read first through a
    // fleet of thousands.
    std::chrono::milliseconds firstReadMaxDelay_{ 2'000 };
    // How long after a list of any age this host relies on others for endpoint
    // changes instead of listing the endpoints again.
    std::chrono::milliseconds peerUpdateWait_{ 1'000 };
    // The same while a caller waits. Other hosts answer within two exchanges.
    std::chrono::milliseconds awaitedPeerUpdateWait_{ 300 };
    // An older list of endpoints is reported as late.
    std::chrono::milliseconds endpointsLateAfter_{ 2'500 };
    StoreReadSchedule::Options readSchedule_{};
  };

  StoreFollower(Parts aParts, Options aOptions);

  /// Follows the store until cancelled.
  boost::asio::awaitable<void> Run();

  /// Returns the revisions and proof age to send to other hosts.
  StoreStatus CurrentStatus() const;

  /// Handles another host's status and fetches what this host lacks.
  /// @param aRequestTime when this host sent the request that the status
  /// answers; nothing if the status came with a request of the other host
  void OnPeerStatus(const PeerMember& aPeer,
                    const StoreStatus& aStatus,
                    std::optional<BootTime> aRequestTime);

  /// Cancels the delay of the first read if there is no proof yet, or no list
  /// of endpoints of known age, since a caller is waiting for it.
  /// @return whether one of them is still missing and may come soon
  bool ExpediteFirstRead();

  /// Returns the objects that another host lacks, given its revisions. The
  /// result is empty if it would exceed maxAnswerBytes_.
  nlohmann::json Answer(const nlohmann::json& aParams) const;

  /// Returns whether this host's last read of the store failed.
  bool IsStoreUnavailable() const { return readSchedule_.IsStoreUnavailable(); }

private:
  enum class ListResult
  {
    kFailed,
    kIncomplete, // applied, but objects may be missing
    kComplete
  };

  boost::asio::awaitable<void> Read();
  boost::asio::awaitable<void> ReadAllowStale();
  // Returns when the read started, or nothing if it failed.
  boost::asio::awaitable<std::optional<BootTime>> ReadRoutes();
  boost::asio::awaitable<Outcome<StoreList>> ListRoutes();
  boost::asio::awaitable<ListResult> ReadKind(std::string aKind,
                                              StoreView& aView);
  boost::asio::awaitable<bool> ReadChanges(BootTime aRoutesReadStart);
  bool AwaitsPeerUpdates() const;
  bool FollowsEvacuations() const { return !options_.evacuationsKind_.empty(); }
  boost::asio::awaitable<void> Fetch(PeerMember aPeer);
  ListResult ApplyList(const std::string& aKind,
                       StoreView& aView,
                       StoreList aList,
                       BootTime aReadStart);
  nlohmann::json FetchParams() const;
  void ApplyAnswer(const nlohmann::json& aAnswer,
                   const std::string& aPeer,
                   BootTime aRequestTime);
  void Publish(const std::string& aKind, const ViewUpdate& aUpdate);
  void PublishEndpoints(const ViewUpdate& aUpdate,
                        std::string aOrigin,
                        std::uint64_t aRevisionBefore,
                        std::optional<BootTime> aReadAt);
  void OnProof(BootTime aReadStart);
  void OnEndpointsRead(BootTime aReadStart);
  // Reports a list of endpoints that has become late, or current again.
  void CheckEndpointsAge();
  void DetectOutage(BootTime aReadStart);
  void LogReaderRole(bool aIsReader);
  static std::optional<std::chrono::milliseconds> AgeOf(
    std::optional<BootTime> aReadStart);
  std::optional<std::chrono::milliseconds> DataAge() const;

  Parts parts_;
  Options options_;
  StoreReadSchedule readSchedule_;
  StoreView routes_{ StoreView::Options{} };
  StoreView endpoints_{ StoreView::Options{} };
  StoreView evacuations_{ StoreView::Options{} };
  std::optional<BootTime> proof_;
  // The views of endpoints and evacuations include all changes made before.
  std::optional<BootTime> endpointsReadAt_;
  bool endpointsLate_ = false; // as last reported
  ViewUpdate unprovenRoutes_;  // from a list of any age, not published yet
  std::optional<BootTime> anyAgeReadAt_;
  bool isAwaited_ = false; // a caller has waited for the first read
  bool fetching_ = false;
  bool isReader_ = false; // as last logged
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_STORE_FOLLOWER_H_
