// How the messages of a deployment's platform are spelled. The gateway speaks
// in the types below; a dialect turns them into header fields and documents
// and back, and decides nothing.

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

// What a caller says of its request beside method, path and body.
struct CallerRequestMetadata
{
  std::string attemptId_; // new with each of the caller's own tries
  std::string host_;
  std::string teamKey_;
  std::optional<std::chrono::milliseconds> callerTimeout_; // until it gives up
  std::uint64_t promptTokens_ = 0; // 0 when the request is no generation
  std::uint64_t answerTokens_ = 0; // at most
  std::optional<std::uint64_t> lastEventId_; // of a stream it goes on with
};

// An engine that reads a part of a prompt for another one.
struct PrefillHelper
{
  std::string address_;       // IP:port
  std::string reservationId_; // of memory set aside there; empty: none
};

// What this host adds to a request on its way to an endpoint.
struct EndpointRequestMetadata
{
  std::string endpointId_;       // any other incarnation must turn it away
  std::string team_;             // empty when the request needs no key
  bool removeCallerKey_ = false; // the caller's key is for this host only
  std::chrono::milliseconds remaining_{ 0 };
  std::optional<std::uint64_t> lastEventId_;
  std::optional<int> priorityClass_; // 0 is the most urgent, 9 the least
  std::vector<PrefillHelper> helpers_;
};

// What an endpoint says about an answer, beside its status and body.
struct EndpointResponseMetadata
{
  std::string attemptId_;         // of the request that it answers
  bool hasResponseStamp_ = false; // bears the endpoint's own signature
  bool notExecuted_ = false;      // proves that the request was not run
  bool instanceReplaced_ = false; // another incarnation has the address now
  std::string
    failedHelperAddress_; // address of a helper that failed; empty: none
  AdvertisedRateLimit advertisedRateLimit_;
};

// Where the platform's store keeps what the gateway follows.
struct StoreKinds
{
  std::string routes_;     // the kind that holds the route document
  std::string routesName_; // the document's name
  std::string endpoints_;  // the kind in which endpoints list themselves
  // The kind with one object for each evacuated availability zone, named after
  // the zone.
  std::string evacuations_;
};

class WireDialect
{
public:
  virtual ~WireDialect() = default;

  virtual CallerRequestMetadata ParseCallerRequest(
    const HttpRequest& aRequest) const = 0;

  /// Makes the request that goes to an endpoint: the caller's, without what
  /// concerns one connection or is this host's to say.
  virtual HttpRequest MakeEndpointRequest(
    const HttpRequest& aCaller,
    const EndpointRequestMetadata& aSend) const = 0;

  virtual EndpointResponseMetadata ParseEndpointResponse(
    const HttpResponse& aHead) const = 0;

  /// Gives the head of an endpoint's answer as the caller gets it.
  virtual HttpResponse MakeCallerResponse(const HttpResponse& aHead) const = 0;

  /// Makes an answer of this host's own, for an error.
  /// @param aStatus the status that promises just what is true of the request
  /// @param aAttemptId the request's, empty when it gave none
  virtual HttpResponse MakeHostErrorResponse(
    int aStatus,
    const Error& aError,
    const std::string& aAttemptId) const = 0;

  /// Makes the order that sets memory aside at an engine, or goes on with it.
  /// @param aTicketId names it, so that it can be used, renewed and released
  /// @param aHoldFor when the engine frees it by itself
  virtual HttpRequest MakeReserveRequest(
    const std::string& aTicketId,
    std::uint64_t aTokens,
    std::chrono::milliseconds aHoldFor) const = 0;

  /// Makes the order that frees memory which was set aside.
  virtual HttpRequest MakeReleaseRequest(
    const std::string& aTicketId) const = 0;

  virtual StoreKinds Kinds() const = 0;

  /// Decodes a route document.
  /// @return the routes, or kConfigurationInvalid with the path of the fault
  virtual Outcome<RouteDocument> ParseRoutes(
    const nlohmann::json& aSpec) const = 0;

  /// Decodes an endpoint's entry.
  /// @return the entry, or kEntryInvalid with the path of the fault
  virtual Outcome<ListedEndpoint> ParseListedEndpoint(
    const StoreObject& aObject) const = 0;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_WIRE_DIALECT_H_
