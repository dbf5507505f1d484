#include "gooseberrylift/gooseberrylift-sse.h"

namespace gooseberrylift {

std::optional<std::string> SseParser::Next()
{
  constexpr std::string_view kEventSeparator = "\n\n";
  constexpr std::string_view kDataField = "data:";
  while (true) {
    const std::size_t end = text_.find(kEventSeparator, position_);
    if (end == std::string::npos) {
      text_.erase(0, position_);
      position_ = 0;
      return std::nullopt;
    }
    std::string_view event(text_.data() + position_, end - position_);
    position_ = end + kEventSeparator.size();
    if (event.starts_with(kDataField)) {
      event.remove_prefix(kDataField.size());
      event.remove_prefix(event.starts_with(' ') ? 1 : 0);
      return std::string(event);
    }
  }
}

} // namespace gooseberrylift
