// Plain data types that describe an endpoint as seen by this host.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_ENDPOINT_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_ENDPOINT_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>

namespace gooseberrylift {

// Monotonic time. Only the runtime reads the clock; the core receives the
// value.
using TimePoint = std::chrono::steady_clock::time_point;

// Start time of an endpoint, on the endpoint's own clock.
using StartTime = std::chrono::sys_time<std::chrono::milliseconds>;

// One run of an endpoint process; a restarted endpoint may reuse its id.
struct Incarnation
{
  std::string id_;
  StartTime startTime_{}; // the epoch if the platform reports none

  bool operator==(const Incarnation&) const = default;
  bool operator<(const Incarnation& aOther) const
  {
    return std::tie(id_, startTime_) < std::tie(aOther.id_, aOther.startTime_);
  }
};

// The endpoint's rate limit as stated in one of its responses.
struct AdvertisedRateLimit
{
  enum class Kind
  {
    kNone,      // the response states no limit
    kSpecified, // perSecond_ is the limit for all hosts combined
    kMalformed, // present but malformed; the limit is unknown
  };

  Kind kind_ = Kind::kNone;
  double perSecond_ = 0; // requests per second, not negative
};

// How long an endpoint asks this host not to send it anything, as stated in one
// of its responses.
struct RequestedBackoff
{
  enum class Kind
  {
    kNone,      // the response asks for nothing
    kSpecified, // duration_ counts from the response
    kMalformed, // present but malformed; it is not applied
  };

  Kind kind_ = Kind::kNone;
  std::chrono::milliseconds duration_{ 0 }; // positive if specified
};

// What an endpoint states about itself in a response, whatever was requested.
struct EndpointNotice
{
  AdvertisedRateLimit rateLimit_;
  RequestedBackoff backoff_;
  bool leaving_ = false; // it is about to exit
};

enum class EndpointKind
{
  kEngine,
  kService
};

enum class EndpointState
{
  kLive,
  kLeaving,
  kDead
};

// The most recent load report of an engine.
struct LoadReport
{
  TimePoint at_{}; // when the engine measured it, on this host's clock
  std::uint64_t waitingTokens_ = 0;
  int running_ = 0;
  int waiting_ = 0;
  std::uint64_t kvTokensUsed_ = 0;
  std::uint64_t kvTokensTotal_ = 0; // 0 until the first report
};

// One endpoint. Names are never reused for another endpoint in the fleet's host
// list; a restart under the same name gets a higher incarnation.
struct EndpointView
{
  std::string name_;
  std::string address_; // IP:port
  std::string pool_;
  std::string zone_;
  EndpointKind kind_ = EndpointKind::kEngine;
  EndpointState state_ = EndpointState::kLive;
  std::uint64_t incarnation_ = 0;
  LoadReport load_{};
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_ENDPOINT_H_
