#include "gooseberrylift/limits/gooseberrylift-request-features.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <cstdio>

#include <xxhash.h>

namespace gooseberrylift {

namespace {

constexpr std::string_view kPartPrefix = "part-";
// Marks an ID that is not a number and is replaced by its hash.
constexpr std::string_view kHashedPrefix = "part-x";

// Bounds what one request adds to the state of a host. A part beyond it is not
// observed.
constexpr std::size_t kMaxParts = 64;

std::string ToHex(std::uint64_t aNumber, const char* aFormat)
{
  std::array<char, 17> text{};
  std::snprintf(text.data(),
                text.size(),
                aFormat,
                static_cast<unsigned long long>(aNumber));
  return text.data();
}

} // namespace

std::string RequestFingerprint(std::string_view aTarget,
                               std::string_view aCaller,
                               std::string_view aBody)
{
  // The hash of each part seeds the next one, so that shifting bytes from one
  // part to the next changes the fingerprint.
  std::uint64_t hash = XXH3_64bits(aTarget.data(), aTarget.size());
  hash = XXH3_64bits_withSeed(aCaller.data(), aCaller.size(), hash);
  hash = XXH3_64bits_withSeed(aBody.data(), aBody.size(), hash);
  return ToHex(hash, "%016llx");
}

std::string PartFeature(std::string_view aPart)
{
  std::uint64_t number = 0;
  const auto [end, error] =
    std::from_chars(aPart.data(), aPart.data() + aPart.size(), number, 16);
  if (error == std::errc{} && end == aPart.data() + aPart.size()) {
    return std::string(kPartPrefix) + ToHex(number, "%llx");
  }
  return std::string(kHashedPrefix) +
         ToHex(XXH3_64bits(aPart.data(), aPart.size()), "%016llx");
}

bool IsPartFeature(std::string_view aFeature)
{
  return aFeature.starts_with(kPartPrefix);
}

std::vector<std::string> RequestFeatures::All() const
{
  std::vector<std::string> features = parts_;
  features.push_back(content_);
  return features;
}

RequestFeatures MakeRequestFeatures(std::string aFingerprint,
                                    const std::vector<std::string>& aParts)
{
  RequestFeatures features{ .content_ = std::move(aFingerprint) };
  for (std::size_t index = 0; index + 1 < aParts.size(); ++index) {
    if (features.parts_.size() >= kMaxParts) {
      break;
    }
    std::string part = PartFeature(aParts[index]);
    if (std::find(features.parts_.begin(), features.parts_.end(), part) ==
        features.parts_.end()) {
      features.parts_.push_back(std::move(part));
    }
  }
  return features;
}

} // namespace gooseberrylift
