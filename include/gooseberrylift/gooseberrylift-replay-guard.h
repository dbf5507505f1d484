// Refuses a signed message that was recorded and is sent again.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_REPLAY_GUARD_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_REPLAY_GUARD_H_

#include <chrono>
#include <map>
#include <set>
#include <string>

namespace gooseberrylift {

// A message names when it was sent and a number used once. One older than the
// window is refused by its time, a younger one by its number; so numbers need
// only be kept for two windows, and memory is bounded by the rate of messages.
// Hosts' clocks may differ by less than the window.
//
// Not thread-safe:
//
//   ReplayGuard guard({});
//   if (!guard.Accept(nonce, sentAt, now)) refuse
class ReplayGuard
{
public:
  using Time = std::chrono::system_clock::time_point;

  struct Options
  {
    std::chrono::milliseconds window_{ 30'000 };
  };

  explicit ReplayGuard(Options aOptions);

  /// Judges one message and remembers its number.
  /// @return false when the message is old, from the future or seen before
  bool Accept(const std::string& aNonce, Time aSent, Time aNow);

  /// Gives how many numbers are remembered.
  std::size_t Size() const { return seen_.size(); }

private:
  Options options_;
  std::set<std::string> seen_;
  std::multimap<Time, std::string> bySent_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_REPLAY_GUARD_H_
