// Carries small messages between hosts in datagrams.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PEER_DATAGRAMS_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PEER_DATAGRAMS_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

#include "gooseberrylift/internal/gooseberrylift-http.h"

namespace gooseberrylift {

using PeerAddress = boost::asio::ip::udp::endpoint;

/// Reads addresses of the form IP:port; what is none is left out.
std::vector<PeerAddress> PeerAddressesOf(
  const std::vector<std::string>& aAddresses);

/// Writes an address as IP:port.
std::string TextOf(const PeerAddress& aAddress);

// What a datagram is about, as its first byte.
enum class PeerTopic : char
{
  kLoad = 'L',  // what hosts have in work
  kStore = 'S', // what hosts know of the store
};

// One socket for all topics, on the same port number as the peers' calls. Each
// datagram goes under a code of the hosts' shared key; one without it is
// dropped. What is sent may be lost, and nobody is told. All of it runs on one
// executor.
class PeerDatagrams
{
public:
  using Receiver =
    std::function<void(std::string_view aBytes, const PeerAddress& aFrom)>;

  explicit PeerDatagrams(boost::asio::any_io_executor aExecutor)
    : executor_(std::move(aExecutor))
    , socket_(executor_)
  {
  }

  /// Sets who takes the datagrams of a topic; only before Start.
  void SetReceiver(PeerTopic aTopic, Receiver aReceiver)
  {
    receivers_[aTopic] = std::move(aReceiver);
  }

  /// Begins to send and to receive.
  /// @param aKey signs and proves datagrams
  /// @return an error when the port can't be had
  Outcome<void> Start(const std::string& aAddress,
                      std::uint16_t aPort,
                      std::string aKey);

  /// Says whether datagrams can be sent.
  bool IsOpen() const { return socket_.is_open(); }

  /// Sends a message to each of some hosts.
  void Send(PeerTopic aTopic,
            const std::string& aBytes,
            const std::vector<PeerAddress>& aTo);

private:
  boost::asio::awaitable<void> Receive();
  void TakeInWaiting();
  void TakeIn(std::string_view aDatagram, const PeerAddress& aFrom);

  boost::asio::any_io_executor executor_;
  boost::asio::ip::udp::socket socket_;
  std::string key_;
  std::map<PeerTopic, Receiver> receivers_;
  std::array<char, 2048> buffer_{}; // a packet bears less
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PEER_DATAGRAMS_H_
