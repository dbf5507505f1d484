// A minimal parser for server-sent events, for which Debian packages no
// library. It supports only what is needed here: an empty line ends an event,
// and its payload follows "data:".

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_SSE_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_SSE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrylift {

// Incremental parser for an event stream:
//
//   SseParser parser;
//   parser.Feed(chunk);
//   while (const auto data = parser.Next()) ...
class SseParser
{
public:
  /// Appends a part of the response body.
  void Feed(std::string_view aPiece) { text_ += aPiece; }

  /// Returns the data of the next complete event, or std::nullopt if there is
  /// none yet. Skips events that do not start with "data:".
  std::optional<std::string> Next();

  /// Returns the number of bytes that have not been returned.
  std::size_t Pending() const { return text_.size() - position_; }

private:
  std::string text_;
  std::size_t position_ = 0;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_SSE_H_
