// Routing of requests to services by host and path, and the limits and
// objectives that the operator sets for each route.

#ifndef GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_ROUTE_TABLE_H_
#define GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_ROUTE_TABLE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberrylift/routing/gooseberrylift-engine-profile.h"

namespace gooseberrylift {

// Whether the requests of a route may be repeated.
enum class RouteKind
{
  kSafe,      // idempotent: may run more than once
  kUnsafe,    // runs at most once
  kStreaming, // an event stream; idempotent only if it is resumable
};

/// Returns the name of a kind in logs and metrics.
std::string_view NameOf(RouteKind aKind);

// A service that receives a share of a route's requests.
struct RouteTarget
{
  std::string service_;
  int weight_ = 1; // relative to the route's other targets
};

struct Route
{
  std::string name_;
  std::string host_;
  std::string pathPrefix_; // begins and ends with a slash
  RouteKind kind_ = RouteKind::kSafe;
  bool resumable_ = false; // kStreaming: can continue elsewhere by event id
  bool public_ = false;    // needs no team key
  int priority_ = 0;       // 0 is the most urgent
  int maxAttempts_ = 1;    // maximum number of endpoints tried per request
  std::chrono::milliseconds timeout_{ 60'000 };
  std::chrono::milliseconds objective_{ 1'000 }; // to answer or first event
  std::chrono::milliseconds maxGap_{ 0 };        // kStreaming: between events
  std::vector<RouteTarget> targets_;
  std::vector<std::string> allowedRegions_{}; // empty: all

  /// Returns whether a request may run more than once.
  bool IsRepeatable() const
  {
    return kind_ == RouteKind::kSafe ||
           (kind_ == RouteKind::kStreaming && resumable_);
  }
};

struct RoutedService
{
  std::string name_;
  std::string healthPath_;
  int maxConnections_ = 0; // per endpoint, over all callers; 0: not declared
  std::optional<EngineProfile> engine_; // none for a plain service
  // How long an endpoint is cold after a start, and how many requests per
  // second it tolerates while it is; 0: not declared.
  std::chrono::milliseconds coldStart_{ 0 };
  double coldPerSecond_ = 0;
};

// Limits on the size and duration of what a caller sends.
struct CallerLimits
{
  std::uint32_t maxHeaderBytes_ = 16 * 1024;
  std::uint64_t maxBodyBytes_ = 16 * 1024 * 1024;
  std::chrono::milliseconds headerTimeout_{ 10'000 };
  std::chrono::milliseconds idleTimeout_{ 75'000 };
};

struct RoutedTeam
{
  std::string name_;
  std::vector<std::string> keys_;
  std::optional<int> priority_;               // overrides the route's
  std::vector<std::string> allowedRegions_{}; // empty: all
};

// A complete routing configuration, as written by an operator.
struct RouteDocument
{
  std::uint64_t version_ = 0;
  std::vector<Route> routes_;
  std::vector<RoutedService> services_;
  CallerLimits limits_;
  // Absent if callers need no keys; an empty list rejects every caller.
  std::optional<std::vector<RoutedTeam>> teams_;
};

// The two shortest limits on gaps between events among the routes of a service;
// equal if there is only one limit.
struct ServiceGaps
{
  std::chrono::milliseconds shortest_{ 200 };
  std::chrono::milliseconds next_{ 200 }; // the next longer limit
};

// A route document with indexes for look-up. Immutable, so that a request can
// use one table for its whole duration.
class RouteTable
{
public:
  using Ptr = std::shared_ptr<const RouteTable>;

  explicit RouteTable(RouteDocument aDocument);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  std::uint64_t Version() const { return document_.version_; }
  const CallerLimits& Limits() const { return document_.limits_; }
  const std::vector<Route>& Routes() const { return document_.routes_; }
  const std::vector<RoutedService>& Services() const
  {
    return document_.services_;
  }

  /// Returns whether requests on routes that are not public need a team key.
  bool NeedsKeys() const { return document_.teams_.has_value(); }

  /// Finds the route of a host with the longest prefix that matches a path.
  /// @param aHost host of the request, with or without a port
  /// @param aPath path of the request, without the query
  /// @return the route; null if none matches
  const Route* Match(std::string_view aHost, std::string_view aPath) const;

  /// Finds the team that a key belongs to; returns null if there is none.
  const RoutedTeam* TeamByKey(std::string_view aKey) const;

  /// Finds a service by name; returns null if there is none.
  const RoutedService* ServiceByName(std::string_view aName) const;

  /// Selects one of a route's services at random, by weight.
  /// @param aRoute a route with at least one target
  /// @param aRandom a uniformly distributed random number
  static const std::string& ChooseService(const Route& aRoute,
                                          std::uint64_t aRandom);

  /// Returns the gap limits of the routes of a service.
  ServiceGaps GapsOf(std::string_view aService) const;

private:
  RouteDocument document_;
  // By host, longest prefix first.
  std::map<std::string, std::vector<const Route*>, std::less<>> byHost_;
  std::map<std::string, const RoutedTeam*, std::less<>> byKey_;
  std::map<std::string, const RoutedService*, std::less<>> byName_;
  // By service, in ascending order.
  std::map<std::string, std::set<std::chrono::milliseconds>, std::less<>> gaps_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_ROUTE_TABLE_H_
