// Simulates continuous batching on one accelerator with a limited KV cache. It
// does no I/O; the caller advances it step by step.

#ifndef GOOSEBERRYLIFT_FAKES_GOOSEBERRYLIFT_FAKE_BATCH_H_
#define GOOSEBERRYLIFT_FAKES_GOOSEBERRYLIFT_FAKE_BATCH_H_

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace gooseberrylift::fakes {

// One generation request in the batch.
struct Sequence
{
  std::string id_;
  std::uint64_t serial_ = 0; // set by Add
  int priority_ = 0;         // lower values run first
  std::uint64_t promptTokens_ = 0;
  std::uint64_t prefillRemaining_ = 0; // prompt tokens not yet processed
  std::uint64_t nextToken_ = 0;
  std::uint64_t maxTokens_ = 0;
  std::uint64_t kvTokens_ = 0; // KV cache reserved while admitted
  bool admitted_ = false;
  bool cancelled_ = false;
};

// KV cache entries retained for an owner after a request has ended.
struct KvExport
{
  std::string owner_;
  std::uint64_t tokens_ = 0;
  std::uint64_t prefix_ = 0; // hash of the cached prompt prefix
};

// Schedules sequences on one accelerator. Each step prefills one chunk of the
// highest-priority prompt and decodes one token for every sequence whose
// prefill is complete, so a long prompt slows concurrent decoding, as on real
// engines.
class FakeBatch
{
public:
  struct Options
  {
    double prefillLinearUs_ = 2.0;       // per prompt token
    double prefillQuadraticUs_ = 2.0e-6; // per prompt token squared
    std::chrono::microseconds decodeStep_{ 2000 };
    std::uint64_t chunkTokens_ = 8192;
    std::uint64_t kvTokens_ = 400'000;
    std::size_t maxBatch_ = 32;
    double slowdown_ = 1.0;
  };

  // The duration of a step and the sequences that receive a token at its end.
  struct Step
  {
    std::chrono::microseconds duration_{ 0 };
    std::vector<std::uint64_t> decoded_; // serial numbers
  };

  explicit FakeBatch(Options aOptions)
    : options_(aOptions)
  {
  }

  Options& MutableOptions() { return options_; }

  /// Returns whether a sequence fits into an otherwise empty KV cache.
  bool Fits(std::uint64_t aTokens) const
  {
    return aTokens <= options_.kvTokens_;
  }

  Sequence* Add(Sequence aSequence);
  void Remove(Sequence* aSequence);

  /// Starts a step: admits waiting sequences and prefills one chunk. The
  /// sequences receive their tokens when the step ends.
  Step BeginStep();

  /// Adds the tokens of a step to the sequences that have not been removed.
  void FinishStep(const Step& aStep);

  /// Marks the sequences of a request as cancelled.
  void CancelById(const std::string& aId);

  bool IsIdle() const { return sequences_.empty(); }

  /// Reserves KV cache for an export. Returns false if the free capacity does
  /// not suffice or the export exists already.
  bool ReserveExport(const std::string& aExport, KvExport aContents);
  bool ReleaseExport(const std::string& aExport);
  const std::map<std::string, KvExport>& Exports() const { return exports_; }

  std::uint64_t KvUsed() const { return kvUsed_; }
  std::uint64_t KvTotal() const { return options_.kvTokens_; }
  std::uint64_t WaitingTokens() const;
  std::size_t CountRunning() const;
  std::size_t CountWaiting() const
  {
    return sequences_.size() - CountRunning();
  }

private:
  void Admit();
  Sequence* NextPrefill();

  Options options_;
  std::list<Sequence> sequences_;
  std::map<std::string, KvExport> exports_;
  std::uint64_t kvUsed_ = 0;
  std::uint64_t serial_ = 0;
};

} // namespace gooseberrylift::fakes

#endif // GOOSEBERRYLIFT_FAKES_GOOSEBERRYLIFT_FAKE_BATCH_H_
