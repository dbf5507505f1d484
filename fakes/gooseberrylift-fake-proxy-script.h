// The fault-injection rules of the proxy. They select the fault for each
// message of each connection. No I/O; every selection is determined by the
// seed.

#ifndef GOOSEBERRYLIFT_FAKES_GOOSEBERRYLIFT_FAKE_PROXY_SCRIPT_H_
#define GOOSEBERRYLIFT_FAKES_GOOSEBERRYLIFT_FAKE_PROXY_SCRIPT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace gooseberrylift::fakes {

// A fault that applies to one message: a request and its complete response.
enum class Fault
{
  kDelay,      // delays each chunk by delay_ms plus up to jitter_ms
  kCut,        // resets both sides after after_bytes in one direction
  kDrop,       // resets both sides without forwarding anything
  kBlackHole,  // discards data of a direction, stays connected
  kTruncate,   // closes the client side cleanly after after_bytes
  kRefuse,     // closes the listener while the rule is loaded
  kHang,       // new connections are never established while it is loaded
  kCross,      // swaps the responses of two connections
  kStale,      // repeats the previous response of the connection first
  kLoseAnswer, // forwards the request, then resets both sides
};

enum class Direction
{
  kBoth,
  kToTarget,
  kToClient
};

struct FaultRule
{
  Fault fault_ = Fault::kDelay;
  std::string match_; // substring of the first chunk; empty matches all
  double probability_ = 1.0;
  std::uint64_t skip_ = 0;           // matches to ignore first
  std::uint64_t count_ = UINT64_MAX; // maximum number of applications
  Direction direction_ = Direction::kToClient;
  std::uint64_t afterBytes_ = 0;
  std::chrono::milliseconds delay_{ 0 };
  std::chrono::milliseconds jitter_{ 0 };
  std::chrono::milliseconds hold_{ 200 }; // for a partner, or before the reset

  bool AppliesTo(Direction aDirection) const
  {
    return direction_ == Direction::kBoth || direction_ == aDirection;
  }
};

// An ordered list of rules. The first rule that matches a message and whose
// random draw succeeds applies.
class FaultScript
{
public:
  /// Replaces the rules.
  /// @param aRules an array of {"fault", "match", "probability", "skip",
  /// "count", "direction", "after_bytes", "delay_ms", "jitter_ms", "hold_ms"}
  /// @return false if a rule names an unknown fault; the previous rules then
  /// remain in effect
  bool Load(const nlohmann::json& aRules);

  /// Selects the fault for a message, if any.
  /// @param aFirstChunk the first bytes of the request
  /// @param aRandom the random number generator of the connection
  std::optional<FaultRule> SelectFault(std::string_view aFirstChunk,
                                       std::mt19937_64& aRandom);

  /// Returns whether a rule closes the listener.
  bool RefusesConnections() const { return Has(Fault::kRefuse); }

  /// Returns whether a rule lets new connections hang.
  bool HangsConnections() const { return Has(Fault::kHang); }

  /// Returns the number of applications by fault name.
  const std::map<std::string, std::uint64_t>& Hits() const { return hits_; }

private:
  bool Has(Fault aFault) const;

  struct Entry
  {
    FaultRule rule_;
    std::string name_;
    std::uint64_t matched_ = 0;
    std::uint64_t applied_ = 0;
  };

  std::vector<Entry> entries_;
  std::map<std::string, std::uint64_t> hits_;
};

} // namespace gooseberrylift::fakes

#endif // GOOSEBERRYLIFT_FAKES_GOOSEBERRYLIFT_FAKE_PROXY_SCRIPT_H_
