#include "gooseberrylift/membership/gooseberrylift-load-message.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace gooseberrylift {

using nlohmann::json;

namespace {

// Positions in a datagram of the two elements that only messages about a zone
// contain.
constexpr std::size_t kZoneIndex = 4;
constexpr std::size_t kRelayIndex = 5;

// Wire values; their meaning must not change.
constexpr int kWireSnapshotContinued = 0;
constexpr int kWireSnapshot = 1;
constexpr int kWireDelta = 2;

json ShareToJson(const EndpointShare& aShare)
{
  return json::array({ aShare.id_,
                       aShare.running_,
                       aShare.tightGap_,
                       aShare.memoryTokens_,
                       aShare.backlog_.count(),
                       aShare.deferred_,
                       aShare.silent_.count() });
}

EndpointShare ShareFromJson(const json& aItem)
{
  return { .id_ = aItem.at(0),
           .running_ = aItem.at(1),
           .tightGap_ = aItem.at(2),
           .memoryTokens_ = aItem.at(3),
           .backlog_ =
             std::chrono::microseconds(aItem.at(4).get<std::int64_t>()),
           .deferred_ = aItem.at(5),
           .silent_ =
             std::chrono::milliseconds(aItem.at(6).get<std::int64_t>()) };
}

int ToWire(LoadMessageKind aKind, bool aIsFirst)
{
  switch (aKind) {
    case LoadMessageKind::kDelta:
      return kWireDelta;
    case LoadMessageKind::kSnapshotContinued:
      return kWireSnapshotContinued;
    case LoadMessageKind::kSnapshot:
      break;
  }
  return aIsFirst ? kWireSnapshot : kWireSnapshotContinued;
}

LoadMessageKind FromWire(int aWire)
{
  if (aWire == kWireDelta) {
    return LoadMessageKind::kDelta;
  }
  return aWire == kWireSnapshot ? LoadMessageKind::kSnapshot
                                : LoadMessageKind::kSnapshotContinued;
}

std::string EncodeDatagram(const LoadMessage& aMessage,
                           std::size_t aBegin,
                           std::size_t aEnd)
{
  json shares = json::array();
  for (std::size_t index = aBegin; index < aEnd; ++index) {
    shares.push_back(ShareToJson(aMessage.shares_[index]));
  }
  json datagram = json::array({ aMessage.host_,
                                aMessage.sequence_,
                                ToWire(aMessage.kind_, aBegin == 0),
                                std::move(shares) });
  if (!aMessage.zone_.empty()) {
    datagram.push_back(aMessage.zone_);
    datagram.push_back(aMessage.relayToZone_);
  }
  std::string bytes;
  json::to_cbor(datagram, bytes);
  return bytes;
}

} // namespace

std::vector<std::string> EncodeLoadMessage(const LoadMessage& aMessage)
{
  std::vector<std::string> datagrams;
  std::size_t begin = 0;
  do {
    const std::size_t end =
      std::min(begin + kSharesPerDatagram, aMessage.shares_.size());
    datagrams.push_back(EncodeDatagram(aMessage, begin, end));
    begin = end;
  } while (begin < aMessage.shares_.size());
  return datagrams;
}

std::optional<LoadMessage> DecodeLoadMessage(std::string_view aBytes)
{
  const json datagram = json::from_cbor(aBytes, true, false);
  if (datagram.is_discarded()) {
    return std::nullopt;
  }
  try {
    LoadMessage message{ .host_ = datagram.at(0),
                         .sequence_ = datagram.at(1),
                         .kind_ = FromWire(datagram.at(2)) };
    if (datagram.size() > kRelayIndex) {
      message.zone_ = datagram.at(kZoneIndex);
      message.relayToZone_ = datagram.at(kRelayIndex);
    }
    for (const json& share : datagram.at(3)) {
      message.shares_.push_back(ShareFromJson(share));
    }
    return message;
  } catch (const json::exception&) {
    return std::nullopt; // from an incompatible version
  }
}

} // namespace gooseberrylift
