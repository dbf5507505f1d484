// Merges the sources of endpoint state: the platform's list, which lags, the
// endpoints' own load reports, peers' digests, and failures of requests and
// polls.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_ENDPOINT_REGISTRY_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_ENDPOINT_REGISTRY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gooseberrylift/gooseberrylift-digest.h"
#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// State that an endpoint reports about itself.
struct EndpointReport
{
  bool leaving_ = false;
  std::uint64_t incarnation_ = 0; // 0 if not reported
  LoadReport load_{};
};

// Tracks the state of each endpoint from timestamped events. Not thread-safe.
//
//   EndpointRegistry registry({});
//   registry.OnList(listed, now);
//   registry.OnReport("engine-1", report, now);
//   for (const EndpointView& view : registry.Views()) ...
class EndpointRegistry
{
public:
  struct Options
  {
    // Consecutive failures after which an endpoint counts as dead. A single
    // missed report may be a lost packet; three take 0.75 s at the default poll
    // interval of 250 ms.
    int failuresUntilDead_ = 3;
    // How long to keep an endpoint that is missing from the list but still
    // answers. Exceeds the lag of the list and list faults of up to a minute.
    std::chrono::milliseconds unlistedRetention_{ 120'000 };
  };

  explicit EndpointRegistry(Options aOptions);

  /// Applies the platform's list. An endpoint missing from it is removed only
  /// when it also stops answering or has been missing for unlistedRetention_,
  /// so that an empty or truncated list does not remove endpoints that still
  /// serve.
  /// @param aListed the endpoints as listed
  /// @param aNow the current time
  /// @return true if the endpoint set or the state of an endpoint changed
  bool OnList(const std::vector<EndpointView>& aListed, TimePoint aNow);

  /// Applies an endpoint's own report, which takes precedence over the list.
  bool OnReport(const std::string& aName,
                const EndpointReport& aReport,
                TimePoint aNow);

  /// Records that an endpoint missed a report or refused a connection.
  bool OnFailure(const std::string& aName, TimePoint aNow);

  /// Records that an endpoint refused a request because it is leaving.
  bool OnLeaving(const std::string& aName, TimePoint aNow);

  /// Applies a peer's digest of an endpoint. kLeaving is accepted immediately
  /// for the same incarnation, because it is final and a delayed digest is
  /// harmless. kDead counts only as one additional failure, because the peer
  /// itself may be partitioned; the next report received by this host clears
  /// it.
  bool OnPeerDigest(const EndpointDigest& aDigest, TimePoint aNow);

  /// Returns all endpoints, sorted by name.
  std::vector<EndpointView> Views() const;

private:
  struct Entry
  {
    EndpointView view_;
    bool listedLeaving_ = false;
    bool reportedLeaving_ = false; // permanent for this incarnation
    int failures_ = 0;             // consecutive, observed by this host
    bool suspectedByPeer_ = false; // since this host's last success
    TimePoint lastListed_{};
  };

  bool UpdateState(Entry& aEntry) const;
  std::size_t DropUnlisted(TimePoint aNow);

  Options options_;
  std::map<std::string, Entry> entries_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_ENDPOINT_REGISTRY_H_
