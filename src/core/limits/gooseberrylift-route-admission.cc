#include "gooseberrylift/limits/gooseberrylift-route-admission.h"

#include <algorithm>

namespace gooseberrylift {

using std::chrono::milliseconds;

namespace {

// The share of the available time that a prediction may use. Predictions of the
// first token are off by a quarter at times, and one that barely fits leaves no
// time for the rest of the response.
constexpr double kUsableShare = 0.8;
// The share of the usable time that kept prefill may take up. A request that is
// served soon enough to bear more is not rejected for callers who may not
// return.
constexpr double kMaxKeptShare = 0.5;
// One or two batch steps of an engine.
constexpr milliseconds kMinRetryDelay{ 100 };
// Callers retry after at most a third of their remaining time.
constexpr int kMaxRetryDivisor = 3;

// Returns the time that the prediction of a request is longer for the sake of
// others.
milliseconds KeptTime(const AdmissionInput& aInput, milliseconds aUsable)
{
  const auto most = std::chrono::duration_cast<milliseconds>(
    std::chrono::duration<double, std::milli>(aUsable) * kMaxKeptShare);
  // A request that came before its time yields in any case, so that it is no
  // advantage to try often.
  if (aInput.predicted_ + aInput.held_ <= aInput.objective_ &&
      !aInput.returnedEarly_) {
    return milliseconds(0);
  }
  return std::clamp(std::chrono::duration_cast<milliseconds>(aInput.kept_),
                    milliseconds(0),
                    std::max(most, milliseconds(0)));
}

} // namespace

std::optional<milliseconds> RetryDelayIfRefused(const AdmissionInput& aInput)
{
  const milliseconds available =
    std::min(aInput.remaining_, aInput.callerStallTimeout_);
  // A request that was held is admitted as long as it can complete in time at
  // all: for its caller that is better than a rejection after a wait.
  const auto usable = std::min(
    std::chrono::duration_cast<milliseconds>(
      std::chrono::duration<double, std::milli>(available) * kUsableShare),
    aInput.callerStallTimeout_ - aInput.held_);
  const auto predicted =
    std::chrono::duration_cast<milliseconds>(aInput.predicted_);
  if (predicted + KeptTime(aInput, usable) <= usable) {
    return std::nullopt;
  }
  const milliseconds excess = std::max(predicted - usable, kMinRetryDelay);
  const milliseconds spread(aInput.draw_ %
                            static_cast<std::uint64_t>(excess.count()));
  return std::min(excess + spread, MaxRetryDelay(aInput.remaining_));
}

milliseconds MaxRetryDelay(milliseconds aRemaining)
{
  return std::max(aRemaining / kMaxRetryDivisor, kMinRetryDelay);
}

} // namespace gooseberrylift
