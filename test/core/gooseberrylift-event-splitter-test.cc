#include "gooseberrylift/streams/gooseberrylift-event-splitter.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;

namespace {

std::string EventText(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: piece\n\n";
}

} // namespace

TEST_GROUP(EventSplitterTest)
{
  EventSplitter splitter_;
};

TEST(EventSplitterTest, ReturnsAnEventOnlyOnceItIsComplete)
{
  const std::string text = EventText(1);
  splitter_.Feed(text.substr(0, text.size() - 1));
  CHECK_FALSE(splitter_.Next().has_value());
  CHECK_TRUE(splitter_.Pending() > 0);
  splitter_.Feed("\n");
  const auto event = splitter_.Next();
  STRCMP_EQUAL(text.c_str(), event->bytes_.c_str());
  LONGS_EQUAL(1, *event->id_);
  LONGS_EQUAL(0, splitter_.Pending());
}

TEST(EventSplitterTest, SplitsTheSameEventsForAnyChunkBoundary)
{
  const std::string text = EventText(1) + "data: no id\r\n\r\n" + EventText(2);
  for (std::size_t cut = 0; cut <= text.size(); ++cut) {
    EventSplitter splitter;
    std::string joined;
    int events = 0;
    for (const std::string& piece : { text.substr(0, cut), text.substr(cut) }) {
      splitter.Feed(piece);
      while (const auto event = splitter.Next()) {
        joined += event->bytes_;
        ++events;
      }
    }
    LONGS_EQUAL(3, events);
    STRCMP_EQUAL(text.c_str(), joined.c_str());
  }
}

TEST_GROUP(EventSequenceTest){};

// Guards against a corrupt stream after a change of engine. The caller has
// event 12; the second engine repeats an event that the first one sent, and a
// third skips one. Forwarding either would go unnoticed by the caller.
TEST(EventSequenceTest, DropsDuplicateEventsAndStopsAtAGap)
{
  EventSequence sequence(12);
  using enum EventSequence::Verdict;
  CHECK_TRUE(sequence.Take({ .bytes_ = {}, .id_ = 13 }) == kPass);
  CHECK_TRUE(sequence.Take({ .bytes_ = {}, .id_ = 13 }) == kDuplicate);
  CHECK_TRUE(sequence.Take({ .bytes_ = {}, .id_ = 14 }) == kPass);
  CHECK_TRUE(sequence.Take({ .bytes_ = {}, .id_ = 16 }) == kGap);
  LONGS_EQUAL(14, *sequence.Last());
}

TEST(EventSequenceTest, AcceptsAnyFirstId)
{
  EventSequence sequence(std::nullopt);
  CHECK_TRUE(sequence.Take({ .bytes_ = {}, .id_ = 5 }) ==
             EventSequence::Verdict::kPass);
  LONGS_EQUAL(5, *sequence.Last());
}
