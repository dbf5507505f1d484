// Exchanges with other hosts how much of the store's state each of them has.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_STORE_STATUS_EXCHANGE_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_STORE_STATUS_EXCHANGE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>

#include <boost/asio/any_io_executor.hpp>

#include "gooseberrylift/gooseberrylift-peer-table.h"
#include "gooseberrylift/internal/gooseberrylift-peer-datagrams.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"
#include "gooseberrylift/membership/gooseberrylift-store-status-message.h"

namespace gooseberrylift {

// Sends a request to a few randomly chosen hosts at a fixed interval, and
// responds to the requests of others. Uses datagrams, because a call needs a
// connection and HTTP on both sides, and the next request makes up for a lost
// one. Must be used on one executor only.
class StoreStatusExchange
{
public:
  struct Parts
  {
    boost::asio::any_io_executor executor_;
    PeerDatagrams& datagrams_;
    // Chooses the hosts to send the next request to.
    std::function<std::vector<PeerMember>()> samplePeers_;
    std::function<StoreStatus()> own_;
    // Receives the status of another host. aSentAt is set if the status came in
    // a response, to the time at which the request was sent.
    std::function<void(const PeerMember& aPeer,
                       const StoreStatus& aStatus,
                       std::optional<BootTime> aSentAt)>
      onReceived_;
  };

  struct Options
  {
    std::string host_; // name of this host
    std::chrono::milliseconds interval_{ 150 };
    // A response that arrives later is dropped: its status is counted from the
    // time of the request, and would be too old to prove much.
    std::chrono::milliseconds responseTimeout_{ 1'000 };
  };

  StoreStatusExchange(Parts aParts, Options aOptions);

  /// Starts to send requests and to handle those of other hosts.
  void Start();

  /// Sends a request at once, because a change should reach other hosts soon.
  /// Does nothing before Start().
  void SendRequestNow();

private:
  void SendRequests();
  void HandleDatagram(std::string_view aBytes, const PeerAddress& aFrom);
  void HandleResponse(const StoreStatusMessage& aMessage,
                      const PeerMember& aPeer);
  void DiscardExpiredRequests();

  Parts parts_;
  Options options_;
  std::mt19937_64 random_;
  std::map<std::uint64_t, BootTime> sentAt_; // by request identifier
  bool started_ = false;
  TimerSubscription timer_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_STORE_STATUS_EXCHANGE_H_
