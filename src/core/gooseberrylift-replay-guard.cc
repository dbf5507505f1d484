#include "gooseberrylift/gooseberrylift-replay-guard.h"

namespace gooseberrylift {

ReplayGuard::ReplayGuard(Options aOptions)
  : options_(aOptions)
{
}

bool ReplayGuard::Accept(const std::string& aNonce, Time aSent, Time aNow)
{
  while (!noncesBySentTime_.empty() &&
         noncesBySentTime_.begin()->first < aNow - 2 * options_.window_) {
    nonces_.erase(noncesBySentTime_.begin()->second);
    noncesBySentTime_.erase(noncesBySentTime_.begin());
  }
  if (aSent < aNow - options_.window_ || aSent > aNow + options_.window_) {
    return false;
  }
  if (!nonces_.insert(aNonce).second) {
    return false;
  }
  noncesBySentTime_.emplace(aSent, aNonce);
  return true;
}

} // namespace gooseberrylift
