#include "gooseberrylift/routing/gooseberrylift-route-table.h"

#include <algorithm>
#include <cctype>
#include <iterator>
#include <numeric>

namespace gooseberrylift {

namespace {

// Removes the port and converts to lower case, since neither counts when hosts
// are compared.
std::string NormalizeHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::transform(
    host.begin(), host.end(), host.begin(), [](unsigned char aLetter) {
      return static_cast<char>(std::tolower(aLetter));
    });
  return host;
}

} // namespace

std::string_view NameOf(RouteKind aKind)
{
  switch (aKind) {
    case RouteKind::kSafe:
      return "safe";
    case RouteKind::kUnsafe:
      return "unsafe";
    default:
      return "streaming";
  }
}

RouteTable::RouteTable(RouteDocument aDocument)
  : document_(std::move(aDocument))
{
  for (const Route& route : document_.routes_) {
    byHost_[NormalizeHost(route.host_)].push_back(&route);
    if (route.kind_ != RouteKind::kStreaming || route.maxGap_.count() == 0) {
      continue;
    }
    for (const RouteTarget& target : route.targets_) {
      gaps_[target.service_].insert(route.maxGap_);
    }
  }
  for (auto& [host, routes] : byHost_) {
    std::stable_sort(routes.begin(),
                     routes.end(),
                     [](const Route* aLeft, const Route* aRight) {
                       return aLeft->pathPrefix_.size() >
                              aRight->pathPrefix_.size();
                     });
  }
  for (const RoutedService& service : document_.services_) {
    byName_[service.name_] = &service;
  }
  if (document_.teams_) {
    for (const RoutedTeam& team : *document_.teams_) {
      for (const std::string& key : team.keys_) {
        byKey_[key] = &team;
      }
    }
  }
}

const Route* RouteTable::Match(std::string_view aHost,
                               std::string_view aPath) const
{
  const auto found = byHost_.find(NormalizeHost(aHost));
  if (found == byHost_.end()) {
    return nullptr;
  }
  for (const Route* route : found->second) {
    if (aPath.starts_with(route->pathPrefix_)) {
      return route;
    }
  }
  return nullptr;
}

const RoutedTeam* RouteTable::TeamByKey(std::string_view aKey) const
{
  const auto found = byKey_.find(aKey);
  return found == byKey_.end() ? nullptr : found->second;
}

const RoutedService* RouteTable::ServiceByName(std::string_view aName) const
{
  const auto found = byName_.find(aName);
  return found == byName_.end() ? nullptr : found->second;
}

const std::string& RouteTable::ChooseService(const Route& aRoute,
                                             std::uint64_t aRandom)
{
  const auto weightOf = [](const RouteTarget& aTarget) {
    return static_cast<std::uint64_t>(std::max(aTarget.weight_, 0));
  };
  const std::uint64_t total =
    std::accumulate(aRoute.targets_.begin(),
                    aRoute.targets_.end(),
                    std::uint64_t{ 0 },
                    [&](std::uint64_t aSum, const RouteTarget& aTarget) {
                      return aSum + weightOf(aTarget);
                    });
  std::uint64_t offset = total == 0 ? 0 : aRandom % total;
  for (const RouteTarget& target : aRoute.targets_) {
    if (offset < weightOf(target)) {
      return target.service_;
    }
    offset -= weightOf(target);
  }
  return aRoute.targets_.front().service_;
}

ServiceGaps RouteTable::GapsOf(std::string_view aService) const
{
  const auto found = gaps_.find(aService);
  if (found == gaps_.end()) {
    return {};
  }
  const auto& gaps = found->second;
  const auto next = std::next(gaps.begin());
  return { .shortest_ = *gaps.begin(),
           .next_ = next == gaps.end() ? *gaps.begin() : *next };
}

} // namespace gooseberrylift
