// Endpoints that tolerate fewer requests than usual: for some seconds after a
// start during traffic, and at any moment at which they state so in their store
// entry. The reduced rate applies to the requests of all hosts together.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_COLD_ENDPOINTS_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_COLD_ENDPOINTS_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberrylift/gooseberrylift-endpoint.h"
#include "gooseberrylift/routing/gooseberrylift-endpoint-directory.h"

namespace gooseberrylift {

// What a service's cold endpoints tolerate.
struct ColdTerms
{
  std::chrono::milliseconds startDuration_{ 0 }; // cold time after a start
  double perSecond_ = 0; // requests per second from all hosts
  // No more than perSecond_ x overshoot_ + slack_ may arrive in any second.
  double overshoot_ = 1;
  double slack_ = 0;

  bool operator==(const ColdTerms&) const = default;
};

// This host's view of the hosts that share the rate of a cold endpoint.
struct ColdShareView
{
  std::size_t zones_ = 1;       // availability zones of the fleet
  std::size_t liveInZone_ = 0;  // other live hosts of the own zone
  std::size_t knownInZone_ = 0; // other hosts of the own zone, live or not
};

// The lifetime of a permit for a cold endpoint, counted from its request.
// Short, because permits that are used late add to those of the next second.
constexpr std::chrono::milliseconds kColdPermitLifetime{ 200 };

/// Returns the rate at which a host grants permits for a cold endpoint while it
/// is the granting host of its zone, in requests per second. Each zone grants
/// its own part, and in a zone each group of hosts that reach each other grants
/// in proportion to its size, so that cut-off hosts don't add to the total. The
/// rate is low enough for two such hosts in each zone, because hosts learn of
/// each other's state late.
double ColdGrantRate(const ColdTerms& aTerms, const ColdShareView& aView);

// Why an endpoint counts as cold.
enum class ColdSource
{
  kStated, // in its entry
  kStart,  // its entry doesn't tell, and appeared recently
  kPeer,   // stated to another host
};

/// Returns the name of a source in logs.
std::string_view NameOf(ColdSource aSource);

// An endpoint that is cold now.
struct ColdState
{
  ColdTerms terms_;
  TimePoint until_;
  // Stated remaining time; zero if the endpoint is cold only by assumption.
  std::chrono::milliseconds stated_{ 0 };
  // Before this, no permits are granted. Requests of the last second before the
  // endpoint became cold count too.
  TimePoint firstPermit_;
  ColdSource source_ = ColdSource::kStated;
};

// An endpoint that became cold or warm.
struct ColdChange
{
  Incarnation endpoint_;
  std::optional<ColdState> state_; // empty if it is warm again
};

// Keeps until when each incarnation is cold. Only time ends that: a later entry
// that states less may be older than one that states more. Not thread-safe.
class ColdEndpoints
{
public:
  struct Options
  {
    // Longer statements count as this.
    std::chrono::milliseconds maxRemaining_{ 300'000 };
    // The time without permits after an endpoint that received requests became
    // cold: the second that the bound is counted in, and the time within which
    // the hosts learn of it from each other.
    std::chrono::milliseconds settleTime_{ 1'300 };
    // An entry is removed after its endpoint was unlisted for this long.
    std::chrono::milliseconds retention_{ 60'000 };
  };

  using IsListed = std::function<bool(const Incarnation& aEndpoint)>;

  explicit ColdEndpoints(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Sets the terms of the services whose endpoints may be cold.
  void SetTerms(std::map<std::string, ColdTerms> aTerms);

  /// Processes a new or changed entry. The remaining time counts from its
  /// receipt, so that the delay of the listing makes it longer, not shorter.
  void OnListed(const ListedEndpoint& aListed, TimePoint aNow);

  /// Processes the remaining time that a peer was told. Ignored for endpoints
  /// that were never listed here.
  void OnPeer(const Incarnation& aEndpoint,
              std::chrono::milliseconds aRemaining,
              TimePoint aNow);

  /// Returns the state of an endpoint; nothing if it is warm or unknown.
  std::optional<ColdState> Find(const Incarnation& aEndpoint,
                                TimePoint aNow) const;

  /// Returns the terms of an endpoint's service, whether it is cold or not;
  /// nothing if it is unknown or never cold.
  std::optional<ColdTerms> TermsOf(const Incarnation& aEndpoint) const;

  /// Returns whether any endpoint may be cold.
  bool HasCold(TimePoint aNow) const { return aNow < latestEnd_; }

  /// Returns the number of endpoints that are cold.
  std::size_t CountCold(TimePoint aNow) const;

  /// Returns the endpoints that became cold or warm since the last call.
  std::vector<ColdChange> TakeChanges(TimePoint aNow);

  /// Removes endpoints that have been unlisted for too long; called
  /// periodically.
  void Sweep(const IsListed& aIsListed, TimePoint aNow);

private:
  struct Entry
  {
    std::string service_;
    TimePoint firstListed_{};
    TimePoint lastListed_{};
    bool startUnknown_ = false; // its first entry stated no remaining time
    TimePoint statedSince_{};
    TimePoint statedUntil_{};
    bool mayHaveTraffic_ = false; // it was warm before statedSince_
    bool byPeer_ = false;
    bool reportedCold_ = false;
  };

  std::optional<ColdState> StateOf(const Entry& aEntry, TimePoint aNow) const;
  void OnStated(const Incarnation& aEndpoint,
                Entry& aEntry,
                std::chrono::milliseconds aRemaining,
                TimePoint aNow);
  TimePoint EndOf(const Entry& aEntry) const;
  void UpdateLatestEnd();

  Options options_;
  std::map<std::string, ColdTerms> terms_; // by service
  std::map<Incarnation, Entry> entries_;
  TimePoint latestEnd_{}; // of all entries
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_COLD_ENDPOINTS_H_
