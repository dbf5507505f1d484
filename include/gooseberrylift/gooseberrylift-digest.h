// The state that entry hosts exchange about themselves, as plain data.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_DIGEST_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_DIGEST_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// A request content that crashed endpoints and is rejected until a point in
// time. Of two entries with the same fingerprint the higher version wins, so
// that hosts converge whatever the order in which they receive a quarantine and
// its release.
struct QuarantineEntry
{
  std::string fingerprint_; // hash of the content, in hexadecimal
  std::uint64_t version_ = 0;
  bool released_ = false; // by an operator
  // Uses the system clock because hosts exchange it.
  std::chrono::system_clock::time_point until_{};
};

// The rate limit that an endpoint announced or withdrew. Of two entries for the
// same incarnation the higher version wins; of equal versions, the lower rate.
struct EndpointRate
{
  Incarnation endpoint_;
  std::uint64_t version_ = 0;
  std::optional<double> perSecond_; // across all hosts; empty: no limit
};

// The demand of one team on one host, measured over the last few seconds.
struct TeamDemand
{
  std::string team_;
  double tokensPerSecond_ = 0;
};

// The state of one endpoint as observed by one host.
struct EndpointDigest
{
  std::string name_;
  std::uint64_t incarnation_ = 0;
  EndpointState state_ = EndpointState::kLive;
};

// The state that a host publishes about itself. sequence_ increases with each
// digest, so that delayed ones can be recognized; incarnation_ increases with
// each start of the host.
struct Digest
{
  std::string host_;
  std::string zone_;
  std::string region_;
  std::string peerAddress_; // IP:port
  std::uint64_t incarnation_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t generation_ = 0;        // of the configuration in force
  std::uint64_t configurationHash_ = 0; // hash of its text
  bool storeReachable_ = false;
  bool draining_ = false;
  std::vector<EndpointDigest> endpoints_; // only those that are not live
  std::vector<QuarantineEntry> quarantine_;
  std::vector<EndpointRate> rates_;
  std::vector<TeamDemand> demand_;
  bool keysProven_ = false;    // it may authenticate callers by their keys
  bool acceptsRelays_ = false; // it processes requests of other hosts
  std::vector<std::string>
    linksLost_;                   // services whose endpoints it can't reach
  std::size_t zoneHostCount_ = 0; // known hosts in its zone, including itself
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_DIGEST_H_
