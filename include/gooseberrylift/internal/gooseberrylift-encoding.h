// Digests, message authentication codes and text encodings, based on OpenSSL
// and zstd.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ENCODING_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ENCODING_H_

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrylift {

/// Encodes bytes as base64.
std::string EncodeBase64(std::string_view aBytes);

/// Decodes base64.
/// @return nothing if the text is not valid base64
std::optional<std::string> DecodeBase64(std::string_view aText);

/// Compresses a text with zstd and encodes the result as base64.
std::string CompressToBase64(const std::string& aText);

/// Reverses CompressToBase64.
/// @return nothing if the input is malformed or the text is larger than 256 MB
std::optional<std::string> DecompressFromBase64(const std::string& aText);

/// Computes a digest of several parts. Each part is preceded by its length, so
/// that different lists of parts never yield the same input. The digest is the
/// first 128 bits of SHA-256: callers choose the parts, and must not be able to
/// find two requests with the same digest.
/// @return 16 bytes
std::string ComputeDigest(std::initializer_list<std::string_view> aParts);

// Size of a message authentication code, the first half of an HMAC-SHA256.
inline constexpr std::size_t kMacBytes = 16;

/// Computes the message authentication code of bytes under a key.
/// @return kMacBytes bytes
std::string ComputeMac(std::string_view aKey, std::string_view aBytes);

/// Returns whether a message authentication code is valid. Compares in constant
/// time, so that the time does not reveal where the codes differ.
bool VerifyMac(std::string_view aKey,
               std::string_view aBytes,
               std::string_view aMac);

/// Returns a random 128-bit identifier, encoded as base64.
std::string MakeNonce();

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ENCODING_H_
