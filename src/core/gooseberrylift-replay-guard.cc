#include "gooseberrylift/gooseberrylift-replay-guard.h"

namespace gooseberrylift {

ReplayGuard::ReplayGuard(Options aOptions)
  : options_(aOptions)
{
}

bool ReplayGuard::Accept(const std::string& aNonce, Time aSent, Time aNow)
{
  while (!bySent_.empty() &&
         bySent_.begin()->first < aNow - 2 * options_.window_) {
    seen_.erase(bySent_.begin()->second);
    bySent_.erase(bySent_.begin());
  }
  if (aSent < aNow - options_.window_ || aSent > aNow + options_.window_) {
    return false;
  }
  if (!seen_.insert(aNonce).second) {
    return false;
  }
  bySent_.emplace(aSent, aNonce);
  return true;
}

} // namespace gooseberrylift
