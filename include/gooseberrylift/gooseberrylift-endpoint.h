// What this host knows of one endpoint, as plain data that decisions read.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_ENDPOINT_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_ENDPOINT_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>

namespace gooseberrylift {

// Monotonic time. The runtime reads the clock; the core is handed the value.
using TimePoint = std::chrono::steady_clock::time_point;

// When an endpoint started, by its own clock.
using BirthTime = std::chrono::sys_time<std::chrono::milliseconds>;

// One life of an endpoint, which may start again under the id that it had.
struct Incarnation
{
  std::string id_;
  BirthTime born_{}; // the epoch where the platform states none

  bool operator==(const Incarnation&) const = default;
  bool operator<(const Incarnation& aOther) const
  {
    return std::tie(id_, born_) < std::tie(aOther.id_, aOther.born_);
  }
};

// What an answer says of the rate limit of the endpoint that gave it.
struct RateNotice
{
  enum class Kind
  {
    kNone,       // the endpoint has no limit
    kNamed,      // it takes perSecond_ from all hosts together
    kUnreadable, // proves nothing
  };

  Kind kind_ = Kind::kNone;
  double perSecond_ = 0; // requests a second, not below 0
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

// The last load report of an engine, with the engine's own idea of when.
struct LoadReport
{
  TimePoint at_{}; // when the engine took it, on this host's clock
  std::uint64_t waitingTokens_ = 0;
  int running_ = 0;
  int waiting_ = 0;
  std::uint64_t kvTokensUsed_ = 0;
  std::uint64_t kvTokensTotal_ = 0; // 0 until the first report
};

// One endpoint. The name is unique for all time within the fleet's host list;
// a restart of the same name shows as a new incarnation.
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
