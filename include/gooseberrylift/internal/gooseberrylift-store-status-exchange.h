// Asks other hosts what they know of the store, and tells those that ask.

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

// Each round a few hosts, drawn anew. In datagrams, since a call needs a
// connection and HTTP on either side, and a lost question is as good as
// answered by the next one. All of it runs on one executor.
class StoreStatusExchange
{
public:
  struct Parts
  {
    boost::asio::any_io_executor executor_;
    PeerDatagrams& datagrams_;
    // Draws the hosts to ask in a round.
    std::function<std::vector<PeerMember>()> samplePeers_;
    std::function<StoreStatus()> own_;
    // Takes another host's headline; with the time of the question where it
    // came with the answer to one.
    std::function<void(const PeerMember& aPeer,
                       const StoreStatus& aHeadline,
                       std::optional<BootTime> aAsked)>
      onReceived_;
  };

  struct Options
  {
    std::string host_; // this host's name
    std::chrono::milliseconds round_{ 150 };
    // An answer that comes later is dropped: it would prove little.
    std::chrono::milliseconds answerWithin_{ 1'000 };
  };

  StoreStatusExchange(Parts aParts, Options aOptions);

  /// Begins to ask and to answer.
  void Start();

  /// Asks at once, for news that others should see soon.
  void SendRequestNow() { Ask(); }

private:
  void Ask();
  void TakeIn(std::string_view aBytes, const PeerAddress& aFrom);
  void TakeInAnswer(const StoreStatusMessage& aWord, const PeerMember& aPeer);
  void ForgetOld();

  Parts parts_;
  Options options_;
  std::mt19937_64 random_;
  std::map<std::uint64_t, BootTime> asked_; // by question
  TimerSubscription round_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_STORE_STATUS_EXCHANGE_H_
