// Splits the bytes of an event stream into whole events with their ids, so
// that a stream that breaks off in the middle of an event can be continued
// elsewhere without a torn, missing or repeated piece.

#ifndef GOOSEBERRYLIFT_STREAMS_GOOSEBERRYLIFT_EVENT_SPLITTER_H_
#define GOOSEBERRYLIFT_STREAMS_GOOSEBERRYLIFT_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrylift {

// One event as it came, with the empty line that ends it.
struct StreamEvent
{
  std::string bytes_;
  std::optional<std::uint64_t> id_; // none when it has no numeric id
};

// Takes pieces as they come and gives whole events:
//
//   EventSplitter splitter;
//   splitter.Feed(piece);
//   while (auto event = splitter.Next()) ...
class EventSplitter
{
public:
  /// Adds bytes of the body.
  void Feed(std::string_view aPiece) { text_ += aPiece; }

  /// Gives the next whole event; nothing while it is incomplete.
  std::optional<StreamEvent> Next();

  /// Gives the bytes of an event that is not whole yet.
  std::size_t Pending() const { return text_.size() - begin_; }

private:
  std::string text_;
  std::size_t begin_ = 0;
};

// Checks that the events of one answer follow each other, whichever engines
// they come from. The ids of a stream rise by one. Not thread-safe.
class EventSequence
{
public:
  // What is to be done with an event.
  enum class Verdict
  {
    kPass,
    kRepeated, // was passed on already: leave it out
    kBroken    // one before it is missing: the stream can't go on
  };

  /// Begins after the event that the caller has already.
  explicit EventSequence(std::optional<std::uint64_t> aLastId)
    : last_(aLastId)
  {
  }

  /// Judges the next event; one that passes becomes the last.
  Verdict Take(const StreamEvent& aEvent);

  /// Gives the id of the last event that passed; nothing before the first.
  std::optional<std::uint64_t> Last() const { return last_; }

private:
  std::optional<std::uint64_t> last_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_STREAMS_GOOSEBERRYLIFT_EVENT_SPLITTER_H_
