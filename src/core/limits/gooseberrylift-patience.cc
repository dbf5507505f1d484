#include "gooseberrylift/limits/gooseberrylift-patience.h"

#include <algorithm>

namespace gooseberrylift {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kCallerLeast{ 2'000 };
constexpr int kCallerObjectives = 4;
constexpr int kCallerGaps = 8;

// A plain service answers most calls in a fifth of its objective and all but
// the slowest within it; four objectives of silence are a hang.
constexpr int kPlainObjectives = 4;

} // namespace

milliseconds CallerPatience(const Route& aRoute)
{
  if (aRoute.kind_ != RouteKind::kStreaming) {
    return aRoute.timeout_;
  }
  return std::max({ kCallerLeast,
                    aRoute.objective_ * kCallerObjectives,
                    aRoute.maxGap_ * kCallerGaps });
}

milliseconds SilenceLimit(const Route& aRoute)
{
  if (aRoute.kind_ != RouteKind::kStreaming) {
    return std::min(aRoute.timeout_, aRoute.objective_ * kPlainObjectives);
  }
  return CallerPatience(aRoute) / 2;
}

} // namespace gooseberrylift
