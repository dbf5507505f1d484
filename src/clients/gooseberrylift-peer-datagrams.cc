#include "gooseberrylift/internal/gooseberrylift-peer-datagrams.h"

#include <cstdlib>

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "gooseberrylift/internal/gooseberrylift-encoding.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

// Datagrams handled in a row before other tasks of the executor, such as
// requests, get to run.
constexpr int kMaxDatagramsPerWakeup = 32;

// More than the socket's buffer holds.
constexpr int kMaxDroppedAtStart = 10'000;

std::optional<PeerAddress> ParsePeerAddress(const std::string& aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(aAddress.substr(0, colon), error);
  const int port = std::atoi(aAddress.c_str() + colon + 1);
  if (error || port <= 0) {
    return std::nullopt;
  }
  return PeerAddress(ip, static_cast<std::uint16_t>(port));
}

} // namespace

std::vector<PeerAddress> ParsePeerAddresses(
  const std::vector<std::string>& aAddresses)
{
  std::vector<PeerAddress> addresses;
  addresses.reserve(aAddresses.size());
  for (const std::string& text : aAddresses) {
    if (const auto address = ParsePeerAddress(text)) {
      addresses.push_back(*address);
    }
  }
  return addresses;
}

std::string FormatPeerAddress(const PeerAddress& aAddress)
{
  return aAddress.address().to_string() + ":" + std::to_string(aAddress.port());
}

boost::system::error_code PeerDatagrams::Open(const std::string& aAddress,
                                              std::uint16_t aPort)
{
  boost::system::error_code error;
  const PeerAddress local(asio::ip::make_address(aAddress, error), aPort);
  if (!error) {
    socket_.open(local.protocol(), error);
  }
  if (!error) {
    socket_.bind(local, error);
  }
  if (!error) {
    socket_.non_blocking(true, error);
  }
  if (error) {
    Close();
  } else if (started_) {
    StartReceiving();
  }
  return error;
}

void PeerDatagrams::Close()
{
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void PeerDatagrams::Start(std::string aKey)
{
  key_ = std::move(aKey);
  started_ = true;
  if (IsOpen()) {
    StartReceiving();
  }
}

std::uint16_t PeerDatagrams::Port() const
{
  boost::system::error_code ignored;
  return socket_.local_endpoint(ignored).port();
}

// The socket may have been open for long before the key was known. Peers send
// newer states of what has arrived since.
void PeerDatagrams::StartReceiving()
{
  boost::system::error_code error;
  for (int count = 0; count < kMaxDroppedAtStart && !error; ++count) {
    PeerAddress from;
    socket_.receive_from(asio::buffer(buffer_), from, 0, error);
  }
  SpawnLoop(executor_, [this] { return Receive(); });
}

void PeerDatagrams::Send(PeerTopic aTopic,
                         const std::string& aBytes,
                         const std::vector<PeerAddress>& aTo)
{
  if (!IsOpen() || !started_ || aTo.empty()) {
    return;
  }
  std::string datagram(1, static_cast<char>(aTopic));
  datagram += aBytes;
  datagram.insert(0, ComputeMac(key_, datagram));
  for (const PeerAddress& to : aTo) {
    // If the send buffer is full, the datagram is treated like one that was
    // lost on the network.
    boost::system::error_code ignored;
    socket_.send_to(asio::buffer(datagram), to, 0, ignored);
  }
}

asio::awaitable<void> PeerDatagrams::Receive()
{
  while (true) {
    PeerAddress from;
    boost::system::error_code error;
    const std::size_t size = co_await socket_.async_receive_from(
      asio::buffer(buffer_),
      from,
      asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    // An error here means that an earlier datagram was sent to a closed port of
    // a peer. It is ignored, because the peer will open the port again.
    if (!error) {
      HandleDatagram(std::string_view(buffer_.data(), size), from);
      HandlePendingDatagrams();
    }
  }
}

// Handles the datagrams that have already arrived. They come in groups, and an
// asynchronous wait for each one costs more than handling it.
void PeerDatagrams::HandlePendingDatagrams()
{
  for (int count = 0; count < kMaxDatagramsPerWakeup; ++count) {
    PeerAddress from;
    boost::system::error_code error;
    const std::size_t size =
      socket_.receive_from(asio::buffer(buffer_), from, 0, error);
    if (error) {
      return;
    }
    HandleDatagram(std::string_view(buffer_.data(), size), from);
  }
}

void PeerDatagrams::HandleDatagram(std::string_view aDatagram,
                                   const PeerAddress& aFrom)
{
  if (aDatagram.size() <= kMacBytes) {
    return;
  }
  const std::string_view bytes = aDatagram.substr(kMacBytes);
  if (!VerifyMac(key_, bytes, aDatagram.substr(0, kMacBytes))) {
    return; // not from a host of this fleet, or from one with another key
  }
  const auto receiver = receivers_.find(static_cast<PeerTopic>(bytes.front()));
  if (receiver != receivers_.end()) {
    receiver->second(bytes.substr(1), aFrom);
  }
}

} // namespace gooseberrylift
