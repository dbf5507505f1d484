// What two hosts tell each other about a request that one relays to the other.

#ifndef GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_RELAY_MESSAGE_H_
#define GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_RELAY_MESSAGE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "gooseberrylift/gooseberrylift-result.h"

namespace gooseberrylift {

// Accompanies a relayed request. The receiving host sends it to one endpoint at
// most: its sender counts the attempts and the retry budget.
struct RelayTerms
{
  std::string from_; // name of the sending host
  // Of the configuration by which the sender routed the request. The receiver
  // refuses it if its own is older: the caller would see the sender fall back
  // to a configuration that is no longer in force.
  std::uint64_t generation_ = 0;
  // Since the first attempt of the caller.
  std::chrono::milliseconds waited_{ 0 };
  // Whether the sender may send the request elsewhere if an endpoint answers
  // that it failed.
  bool mayMove_ = false;
  // Whether the sender has admitted the request and sent it before, so that it
  // isn't admitted again.
  bool admitted_ = false;
  // Endpoints that failed the request, without those that the sender did not
  // reach.
  std::vector<std::string> tried_;
  // Endpoints that it may be sent to; empty if all may receive it.
  std::vector<std::string> only_;
};

// Replaces the response if the receiving host has none of an endpoint.
struct RelayOutcome
{
  Error error_;
  int sends_ = 0; // endpoints that may have received part of the request
  std::vector<std::string> tried_; // endpoints that failed it there
};

nlohmann::json RelayTermsToJson(const RelayTerms& aTerms);

/// Parses terms. Values out of range are limited.
/// @return nothing if a field is missing or has the wrong type
std::optional<RelayTerms> RelayTermsFromJson(const nlohmann::json& aDocument);

nlohmann::json RelayOutcomeToJson(const RelayOutcome& aOutcome);

/// Parses an outcome.
/// @return nothing if a field is missing or has the wrong type
std::optional<RelayOutcome> RelayOutcomeFromJson(
  const nlohmann::json& aDocument);

/// Returns whether an outcome only shows that this host could not take the
/// request, so that another one may.
bool IsRefusedByHost(const RelayOutcome& aOutcome);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_RELAY_MESSAGE_H_
