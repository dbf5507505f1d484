// The bound on received bytes that can't be passed on yet, for the server and
// the client.

#ifndef GOOSEBERRYLIFT_NET_GOOSEBERRYLIFT_UNPARSED_LIMIT_H_
#define GOOSEBERRYLIFT_NET_GOOSEBERRYLIFT_UNPARSED_LIMIT_H_

#include <cstddef>

namespace gooseberrylift {

// A head, the line that begins a chunk, or trailers. The parser needs each of
// them whole and bounds only the head by itself.
inline constexpr std::size_t kMaxUnparsedBytes = 64 * 1024;

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_NET_GOOSEBERRYLIFT_UNPARSED_LIMIT_H_
