// Routes: which service answers a request, chosen by its host and path, and
// what the operator promises and allows for it.

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

#include "gooseberrylift/routing/gooseberrylift-engine-figures.h"

namespace gooseberrylift {

// What may be repeated.
enum class RouteKind
{
  kSafe,      // idempotent: may run more than once
  kUnsafe,    // runs at most once
  kStreaming, // an event stream; idempotent only where it may be resumed
};

/// Gives the kind's name as logs and metrics show it.
std::string_view NameOf(RouteKind aKind);

// A service that takes a share of a route's requests.
struct RouteTarget
{
  std::string service_;
  int weight_ = 1; // against the route's other targets
};

struct Route
{
  std::string name_;
  std::string host_;
  std::string pathPrefix_; // begins and ends with a slash
  RouteKind kind_ = RouteKind::kSafe;
  bool resumable_ = false; // kStreaming: goes on at another engine by event id
  bool public_ = false;    // needs no team key
  int priority_ = 0;       // 0 is the most urgent
  int maxAttempts_ = 1;    // endpoints that one request may be sent to
  std::chrono::milliseconds timeout_{ 60'000 };
  std::chrono::milliseconds objective_{ 1'000 }; // to answer or first event
  std::chrono::milliseconds maxGap_{ 0 };        // kStreaming: between events
  std::vector<RouteTarget> targets_;

  /// Says whether a request may run more than once.
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
  int maxConnections_ = 0; // an endpoint's, over all its callers; 0: not said
  std::optional<EngineFigures> engine_; // none for a plain service
};

// Bounds on what a caller sends, and for how long.
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
  std::optional<int> priority_; // goes before a route's
};

// A whole set of routes, as an operator wrote it.
struct RouteDocument
{
  std::uint64_t version_ = 0;
  std::vector<Route> routes_;
  std::vector<RoutedService> services_;
  CallerLimits limits_;
  // None when callers need no keys; an empty list lets nobody in.
  std::optional<std::vector<RoutedTeam>> teams_;
};

// The gaps between events that the callers of a service bear.
struct ServiceGaps
{
  std::chrono::milliseconds shortest_{ 200 };
  std::chrono::milliseconds next_{ 200 }; // the shortest of all others
};

// A route document made ready for look-ups. It never changes, so a request
// keeps the table that it began with.
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

  /// Says whether requests on routes that are not public need a team key.
  bool NeedsKeys() const { return document_.teams_.has_value(); }

  /// Finds the route of a host whose prefix is the longest that begins a path.
  /// @param aHost the request's host, with or without a port
  /// @param aPath the request's path, without its query
  /// @return the route; null when none matches
  const Route* Match(std::string_view aHost, std::string_view aPath) const;

  /// Finds the team that holds a key; null when there is none.
  const RoutedTeam* TeamByKey(std::string_view aKey) const;

  /// Finds a service by name; null when there is none.
  const RoutedService* ServiceByName(std::string_view aName) const;

  /// Chooses one of a route's services by weight.
  /// @param aRoute a route with at least one target
  /// @param aDraw a random number, of which each value is as likely
  static const std::string& ChooseService(const Route& aRoute,
                                          std::uint64_t aDraw);

  /// Gives the gaps between events that the routes of a service allow.
  ServiceGaps GapsOf(std::string_view aService) const;

private:
  RouteDocument document_;
  // By host, the longest prefix first.
  std::map<std::string, std::vector<const Route*>, std::less<>> byHost_;
  std::map<std::string, const RoutedTeam*, std::less<>> byKey_;
  std::map<std::string, const RoutedService*, std::less<>> byName_;
  // By service, in rising order.
  std::map<std::string, std::set<std::chrono::milliseconds>, std::less<>> gaps_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_ROUTE_TABLE_H_
