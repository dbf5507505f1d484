#include "gooseberrylift/limits/gooseberrylift-endpoint-backoffs.h"

namespace gooseberrylift {

using std::chrono::milliseconds;

bool EndpointBackoffs::OnRequested(const Incarnation& aEndpoint,
                                   milliseconds aDuration,
                                   TimePoint aNow)
{
  const TimePoint end = aNow + aDuration;
  const auto [backoff, began] = ends_.try_emplace(aEndpoint, end);
  if (began) {
    return true;
  }
  const bool longer = end > backoff->second;
  if (longer) {
    backoff->second = end;
  }
  return longer;
}

std::optional<milliseconds> EndpointBackoffs::Remaining(
  const Incarnation& aEndpoint,
  TimePoint aNow) const
{
  const auto backoff = ends_.find(aEndpoint);
  if (backoff == ends_.end() || aNow >= backoff->second) {
    return std::nullopt;
  }
  return std::chrono::ceil<milliseconds>(backoff->second - aNow);
}

std::vector<Incarnation> EndpointBackoffs::Sweep(TimePoint aNow)
{
  std::vector<Incarnation> ended;
  std::erase_if(ends_, [&](const auto& aBackoff) {
    if (aNow < aBackoff.second) {
      return false;
    }
    ended.push_back(aBackoff.first);
    return true;
  });
  return ended;
}

} // namespace gooseberrylift
