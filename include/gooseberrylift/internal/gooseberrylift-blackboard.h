// State shared by the components of a host. Each section has one writer and any
// number of readers. Readers get an immutable snapshot, so they hold no lock
// while using it.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_BLACKBOARD_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_BLACKBOARD_H_

#include <functional>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "gooseberrylift/gooseberrylift-config.h"
#include "gooseberrylift/gooseberrylift-digest.h"
#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// A typed section. Subscribers are called after each write, on the writer's
// thread and without a lock held; they must not block.
template<typename Value>
class BlackboardSection
{
public:
  using Snapshot = std::shared_ptr<const Value>;
  using Subscriber = std::function<void(const Snapshot& aSnapshot)>;

  /// Returns the latest snapshot; never null.
  Snapshot Read() const
  {
    const std::lock_guard lock(mutex_);
    return value_;
  }

  /// Replaces the contents and notifies the subscribers.
  void Write(Value aValue)
  {
    auto snapshot = std::make_shared<const Value>(std::move(aValue));
    std::vector<Subscriber> subscribers;
    {
      const std::lock_guard lock(mutex_);
      value_ = snapshot;
      subscribers = subscribers_;
    }
    for (const Subscriber& subscriber : subscribers) {
      subscriber(snapshot);
    }
  }

  /// Adds a subscriber for the lifetime of the section.
  void Subscribe(Subscriber aSubscriber)
  {
    const std::lock_guard lock(mutex_);
    subscribers_.push_back(std::move(aSubscriber));
  }

private:
  mutable std::mutex mutex_;
  Snapshot value_ = std::make_shared<const Value>();
  std::vector<Subscriber> subscribers_;
};

// Written by ConfigFollower.
struct ConfigurationState
{
  Configuration::Ptr configuration_; // null until one is received
};

// Written by ConfigFollower.
struct StoreState
{
  bool reachable_ = false;
  TimePoint since_{}; // time of the last change of reachable_
};

// Written by EndpointTracker.
struct EndpointsState
{
  std::vector<EndpointView> endpoints_;
};

// Written by EntryHost.
struct HostState
{
  bool draining_ = false;
};

// Written by PeerExchange: the latest digest of every other live host.
struct PeersState
{
  std::vector<Digest> digests_;
  std::size_t known_ = 0; // other hosts of the fleet, live or not
};

// Written by the quarantine controller: entries of this host and of peers.
struct QuarantineState
{
  std::vector<QuarantineEntry> entries_;
};

// Written by PoolBroker: the demand of teams on this host.
struct DemandState
{
  std::vector<TeamDemand> demand_;
};

struct Blackboard
{
  BlackboardSection<ConfigurationState> configuration_;
  BlackboardSection<StoreState> store_;
  BlackboardSection<EndpointsState> endpoints_;
  BlackboardSection<HostState> host_;
  BlackboardSection<PeersState> peers_;
  BlackboardSection<QuarantineState> quarantine_;
  BlackboardSection<DemandState> demand_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_BLACKBOARD_H_
