// Exchanges small messages between hosts as UDP datagrams.

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

/// Parses addresses of the form IP:port. Invalid ones are skipped.
std::vector<PeerAddress> ParsePeerAddresses(
  const std::vector<std::string>& aAddresses);

/// Formats an address as IP:port.
std::string FormatPeerAddress(const PeerAddress& aAddress);

// The subject of a datagram, sent as the first byte after its authentication
// code.
enum class PeerTopic : char
{
  kLoad = 'L',  // LoadMessage
  kStore = 'S', // StoreStatusMessage
};

// Uses one socket for all topics, on the same port number as the calls between
// hosts. Each datagram carries a message authentication code under the key that
// all hosts share; a datagram without a valid code is dropped. Datagrams may be
// lost without notice. Must be used on one executor only.
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

  /// Sets the function that receives the datagrams of a topic. To be called
  /// before Start().
  void SetReceiver(PeerTopic aTopic, Receiver aReceiver)
  {
    receivers_[aTopic] = std::move(aReceiver);
  }

  /// Opens the socket, which doesn't receive before Start().
  /// @param aAddress IP address without a port
  /// @param aPort 0 selects a free port
  /// @return the error, if any; may be called again then
  boost::system::error_code Open(const std::string& aAddress,
                                 std::uint16_t aPort);

  /// Closes the socket. To be called before Start() only.
  void Close();

  /// Starts to send and to receive, now or once the socket is open. Drops what
  /// has arrived before.
  /// @param aKey key of the authentication codes
  void Start(std::string aKey);

  /// Returns the port of the open socket.
  std::uint16_t Port() const;

  /// Returns whether the socket is open.
  bool IsOpen() const { return socket_.is_open(); }

  /// Sends a message to each of the given hosts.
  void Send(PeerTopic aTopic,
            const std::string& aBytes,
            const std::vector<PeerAddress>& aTo);

private:
  void StartReceiving();
  boost::asio::awaitable<void> Receive();
  void HandlePendingDatagrams();
  void HandleDatagram(std::string_view aDatagram, const PeerAddress& aFrom);

  boost::asio::any_io_executor executor_;
  boost::asio::ip::udp::socket socket_;
  bool started_ = false;
  std::string key_;
  std::map<PeerTopic, Receiver> receivers_;
  std::array<char, 2048> buffer_{}; // more than a packet holds
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PEER_DATAGRAMS_H_
