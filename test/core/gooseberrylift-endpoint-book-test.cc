#include "gooseberrylift/gooseberrylift-endpoint-book.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;

namespace {

EndpointView Listed(const char* aName,
                    std::uint64_t aIncarnation,
                    EndpointState aState = EndpointState::kLive)
{
  return { .name_ = aName, .state_ = aState, .incarnation_ = aIncarnation };
}

} // namespace

TEST_GROUP(EndpointBookTest)
{
  EndpointBook book_{ EndpointBook::Options{} };
  TimePoint now_{};

  EndpointState StateOf(const std::string& aName)
  {
    for (const EndpointView& view : book_.Views()) {
      if (view.name_ == aName) {
        return view.state_;
      }
    }
    FAIL("the endpoint is not in the book");
    return EndpointState::kDead;
  }
};

// The list lags, so it may show an endpoint as live again after it said that
// it leaves. If that brought it back, new work would go to it and be cut.
TEST(EndpointBookTest, KeepsAnIncarnationLeavingWhenTheListLags)
{
  book_.OnList({ Listed("e", 1) }, now_);
  book_.OnReport("e", { .leaving_ = true, .incarnation_ = 1 }, now_);
  book_.OnList({ Listed("e", 1) }, now_);
  book_.OnReport("e", { .leaving_ = false, .incarnation_ = 1 }, now_);
  CHECK(StateOf("e") == EndpointState::kLeaving);
}

TEST(EndpointBookTest, TakesANewIncarnationAsLive)
{
  book_.OnList({ Listed("e", 1, EndpointState::kLeaving) }, now_);
  book_.OnList({ Listed("e", 2) }, now_);
  CHECK(StateOf("e") == EndpointState::kLive);
}

TEST(EndpointBookTest, DeclaresDeadAfterThreeFailuresInARow)
{
  book_.OnList({ Listed("e", 1) }, now_);
  book_.OnFailure("e", now_);
  book_.OnFailure("e", now_);
  CHECK(StateOf("e") == EndpointState::kLive);
  CHECK_TRUE(book_.OnFailure("e", now_));
  CHECK(StateOf("e") == EndpointState::kDead);
  book_.OnReport("e", { .incarnation_ = 1 }, now_);
  CHECK(StateOf("e") == EndpointState::kLive);
}

// The host list answers, but with nothing in it. If that emptied the pool,
// every request would be refused until the list recovered.
TEST(EndpointBookTest, KeepsItsEndpointsWhenTheListComesEmpty)
{
  book_.OnList({ Listed("e", 1) }, now_);
  CHECK_FALSE(book_.OnList({}, now_));
  LONGS_EQUAL(1, book_.Views().size());
}

// The list comes cut short. What still answers must stay, or half of a pool
// would be overloaded; what is also silent goes.
TEST(EndpointBookTest, DropsFromAShortListOnlyWhatIsSilentToo)
{
  book_.OnList({ Listed("e", 1), Listed("f", 1), Listed("g", 1) }, now_);
  for (int poll = 0; poll < 3; ++poll) {
    book_.OnFailure("g", now_);
    book_.OnReport("f", { .incarnation_ = 1 }, now_);
  }
  book_.OnList({ Listed("e", 1) }, now_ + std::chrono::seconds(1));
  LONGS_EQUAL(2, book_.Views().size());
  CHECK(StateOf("f") == EndpointState::kLive);
  book_.OnList({ Listed("e", 1) }, now_ + std::chrono::seconds(200));
  LONGS_EQUAL(1, book_.Views().size());
}

// A peer was refused by an endpoint that leaves. New work from here would be
// refused too, so its word is enough; said of an earlier start it means
// nothing.
TEST(EndpointBookTest, BelievesAPeerThatAnEndpointLeaves)
{
  book_.OnList({ Listed("e", 2), Listed("f", 2) }, now_);
  book_.OnPeerWord(
    { .name_ = "e", .incarnation_ = 2, .state_ = EndpointState::kLeaving },
    now_);
  book_.OnPeerWord(
    { .name_ = "f", .incarnation_ = 1, .state_ = EndpointState::kLeaving },
    now_);
  CHECK(StateOf("e") == EndpointState::kLeaving);
  CHECK(StateOf("f") == EndpointState::kLive);
}

// A peer that is cut off says that all endpoints are dead. While they answer
// here, that must not take a single one away.
TEST(EndpointBookTest, TakesAPeersDeathNoticeOnlyAsADoubt)
{
  const EndpointDigest dead{ .name_ = "e",
                             .incarnation_ = 1,
                             .state_ = EndpointState::kDead };
  book_.OnList({ Listed("e", 1) }, now_);
  book_.OnPeerWord(dead, now_);
  CHECK(StateOf("e") == EndpointState::kLive);
  book_.OnFailure("e", now_);
  book_.OnPeerWord(dead, now_);
  CHECK(StateOf("e") == EndpointState::kLive);
  book_.OnFailure("e", now_);
  CHECK(StateOf("e") == EndpointState::kDead);
  book_.OnReport("e", { .incarnation_ = 1 }, now_);
  CHECK(StateOf("e") == EndpointState::kLive);
}
