#include "gooseberrylift/routing/gooseberrylift-fleet-order.h"

#include <algorithm>

#include <xxhash.h>

namespace gooseberrylift {

namespace {

std::uint64_t HashOf(const std::string& aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

using Iterator = std::vector<ListedEndpoint>::iterator;

void SortByHash(Iterator aBegin, Iterator aEnd, std::uint64_t aSeed)
{
  std::sort(aBegin,
            aEnd,
            [aSeed](const ListedEndpoint& aOne, const ListedEndpoint& aTwo) {
              return HashOf(aOne.id_, aSeed) < HashOf(aTwo.id_, aSeed);
            });
}

} // namespace

std::vector<ListedEndpoint> OrderForHost(std::vector<ListedEndpoint> aEndpoints,
                                         const std::string& aHost,
                                         FleetOrderOptions aOptions)
{
  SortByHash(aEndpoints.begin(), aEndpoints.end(), 0);
  const std::uint64_t own = HashOf(aHost, 0);
  const std::size_t block = std::max<std::size_t>(aOptions.block_, 1);
  for (std::size_t begin = 0; begin < aEndpoints.size(); begin += block) {
    const std::size_t end = std::min(begin + block, aEndpoints.size());
    SortByHash(aEndpoints.begin() + static_cast<std::ptrdiff_t>(begin),
               aEndpoints.begin() + static_cast<std::ptrdiff_t>(end),
               own);
  }
  return aEndpoints;
}

std::vector<ListedEndpoint> ShuffleEndpoints(
  std::vector<ListedEndpoint> aEndpoints,
  std::uint64_t aRandom)
{
  SortByHash(aEndpoints.begin(), aEndpoints.end(), aRandom);
  return aEndpoints;
}

} // namespace gooseberrylift
