// Datagrams in which hosts tell each other how much load they have placed on
// each endpoint.

#ifndef GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_LOAD_MESSAGE_H_
#define GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_LOAD_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberrylift/limits/gooseberrylift-return-promise.h"
#include "gooseberrylift/limits/gooseberrylift-waiting-prompt.h"
#include "gooseberrylift/routing/gooseberrylift-fleet-load.h"

namespace gooseberrylift {

// A share takes 35 to 50 bytes, and a packet holds 1,400.
inline constexpr std::size_t kSharesPerDatagram = 26;
// The first datagram of a message holds fewer shares if the message contains
// waiting prompts or promises, which are not split.
inline constexpr std::size_t kSharesBesideLists = 16;
inline constexpr std::size_t kMaxWaitingPrompts = 6;
inline constexpr std::size_t kMaxReturnPromises = 8;

// What a datagram contains.
enum class LoadMessageKind
{
  kSnapshot,          // the first datagram of the sender's whole load
  kSnapshotContinued, // a further datagram of the same, added to the first
  kDelta,             // only endpoints that received new requests
};

// A load message of one host, or a datagram of it.
struct LoadMessage
{
  std::string host_;
  std::uint64_t sequence_ = 0; // rises with each message, also across restarts
  LoadMessageKind kind_ = LoadMessageKind::kSnapshot;
  std::vector<EndpointShare> shares_;
  // Set if the message holds the total load of an availability zone, sent by
  // the host that aggregates it.
  std::string zone_{};
  // For such a message: the receiver is to forward it to the hosts of its own
  // zone.
  bool relayToZone_ = false;
  // The first prompts of those that wait at the host or in the zone, and the
  // promises that were given last; more than the maximum are not sent.
  std::vector<WaitingPrompt> waiting_{};
  std::vector<ReturnPromise> promises_{};
};

/// Returns the hash that stands for the name of a service or team in messages;
/// never 0.
std::uint32_t NameHash(std::string_view aName);

/// Encodes a message as one or more datagrams, each small enough for one
/// packet. A kDelta message must fit into one; its sender splits it.
/// Shares without values that earlier versions don't know are encoded as they
/// were, so that hosts of both versions understand each other.
std::vector<std::string> EncodeLoadMessage(const LoadMessage& aMessage);

/// Decodes a datagram.
/// @return nothing if the bytes are not a valid datagram
std::optional<LoadMessage> DecodeLoadMessage(std::string_view aBytes);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_LOAD_MESSAGE_H_
