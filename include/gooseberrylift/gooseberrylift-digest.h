// What entry hosts tell one another of themselves, as plain data.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_DIGEST_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_DIGEST_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// A request content that killed endpoints and is refused until a time. Entries
// of one fingerprint merge by the higher version, so that hosts that hear of a
// quarantine and of its release in any order end alike.
struct QuarantineEntry
{
  std::string fingerprint_; // hash of the content, in hexadecimal
  std::uint64_t version_ = 0;
  bool released_ = false;                         // by an operator
  std::chrono::system_clock::time_point until_{}; // shared between hosts
};

// The rate limit that one endpoint has named, or that it no longer names.
// Entries of one incarnation merge by the higher version; of equal ones the
// lower rate counts.
struct EndpointRate
{
  Incarnation endpoint_;
  std::uint64_t version_ = 0;
  std::optional<double> perSecond_; // over all hosts; nothing: no limit
};

// What one team asks of one host, in tokens a second over the last seconds.
struct TeamDemand
{
  std::string team_;
  double tokensPerSecond_ = 0;
};

// One endpoint as one host sees it.
struct EndpointDigest
{
  std::string name_;
  std::uint64_t incarnation_ = 0;
  EndpointState state_ = EndpointState::kLive;
};

// One host's word of itself. sequence_ rises with each, so that a late one is
// told from a new one; incarnation_ rises with each start of the host.
struct Digest
{
  std::string host_;
  std::string zone_;
  std::string region_;
  std::string peerAddress_; // IP:port
  std::uint64_t incarnation_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t generation_ = 0;        // of the configuration in force
  std::uint64_t configurationHash_ = 0; // of its text
  bool storeReachable_ = false;
  bool draining_ = false;
  std::vector<EndpointDigest> endpoints_; // those not plainly live
  std::vector<QuarantineEntry> quarantine_;
  std::vector<EndpointRate> rates_;
  std::vector<TeamDemand> demand_;
  bool keysProven_ = false;   // it may let in callers by their keys
  std::size_t zoneHosts_ = 0; // hosts of its zone that it knows, with it
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_DIGEST_H_
