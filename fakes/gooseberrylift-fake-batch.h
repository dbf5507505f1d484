// The inside of a fake engine: continuous batching on one accelerator with a
// limited KV memory. No I/O; the fake engine drives it step by step.

#ifndef GOOSEBERRYLIFT_FAKES_GOOSEBERRYLIFT_FAKE_BATCH_H_
#define GOOSEBERRYLIFT_FAKES_GOOSEBERRYLIFT_FAKE_BATCH_H_

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace gooseberrylift::fakes {

// One generation in the engine.
struct Sequence
{
  std::string id_;
  std::uint64_t serial_ = 0; // set by Add
  int priority_ = 0;         // lower runs first
  std::uint64_t promptTokens_ = 0;
  std::uint64_t prefillLeft_ = 0; // tokens still to read in
  std::uint64_t nextToken_ = 0;
  std::uint64_t maxTokens_ = 0;
  std::uint64_t kvTokens_ = 0; // reserved while admitted
  bool admitted_ = false;
  bool cancelled_ = false;
};

// Keys and values held beyond one request, on behalf of an owner.
struct KvExport
{
  std::string owner_;
  std::uint64_t tokens_ = 0;
  std::uint64_t prefix_ = 0; // hash of the text they stand for
};

// Shares one accelerator among sequences. Each step reads in one chunk of the
// most urgent prompt and decodes one token for every sequence past its prompt,
// so a long prompt slows the decoding beside it, as on real engines.
class FakeBatch
{
public:
  struct Options
  {
    double prefillLinearUs_ = 2.0;       // a: microseconds per token
    double prefillQuadraticUs_ = 2.0e-6; // b: microseconds per token squared
    std::chrono::microseconds decodeStep_{ 2000 };
    std::uint64_t chunkTokens_ = 8192;
    std::uint64_t kvTokens_ = 400'000;
    std::size_t maxBatch_ = 32;
    double slowdown_ = 1.0;
  };

  // The time a step takes, and the sequences that get a token at its end.
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

  /// Says whether a sequence could run here when nothing else did.
  bool Fits(std::uint64_t aTokens) const
  {
    return aTokens <= options_.kvTokens_;
  }

  Sequence* Add(Sequence aSequence);
  void Remove(Sequence* aSequence);
  Step Advance();

  /// Hands the tokens of a step to those sequences that are still there.
  void Deliver(const Step& aStep);

  /// Marks sequences as cancelled by the identifier of their request.
  void CancelById(const std::string& aId);

  bool Idle() const { return sequences_.empty(); }

  /// Reserves memory for an export. False when there is too little left.
  bool Hold(const std::string& aExport, KvExport aContents);
  bool Free(const std::string& aExport);
  const std::map<std::string, KvExport>& Exports() const { return exports_; }

  std::uint64_t KvUsed() const { return kvUsed_; }
  std::uint64_t KvTotal() const { return options_.kvTokens_; }
  std::uint64_t WaitingTokens() const;
  std::size_t Running() const;
  std::size_t Waiting() const { return sequences_.size() - Running(); }

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
