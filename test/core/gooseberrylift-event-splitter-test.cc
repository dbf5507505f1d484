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

TEST(EventSplitterTest, GivesAnEventOnlyOnceItIsWhole)
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

TEST(EventSplitterTest, SplitsAnyCutOfTheBytesAlike)
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

// The caller has event 12 and goes on; the second engine repeats one that the
// first had sent, and a third leaves one out. Passed on, either would be joined
// to the stream unseen.
TEST(EventSequenceTest, LeavesOutRepeatedEventsAndStopsAtAMissingOne)
{
  EventSequence sequence(12);
  using enum EventSequence::Verdict;
  CHECK_TRUE(sequence.Take({ .bytes_ = {}, .id_ = 13 }) == kPass);
  CHECK_TRUE(sequence.Take({ .bytes_ = {}, .id_ = 13 }) == kRepeated);
  CHECK_TRUE(sequence.Take({ .bytes_ = {}, .id_ = 14 }) == kPass);
  CHECK_TRUE(sequence.Take({ .bytes_ = {}, .id_ = 16 }) == kBroken);
  LONGS_EQUAL(14, *sequence.Last());
}

TEST(EventSequenceTest, TakesTheFirstIdAsItComes)
{
  EventSequence sequence(std::nullopt);
  CHECK_TRUE(sequence.Take({ .bytes_ = {}, .id_ = 5 }) ==
             EventSequence::Verdict::kPass);
  LONGS_EQUAL(5, *sequence.Last());
}
