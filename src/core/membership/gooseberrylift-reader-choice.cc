#include "gooseberrylift/membership/gooseberrylift-reader-choice.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include <xxhash.h>

namespace gooseberrylift {

ReaderChoice ChooseReaders(const std::string& aSelf,
                           const std::vector<std::string>& aOthers,
                           const ReaderOptions& aOptions)
{
  if (aOthers.size() + 1 <= aOptions.smallZone_) {
    return {};
  }
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  ranked.reserve(aOthers.size() + 1);
  ranked.emplace_back(XXH3_64bits(aSelf.data(), aSelf.size()), aSelf);
  for (const std::string& other : aOthers) {
    ranked.emplace_back(XXH3_64bits(other.data(), other.size()), other);
  }
  std::sort(ranked.begin(), ranked.end());
  ranked.resize(std::min(ranked.size(), aOptions.perZone_));
  ReaderChoice choice{ .reads_ = false };
  for (auto& [rank, name] : ranked) {
    if (name == aSelf) {
      choice.reads_ = true;
    } else {
      choice.readers_.push_back(std::move(name));
    }
  }
  return choice;
}

} // namespace gooseberrylift
