// Interface between the gateway and the wire format of a deployment's platform.
// The gateway uses the types below; a dialect converts them to and from header
// fields and documents, and makes no decisions.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_WIRE_DIALECT_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_WIRE_DIALECT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gooseberrylift/internal/gooseberrylift-http.h"
#include "gooseberrylift/internal/gooseberrylift-store.h"
#include "gooseberrylift/routing/gooseberrylift-endpoint-directory.h"
#include "gooseberrylift/routing/gooseberrylift-route-table.h"

namespace gooseberrylift {

// Metadata of a caller's request from its header fields.
struct CallerRequestMetadata
{
  std::string attemptId_; // differs for each retry by the caller
  std::string host_;
  std::string teamKey_;
  // How long the caller waits for the response.
  std::optional<std::chrono::milliseconds> callerTimeout_;
  std::uint64_t promptTokens_ = 0; // 0 if the request is not a generation
  std::uint64_t answerTokens_ = 0; // upper bound
  std::optional<std::uint64_t> lastEventId_; // of the stream to resume
  // The IDs of the prompt's parts in order. The last part belongs to this
  // request alone.
  std::vector<std::string> promptParts_;
};

// An engine that prefills a part of a prompt for another engine.
struct PrefillHelper
{
  std::string address_;       // IP:port
  std::string reservationId_; // of memory reserved there; empty if none
};

// Metadata that this host adds to a request to an endpoint.
struct EndpointRequestMetadata
{
  std::string endpointId_; // any other incarnation must reject the request
  std::string team_;       // empty if the request needs no key
  bool removeCallerKey_ = false; // don't forward the caller's key
  std::chrono::milliseconds remaining_{ 0 };
  std::optional<std::uint64_t> lastEventId_;
  std::optional<int> priorityClass_; // 0 is the highest, 9 the lowest
  std::vector<PrefillHelper> helpers_;
};

// Metadata of an endpoint's response from its status and header fields.
struct EndpointResponseMetadata
{
  std::string attemptId_;         // of the corresponding request
  bool hasResponseStamp_ = false; // has the response stamp of the endpoint
  // Whether the endpoint guarantees that the request did not run.
  bool notExecuted_ = false;
  // Whether the endpoint is not the one that the request is meant for: another
  // incarnation at its address, or one that doesn't meet what the caller
  // expects.
  bool misdirected_ = false;
  std::string instanceId_;          // of the endpoint; empty if not stated
  std::string failedHelperAddress_; // IP:port; empty if no helper failed
  EndpointNotice notice_;
};

// Kinds and names of the store objects that the gateway watches.
struct StoreKinds
{
  std::string routes_;     // kind of the route document
  std::string routesName_; // name of the route document
  std::string endpoints_;  // kind of the entries that endpoints register
  // Kind of the objects that mark evacuated availability zones, one per zone
  // and named after it.
  std::string evacuations_;
};

class WireDialect
{
public:
  virtual ~WireDialect() = default;

  virtual CallerRequestMetadata ParseCallerRequest(
    const HttpRequest& aRequest) const = 0;

  /// Creates the request to an endpoint from the caller's, without hop-by-hop
  /// fields and with the fields that this host sets.
  virtual HttpRequest MakeEndpointRequest(
    const HttpRequest& aCaller,
    const EndpointRequestMetadata& aMetadata) const = 0;

  /// Creates the request to a host that the caller's is relayed to. It keeps
  /// the caller's key, which that host checks itself.
  /// @param aRemaining the time until the deadline
  /// @param aLastEventId the last event that the caller has of a stream
  virtual HttpRequest MakeRelayRequest(
    const HttpRequest& aCaller,
    std::chrono::milliseconds aRemaining,
    std::optional<std::uint64_t> aLastEventId) const = 0;

  virtual EndpointResponseMetadata ParseEndpointResponse(
    const HttpResponse& aHead) const = 0;

  /// Returns whether a request to an endpoint has a caller's field that makes
  /// the endpoint refuse it like one that is meant for another incarnation.
  virtual bool HasCallerExpectation(const HttpRequest& aRequest) const = 0;

  /// Creates the status and header fields that the caller receives from those
  /// of an endpoint's response.
  virtual HttpResponse MakeCallerResponse(const HttpResponse& aHead) const = 0;

  /// Creates the response for an error of this host.
  /// @param aStatus the HTTP status; it must not claim more about whether the
  /// request ran than is known
  /// @param aAttemptId the attempt ID of the request, empty if it had none
  virtual HttpResponse MakeHostErrorResponse(
    int aStatus,
    const Error& aError,
    const std::string& aAttemptId) const = 0;

  /// Creates the request that reserves memory at an engine or renews a
  /// reservation.
  /// @param aReservationId identifies the reservation for use, renewal and
  /// release
  /// @param aHoldFor time after which the engine releases it by itself
  virtual HttpRequest MakeReserveRequest(
    const std::string& aReservationId,
    std::uint64_t aTokens,
    std::chrono::milliseconds aHoldFor) const = 0;

  /// Creates the request that releases reserved memory.
  virtual HttpRequest MakeReleaseRequest(
    const std::string& aReservationId) const = 0;

  /// Creates a request to which an endpoint responds at once, however many
  /// requests it processes.
  virtual HttpRequest MakeProbeRequest() const = 0;

  virtual StoreKinds Kinds() const = 0;

  /// Parses a route document.
  /// @return the routes, or kConfigurationInvalid with the path of the error
  virtual Outcome<RouteDocument> ParseRoutes(
    const nlohmann::json& aSpec) const = 0;

  /// Parses an endpoint's entry.
  /// @return the entry, or kEntryInvalid with the path of the error
  virtual Outcome<ListedEndpoint> ParseListedEndpoint(
    const StoreObject& aObject) const = 0;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_WIRE_DIALECT_H_
