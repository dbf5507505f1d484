// One attempt of a request, at an endpoint or through another host.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_REQUEST_ATTEMPT_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_REQUEST_ATTEMPT_H_

#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "gooseberrylift/internal/gooseberrylift-attempt-target.h"
#include "gooseberrylift/internal/gooseberrylift-fleet.h"
#include "gooseberrylift/internal/gooseberrylift-http-client.h"
#include "gooseberrylift/internal/gooseberrylift-memory-reservation.h"
#include "gooseberrylift/internal/gooseberrylift-relay-client.h"
#include "gooseberrylift/limits/gooseberrylift-answer-progress.h"
#include "gooseberrylift/streams/gooseberrylift-event-splitter.h"

namespace gooseberrylift {

// Owns the call of an attempt and all that the call needs, so that a stalled
// attempt can stay open beside the one that may replace it. Destroying it
// closes the connection of an unfinished call and releases its endpoint's load
// and memory.
struct RequestAttempt
{
  AttemptTarget& Target() const
  {
    return relay_ ? static_cast<AttemptTarget&>(*relay_) : *endpoint_;
  }

  /// Returns the ID of its endpoint; empty while another host has not named it.
  const std::string& EndpointId() const
  {
    return relay_ ? relayedTo_ : active_->Placement().endpoint_.id_;
  }

  // Of an attempt at an endpoint.
  std::unique_ptr<Fleet::ActiveRequest> active_;
  std::unique_ptr<MemoryReservation> reservation_;
  std::unique_ptr<EndpointTarget> endpoint_;
  // Of an attempt through another host, and why that was chosen.
  std::unique_ptr<RelayClient::Target> relay_;
  RelayReason relayReason_ = RelayReason::kNone;
  std::string relayedTo_;      // the endpoint that the other host names
  bool refusedByHost_ = false; // the other host did not take the request

  std::unique_ptr<HttpCall> call_; // null until the request was sent
  AnswerProgress progress_;
  EventSplitter splitter_;
  std::deque<StreamEvent> events_; // of a stream, not forwarded yet
  std::string body_;               // of other responses, not forwarded yet
  std::size_t parts_ = 0;          // of the response, the head included
  bool headRead_ = false;
  bool bodyBegun_ = false;
  bool ended_ = false;           // the body was received to its end
  bool isStalled_ = false;       // since the last part
  bool isBeingReplaced_ = false; // another attempt is prepared meanwhile
  std::optional<Error> failure_; // while it was being replaced
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_REQUEST_ATTEMPT_H_
