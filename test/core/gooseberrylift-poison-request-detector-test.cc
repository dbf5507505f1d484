#include "gooseberrylift/limits/gooseberrylift-poison-request-detector.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

TEST_GROUP(PoisonRequestDetectorTest)
{
  PoisonRequestDetector detector_{ PoisonRequestDetector::Options{} };
  PoisonRequestDetector::WallTime now_{ 1000s };
  const std::string fingerprint_ = RequestFingerprint("/a/x", "key", "body");
};

TEST(PoisonRequestDetectorTest, FingerprintDependsOnPathCallerAndBody)
{
  STRCMP_EQUAL(fingerprint_.c_str(),
               RequestFingerprint("/a/x", "key", "body").c_str());
  CHECK_TRUE(fingerprint_ != RequestFingerprint("/a/y", "key", "body"));
  CHECK_TRUE(fingerprint_ != RequestFingerprint("/a/x", "kez", "body"));
  CHECK_TRUE(fingerprint_ != RequestFingerprint("/a/x", "keyb", "ody"));
}

// A request crashes two engines in turn, and its caller retries it at another
// host. Both hosts must reject it.
TEST(PoisonRequestDetectorTest, QuarantinesRequestOnAllHostsAfterTwoCrashes)
{
  CHECK_FALSE(detector_.OnConnectionLost(fingerprint_, "engine-1", now_));
  CHECK_TRUE(detector_.OnEndpointExit("engine-1", now_ + 100ms).empty());
  CHECK_FALSE(detector_.OnConnectionLost(fingerprint_, "engine-2", now_ + 1s));
  CHECK_FALSE(detector_.IsQuarantined(fingerprint_, now_ + 1s));
  const auto quarantined = detector_.OnEndpointExit("engine-2", now_ + 1100ms);
  LONGS_EQUAL(1, quarantined.size());
  STRCMP_EQUAL(fingerprint_.c_str(), quarantined.front().c_str());
  CHECK_TRUE(detector_.IsQuarantined(fingerprint_, now_ + 300s));
  CHECK_FALSE(detector_.IsQuarantined(fingerprint_, now_ + 700s));
  PoisonRequestDetector peer{ PoisonRequestDetector::Options{} };
  peer.OnPeer(detector_.Entries(now_ + 2s));
  CHECK_TRUE(peer.IsQuarantined(fingerprint_, now_ + 2s));
}

// Guards against rejecting a harmless request for ten minutes on all hosts
// because it lost several responses of engines that keep running: a broken
// connection is no evidence of a crash.
TEST(PoisonRequestDetectorTest, IgnoresLostConnectionsToRunningEndpoints)
{
  for (int engine = 0; engine < 20; ++engine) {
    detector_.OnConnectionLost(
      fingerprint_, "engine-" + std::to_string(engine), now_);
  }
  CHECK_TRUE(detector_.Entries(now_).empty());
  // An exit long after the connection broke is unrelated.
  detector_.OnEndpointExit("engine-1", now_ + 10s);
  detector_.OnEndpointExit("engine-2", now_ + 10s);
  CHECK_TRUE(detector_.Entries(now_ + 10s).empty());
}

// The exit may be confirmed before the lost connection is reported: a request
// sent at the moment of the crash is refused a connection first.
TEST(PoisonRequestDetectorTest, AcceptsExitConfirmedBeforeConnectionLoss)
{
  detector_.OnEndpointExit("engine-1", now_);
  detector_.OnEndpointExit("engine-2", now_);
  CHECK_FALSE(
    detector_.OnConnectionLost(fingerprint_, "engine-1", now_ + 50ms));
  CHECK_TRUE(detector_.OnConnectionLost(fingerprint_, "engine-2", now_ + 50ms));
}

// Short requests fill engines in the same order, so a harmless request may run
// next to the poison request on two engines that crash. Only a third crash
// tells them apart, and the harmless one must never be rejected.
TEST(PoisonRequestDetectorTest, ThirdCrashSeparatesPoisonRequestFromHarmlessOne)
{
  const std::string harmless = RequestFingerprint("/a/x", "key", "good");
  for (const std::string engine : { "engine-1", "engine-2" }) {
    detector_.OnConnectionLost(fingerprint_, engine, now_);
    detector_.OnConnectionLost(harmless, engine, now_);
    CHECK_TRUE(detector_.OnEndpointExit(engine, now_ + 100ms).empty());
  }
  detector_.OnConnectionLost(fingerprint_, "engine-3", now_ + 1s);
  LONGS_EQUAL(1, detector_.OnEndpointExit("engine-3", now_ + 1100ms).size());
  CHECK_TRUE(detector_.IsQuarantined(fingerprint_, now_ + 2s));
  CHECK_FALSE(detector_.IsQuarantined(harmless, now_ + 2s));
}

TEST(PoisonRequestDetectorTest, OneCrashQuarantinesNoRequest)
{
  for (int request = 0; request < 200; ++request) {
    detector_.OnConnectionLost(std::to_string(request), "engine-1", now_);
  }
  CHECK_TRUE(detector_.OnEndpointExit("engine-1", now_).empty());
  CHECK_TRUE(detector_.Entries(now_).empty());
  // A second lost connection to the same engine doesn't count again.
  detector_.OnConnectionLost(fingerprint_, "engine-1", now_);
  detector_.OnConnectionLost(fingerprint_, "engine-1", now_);
  CHECK_FALSE(detector_.IsQuarantined(fingerprint_, now_));
}
