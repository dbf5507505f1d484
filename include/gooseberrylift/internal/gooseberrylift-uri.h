// Percent-encoding of texts in request targets (RFC 3986).

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_URI_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_URI_H_

#include <optional>
#include <string>
#include <string_view>

namespace gooseberrylift {

/// Returns whether a text consists of unreserved characters only (RFC 3986,
/// 2.3): ASCII letters and digits, '-', '.', '_' and '~'. It is the same with
/// and without percent-encoding. True for an empty text.
bool IsUnreserved(std::string_view aText);

/// Percent-encodes all but the unreserved characters of a text, which may hold
/// any bytes. The result may be a path segment, or the name or value of a query
/// parameter.
std::string EncodeUriComponent(std::string_view aText);

/// Undoes percent-encoding. A '+' stands for itself.
/// @return the bytes; nothing if a '%' is not followed by two hexadecimal
/// digits
std::optional<std::string> DecodeUriComponent(std::string_view aText);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_URI_H_
