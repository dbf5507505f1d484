// An engine on virtual time that works in passes: it reads prompts between the
// tokens of other requests, alone or as one of several.

#ifndef GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_PASS_ENGINE_H_
#define GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_PASS_ENGINE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <queue>
#include <vector>

#include "gooseberrylift/routing/gooseberrylift-engine-figures.h"

namespace gooseberrylift::bench {

// Runs callbacks in the order of their times, those of one time in the order
// in which they were added.
class VirtualClock
{
public:
  using Callback = std::function<void()>;

  /// Gives the time in microseconds.
  std::int64_t Now() const { return now_; }

  void After(std::int64_t aMicroseconds, Callback aCallback);

  /// Runs all callbacks up to a time.
  void RunUntil(std::int64_t aMicroseconds);

private:
  struct Entry
  {
    std::int64_t at_;
    std::uint64_t number_;
    Callback callback_;
  };
  struct Later
  {
    bool operator()(const Entry& aOne, const Entry& aTwo) const
    {
      return aOne.at_ != aTwo.at_ ? aOne.at_ > aTwo.at_
                                  : aOne.number_ > aTwo.number_;
    }
  };

  std::int64_t now_ = 0;
  std::uint64_t next_ = 0;
  std::priority_queue<Entry, std::vector<Entry>, Later> entries_;
};

// A request at an engine, or a part of one that another engine reads.
struct PassJob
{
  std::uint64_t promptTokens_ = 0; // of its part
  double readMs_ = 0;              // of its part
  bool isPart_ = false;            // ends when it is read
  bool spread_ = false;            // several engines read it
  int events_ = 0;                 // to be written
  int partsPending_ = 0;           // at other engines
  bool cancelled_ = false;
  int urgency_ = 0;               // the lowest is taken into a slot first
  std::function<void()> onEvent_; // a request's event
  std::function<void()> onRead_;  // a part's end
  // Kept by the engine.
  double readDone_ = 0; // share of its part
  bool writing_ = false;
};

class PassEngine
{
public:
  PassEngine(VirtualClock& aClock, EngineFigures aFigures);

  void Add(std::shared_ptr<PassJob> aJob);

  /// Goes on when a job's last part was read elsewhere.
  void Wake();

private:
  void StartPass();
  void EndPass();
  double PlanReads(double aSteps);
  bool IsWriter(const PassJob& aJob) const;

  VirtualClock& clock_;
  EngineFigures figures_;
  bool busy_ = false;
  std::list<std::shared_ptr<PassJob>> jobs_;  // in slots, and parts
  std::list<std::shared_ptr<PassJob>> queue_; // wait for a slot
};

} // namespace gooseberrylift::bench

#endif // GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_PASS_ENGINE_H_
