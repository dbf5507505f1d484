#include "gooseberrylift/limits/gooseberrylift-route-admission.h"

#include <algorithm>

namespace gooseberrylift {

using std::chrono::milliseconds;

namespace {

// The part of the time at hand that a prediction may take: predictions of the
// first answer are off by a quarter at times, and one that fits in barely
// leaves no time for the rest of the answer.
constexpr double kUsable = 0.8;
constexpr milliseconds kSoonest{ 100 }; // a pass or two of an engine
// Callers come back after at most a third of the time they have left.
constexpr int kLatestPart = 3;

} // namespace

std::optional<milliseconds> RefuseFor(const AdmissionQuestion& aQuestion)
{
  const milliseconds atHand =
    std::min(aQuestion.remaining_, aQuestion.patience_);
  // One that was held is tried as long as it may come in time at all: to its
  // caller that is better than a refusal after a wait.
  const auto usable =
    std::min(std::chrono::duration_cast<milliseconds>(
               std::chrono::duration<double, std::milli>(atHand) * kUsable),
             aQuestion.patience_ - aQuestion.held_);
  const auto predicted =
    std::chrono::duration_cast<milliseconds>(aQuestion.predicted_);
  if (predicted <= usable) {
    return std::nullopt;
  }
  const milliseconds excess = std::max(predicted - usable, kSoonest);
  const milliseconds spread(aQuestion.draw_ %
                            static_cast<std::uint64_t>(excess.count()));
  return std::min(excess + spread, LatestReturnOf(aQuestion.remaining_));
}

milliseconds LatestReturnOf(milliseconds aRemaining)
{
  return std::max(aRemaining / kLatestPart, kSoonest);
}

} // namespace gooseberrylift
