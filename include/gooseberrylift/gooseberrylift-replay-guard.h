// Detects replay of signed messages.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_REPLAY_GUARD_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_REPLAY_GUARD_H_

#include <chrono>
#include <map>
#include <set>
#include <string>

namespace gooseberrylift {

// Each message carries its send time and a nonce. Messages older than the
// window are rejected by their time, and replays within it by their nonce.
// Nonces are therefore kept for two windows only, and memory is bounded by the
// message rate. The clocks of hosts must differ by less than the window.
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

  /// Checks a message and stores its nonce.
  /// @return false if the message is too old, from the future or a replay
  bool Accept(const std::string& aNonce, Time aSent, Time aNow);

  /// Returns the number of stored nonces.
  std::size_t Size() const { return nonces_.size(); }

private:
  Options options_;
  std::set<std::string> nonces_;
  std::multimap<Time, std::string> noncesBySentTime_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_REPLAY_GUARD_H_
