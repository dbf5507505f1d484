// A deployment with callers, on which a schedule is played.

#ifndef GOOSEBERRYLIFT_TEST_SOAK_SOAK_RUN_H_
#define GOOSEBERRYLIFT_TEST_SOAK_SOAK_RUN_H_

#include "soak-callers.h"
#include "soak-schedule.h"

#include "harness-restart.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace gooseberrylift::test {

// A process that several pauses may stop at the same time; it goes on when the
// last one ends.
class PauseTarget
{
public:
  using SendSignal = std::function<void(int aSignal)>;

  explicit PauseTarget(SendSignal aSend)
    : send_(std::move(aSend))
  {
  }

  void Begin();
  void End();

private:
  SendSignal send_;
  std::mutex mutex_; // guards pauses_
  int pauses_ = 0;
};

class SoakRun
{
public:
  explicit SoakRun(std::uint64_t aSeed);

  /// Plays the schedule of the seed and waits for the ends of all streams.
  void Play();

  /// Returns the streams that were cut although their host had not exceeded its
  /// drain limit.
  std::vector<SoakStream> CutStreams() const;

  int CountWhole() const;

  /// Returns whether each host that was stopped has ended in time.
  bool AllStopsEnded() const { return stopsEnded_; }

  /// Returns how many engines and links do not run any more, which would cut
  /// streams without a fault of the hosts.
  int CountEndedStandIns();

  /// Prints how the streams ended and, for each pause, the attempts that were
  /// sent again.
  void PrintFigures() const;

  /// Prints the schedule, and the log lines of streams.
  void PrintTrace(const std::vector<SoakStream>& aStreams) const;

private:
  using Targets = std::vector<std::unique_ptr<PauseTarget>>;
  using Perform = void (SoakRun::*)(const SoakAction& aAction);

  struct PlayedPause
  {
    SoakAction action_;
    std::int64_t beganMs_ = 0;
    std::int64_t endedMs_ = 0;
  };

  // A host past its drain limit, until it was started again.
  struct Overrun
  {
    std::size_t host_ = 0;
    TimePoint from_;
    TimePoint until_;
  };

  void AddTargets();
  std::vector<PauseTarget*> TargetsOf(const SoakAction& aAction);
  void PlayAt(TimePoint aBegin, const SoakAction& aAction);
  void Pause(const SoakAction& aAction);
  void ChangeConfiguration(const SoakAction& aAction);
  void Drain(const SoakAction& aAction);
  void StopHost(const SoakAction& aAction);
  bool IsExcused(const SoakStream& aStream) const;
  std::vector<std::int64_t> TimesSentAgain();

  std::uint64_t seed_;
  std::vector<SoakAction> schedule_;
  GatewayDeployment deployment_;
  RestartableHosts hosts_;
  std::map<SoakTarget, Targets> targets_;
  TimePoint begin_;
  std::mutex mutex_; // guards the fields below while a schedule is played
  json document_;
  std::vector<PlayedPause> pauses_;
  std::vector<Overrun> overruns_;
  bool stopsEnded_ = true;
  std::mutex hostMutex_[SoakSize{}.hosts_]; // held while a host is stopped
  std::vector<SoakStream> streams_;
  std::vector<std::int64_t> sentAgainMs_;
};

} // namespace gooseberrylift::test

#endif // GOOSEBERRYLIFT_TEST_SOAK_SOAK_RUN_H_
