#include "gooseberrylift/internal/gooseberrylift-store-status-exchange.h"

#include <utility>

namespace gooseberrylift {

StoreStatusExchange::StoreStatusExchange(Parts aParts, Options aOptions)
  : parts_(std::move(aParts))
  , options_(std::move(aOptions))
  , random_(std::random_device{}())
{
  parts_.datagrams_.SetReceiver(
    PeerTopic::kStore,
    [this](std::string_view aBytes, const PeerAddress& aFrom) {
      HandleDatagram(aBytes, aFrom);
    });
}

void StoreStatusExchange::Start()
{
  started_ = true;
  timer_ = TimerService::Every(
    options_.interval_, parts_.executor_, [this] { SendRequests(); });
}

void StoreStatusExchange::SendRequestNow()
{
  if (started_) {
    SendRequests();
  }
}

// Each request has a random identifier, so that a recorded response cannot be
// replayed as the response to a later request.
void StoreStatusExchange::SendRequests()
{
  DiscardExpiredRequests();
  const std::vector<PeerMember> peers = parts_.samplePeers_();
  if (peers.empty()) {
    return;
  }
  std::vector<std::string> addresses;
  addresses.reserve(peers.size());
  for (const PeerMember& peer : peers) {
    addresses.push_back(peer.address_);
  }
  const StoreStatusMessage request{ .host_ = options_.host_,
                                    .requestId_ = random_(),
                                    .storeStatus_ = parts_.own_() };
  sentAt_[request.requestId_] = TimerService::BootNow();
  parts_.datagrams_.Send(PeerTopic::kStore,
                         EncodeStoreStatusMessage(request),
                         ParsePeerAddresses(addresses));
}

void StoreStatusExchange::DiscardExpiredRequests()
{
  const BootTime now = TimerService::BootNow();
  std::erase_if(sentAt_, [&](const auto& aRequest) {
    return now - aRequest.second > options_.responseTimeout_;
  });
}

void StoreStatusExchange::HandleDatagram(std::string_view aBytes,
                                         const PeerAddress& aFrom)
{
  if (!started_) {
    return;
  }
  const auto message = DecodeStoreStatusMessage(aBytes);
  if (!message) {
    return;
  }
  const PeerMember peer{ .host_ = message->host_,
                         .address_ = FormatPeerAddress(aFrom) };
  if (message->isResponse_) {
    HandleResponse(*message, peer);
    return;
  }
  // The status is taken now and not cached: the receiver counts its age from
  // when the request was sent, so an older status would appear too recent.
  const StoreStatusMessage response{ .host_ = options_.host_,
                                     .requestId_ = message->requestId_,
                                     .isResponse_ = true,
                                     .storeStatus_ = parts_.own_() };
  parts_.datagrams_.Send(
    PeerTopic::kStore, EncodeStoreStatusMessage(response), { aFrom });
  parts_.onReceived_(peer, message->storeStatus_, std::nullopt);
}

void StoreStatusExchange::HandleResponse(const StoreStatusMessage& aMessage,
                                         const PeerMember& aPeer)
{
  const auto request = sentAt_.find(aMessage.requestId_);
  if (request != sentAt_.end()) {
    parts_.onReceived_(aPeer, aMessage.storeStatus_, request->second);
  }
}

} // namespace gooseberrylift
