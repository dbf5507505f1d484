#include "gooseberrylift/gooseberrylift-sse.h"

namespace gooseberrylift {

std::optional<std::string> SseReader::Next()
{
  constexpr std::string_view kEnd = "\n\n";
  constexpr std::string_view kData = "data:";
  while (true) {
    const std::size_t end = text_.find(kEnd, begin_);
    if (end == std::string::npos) {
      text_.erase(0, begin_);
      begin_ = 0;
      return std::nullopt;
    }
    std::string_view event(text_.data() + begin_, end - begin_);
    begin_ = end + kEnd.size();
    if (event.starts_with(kData)) {
      event.remove_prefix(kData.size());
      event.remove_prefix(event.starts_with(' ') ? 1 : 0);
      return std::string(event);
    }
  }
}

} // namespace gooseberrylift
