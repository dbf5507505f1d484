// Tells other hosts in datagrams what this one has in work, and hears them.

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

// Words of load are small, many, and worthless when late; the next one replaces
// a lost one. So they go as datagrams. In a large fleet one host of each zone
// sums up what its zone has in work and tells it to the other zones
// (ZoneLoadAggregator). All of it runs on one executor, to which its owner's
// calls belong too.
class LoadExchange
{
public:
  struct Parts
  {
    boost::asio::any_io_executor executor_;
    PeerDatagrams& datagrams_;
    std::function<std::vector<EndpointShare>()> own_;
    // The same at some endpoints.
    std::function<std::vector<EndpointShare>(
      const std::vector<ListedEndpoint>& aEndpoints)>
      ownSharesAt_;
    // Sums of what the hosts of this zone have in work.
    std::function<std::vector<EndpointShare>()> zoneTotals_;
    std::function<void(const LoadMessage& aWord)> onReceived_; // of a peer
  };

  struct Options
  {
    std::string host_; // this host's name
    std::string zone_;
    LoadMessagePacer::Options pace_{};
    // Between two sums of the zone for the hosts of other zones. Each goes to
    // one host of each zone, which passes it on: with 60 hosts a zone and five
    // zones each host sends and gets 20 datagrams a second, and the smallest
    // hosts have an eighth of a core for all that they do.
    std::chrono::milliseconds sums_{ 200 };
    // A long prompt is told sooner, but no sum follows another one faster: in
    // bursts of long prompts a sum for each of them would take the processor of
    // small hosts from their callers.
    std::chrono::milliseconds leastBetweenSums_{ 100 };
  };

  LoadExchange(Parts aParts, Options aOptions);

  /// Begins to tell.
  void Start();

  /// Sets the other hosts, as they change.
  void SetPeers(const LoadMessagePeers& aPeers);

  /// Notes that this host has placed something.
  /// @param aUrgent it is told beyond the bound: a long prompt, for which the
  /// others would take the same idle endpoints
  void OnRequestPlaced(const std::vector<ListedEndpoint>& aEndpoints,
                       bool aUrgent);

  /// Notes that something has ended.
  void OnRequestEnded() { SendWholeSoon(); }

private:
  boost::asio::awaitable<void> SendAt(TimePoint aWhen);
  void SendWhole();
  void SendWholeSoon();
  void Send(const LoadMessage& aWord, const std::vector<PeerAddress>& aTo);
  void Repeat();
  void TellZone();
  void TellZoneSoon();
  void SendToZones(LoadMessageKind aPart, std::vector<EndpointShare> aShares);
  void PassOn(LoadMessage aWord);
  void TakeIn(std::string_view aBytes);

  Parts parts_;
  Options options_;
  LoadMessagePacer pace_;
  std::uint64_t sequence_ = 0;
  bool armed_ = false; // a word is to be sent soon
  bool told_ = false;  // the last word said something
  std::vector<PeerAddress> near_;
  std::map<std::string, std::vector<PeerAddress>> far_; // by zone
  std::vector<PeerAddress> successors_;
  std::size_t rank_ = 0;
  bool sums_ = false;  // this host sums up its zone, as last logged
  TimePoint summed_{}; // the last time
  ZoneLoadAggregator zoneAggregator_{ ZoneLoadAggregator::Options{} };
  ZoneAggregatorRole turn_{ ZoneAggregatorRole::Options{} };
  std::minstd_rand random_;
  TimerSubscription repeat_;
  TimerSubscription zone_;
  bool sumsAt_ = false; // zone_ runs
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_LOAD_EXCHANGE_H_
