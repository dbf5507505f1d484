// How long a silence is borne: by callers, and so by this host at an endpoint.
// The load it answers: endpoints that hang, freeze or die without a word, and
// engines that are merely slow under load. Given up too early, a request at
// work is run twice and an overload doubles itself; too late, its caller has
// left.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_PATIENCE_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_PATIENCE_H_

#include <chrono>
#include <optional>

#include "gooseberrylift/routing/gooseberrylift-route-table.h"

namespace gooseberrylift {

/// Gives the silence after which a caller leaves a stream, before its first
/// event or between two: the longest of two seconds, four times the objective
/// and eight times the longest gap, as callers of this fleet are known to do.
std::chrono::milliseconds CallerPatience(const Route& aRoute);

/// Gives the silence of an endpoint after which a request that may be repeated
/// is better sent elsewhere: of a stream, half of what the caller bears, so
/// that the other half is left for the second try. The time that was predicted
/// is left out on purpose: predictions are off most when a fleet is busy, and a
/// limit that follows them has many requests read twice just then.
std::chrono::milliseconds SilenceLimit(const Route& aRoute);

// What is known of an endpoint that owes a request its answer, or more of it.
struct EndpointSigns
{
  std::chrono::milliseconds silentHere_{ 0 }; // to this request
  std::chrono::milliseconds silent_{ 0 };     // to all requests of this host
  // To those of other hosts; nothing when they have none there.
  std::optional<std::chrono::milliseconds> silentToPeers_;
  bool begun_ = false;     // it sent a part of this request's answer
  bool overtaken_ = false; // it began to answer one that was sent later
  std::chrono::milliseconds backlog_{ 0 }; // to be read there
  int running_ = 0;                        // requests at work or waiting there
  int slots_ = 1;                          // that it runs at once
};

/// Says whether a request that has waited for the silence limit hangs, and is
/// better sent elsewhere. At an endpoint that answers others and whose slots
/// are taken it merely waits its turn, and while an engine reads a long prompt
/// nobody hears anything. Sent elsewhere the request would wait again, and what
/// was read of it is lost, so that an overload of full slots keeps itself up.
/// @param aLimit the silence limit
bool LooksHung(const EndpointSigns& aSigns, std::chrono::milliseconds aLimit);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_PATIENCE_H_
