// An engine on virtual time that works in passes: it reads prompts between the
// tokens of other requests, alone or as one of several. A bounded one also has
// a memory, a queue and a number of helpers' parts that run full.

#ifndef GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_PASS_ENGINE_H_
#define GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_PASS_ENGINE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <vector>

#include "gooseberrylift/routing/gooseberrylift-engine-profile.h"

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
  int urgency_ = 0;                 // the lowest is taken into a slot first
  std::function<void()> onEvent_;   // a request's event
  std::function<void()> onRead_;    // a part's end
  std::function<void()> onRefused_; // by a bounded engine, not run
  // Of a bounded engine's memory, for its prompt; not what is in tickets.
  std::uint64_t memoryTokens_ = 0;
  // Kept by the engine.
  double readDone_ = 0; // share of its part
  bool writing_ = false;
  std::uint64_t grown_ = 0; // tokens written
};

class PassEngine
{
public:
  /// @param aBounded whether what is full refuses and preempts
  PassEngine(VirtualClock& aClock, EngineProfile aFigures, bool aBounded);

  void Add(std::shared_ptr<PassJob> aJob);

  /// Sets memory aside for a request.
  /// @return false when there is no room
  bool Reserve(std::uint64_t aRequest, std::uint64_t aTokens);

  /// Frees what was set aside for a request.
  void Release(std::uint64_t aRequest);

  /// Gives how often a request lost its memory and had to be read again.
  int Preempted() const { return preempted_; }

  /// Goes on when a job's last part was read elsewhere.
  void Wake();

private:
  void StartPass();
  void EndPass();
  double PlanReads(double aSteps);
  bool IsWriter(const PassJob& aJob) const;
  bool IsFull(const PassJob& aJob) const;
  std::uint64_t MemoryUsed() const;
  void PreemptNewest();

  VirtualClock& clock_;
  EngineProfile figures_;
  bool bounded_;
  bool busy_ = false;
  int preempted_ = 0;
  std::map<std::uint64_t, std::uint64_t> tickets_; // tokens by request
  std::list<std::shared_ptr<PassJob>> jobs_;       // in slots, and parts
  std::list<std::shared_ptr<PassJob>> queue_;      // wait for a slot
};

} // namespace gooseberrylift::bench

#endif // GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_PASS_ENGINE_H_
