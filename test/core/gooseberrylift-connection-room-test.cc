#include "gooseberrylift/limits/gooseberrylift-connection-room.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kNow{ 100s };

} // namespace

TEST_GROUP(ConnectionRoomTest){};

TEST(ConnectionRoomTest, ClosesTheOneThatWasIdleLongest)
{
  const auto chosen = ChooseConnectionToClose(
    { { true, kNow - 2s }, { true, kNow - 5s }, { false, kNow - 9s } }, kNow);
  CHECK_TRUE(chosen.has_value());
  LONGS_EQUAL(1, *chosen);
}

// Guards against slow requests that keep new callers out.
TEST(ConnectionRoomTest, ClosesTheSlowestRequestIfNoneIsIdle)
{
  const auto chosen = ChooseConnectionToClose(
    { { false, kNow - 2s }, { false, kNow - 9s } }, kNow);
  CHECK_TRUE(chosen.has_value());
  LONGS_EQUAL(1, *chosen);
}

// Guards against connections that replace each other as fast as they come.
TEST(ConnectionRoomTest, KeepsConnectionsThatHaveJustBegunToWait)
{
  CHECK_FALSE(ChooseConnectionToClose(
                { { true, kNow - 900ms }, { false, kNow - 900ms } }, kNow)
                .has_value());
  CHECK_FALSE(ChooseConnectionToClose({}, kNow).has_value());
}
