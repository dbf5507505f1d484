// Stall timeouts of callers and endpoints. An endpoint that sends nothing may
// hang, have frozen or have died, or it may only be slow under load. If a
// request is moved to another endpoint too early, it runs twice and doubles the
// overload; if too late, its caller has disconnected.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_STALL_TIMEOUT_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_STALL_TIMEOUT_H_

#include <chrono>
#include <optional>

#include "gooseberrylift/routing/gooseberrylift-route-table.h"

namespace gooseberrylift {

/// Returns the time without an event, before the first one or between two,
/// after which a caller abandons a stream. Callers of this fleet are known to
/// wait for the longest of two seconds, four times the objective and eight
/// times the longest gap. For other routes, returns the route's timeout.
std::chrono::milliseconds CallerStallTimeout(const Route& aRoute);

/// Returns the time without data from an endpoint after which a retryable
/// request should be sent to another endpoint. For streams this is half of the
/// caller's stall timeout, which leaves the other half for the retry. It
/// deliberately ignores the predicted time: predictions are least accurate when
/// the fleet is busy, and a timeout based on them would repeat the prefill of
/// many requests just then.
std::chrono::milliseconds EndpointStallTimeout(const Route& aRoute);

// When an endpoint last sent data, and its load, as seen by a request
// that waits for its response or for more of it.
struct EndpointActivity
{
  // Time since it last sent data to this request, and to any request of this
  // host.
  std::chrono::milliseconds requestSilence_{ 0 };
  std::chrono::milliseconds hostSilence_{ 0 };
  // The same for requests of other hosts; nothing if they have none there.
  std::optional<std::chrono::milliseconds> peerSilence_;
  bool begun_ = false; // it has sent a part of this request's response
  // It has begun to answer a request that was sent later.
  bool overtaken_ = false;
  std::chrono::milliseconds backlog_{ 0 }; // queued prefill time
  int running_ = 0;                        // running or queued requests
  int slots_ = 1;                          // for concurrent requests
};

/// Returns whether a request that has waited for the stall timeout is stalled
/// and should be sent to another endpoint. It is only queued if the endpoint
/// answers other requests and its slots are in use, and an engine sends nothing
/// to any request while it prefills a long prompt. Sent elsewhere, the request
/// would queue again and lose its prefill, and so an overload would sustain
/// itself.
/// @param aLimit the endpoint's stall timeout
bool IsRequestStalled(const EndpointActivity& aActivity,
                      std::chrono::milliseconds aLimit);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_STALL_TIMEOUT_H_
