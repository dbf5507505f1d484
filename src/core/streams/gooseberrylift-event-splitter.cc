#include "gooseberrylift/streams/gooseberrylift-event-splitter.h"

#include <charconv>

namespace gooseberrylift {

namespace {

// Parses the number in the "id: N" line of an event.
std::optional<std::uint64_t> ParseEventId(std::string_view aEvent)
{
  constexpr std::string_view kField = "id:";
  while (!aEvent.empty()) {
    const std::size_t end = aEvent.find('\n');
    std::string_view line = aEvent.substr(0, end);
    aEvent.remove_prefix(end == std::string_view::npos ? aEvent.size()
                                                       : end + 1);
    if (!line.starts_with(kField)) {
      continue;
    }
    line.remove_prefix(kField.size());
    while (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    std::uint64_t id = 0;
    const auto [rest, error] =
      std::from_chars(line.data(), line.data() + line.size(), id);
    if (error == std::errc{}) {
      return id;
    }
    return std::nullopt;
  }
  return std::nullopt;
}

} // namespace

std::optional<StreamEvent> EventSplitter::Next()
{
  // An event ends with an empty line; its lines end with LF or CR LF.
  const std::size_t lfEnd = buffer_.find("\n\n", begin_);
  const std::size_t crlfEnd = buffer_.find("\n\r\n", begin_);
  const std::size_t end = std::min(lfEnd, crlfEnd);
  if (end == std::string::npos) {
    buffer_.erase(0, begin_);
    begin_ = 0;
    return std::nullopt;
  }
  const std::size_t after = end + (end == lfEnd ? 2 : 3);
  StreamEvent event{ .bytes_ = buffer_.substr(begin_, after - begin_),
                     .id_ = std::nullopt };
  event.id_ = ParseEventId(event.bytes_);
  begin_ = after;
  ++returned_;
  return event;
}

EventSequence::Verdict EventSequence::Take(const StreamEvent& aEvent)
{
  if (!aEvent.id_) {
    return Verdict::kPass;
  }
  if (last_ && *aEvent.id_ <= *last_) {
    return Verdict::kDuplicate;
  }
  if (last_ && *aEvent.id_ != *last_ + 1) {
    return Verdict::kGap;
  }
  last_ = aEvent.id_;
  return Verdict::kPass;
}

} // namespace gooseberrylift
