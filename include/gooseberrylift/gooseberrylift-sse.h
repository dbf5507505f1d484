// Splits the body of a server-sent event stream into its events. Debian has no
// library for it; the format's only rule needed here is that an empty line ends
// an event and "data:" begins its text.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_SSE_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_SSE_H_

#include <optional>
#include <string>
#include <string_view>

namespace gooseberrylift {

// Takes pieces as they come and gives whole events:
//
//   SseReader reader;
//   reader.Feed(piece);
//   while (const auto data = reader.Next()) ...
class SseReader
{
public:
  /// Adds bytes of the body.
  void Feed(std::string_view aPiece) { text_ += aPiece; }

  /// Gives the data of the next whole event; nothing while it is incomplete.
  std::optional<std::string> Next();

private:
  std::string text_;
  std::size_t begin_ = 0;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_SSE_H_
