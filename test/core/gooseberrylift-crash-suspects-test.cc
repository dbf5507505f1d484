#include "gooseberrylift/limits/gooseberrylift-crash-suspects.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

TEST_GROUP(CrashSuspectsTest)
{
  CrashSuspects suspects_{ CrashSuspects::Options{} };
  CrashSuspects::WallTime now_{ 1000s };
  const std::string print_ = FingerprintOf("/a/x", "key", "body");
};

TEST(CrashSuspectsTest, TellsRequestsApartByPathCallerAndBody)
{
  STRCMP_EQUAL(print_.c_str(), FingerprintOf("/a/x", "key", "body").c_str());
  CHECK_TRUE(print_ != FingerprintOf("/a/y", "key", "body"));
  CHECK_TRUE(print_ != FingerprintOf("/a/x", "kez", "body"));
  CHECK_TRUE(print_ != FingerprintOf("/a/x", "keyb", "ody"));
}

// A request ends the engine that runs it, and the next one too; its caller
// sends it again, to another host. Both hosts refuse it from then on.
TEST(CrashSuspectsTest, RefusesWhatEndedTwoEndpointsOnEveryHost)
{
  CHECK_FALSE(suspects_.OnBroken(print_, "engine-1", now_));
  CHECK_FALSE(suspects_.IsQuarantined(print_, now_));
  CHECK_TRUE(suspects_.OnBroken(print_, "engine-2", now_ + 1s));
  CHECK_TRUE(suspects_.IsQuarantined(print_, now_ + 300s));
  CHECK_FALSE(suspects_.IsQuarantined(print_, now_ + 700s));
  CrashSuspects peer{ CrashSuspects::Options{} };
  peer.OnPeer(suspects_.Entries(now_ + 1s));
  CHECK_TRUE(peer.IsQuarantined(print_, now_ + 2s));
}

TEST(CrashSuspectsTest, HoldsOneCrashAgainstNoRequest)
{
  for (int request = 0; request < 1000; ++request) {
    suspects_.OnBroken(std::to_string(request), "engine-1", now_);
  }
  CHECK_TRUE(suspects_.Entries(now_).empty());
  // The same engine breaking it off again says no more.
  suspects_.OnBroken(print_, "engine-1", now_);
  suspects_.OnBroken(print_, "engine-1", now_);
  CHECK_FALSE(suspects_.IsQuarantined(print_, now_));
}
