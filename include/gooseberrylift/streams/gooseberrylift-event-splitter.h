// Splits an event stream into complete events and their ids, so that a stream
// that breaks off within an event can be continued from another engine without
// a truncated, missing or repeated event.

#ifndef GOOSEBERRYLIFT_STREAMS_GOOSEBERRYLIFT_EVENT_SPLITTER_H_
#define GOOSEBERRYLIFT_STREAMS_GOOSEBERRYLIFT_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrylift {

// One event as received, with the empty line that ends it.
struct StreamEvent
{
  std::string bytes_;
  std::optional<std::uint64_t> id_; // absent if it has no numeric id
};

// Assembles complete events from chunks of any size:
//
//   EventSplitter splitter;
//   splitter.Feed(chunk);
//   while (auto event = splitter.Next()) ...
class EventSplitter
{
public:
  /// Appends bytes of the body.
  void Feed(std::string_view aBytes) { buffer_ += aBytes; }

  /// Returns the next complete event; nothing if there is none yet.
  std::optional<StreamEvent> Next();

  /// Returns the number of events returned so far.
  std::size_t Returned() const { return returned_; }

  /// Returns the number of buffered bytes that are not yet returned as events.
  std::size_t Pending() const { return buffer_.size() - begin_; }

private:
  std::string buffer_;
  std::size_t begin_ = 0;
  std::size_t returned_ = 0;
};

// Checks that the event ids of one response are consecutive, whichever engines
// the events come from. Not thread-safe.
class EventSequence
{
public:
  // How to handle an event.
  enum class Verdict
  {
    kPass,
    kDuplicate, // already forwarded: drop it
    kGap        // an earlier event is missing: abort the stream
  };

  /// Starts after the last event that the caller has received.
  explicit EventSequence(std::optional<std::uint64_t> aLastId)
    : last_(aLastId)
  {
  }

  /// Checks the next event; one that passes becomes the last.
  Verdict Take(const StreamEvent& aEvent);

  /// Returns the id of the last event that passed; nothing before the first.
  std::optional<std::uint64_t> Last() const { return last_; }

private:
  std::optional<std::uint64_t> last_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_STREAMS_GOOSEBERRYLIFT_EVENT_SPLITTER_H_
