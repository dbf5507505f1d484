// How far an endpoint has come with the answer to one attempt.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_ANSWER_PROGRESS_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_ANSWER_PROGRESS_H_

#include <algorithm>
#include <chrono>
#include <optional>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// A request that crashes endpoints does so when they begin to write its answer.
class AnswerProgress
{
public:
  // A crash follows the begin of the answer within 0.1 s; hosts that are short
  // of processor time read what was sent before it some time later.
  static constexpr std::chrono::milliseconds kSoundAfter{ 400 };

  // Data may have been sent this long before it is read.
  static constexpr std::chrono::milliseconds kReadLag{ 30 };

  /// Records that the endpoint accepted a new connection for the request.
  void OnConnected(TimePoint aNow) { connectedAt_ = aNow; }

  /// Records that the request is about to be written. A connection that is used
  /// again may have ended without notice.
  void OnSent(TimePoint aNow) { sentAt_ = aNow; }

  /// Records that a part of the answer was received.
  /// @return whether this shows for the first time that the request does not
  /// crash its endpoint
  bool OnData(TimePoint aNow)
  {
    begunAt_ = begunAt_.value_or(aNow);
    lastDataAt_ = aNow;
    const bool wasSound = isSound_;
    isSound_ = isSound_ || aNow - *begunAt_ >= kSoundAfter;
    return isSound_ && !wasSound;
  }

  /// Returns whether the answer had just begun when the connection broke, or
  /// may have.
  /// @param aMinPrefill the endpoint needs at least this long before it begins
  bool JustBegun(TimePoint aNow, std::chrono::microseconds aMinPrefill) const
  {
    return begunAt_ ? !isSound_ : aNow - sentAt_ >= aMinPrefill;
  }

  /// Returns when the endpoint was last known to run.
  /// @return the epoch if it is not known
  TimePoint AliveAt() const
  {
    return begunAt_ ? std::max(connectedAt_, lastDataAt_ - kReadLag)
                    : connectedAt_;
  }

  TimePoint connectedAt_{};
  TimePoint sentAt_{};
  std::optional<TimePoint> begunAt_{};
  TimePoint lastDataAt_{};
  bool isSound_ = false;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_ANSWER_PROGRESS_H_
