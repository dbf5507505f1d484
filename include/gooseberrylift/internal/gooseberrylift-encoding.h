// Digests and text encodings for what is kept in the store, over OpenSSL.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ENCODING_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ENCODING_H_

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrylift {

/// Encodes bytes as base64.
std::string EncodeBase64(std::string_view aBytes);

/// Decodes base64. @return nothing when the text is none
std::optional<std::string> DecodeBase64(std::string_view aText);

/// Compresses a text (zstd) and encodes it as base64.
std::string CompressToBase64(const std::string& aText);

/// Undoes CompressToBase64. @return nothing when the text is none of its
/// making, or larger than 256 MB
std::optional<std::string> DecompressFromBase64(const std::string& aText);

/// Digests several parts, each with its length, so that no two lists of parts
/// run into one text. The first 128 bits of SHA-256: callers choose the parts,
/// and must not be able to make two requests look alike.
/// @return 16 bytes
std::string ComputeDigest(std::initializer_list<std::string_view> aParts);

// Of a message authentication code: the first half of HMAC-SHA256.
inline constexpr std::size_t kMacBytes = 16;

/// Makes the code of bytes under a key.
/// @return kMacBytes bytes
std::string MacOf(std::string_view aKey, std::string_view aBytes);

/// Says whether a code is that of bytes under a key, in a time that tells
/// nothing of where it differs.
bool IsMacOf(std::string_view aKey,
             std::string_view aBytes,
             std::string_view aMac);

/// Makes a random identifier of 128 bits in base64.
std::string MakeNonce();

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ENCODING_H_
