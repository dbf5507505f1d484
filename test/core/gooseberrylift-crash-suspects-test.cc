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
  CHECK_TRUE(suspects_.OnEnded("engine-1", now_ + 100ms).empty());
  CHECK_FALSE(suspects_.OnBroken(print_, "engine-2", now_ + 1s));
  CHECK_FALSE(suspects_.IsQuarantined(print_, now_ + 1s));
  const auto quarantined = suspects_.OnEnded("engine-2", now_ + 1100ms);
  LONGS_EQUAL(1, quarantined.size());
  STRCMP_EQUAL(print_.c_str(), quarantined.front().c_str());
  CHECK_TRUE(suspects_.IsQuarantined(print_, now_ + 300s));
  CHECK_FALSE(suspects_.IsQuarantined(print_, now_ + 700s));
  CrashSuspects peer{ CrashSuspects::Options{} };
  peer.OnPeer(suspects_.Entries(now_ + 2s));
  CHECK_TRUE(peer.IsQuarantined(print_, now_ + 2s));
}

// What the caller would see without the proof: its good request is refused for
// ten minutes on all hosts. The order: engines that live lose a part of their
// answers, and one request loses two of them. Why: a broken connection says
// nothing of the engine behind it.
TEST(CrashSuspectsTest, HoldsLostAnswersOfLivingEndpointsAgainstNoRequest)
{
  for (int engine = 0; engine < 20; ++engine) {
    suspects_.OnBroken(print_, "engine-" + std::to_string(engine), now_);
  }
  CHECK_TRUE(suspects_.Entries(now_).empty());
  // An end long after the break is another matter.
  suspects_.OnEnded("engine-1", now_ + 10s);
  suspects_.OnEnded("engine-2", now_ + 10s);
  CHECK_TRUE(suspects_.Entries(now_ + 10s).empty());
}

// The proof may come first: a request that is sent in the moment of the crash
// is refused its connection before the guilty one's break is noticed.
TEST(CrashSuspectsTest, TakesAProofThatCameBeforeTheBreak)
{
  suspects_.OnEnded("engine-1", now_);
  suspects_.OnEnded("engine-2", now_);
  CHECK_FALSE(suspects_.OnBroken(print_, "engine-1", now_ + 50ms));
  CHECK_TRUE(suspects_.OnBroken(print_, "engine-2", now_ + 50ms));
}

// Short requests fill engines in one order, so a good one may be tried beside
// the guilty one twice. The order: both fall with two engines, then only the
// guilty one with a third. The good one is never refused.
TEST(CrashSuspectsTest, TellsTheGuiltyRequestFromOneThatFellBesideItTwice)
{
  const std::string good = FingerprintOf("/a/x", "key", "good");
  for (const std::string engine : { "engine-1", "engine-2" }) {
    suspects_.OnBroken(print_, engine, now_);
    suspects_.OnBroken(good, engine, now_);
    CHECK_TRUE(suspects_.OnEnded(engine, now_ + 100ms).empty());
  }
  suspects_.OnBroken(print_, "engine-3", now_ + 1s);
  LONGS_EQUAL(1, suspects_.OnEnded("engine-3", now_ + 1100ms).size());
  CHECK_TRUE(suspects_.IsQuarantined(print_, now_ + 2s));
  CHECK_FALSE(suspects_.IsQuarantined(good, now_ + 2s));
}

TEST(CrashSuspectsTest, HoldsOneCrashAgainstNoRequest)
{
  for (int request = 0; request < 200; ++request) {
    suspects_.OnBroken(std::to_string(request), "engine-1", now_);
  }
  CHECK_TRUE(suspects_.OnEnded("engine-1", now_).empty());
  CHECK_TRUE(suspects_.Entries(now_).empty());
  // The same engine breaking it off again says no more.
  suspects_.OnBroken(print_, "engine-1", now_);
  suspects_.OnBroken(print_, "engine-1", now_);
  CHECK_FALSE(suspects_.IsQuarantined(print_, now_));
}
