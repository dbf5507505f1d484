#include "gooseberrylift/routing/gooseberrylift-priority-class.h"

#include <algorithm>

namespace gooseberrylift {

namespace {

// The ten classes are split evenly between requests in time and deferred ones.
// Five each are enough: operators use two or three priorities.
constexpr int kClassesPerHalf = 5;

} // namespace

int PriorityClassOf(int aPriority, bool aDeferred)
{
  const int priorityClass = std::clamp(aPriority, 0, kClassesPerHalf - 1);
  return aDeferred ? priorityClass + kClassesPerHalf : priorityClass;
}

} // namespace gooseberrylift
