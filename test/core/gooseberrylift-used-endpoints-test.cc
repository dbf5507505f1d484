#include "gooseberrylift/limits/gooseberrylift-used-endpoints.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;

namespace {

using Endpoints = std::set<std::string>;

} // namespace

TEST_GROUP(UsedEndpointsTest)
{
  UsedEndpoints used_;
};

TEST(UsedEndpointsTest, AllowsAllEndpointsBelowTheLimit)
{
  used_.OnSent("e1", {});
  CHECK_FALSE(used_.AllowedNext(2, { "e1" }).has_value());
}

TEST(UsedEndpointsTest, AllowsNoneWhenAllHaveFailed)
{
  used_.OnSent("e1", {});
  used_.OnSent("e2", { "e1" });
  CHECK_TRUE(Endpoints{} == used_.AllowedNext(2, { "e1", "e2" }));
}

// Guards against streams that end because an unneeded replacement has used up
// their attempts.
TEST(UsedEndpointsTest, AllowsAnEndpointAgainThatHasNotFailed)
{
  used_.OnSent("e1", {});
  used_.OnSent("e2", {});
  CHECK_TRUE(Endpoints{ "e1" } == used_.AllowedNext(2, { "e2" }));
  used_.OnSent("e1", { "e2" });
  LONGS_EQUAL(2, used_.Count());
}

// Guards against a request that is sent to the same failing endpoint for good.
TEST(UsedEndpointsTest, CountsAnEndpointAgainThatHasFailed)
{
  used_.OnSent("e1", {});
  used_.OnSent("e1", { "e1" });
  CHECK_TRUE(Endpoints{} == used_.AllowedNext(2, { "e1" }));
}

// Guards against hosts that avoid endpoints out of another host's reach.
TEST(UsedEndpointsTest, TellsFailedEndpointsFromThoseOutOfReach)
{
  used_.OnSent("e1", {});
  used_.OnSent("e2", {});
  CHECK_TRUE(Endpoints{ "e1" } == used_.SentAndFailed({ "e1", "e3" }));
}

// Guards against streams that end because an engine that refused them counts.
TEST(UsedEndpointsTest, DoesNotCountAnEndpointThatRefused)
{
  used_.OnSent("e1", {});
  used_.OnSent("e2", { "e1" });
  used_.OnRefused("e2");
  LONGS_EQUAL(1, used_.Count());
}

// Guards against a stream that runs at too many endpoints, as one of them has
// refused the rest of it.
TEST(UsedEndpointsTest, CountsAnEndpointThatRefusedOnlyAnotherAttempt)
{
  used_.OnSent("e1", {});
  used_.OnSent("e1", {});
  used_.OnRefused("e1");
  LONGS_EQUAL(1, used_.Count());
  used_.OnSent("e1", { "e1" });
  used_.OnRefused("e1");
  LONGS_EQUAL(1, used_.Count());
}

TEST(UsedEndpointsTest, CountsAnEndpointThatRefusedWhileARelayedAttemptRuns)
{
  used_.OnRelayed();
  used_.OnSent("e1", {});
  used_.OnIdentified("e1", {});
  used_.OnRefused("e1");
  LONGS_EQUAL(1, used_.Count());
}

TEST(UsedEndpointsTest, CountsARelayedRequestAsOneEndpoint)
{
  used_.OnRelayed();
  used_.OnIdentified("e1", {});
  used_.OnRelayed();
  LONGS_EQUAL(2, used_.Count());
  CHECK_TRUE(Endpoints{ "e1" } == used_.AllowedNext(2, {}));
  used_.OnIdentified("e1", {});
  LONGS_EQUAL(1, used_.Count());
}

TEST(UsedEndpointsTest, CountsWhatAnotherHostReports)
{
  used_.OnRelayed();
  used_.OnReported(0);
  LONGS_EQUAL(0, used_.Count());
  used_.OnRelayed();
  used_.OnReported(2);
  LONGS_EQUAL(2, used_.Count());
}
