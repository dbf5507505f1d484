#include "soak-schedule.h"

#include <algorithm>
#include <random>

namespace gooseberrylift::test {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kMinPause{ 300 };
constexpr milliseconds kMaxPause{ 5'500 };
constexpr milliseconds kMaxQuiet{ 1'000 };  // between two pauses
constexpr milliseconds kMaxChange{ 3'000 }; // between two changes
constexpr milliseconds kOverlapTime{ 6'000 };
constexpr int kPausesInSeries = 3;
constexpr int kOverlappingPauses = 6;

class ScheduleMaker
{
public:
  ScheduleMaker(std::uint64_t aSeed, SoakSize aSize)
    : random_(aSeed)
    , size_(aSize)
  {
  }

  std::vector<SoakAction> Make()
  {
    milliseconds at{ 500 };
    for (int pause = 0; pause < kPausesInSeries; ++pause) {
      schedule_.push_back(MakePause(at));
      at += schedule_.back().length_ + Draw(milliseconds(200), kMaxQuiet);
    }
    for (int pause = 0; pause < kOverlappingPauses; ++pause) {
      schedule_.push_back(MakePause(at + Draw(milliseconds(0), kOverlapTime)));
    }
    AddChanges(at + kOverlapTime);
    std::stable_sort(
      schedule_.begin(),
      schedule_.end(),
      [](const auto& aOne, const auto& aTwo) { return aOne.at_ < aTwo.at_; });
    return std::move(schedule_);
  }

private:
  std::size_t Draw(std::size_t aMin, std::size_t aMax)
  {
    return std::uniform_int_distribution<std::size_t>(aMin, aMax)(random_);
  }

  milliseconds Draw(milliseconds aMin, milliseconds aMax)
  {
    return milliseconds(
      std::uniform_int_distribution(aMin.count(), aMax.count())(random_));
  }

  std::size_t SizeOf(SoakTarget aTarget) const
  {
    switch (aTarget) {
      case SoakTarget::kEngines:
      case SoakTarget::kLinks:
      case SoakTarget::kDrain:
        return size_.engines_;
      case SoakTarget::kHosts:
      case SoakTarget::kStop:
        return size_.hosts_;
      default:
        return 1;
    }
  }

  // Chooses all, half or one of a kind.
  SoakAction MakePause(milliseconds aAt)
  {
    const auto last = static_cast<std::size_t>(SoakTarget::kMachine);
    const auto target = static_cast<SoakTarget>(Draw(0, last));
    const std::size_t size = SizeOf(target);
    const std::size_t counts[] = { size, (size + 1) / 2, 1 };
    return { .at_ = aAt,
             .target_ = target,
             .first_ = Draw(0, size - 1),
             .count_ = counts[Draw(0, 2)],
             .length_ = Draw(kMinPause, kMaxPause) };
  }

  void AddChanges(milliseconds aEnd)
  {
    constexpr SoakTarget kChanges[] = { SoakTarget::kConfiguration,
                                        SoakTarget::kConfiguration,
                                        SoakTarget::kDrain,
                                        SoakTarget::kStop };
    milliseconds at{ 0 };
    while (at < aEnd) {
      const SoakTarget target = kChanges[Draw(0, std::size(kChanges) - 1)];
      schedule_.push_back({ .at_ = at,
                            .target_ = target,
                            .first_ = Draw(0, SizeOf(target) - 1),
                            .length_ = Draw(kMinPause, kMaxPause) });
      at += Draw(milliseconds(200), kMaxChange);
    }
  }

  std::mt19937_64 random_;
  SoakSize size_;
  std::vector<SoakAction> schedule_;
};

} // namespace

std::vector<SoakAction> MakeSoakSchedule(std::uint64_t aSeed, SoakSize aSize)
{
  return ScheduleMaker(aSeed, aSize).Make();
}

std::string Describe(const SoakAction& aAction)
{
  constexpr const char* kNames[] = { "pause engines", "pause links",
                                     "pause hosts",   "pause store",
                                     "pause machine", "change configuration",
                                     "drain engine",  "stop host" };
  return std::to_string(aAction.at_.count()) +
         " ms: " + kNames[static_cast<std::size_t>(aAction.target_)] + ", " +
         std::to_string(aAction.count_) + " from " +
         std::to_string(aAction.first_) + ", " +
         std::to_string(aAction.length_.count()) + " ms";
}

} // namespace gooseberrylift::test
