#include "gooseberrylift/routing/gooseberrylift-urgency.h"

#include <algorithm>

namespace gooseberrylift {

namespace {

// Half of the ten classes is for each; operators use two or three priorities.
constexpr int kClasses = 5;

} // namespace

int UrgencyOf(int aPriority, bool aDeferred)
{
  const int urgency = std::clamp(aPriority, 0, kClasses - 1);
  return aDeferred ? urgency + kClasses : urgency;
}

} // namespace gooseberrylift
