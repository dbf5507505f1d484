// The script of the fault-injecting proxy: which fault meets which message of
// which connection. No I/O; every choice follows from the seed.

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

// What happens to one message, that is a request and all of its answer.
enum class Fault
{
  kDelay,      // each piece waits delay_ms and up to jitter_ms more
  kCut,        // both sides are reset after after_bytes of a direction
  kDrop,       // both sides are reset, nothing is passed on
  kBlackHole,  // pieces of a direction vanish, the connection stays
  kTruncate,   // the client sees a proper close after after_bytes
  kRefuse,     // nothing listens while the rule is in force
  kCross,      // answers of two connections are swapped
  kStale,      // the connection's last answer comes once more, before this one
  kLoseAnswer, // the request goes through, then the connection is reset
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
  std::string match_; // a text of the request's first piece; empty for all
  double probability_ = 1.0;
  std::uint64_t skip_ = 0;           // matching messages left alone first
  std::uint64_t count_ = UINT64_MAX; // how often at most
  Direction direction_ = Direction::kToClient;
  std::uint64_t afterBytes_ = 0;
  std::chrono::milliseconds delay_{ 0 };
  std::chrono::milliseconds jitter_{ 0 };
  std::chrono::milliseconds hold_{ 200 }; // wait for a partner or the answer

  bool Concerns(Direction aDirection) const
  {
    return direction_ == Direction::kBoth || direction_ == aDirection;
  }
};

// Rules in their order; the first that matches a message and whose draw
// succeeds applies.
class FaultScript
{
public:
  /// Replaces the rules.
  /// @param aRules an array of {"fault", "match", "probability", "skip",
  /// "count", "direction", "after_bytes", "delay_ms", "jitter_ms", "hold_ms"}
  /// @return false when a rule names no known fault; the old ones then stay
  bool Load(const nlohmann::json& aRules);

  /// Chooses what happens to a message.
  /// @param aFirstPiece the request's first bytes
  /// @param aRandom the connection's generator
  std::optional<FaultRule> Choose(std::string_view aFirstPiece,
                                  std::mt19937_64& aRandom);

  /// Says whether a rule closes the listener.
  bool Refuses() const;

  /// Gives how often each fault was applied, by its name.
  const std::map<std::string, std::uint64_t>& Hits() const { return hits_; }

private:
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
