#include "gooseberrylift/membership/gooseberrylift-zone-sums.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "gooseberrylift/membership/gooseberrylift-read-turn.h"

namespace gooseberrylift {

namespace {

// What shows a change by itself; the backlog changes with time.
auto CountsOf(const EndpointShare& aShare)
{
  return std::tie(
    aShare.running_, aShare.tight_, aShare.memoryTokens_, aShare.deferred_);
}

} // namespace

std::string PeerNameOfZone(const std::string& aZone)
{
  return "zone/" + aZone;
}

bool ZoneSummer::Differs(const EndpointShare& aNew,
                         const Told& aTold,
                         TimePoint aNow)
{
  const auto passed =
    std::chrono::duration_cast<std::chrono::microseconds>(aNow - aTold.at_);
  const auto expected =
    std::max(aTold.share_.backlog_ - passed, std::chrono::microseconds(0));
  const auto silent =
    aTold.share_.silent_ +
    std::chrono::duration_cast<std::chrono::milliseconds>(passed);
  return CountsOf(aNew) != CountsOf(aTold.share_) ||
         std::chrono::abs(aNew.backlog_ - expected) > options_.backlogChange_ ||
         aNew.silent_ + options_.signOfLife_ < silent;
}

void ZoneSummer::NoteChanges(const std::vector<EndpointShare>& aSums,
                             TimePoint aNow)
{
  std::set<std::string> seen;
  for (const EndpointShare& sum : aSums) {
    seen.insert(sum.id_);
    const auto [told, isNew] = told_.try_emplace(sum.id_);
    if (isNew || Differs(sum, told->second, aNow)) {
      told->second = { .share_ = sum, .at_ = aNow, .isNew_ = true };
    }
  }
  for (auto& [id, told] : told_) {
    const EndpointShare none{ .id_ = id };
    if (!seen.contains(id) && CountsOf(none) != CountsOf(told.share_)) {
      told = { .share_ = none, .at_ = aNow, .isNew_ = true };
    }
  }
}

std::optional<ZoneSummer::Word> ZoneSummer::Next(
  const std::vector<EndpointShare>& aSums,
  TimePoint aNow)
{
  if (!whole_ || aNow - *whole_ >= options_.wholeEvery_) {
    told_.clear();
    NoteChanges(aSums, aNow);
    for (auto& [id, told] : told_) {
      told.isNew_ = false;
    }
    whole_ = aNow;
    sent_ = aNow;
    return Word{ .part_ = LoadWordPart::kFirst, .shares_ = aSums };
  }
  NoteChanges(aSums, aNow);
  Word word;
  for (auto& [id, told] : told_) {
    if (told.isNew_) {
      told.isNew_ = false;
      word.shares_.push_back(told.share_);
    }
  }
  if (word.shares_.empty() && aNow - sent_ < options_.aliveEvery_) {
    return std::nullopt;
  }
  sent_ = aNow;
  return word;
}

bool ZoneTurn::IsOwn(TimePoint aNow, std::size_t aRank) const
{
  return aRank == 0 ||
         (aRank < options_.ready_ && aNow - heard_ > options_.silence_ * aRank);
}

bool ZoneSources::Accepts(const LoadWord& aWord, TimePoint aNow)
{
  Source& source = sources_[aWord.zone_];
  if (source.host_ == aWord.host_) {
    source.heard_ = aNow;
    return true;
  }
  const bool isFree =
    source.host_.empty() || aNow - source.heard_ > options_.silence_;
  const bool takes = aWord.part_ == LoadWordPart::kFirst &&
                     (isFree || RanksBefore(aWord.host_, source.host_));
  if (takes) {
    source = { .host_ = aWord.host_, .heard_ = aNow };
  }
  return takes;
}

} // namespace gooseberrylift
