// Detects that a host has lost its links to the endpoints of a service. From
// the host's own failures alone, this looks like a failure of the endpoints.

#ifndef GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_LINK_MONITOR_H_
#define GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_LINK_MONITOR_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// What was expected of an endpoint and did not come. The two are counted
// separately: a firewall may refuse new connections and leave established ones
// alone, and a connection may be established over which nothing returns.
enum class LinkFailure
{
  kConnection, // a new connection
  kResponse,   // the response to a request
};

enum class LinkState
{
  kUp,
  kSuspected, // being verified by probes
  kLost,
};

// The probes of one round, each to another endpoint.
struct ProbeResult
{
  std::size_t sent_ = 0;
  std::size_t answered_ = 0;
  bool complete_ = false; // whether all endpoints were probed
};

// Keeps the state of the links to each service. When several endpoints have
// failed in a row, a sample of all endpoints is probed: the links count as lost
// if fewer than half of the sample answer, and as up again after several
// rounds in which at least half do. One or two endpoints that crashed or are
// silent for a while never count as lost links, unless they are all that the
// service has. Not thread-safe.
class LinkMonitor
{
public:
  struct Options
  {
    // Distinct endpoints that fail without any success in between.
    std::size_t suspicionThreshold_ = 2;
    std::size_t sampleSize_ = 5;
    // Interval between rounds of probes while the links are lost.
    std::chrono::milliseconds roundInterval_{ 500 };
    // Rounds with enough answers until the links count as up. Doubled up to the
    // maximum each time that they are lost again within relapseTime_, so that
    // requests don't alternate between two ways.
    int roundsToRestore_ = 2;
    int maxRoundsToRestore_ = 16;
    std::chrono::milliseconds relapseTime_{ 10'000 };
    // Time after a refuted suspicion before the next one.
    std::chrono::milliseconds suspicionInterval_{ 1'000 };
  };

  explicit LinkMonitor(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Records that an endpoint failed.
  /// @param aEndpoints number of endpoints of the service
  /// @return whether the links are now suspected to be lost, so that the caller
  /// has to send probes
  bool OnFailed(const std::string& aService,
                const std::string& aEndpoint,
                LinkFailure aFailure,
                std::size_t aEndpoints,
                TimePoint aNow);

  /// Records that an endpoint did what was expected.
  void OnSucceeded(const std::string& aService, LinkFailure aExpected);

  /// Suspects the links to a service because those to another one are lost.
  /// @return whether they are now suspected, and were up before
  bool Suspect(const std::string& aService);

  /// Records a round of probes of suspected or lost links.
  /// @return the resulting state
  LinkState OnProbed(const std::string& aService,
                     const ProbeResult& aResult,
                     TimePoint aNow);

  LinkState StateOf(const std::string& aService) const;

  /// Returns whether the links to a service are lost and none of its endpoints
  /// answered in the last round. With more endpoints than are probed in a
  /// round, this is not known.
  bool IsCutOff(const std::string& aService) const;

  /// Returns the services whose links are lost, ordered by name.
  std::vector<std::string> Lost() const;

  /// Returns the services that requests were sent to.
  std::vector<std::string> Services() const;

private:
  struct Links
  {
    LinkState state_ = LinkState::kUp;
    // Endpoints that failed since the last success of the same kind.
    std::map<LinkFailure, std::set<std::string>> failed_;
    bool cutOff_ = false;    // by the last round
    int roundsAnswered_ = 0; // in a row, while lost
    int roundsToRestore_ = 0;
    TimePoint restoredAt_{};
    TimePoint refutedAt_{};
  };

  void OnRefuted(Links& aLinks, TimePoint aNow) const;
  void OnLost(Links& aLinks, TimePoint aNow) const;

  Options options_;
  std::map<std::string, Links> links_; // by service
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_LINK_MONITOR_H_
