// Sends this host's load to other hosts in datagrams, and receives theirs.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_LOAD_EXCHANGE_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_LOAD_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "gooseberrylift/internal/gooseberrylift-peer-datagrams.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"
#include "gooseberrylift/membership/gooseberrylift-load-message-pacer.h"
#include "gooseberrylift/membership/gooseberrylift-load-message.h"
#include "gooseberrylift/membership/gooseberrylift-peer-groups.h"
#include "gooseberrylift/membership/gooseberrylift-zone-load.h"
#include "gooseberrylift/routing/gooseberrylift-endpoint-directory.h"

namespace gooseberrylift {

// What a message reports besides the load of endpoints.
struct LoadMessageLists
{
  std::vector<WaitingPrompt> waiting_;
  std::vector<ReturnPromise> promises_;

  bool IsEmpty() const { return waiting_.empty() && promises_.empty(); }
};

// Load messages are small, frequent and useless if late, and each one makes up
// for a lost predecessor, so they are sent as datagrams. In a large fleet one
// host of each zone sends the zone's total load to the other zones
// (ZoneLoadAggregator). Must be used on one executor only, including the calls
// of its owner.
class LoadExchange
{
public:
  struct Parts
  {
    boost::asio::any_io_executor executor_;
    PeerDatagrams& datagrams_;
    // Returns this host's load by endpoint.
    std::function<std::vector<EndpointShare>()> own_;
    // Returns this host's load on the given endpoints.
    std::function<std::vector<EndpointShare>(
      const std::vector<ListedEndpoint>& aEndpoints)>
      ownSharesAt_;
    // Returns the total load of the hosts of this zone by endpoint.
    std::function<std::vector<EndpointShare>()> zoneTotals_;
    // Returns the lists of this host.
    std::function<LoadMessageLists()> ownLists_;
    // Returns the lists of the hosts of this zone.
    std::function<LoadMessageLists()> zoneLists_;
    std::function<void(const LoadMessage& aMessage)> onReceived_; // from a peer
  };

  struct Options
  {
    std::string host_; // name of this host
    std::string zone_;
    LoadMessagePacer::Options pacerOptions_{};
    // Time between two messages with the zone's total load. Each is sent to one
    // host of each other zone, which relays it to its zone: with five zones of
    // 60 hosts, each host sends and receives 20 datagrams a second. The
    // smallest hosts have an eighth of a core for all their work.
    std::chrono::milliseconds totalsInterval_{ 200 };
    // A long prompt is reported before the interval has passed, but not sooner
    // than this after the previous message: in bursts of long prompts a message
    // for each of them would take too much processor time of small hosts from
    // their callers.
    std::chrono::milliseconds minTotalsInterval_{ 100 };
  };

  LoadExchange(Parts aParts, Options aOptions);

  /// Starts to repeat snapshots, which make up for lost datagrams.
  void Start();

  /// Sets the recipients. To be called again if they change.
  void SetPeers(const LoadMessagePeers& aPeers);

  /// Records that this host has placed a request.
  /// @param aUrgent whether to report it despite the rate limit: a long prompt,
  /// for which other hosts would otherwise choose the same idle endpoints
  void OnRequestPlaced(const std::vector<ListedEndpoint>& aEndpoints,
                       bool aUrgent);

  /// Records that an endpoint has rejected a request of this host.
  void OnPressureBegan(const ListedEndpoint& aEndpoint)
  {
    OnRequestPlaced({ aEndpoint }, false);
  }

  /// Records that a request has ended.
  void OnRequestEnded() { ScheduleSnapshot(); }

  /// Records that this host's lists have changed.
  void OnListsChanged() { ScheduleSnapshot(); }

private:
  boost::asio::awaitable<void> SendSnapshotAt(TimePoint aWhen);
  void SendSnapshot();
  void ScheduleSnapshot();
  void Send(const LoadMessage& aMessage, const std::vector<PeerAddress>& aTo);
  void RepeatSnapshot();
  void SendTotals();
  void SendTotalsIfAllowed();
  void SendToOtherZones(LoadMessageKind aKind,
                        std::vector<EndpointShare> aShares,
                        LoadMessageLists aLists);
  LoadMessage MakeOwnMessage(LoadMessageKind aKind,
                             std::vector<EndpointShare> aShares);
  void RelayToZone(LoadMessage aMessage);
  void HandleDatagram(std::string_view aBytes);

  Parts parts_;
  Options options_;
  LoadMessagePacer pacer_;
  std::uint64_t sequence_ = 0;
  bool snapshotScheduled_ = false;
  bool lastMessageHadLoad_ = false; // or lists
  std::vector<PeerAddress> near_;
  std::map<std::string, std::vector<PeerAddress>> far_; // by zone
  std::vector<PeerAddress> successors_;
  std::size_t rank_ = 0;
  bool isAggregator_ = false; // as last logged
  TimePoint lastTotals_{};    // when they were last computed
  ZoneLoadAggregator zoneAggregator_{ ZoneLoadAggregator::Options{} };
  ZoneAggregatorRole aggregatorRole_{ ZoneAggregatorRole::Options{} };
  std::minstd_rand random_;
  TimerSubscription repeatTimer_;
  TimerSubscription totalsTimer_;
  bool totalsTimerRuns_ = false;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_LOAD_EXCHANGE_H_
