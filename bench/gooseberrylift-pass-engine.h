// Simulated engine that works in passes: it interleaves prefill with the decode
// steps of other requests, and may share the prefill of one prompt with other
// engines. A bounded engine also limits its memory, queue length and number of
// helper parts.

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

// Event queue that runs callbacks in order of their times, and in order of
// insertion at equal times.
class VirtualClock
{
public:
  using Callback = std::function<void()>;

  /// Returns the virtual time in microseconds.
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

// A request on an engine, or a part of its prompt that a helper prefills.
struct PassJob
{
  std::uint64_t promptTokens_ = 0; // of its part
  double prefillMs_ = 0;           // of its part
  bool isPart_ = false;            // ends when its prefill is complete
  bool spread_ = false;            // several engines share its prefill
  int events_ = 0;                 // left to generate
  int partsPending_ = 0;           // unfinished on other engines
  bool cancelled_ = false;
  int priority_ = 0;                  // the lowest value gets a slot first
  std::function<void()> onEvent_;     // called for each output event
  std::function<void()> onPrefilled_; // called when a part is prefilled
  std::function<void()> onRefused_;   // called if a bounded engine rejects it
  // Memory of a bounded engine used by the prompt, without reservations.
  std::uint64_t memoryTokens_ = 0;
  // Progress, updated by the engine.
  double prefillDone_ = 0; // completed fraction of its part
  bool decoding_ = false;
  std::uint64_t generatedTokens_ = 0;
};

class PassEngine
{
public:
  /// @param aBounded whether the engine rejects and preempts when it is full
  PassEngine(VirtualClock& aClock, EngineProfile aProfile, bool aBounded);

  void Add(std::shared_ptr<PassJob> aJob);

  /// Reserves memory for a request.
  /// @return false if there is not enough free memory
  bool Reserve(std::uint64_t aRequest, std::uint64_t aTokens);

  /// Releases the memory reserved for a request.
  void Release(std::uint64_t aRequest);

  /// Returns how often a request was preempted and had to be prefilled again.
  int Preempted() const { return preempted_; }

  /// Sets the source of the factor on the duration of each pass.
  void SetPace(std::function<double()> aPace) { pace_ = std::move(aPace); }

  /// Resumes when the last part of a job was prefilled elsewhere.
  void Wake();

private:
  void StartPass();
  void EndPass();
  double PlanPrefill(double aSteps);
  bool IsDecoding(const PassJob& aJob) const;
  bool IsFull(const PassJob& aJob) const;
  std::uint64_t MemoryUsed() const;
  void PreemptNewest();

  VirtualClock& clock_;
  EngineProfile profile_;
  bool bounded_;
  bool busy_ = false;
  int preempted_ = 0;
  std::function<double()> pace_ = [] { return 1.0; };
  // Reserved tokens by request.
  std::map<std::uint64_t, std::uint64_t> reservations_;
  std::list<std::shared_ptr<PassJob>> jobs_;  // requests in slots, and parts
  std::list<std::shared_ptr<PassJob>> queue_; // requests waiting for a slot
};

} // namespace gooseberrylift::bench

#endif // GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_PASS_ENGINE_H_
