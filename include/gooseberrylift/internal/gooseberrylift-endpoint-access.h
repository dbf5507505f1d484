// Keeps which endpoints exist and which of them this host may send to now.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ENDPOINT_ACCESS_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ENDPOINT_ACCESS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gooseberrylift/internal/gooseberrylift-endpoint-rate-limiter.h"
#include "gooseberrylift/limits/gooseberrylift-endpoint-backoffs.h"
#include "gooseberrylift/routing/gooseberrylift-allowed-regions.h"
#include "gooseberrylift/routing/gooseberrylift-endpoint-directory.h"

namespace gooseberrylift {

// Why this host must not send a request to an endpoint now.
enum class SendBlock
{
  kNone,
  kUnusable, // leaving, replaced, unlisted or in an evacuated zone
  kBackoff,  // asked this host to back off
  kNoPermit, // has a rate limit, and this host has no permit
};

// Why no endpoint of a service may receive requests, and how long until that
// may change; zero or less while a permit is being requested.
struct ServiceBlock
{
  SendBlock reason_ = SendBlock::kNone;
  std::chrono::milliseconds remaining_{ 0 };
};

// The response that a notice of an endpoint came in.
struct NoticeSource
{
  bool signed_ = false; // has the endpoint's response stamp
  TimePoint sentAt_{};  // when the request was sent
};

// What an endpoint's notice has changed.
struct NoticeEffect
{
  bool leaving_ = false; // the endpoint was not known to be leaving
  bool backoff_ = false; // its backoff began or became longer
};

// The ids of a request's candidates that may receive it only under a condition,
// or not at all.
struct CandidateRestrictions
{
  LimitedEndpoints limited_;
  std::set<std::string> backedOff_;
};

// Joins the endpoint directory with the backoffs and rate limits that endpoints
// ask for. Thread-safe.
class EndpointAccess
{
public:
  using Endpoints = std::shared_ptr<const std::vector<ListedEndpoint>>;

  /// @param aHost name of this host, which determines its order of engines
  EndpointAccess(std::string aHost, EndpointRateLimiter& aLimiter);

  /// Calls a function with the directory while holding its mutex.
  template<typename Change>
  void WithDirectory(const Change& aChange)
  {
    const std::lock_guard lock(mutex_);
    aChange(directory_);
  }

  /// Applies a new or changed endpoint entry.
  /// @return whether the endpoint has restarted under the same id
  bool OnListed(const ListedEndpoint& aListed);

  /// Processes what an endpoint states about itself in a response.
  NoticeEffect OnNotice(const ListedEndpoint& aEndpoint,
                        const EndpointNotice& aNotice,
                        const NoticeSource& aSource);

  /// Records that an endpoint's address answered as another incarnation.
  void OnReplaced(const ListedEndpoint& aEndpoint);

  /// Returns the usable engines of a service, in this host's order.
  Endpoints Engines(const std::string& aService);

  /// Returns the usable endpoints of a plain service, shuffled.
  /// @param aDraw a random number
  Endpoints Shuffled(const std::string& aService, std::uint64_t aDraw);

  /// Returns which of the given endpoints this host may not send to, or only
  /// with a permit. Requests permits that it lacks.
  CandidateRestrictions RestrictionsOf(
    const std::vector<ListedEndpoint>& aEndpoints);

  /// Consumes a permit if the endpoint has a rate limit.
  /// @return false when no permit is left
  bool TryUsePermit(const ListedEndpoint& aEndpoint);

  /// Returns why no endpoint of a service may receive requests now.
  /// @param aZones only endpoints of these zones count
  /// @return nothing when one may, or when the service has no endpoint
  std::optional<ServiceBlock> FindServiceBlock(const std::string& aService,
                                               const AllowedZones& aZones);

  /// Returns whether and why a request must not be sent to an endpoint that it
  /// was placed at, which may have changed since. Permits are not checked,
  /// because TryUsePermit has consumed one.
  SendBlock CheckSend(const ListedEndpoint& aEndpoint);

  /// Returns whether a service has a usable endpoint that was not tried yet.
  bool HasUntried(const std::string& aService,
                  const std::set<std::string>& aTried,
                  const AllowedZones& aZones);

  /// Returns whether this incarnation of an endpoint is in the directory.
  bool IsListed(const Incarnation& aEndpoint);

  /// Returns the number of endpoints of a service that may receive requests.
  std::size_t CountUsable(const std::string& aService,
                          const AllowedZones& aZones);

  /// Returns the service of an endpoint; empty if it is not listed.
  std::string ServiceOf(const std::string& aEndpoint);

  /// Removes ended backoffs; to be called periodically.
  void Sweep();

private:
  // Caches the usable engines of a service in this host's order.
  struct EngineOrder
  {
    std::uint64_t directoryChanges_ = 0; // directory_.Changes() when sorted
    Endpoints endpoints_;
  };

  std::set<std::string> FindBackedOff(
    const std::vector<ListedEndpoint>& aEndpoints);
  // The caller holds mutex_.
  std::vector<const ListedEndpoint*> UsableIn(const std::string& aService,
                                              const AllowedZones& aZones) const;
  // The caller holds mutex_.
  std::vector<ListedEndpoint> Usable(const std::string& aService) const;

  std::string host_;
  EndpointRateLimiter& limiter_;
  std::mutex mutex_; // guards the members below
  EndpointDirectory directory_{ EndpointDirectory::Options{} };
  std::map<std::string, EngineOrder> engineOrders_; // by service
  EndpointBackoffs backoffs_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ENDPOINT_ACCESS_H_
