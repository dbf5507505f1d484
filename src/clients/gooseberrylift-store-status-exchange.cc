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
      TakeIn(aBytes, aFrom);
    });
}

void StoreStatusExchange::Start()
{
  round_ =
    TimerService::Every(options_.round_, parts_.executor_, [this] { Ask(); });
}

// Each question has a number of its own, so a recorded answer proves nothing to
// a later one.
void StoreStatusExchange::Ask()
{
  ForgetOld();
  const std::vector<PeerMember> peers = parts_.samplePeers_();
  if (peers.empty()) {
    return;
  }
  std::vector<std::string> addresses;
  addresses.reserve(peers.size());
  for (const PeerMember& peer : peers) {
    addresses.push_back(peer.address_);
  }
  const StoreStatusMessage question{ .host_ = options_.host_,
                                     .requestId_ = random_(),
                                     .storeStatus_ = parts_.own_() };
  asked_[question.requestId_] = TimerService::BootNow();
  parts_.datagrams_.Send(PeerTopic::kStore,
                         EncodeStoreStatusMessage(question),
                         PeerAddressesOf(addresses));
}

void StoreStatusExchange::ForgetOld()
{
  const BootTime now = TimerService::BootNow();
  std::erase_if(asked_, [&](const auto& aAsked) {
    return now - aAsked.second > options_.answerWithin_;
  });
}

void StoreStatusExchange::TakeIn(std::string_view aBytes,
                                 const PeerAddress& aFrom)
{
  const auto word = DecodeStoreStatusMessage(aBytes);
  if (!word) {
    return;
  }
  const PeerMember peer{ .host_ = word->host_, .address_ = TextOf(aFrom) };
  if (word->isResponse_) {
    TakeInAnswer(*word, peer);
    return;
  }
  // The headline is of this moment: the age in it is counted from the question
  // on, and would look too low if it had been taken before.
  const StoreStatusMessage answer{ .host_ = options_.host_,
                                   .requestId_ = word->requestId_,
                                   .isResponse_ = true,
                                   .storeStatus_ = parts_.own_() };
  parts_.datagrams_.Send(
    PeerTopic::kStore, EncodeStoreStatusMessage(answer), { aFrom });
  parts_.onReceived_(peer, word->storeStatus_, std::nullopt);
}

void StoreStatusExchange::TakeInAnswer(const StoreStatusMessage& aWord,
                                       const PeerMember& aPeer)
{
  const auto asked = asked_.find(aWord.requestId_);
  if (asked != asked_.end()) {
    parts_.onReceived_(aPeer, aWord.storeStatus_, asked->second);
  }
}

} // namespace gooseberrylift
