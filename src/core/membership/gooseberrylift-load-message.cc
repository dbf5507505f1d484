#include "gooseberrylift/membership/gooseberrylift-load-message.h"

#include <algorithm>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "gooseberrylift/gooseberrylift-json-text.h"

namespace gooseberrylift {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

// Positions in a datagram of the two elements that only messages about a zone
// contain.
constexpr std::size_t kZoneIndex = 4;
constexpr std::size_t kRelayIndex = 5;
// Positions of the lists, which only messages that have any contain.
constexpr std::size_t kWaitingIndex = 6;
constexpr std::size_t kPromisesIndex = 7;
// Positions in a share of the elements that are present only if one of them is
// not zero.
constexpr std::size_t kPaceIndex = 7;
constexpr std::size_t kRejectionsIndex = 8;
constexpr std::size_t kBackoffIndex = 9;
constexpr std::size_t kUnstartedIndex = 10;
constexpr std::size_t kUnstartedForIndex = 11;

// Bounds of received values. A peer that sends larger ones is faulty.
constexpr std::int64_t kMaxPacePercent = 10'000;
constexpr std::int64_t kMaxRejections = 1'000;
constexpr std::int64_t kMaxDurationMs = 3'600'000;
constexpr std::int64_t kMaxEngines = 1'000;
constexpr std::int64_t kMaxPriority = 1'000;
constexpr std::int64_t kMaxTokens = 1'000'000'000;

// Wire values; their meaning must not change.
constexpr int kWireSnapshotContinued = 0;
constexpr int kWireSnapshot = 1;
constexpr int kWireDelta = 2;

// Reads an integer of a list and limits it to 0..aMax.
std::int64_t BoundedAt(const json& aItem, std::size_t aIndex, std::int64_t aMax)
{
  return std::clamp<std::int64_t>(
    aItem.at(aIndex).get<std::int64_t>(), 0, aMax);
}

milliseconds DurationAt(const json& aItem, std::size_t aIndex)
{
  return milliseconds(BoundedAt(aItem, aIndex, kMaxDurationMs));
}

json ShareToJson(const EndpointShare& aShare)
{
  json item = json::array({ aShare.id_,
                            aShare.running_,
                            aShare.tightGap_,
                            aShare.memoryTokens_,
                            aShare.backlog_.count(),
                            aShare.deferred_,
                            aShare.silent_.count() });
  if (aShare.pacePercent_ != 0 || aShare.rejections_ != 0 ||
      aShare.backoff_.count() != 0 || aShare.unstarted_.count() != 0) {
    item.push_back(aShare.pacePercent_);
    item.push_back(aShare.rejections_);
    item.push_back(aShare.backoff_.count());
    item.push_back(aShare.unstarted_.count());
    item.push_back(aShare.unstartedFor_.count());
  }
  return item;
}

EndpointShare ShareFromJson(const json& aItem)
{
  EndpointShare share{
    .id_ = aItem.at(0),
    .running_ = aItem.at(1),
    .tightGap_ = aItem.at(2),
    .memoryTokens_ = aItem.at(3),
    .backlog_ = std::chrono::microseconds(aItem.at(4).get<std::int64_t>()),
    .deferred_ = aItem.at(5),
    .silent_ = milliseconds(aItem.at(6).get<std::int64_t>())
  };
  if (aItem.size() > kUnstartedForIndex) {
    share.pacePercent_ =
      static_cast<int>(BoundedAt(aItem, kPaceIndex, kMaxPacePercent));
    share.rejections_ =
      static_cast<int>(BoundedAt(aItem, kRejectionsIndex, kMaxRejections));
    share.backoff_ = DurationAt(aItem, kBackoffIndex);
    share.unstarted_ = DurationAt(aItem, kUnstartedIndex);
    share.unstartedFor_ = DurationAt(aItem, kUnstartedForIndex);
  }
  return share;
}

json WaitingToJson(const WaitingPrompt& aPrompt)
{
  return json::array({ aPrompt.id_,
                       aPrompt.service_,
                       aPrompt.team_,
                       aPrompt.priority_,
                       aPrompt.waited_.count(),
                       aPrompt.remaining_.count(),
                       aPrompt.engines_,
                       aPrompt.memoryTokens_,
                       aPrompt.prefill_.count() });
}

WaitingPrompt WaitingFromJson(const json& aItem)
{
  return { .id_ = aItem.at(0),
           .service_ = aItem.at(1),
           .team_ = aItem.at(2),
           .priority_ = static_cast<int>(BoundedAt(aItem, 3, kMaxPriority)),
           .waited_ = DurationAt(aItem, 4),
           .remaining_ = DurationAt(aItem, 5),
           .engines_ =
             static_cast<std::uint32_t>(BoundedAt(aItem, 6, kMaxEngines)),
           .memoryTokens_ =
             static_cast<std::uint64_t>(BoundedAt(aItem, 7, kMaxTokens)),
           .prefill_ = DurationAt(aItem, 8) };
}

json PromiseToJson(const ReturnPromise& aPromise)
{
  return json::array({ aPromise.request_,
                       aPromise.service_,
                       aPromise.untilDue_.count(),
                       aPromise.sinceArrival_.count(),
                       aPromise.prefill_.count() });
}

ReturnPromise PromiseFromJson(const json& aItem)
{
  return { .request_ = aItem.at(0),
           .service_ = aItem.at(1),
           .untilDue_ = milliseconds(std::clamp(
             aItem.at(2).get<std::int64_t>(), -kMaxDurationMs, kMaxDurationMs)),
           .sinceArrival_ = DurationAt(aItem, 3),
           .prefill_ = DurationAt(aItem, 4) };
}

bool HasLists(const LoadMessage& aMessage)
{
  return !aMessage.waiting_.empty() || !aMessage.promises_.empty();
}

template<typename Item, typename Encode>
json EncodeList(const std::vector<Item>& aItems,
                std::size_t aMax,
                const Encode& aEncode)
{
  json list = json::array();
  for (std::size_t index = 0; index < std::min(aItems.size(), aMax); ++index) {
    list.push_back(aEncode(aItems[index]));
  }
  return list;
}

void DecodeLists(const json& aDatagram, LoadMessage& aMessage)
{
  for (const json& item : aDatagram.at(kWaitingIndex)) {
    aMessage.waiting_.push_back(WaitingFromJson(item));
  }
  for (const json& item : aDatagram.at(kPromisesIndex)) {
    aMessage.promises_.push_back(PromiseFromJson(item));
  }
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
  const bool hasLists = aBegin == 0 && HasLists(aMessage);
  if (!aMessage.zone_.empty() || hasLists) {
    datagram.push_back(aMessage.zone_);
    datagram.push_back(aMessage.relayToZone_);
  }
  if (hasLists) {
    datagram.push_back(
      EncodeList(aMessage.waiting_, kMaxWaitingPrompts, WaitingToJson));
    datagram.push_back(
      EncodeList(aMessage.promises_, kMaxReturnPromises, PromiseToJson));
  }
  std::string bytes;
  json::to_cbor(datagram, bytes);
  return bytes;
}

} // namespace

std::uint32_t NameHash(std::string_view aName)
{
  return std::max<std::uint32_t>(XXH32(aName.data(), aName.size(), 0), 1);
}

std::vector<std::string> EncodeLoadMessage(const LoadMessage& aMessage)
{
  std::vector<std::string> datagrams;
  std::size_t begin = 0;
  do {
    const std::size_t room = begin == 0 && HasLists(aMessage)
                               ? kSharesBesideLists
                               : kSharesPerDatagram;
    const std::size_t end = std::min(begin + room, aMessage.shares_.size());
    datagrams.push_back(EncodeDatagram(aMessage, begin, end));
    begin = end;
  } while (begin < aMessage.shares_.size());
  return datagrams;
}

std::optional<LoadMessage> DecodeLoadMessage(std::string_view aBytes)
{
  const json datagram = ParseCbor(aBytes);
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
    if (datagram.size() > kPromisesIndex) {
      DecodeLists(datagram, message);
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
