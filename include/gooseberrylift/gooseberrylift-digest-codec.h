// Converts digests to and from the JSON that hosts exchange.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_DIGEST_CODEC_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_DIGEST_CODEC_H_

#include <nlohmann/json.hpp>

#include "gooseberrylift/gooseberrylift-digest.h"

namespace gooseberrylift {

/// Serializes a digest. Field names are short and empty fields are omitted,
/// because each host sends several digests per second within a fixed byte
/// budget.
nlohmann::json DigestToJson(const Digest& aDigest);

/// Parses a digest. Ignores unknown fields and keeps the defaults of missing
/// ones, so that hosts of different versions can exchange digests.
/// @return the digest; its host_ is empty if the document is malformed
Digest DigestFromJson(const nlohmann::json& aDocument);

/// Serializes the rate limits of endpoints.
nlohmann::json EndpointRatesToJson(const std::vector<EndpointRate>& aRates);

/// Parses the rate limits of endpoints.
/// @throws nlohmann::json::exception if the list is malformed
std::vector<EndpointRate> EndpointRatesFromJson(const nlohmann::json& aList);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_DIGEST_CODEC_H_
