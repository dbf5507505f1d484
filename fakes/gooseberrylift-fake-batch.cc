#include "gooseberrylift-fake-batch.h"

#include <algorithm>

namespace gooseberrylift::fakes {

Sequence* FakeBatch::Add(Sequence aSequence)
{
  aSequence.serial_ = ++serial_;
  // Ordered by priority, then by arrival.
  const auto position = std::find_if(
    sequences_.begin(), sequences_.end(), [&](const Sequence& aOther) {
      return aOther.priority_ > aSequence.priority_;
    });
  return &*sequences_.insert(position, std::move(aSequence));
}

void FakeBatch::Remove(Sequence* aSequence)
{
  if (aSequence->admitted_) {
    kvUsed_ -= aSequence->kvTokens_;
  }
  sequences_.remove_if(
    [aSequence](const Sequence& aOther) { return &aOther == aSequence; });
}

FakeBatch::Step FakeBatch::BeginStep()
{
  Admit();
  double microseconds = 0;
  if (Sequence* sequence = NextPrefill()) {
    const auto end = static_cast<double>(sequence->promptTokens_ -
                                         sequence->prefillRemaining_);
    const std::uint64_t chunk =
      std::min(options_.chunkTokens_, sequence->prefillRemaining_);
    const double next = end + static_cast<double>(chunk);
    microseconds += options_.prefillLinearUs_ * static_cast<double>(chunk) +
                    options_.prefillQuadraticUs_ * (next * next - end * end);
    sequence->prefillRemaining_ -= chunk;
  }
  Step step;
  for (Sequence& sequence : sequences_) {
    if (sequence.admitted_ && sequence.prefillRemaining_ == 0) {
      step.decoded_.push_back(sequence.serial_);
    }
  }
  if (!step.decoded_.empty()) {
    microseconds += static_cast<double>(options_.decodeStep_.count());
  }
  step.duration_ = std::chrono::microseconds(
    static_cast<std::int64_t>(microseconds * options_.slowdown_));
  return step;
}

void FakeBatch::FinishStep(const Step& aStep)
{
  for (Sequence& sequence : sequences_) {
    const bool decoded = std::find(aStep.decoded_.begin(),
                                   aStep.decoded_.end(),
                                   sequence.serial_) != aStep.decoded_.end();
    if (decoded && sequence.nextToken_ < sequence.maxTokens_) {
      ++sequence.nextToken_;
    }
  }
}

void FakeBatch::CancelById(const std::string& aId)
{
  for (Sequence& sequence : sequences_) {
    sequence.cancelled_ = sequence.cancelled_ || sequence.id_ == aId;
  }
}

bool FakeBatch::ReserveExport(const std::string& aExport, KvExport aContents)
{
  if (kvUsed_ + aContents.tokens_ > options_.kvTokens_ ||
      exports_.contains(aExport)) {
    return false;
  }
  kvUsed_ += aContents.tokens_;
  exports_.emplace(aExport, std::move(aContents));
  return true;
}

bool FakeBatch::ReleaseExport(const std::string& aExport)
{
  const auto found = exports_.find(aExport);
  if (found == exports_.end()) {
    return false;
  }
  kvUsed_ -= found->second.tokens_;
  exports_.erase(found);
  return true;
}

std::uint64_t FakeBatch::WaitingTokens() const
{
  std::uint64_t tokens = 0;
  for (const Sequence& sequence : sequences_) {
    tokens += sequence.prefillRemaining_;
  }
  return tokens;
}

std::size_t FakeBatch::CountRunning() const
{
  return static_cast<std::size_t>(std::count_if(
    sequences_.begin(), sequences_.end(), [](const Sequence& aEntry) {
      return aEntry.admitted_;
    }));
}

void FakeBatch::Admit()
{
  std::size_t running = CountRunning();
  for (Sequence& sequence : sequences_) {
    if (sequence.admitted_) {
      continue;
    }
    if (running >= options_.maxBatch_ ||
        kvUsed_ + sequence.kvTokens_ > options_.kvTokens_) {
      return; // smaller sequences must not overtake and starve this one
    }
    sequence.admitted_ = true;
    kvUsed_ += sequence.kvTokens_;
    ++running;
  }
}

Sequence* FakeBatch::NextPrefill()
{
  for (Sequence& sequence : sequences_) {
    if (sequence.admitted_ && sequence.prefillRemaining_ > 0) {
      return &sequence;
    }
  }
  return nullptr;
}

} // namespace gooseberrylift::fakes
