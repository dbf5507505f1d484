// What requests may have in common that crashes the endpoints that run them.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_REQUEST_FEATURES_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_REQUEST_FEATURES_H_

#include <string>
#include <string_view>
#include <vector>

namespace gooseberrylift {

/// Returns a hash of a request that is the same for each of its retries, as 16
/// hexadecimal digits.
std::string RequestFingerprint(std::string_view aTarget,
                               std::string_view aCaller,
                               std::string_view aBody);

/// Returns the name of a prompt part as a feature. It never equals a
/// fingerprint.
/// @param aPart the part's ID as the caller wrote it
std::string PartFeature(std::string_view aPart);

/// Returns whether a feature is a prompt part.
bool IsPartFeature(std::string_view aFeature);

// The features of one request.
struct RequestFeatures
{
  std::string content_;            // its fingerprint
  std::vector<std::string> parts_; // that it shares with other requests

  /// Returns the parts and the content.
  std::vector<std::string> All() const;

  bool operator==(const RequestFeatures&) const = default;
};

/// Collects the features of a request.
/// @param aParts the IDs of its prompt's parts in order. The last one is left
/// out, because it belongs to this request alone; so are repeated ones and
/// those beyond the maximum.
RequestFeatures MakeRequestFeatures(std::string aFingerprint,
                                    const std::vector<std::string>& aParts);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_REQUEST_FEATURES_H_
