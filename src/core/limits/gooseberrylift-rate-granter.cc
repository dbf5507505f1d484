#include "gooseberrylift/limits/gooseberrylift-rate-granter.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include <xxhash.h>

namespace gooseberrylift {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

std::uint64_t HashOf(const std::string& aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

} // namespace

RateVerdict RateGranter::Ask(const Incarnation& aEndpoint,
                             double aPerSecond,
                             std::size_t aGranters,
                             TimePoint aNow)
{
  const double rate =
    std::clamp(aPerSecond, options_.leastPerSecond_, options_.mostPerSecond_) /
    static_cast<double>(aGranters);
  const auto interval =
    duration_cast<TimePoint::duration>(std::chrono::duration<double>(1 / rate));
  TimePoint first = aNow + options_.settle_;
  if (aGranters > 1) {
    first += duration_cast<TimePoint::duration>(interval * options_.phase_);
  }
  Granted& granted =
    granted_
      .try_emplace(aEndpoint, Granted{ .next_ = first, .reserved_ = first })
      .first->second;
  granted.asked_ = aNow;
  if (aNow >= granted.next_) {
    const double cover =
      rate * std::chrono::duration<double>(options_.cover_).count();
    const int permits = std::max(static_cast<int>(std::floor(cover)), 1);
    // A host that asks a little late does not lower the rate. Hosts that
    // grant apart from each other could all be late in one moment.
    const TimePoint begins = aGranters > 1 ? aNow : aNow - interval;
    granted.next_ = std::max(granted.next_, begins) + permits * interval;
    return { .permits_ = permits };
  }
  granted.reserved_ = std::max(granted.reserved_, granted.next_);
  const TimePoint latest = aNow + options_.latest_;
  const TimePoint back = std::min(granted.reserved_, latest);
  if (granted.reserved_ < latest) {
    granted.reserved_ += interval;
  }
  return { .retryIn_ = std::max(std::chrono::ceil<milliseconds>(back - aNow),
                                options_.soonest_) };
}

void RateGranter::Sweep(TimePoint aNow)
{
  std::erase_if(granted_, [&](const auto& aGranted) {
    return aNow - aGranted.second.asked_ > options_.keep_;
  });
}

std::string GranterOf(const Incarnation& aEndpoint,
                      const std::vector<std::string>& aHosts)
{
  const std::uint64_t seed = HashOf(aEndpoint.id_, 0);
  const auto first =
    std::min_element(aHosts.begin(),
                     aHosts.end(),
                     [seed](const std::string& aOne, const std::string& aTwo) {
                       return std::pair(HashOf(aOne, seed), aOne) <
                              std::pair(HashOf(aTwo, seed), aTwo);
                     });
  return first == aHosts.end() ? std::string() : *first;
}

} // namespace gooseberrylift
