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

// Datagrams taken in at once; then requests get their turn.
constexpr int kMostAtOnce = 32;

std::optional<PeerAddress> PeerAddressOf(const std::string& aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  boost::system::error_code fault;
  const auto ip = asio::ip::make_address(aAddress.substr(0, colon), fault);
  const int port = std::atoi(aAddress.c_str() + colon + 1);
  if (fault || port <= 0) {
    return std::nullopt;
  }
  return PeerAddress(ip, static_cast<std::uint16_t>(port));
}

} // namespace

std::vector<PeerAddress> PeerAddressesOf(
  const std::vector<std::string>& aAddresses)
{
  std::vector<PeerAddress> addresses;
  addresses.reserve(aAddresses.size());
  for (const std::string& text : aAddresses) {
    if (const auto address = PeerAddressOf(text)) {
      addresses.push_back(*address);
    }
  }
  return addresses;
}

std::string TextOf(const PeerAddress& aAddress)
{
  return aAddress.address().to_string() + ":" + std::to_string(aAddress.port());
}

Outcome<void> PeerDatagrams::Start(const std::string& aAddress,
                                   std::uint16_t aPort,
                                   std::string aKey)
{
  key_ = std::move(aKey);
  boost::system::error_code fault;
  const PeerAddress local(asio::ip::make_address(aAddress, fault), aPort);
  if (!fault) {
    socket_.open(local.protocol(), fault);
  }
  if (!fault) {
    socket_.bind(local, fault);
  }
  if (!fault) {
    socket_.non_blocking(true, fault);
  }
  if (fault) {
    boost::system::error_code none;
    socket_.close(none);
    return Error{ .code_ = ResultCode::kListenFailed,
                  .text_ = "UDP port " + std::to_string(aPort) + ": " +
                           fault.message() };
  }
  SpawnTask(executor_, Receive());
  return boost::outcome_v2::success();
}

void PeerDatagrams::Send(PeerTopic aTopic,
                         const std::string& aBytes,
                         const std::vector<PeerAddress>& aTo)
{
  if (!IsOpen() || aTo.empty()) {
    return;
  }
  std::string datagram(1, static_cast<char>(aTopic));
  datagram += aBytes;
  datagram.insert(0, MacOf(key_, datagram));
  for (const PeerAddress& to : aTo) {
    // One that finds no room in the socket is as good as one lost on the way.
    boost::system::error_code lost;
    socket_.send_to(asio::buffer(datagram), to, 0, lost);
  }
}

asio::awaitable<void> PeerDatagrams::Receive()
{
  while (true) {
    PeerAddress from;
    boost::system::error_code fault;
    const std::size_t size = co_await socket_.async_receive_from(
      asio::buffer(buffer_),
      from,
      asio::redirect_error(asio::use_awaitable, fault));
    if (fault == asio::error::operation_aborted) {
      co_return;
    }
    if (!fault) { // else a peer's port was closed; it will be back
      TakeIn(std::string_view(buffer_.data(), size), from);
      TakeInWaiting();
    }
  }
}

// Datagrams come in groups; a wait for each costs more than taking it in.
void PeerDatagrams::TakeInWaiting()
{
  for (int taken = 0; taken < kMostAtOnce; ++taken) {
    PeerAddress from;
    boost::system::error_code none;
    const std::size_t size =
      socket_.receive_from(asio::buffer(buffer_), from, 0, none);
    if (none) {
      return;
    }
    TakeIn(std::string_view(buffer_.data(), size), from);
  }
}

void PeerDatagrams::TakeIn(std::string_view aDatagram, const PeerAddress& aFrom)
{
  if (aDatagram.size() <= kMacBytes) {
    return;
  }
  const std::string_view bytes = aDatagram.substr(kMacBytes);
  if (!IsMacOf(key_, bytes, aDatagram.substr(0, kMacBytes))) {
    return; // a stranger, or a host with another key
  }
  const auto receiver = receivers_.find(static_cast<PeerTopic>(bytes.front()));
  if (receiver != receivers_.end()) {
    receiver->second(bytes.substr(1), aFrom);
  }
}

} // namespace gooseberrylift
