#include "gooseberrylift/gooseberrylift-endpoint-registry.h"

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

TEST_GROUP(EndpointRegistryTest)
{
  EndpointRegistry book_{ EndpointRegistry::Options{} };
  TimePoint now_{};

  EndpointState StateOf(const std::string& aName)
  {
    for (const EndpointView& view : book_.Views()) {
      if (view.name_ == aName) {
        return view.state_;
      }
    }
    FAIL("the registry has no endpoint of this name");
    return EndpointState::kDead;
  }
};

// The list lags, so it may show an endpoint as live after the endpoint reported
// that it is leaving. If the endpoint became live again, new requests would be
// sent to it and interrupted.
TEST(EndpointRegistryTest, KeepsAnIncarnationLeavingWhenTheListLags)
{
  book_.OnList({ Listed("e", 1) }, now_);
  book_.OnReport("e", { .leaving_ = true, .incarnation_ = 1 }, now_);
  book_.OnList({ Listed("e", 1) }, now_);
  book_.OnReport("e", { .leaving_ = false, .incarnation_ = 1 }, now_);
  CHECK(StateOf("e") == EndpointState::kLeaving);
}

TEST(EndpointRegistryTest, TakesANewIncarnationAsLive)
{
  book_.OnList({ Listed("e", 1, EndpointState::kLeaving) }, now_);
  book_.OnList({ Listed("e", 2) }, now_);
  CHECK(StateOf("e") == EndpointState::kLive);
}

TEST(EndpointRegistryTest, DeclaresDeadAfterThreeFailuresInARow)
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

// The host list is served but empty. If that emptied the pool, every request
// would be refused until the list recovered.
TEST(EndpointRegistryTest, KeepsItsEndpointsWhenTheListIsEmpty)
{
  book_.OnList({ Listed("e", 1) }, now_);
  CHECK_FALSE(book_.OnList({}, now_));
  LONGS_EQUAL(1, book_.Views().size());
}

// The list is truncated. Endpoints that still answer must stay, or half of the
// pool would be overloaded; those that are also silent must be removed.
TEST(EndpointRegistryTest, DropsOnlySilentEndpointsMissingFromATruncatedList)
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

// A leaving endpoint refused a request of a peer and would refuse this host as
// well, so the peer's digest is sufficient. A digest about an earlier
// incarnation must be ignored.
TEST(EndpointRegistryTest, AcceptsAPeersReportThatAnEndpointIsLeaving)
{
  book_.OnList({ Listed("e", 2), Listed("f", 2) }, now_);
  book_.OnPeerDigest(
    { .name_ = "e", .incarnation_ = 2, .state_ = EndpointState::kLeaving },
    now_);
  book_.OnPeerDigest(
    { .name_ = "f", .incarnation_ = 1, .state_ = EndpointState::kLeaving },
    now_);
  CHECK(StateOf("e") == EndpointState::kLeaving);
  CHECK(StateOf("f") == EndpointState::kLive);
}

// A partitioned peer reports all endpoints as dead. No endpoint may be lost
// while it still answers this host.
TEST(EndpointRegistryTest, CountsAPeersDeadReportAsOneFailure)
{
  const EndpointDigest dead{ .name_ = "e",
                             .incarnation_ = 1,
                             .state_ = EndpointState::kDead };
  book_.OnList({ Listed("e", 1) }, now_);
  book_.OnPeerDigest(dead, now_);
  CHECK(StateOf("e") == EndpointState::kLive);
  book_.OnFailure("e", now_);
  book_.OnPeerDigest(dead, now_);
  CHECK(StateOf("e") == EndpointState::kLive);
  book_.OnFailure("e", now_);
  CHECK(StateOf("e") == EndpointState::kDead);
  book_.OnReport("e", { .incarnation_ = 1 }, now_);
  CHECK(StateOf("e") == EndpointState::kLive);
}
