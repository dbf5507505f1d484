// What hosts tell each other about crashed endpoints, as plain data. Times are
// of the system clock, because hosts exchange them.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_CRASH_EVIDENCE_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_CRASH_EVIDENCE_H_

#include <chrono>
#include <string>
#include <vector>

#include "gooseberrylift/limits/gooseberrylift-request-features.h"

namespace gooseberrylift {

using WallTime = std::chrono::system_clock::time_point;

// An endpoint that is confirmed to have exited, and the requests whose answers
// had just begun there.
struct CrashReport
{
  std::string endpoint_; // its incarnation
  WallTime at_{};        // when its connections broke
  WallTime aliveAt_{};   // when it was last known to run
  std::vector<RequestFeatures> accused_;

  bool operator==(const CrashReport&) const = default;
};

// A feature of accused requests that a complete answer has shown to be sound.
struct SoundFeature
{
  std::string feature_;
  WallTime at_{}; // when that answer began

  bool operator==(const SoundFeature&) const = default;
};

struct CrashEvidence
{
  std::vector<CrashReport> crashes_;
  std::vector<SoundFeature> sound_;

  bool IsEmpty() const { return crashes_.empty() && sound_.empty(); }
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_CRASH_EVIDENCE_H_
