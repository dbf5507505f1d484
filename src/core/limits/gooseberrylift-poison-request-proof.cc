// The part of PoisonRequestDetector that decides which features crashes prove
// to be their cause.

#include "gooseberrylift/limits/gooseberrylift-poison-request-detector.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include <boost/math/distributions/binomial.hpp>

namespace gooseberrylift {

namespace {

// Of two parts whose popularities differ less, either may be the rarer one.
constexpr std::uint64_t kClearlyMorePopular = 2;

// Returns the probability of at least aSuccesses in aTrials.
double BinomialTail(std::size_t aTrials, std::size_t aSuccesses, double aChance)
{
  if (aSuccesses == 0) {
    return 1;
  }
  const boost::math::binomial distribution(static_cast<double>(aTrials),
                                           aChance);
  return boost::math::cdf(
    boost::math::complement(distribution, static_cast<double>(aSuccesses - 1)));
}

} // namespace

// Returns whether other endpoints crashed at about the same time without
// running a request with the feature.
bool PoisonRequestDetector::IsInGroup(const std::string& aFeature,
                                      const EndpointCrash& aCrash) const
{
  const auto others = std::count_if(
    history_.All().begin(), history_.All().end(), [&](const auto& aEntry) {
      const EndpointCrash& other = aEntry.second;
      const auto apart = other.At() > aCrash.At() ? other.At() - aCrash.At()
                                                  : aCrash.At() - other.At();
      return other.confirmed_ && apart <= options_.groupTime_ &&
             !other.Accuses(aFeature);
    });
  return static_cast<std::size_t>(others) >= options_.groupSize_;
}

// Counts the crashes that happened one after the other: the later endpoint ran
// after the earlier one had crashed, or there is enough time between them.
std::size_t PoisonRequestDetector::CountMoments(
  const std::string& aFeature,
  const Suspicion& aSuspicion) const
{
  std::size_t moments = 0;
  WallTime last{};
  for (const auto& crash : aSuspicion.crashes_) {
    const EndpointCrash& record = crash->second;
    const bool ranLater =
      record.aliveAt_ > last && !IsInGroup(aFeature, record);
    if (moments == 0 || ranLater || record.At() - last >= options_.momentGap_) {
      ++moments;
      last = record.At();
    }
  }
  return moments;
}

// Returns whether a feature of other requests was part of all crashes that
// accuse a content.
bool PoisonRequestDetector::IsShared(const std::string& aContent,
                                     const Suspicion& aSuspicion) const
{
  std::map<std::string, std::size_t> counts; // crashes by feature of others
  std::set<std::string> own;
  for (const auto& crash : aSuspicion.crashes_) {
    std::set<std::string> others;
    for (const RequestFeatures& request : crash->second.accused_) {
      const auto features = request.All();
      if (request.content_ == aContent) {
        own.insert(features.begin(), features.end());
        continue;
      }
      for (const std::string& feature : features) {
        if (!IsClearedOf(feature, crash->second)) {
          others.insert(feature);
        }
      }
    }
    for (const std::string& feature : others) {
      ++counts[feature];
    }
  }
  return std::any_of(counts.begin(), counts.end(), [&](const auto& aEntry) {
    return aEntry.second == aSuspicion.crashes_.size() &&
           !own.contains(aEntry.first);
  });
}

bool PoisonRequestDetector::IsProven(const std::string& aFeature,
                                     const Suspicion& aSuspicion,
                                     const CrashList& aAll,
                                     WallTime aNow) const
{
  const bool isPart = IsPartFeature(aFeature);
  if (aSuspicion.crashes_.size() <
      std::min(options_.contentThreshold_, options_.partThreshold_)) {
    return false; // most features; what follows takes longer
  }
  if (isPart && (aSuspicion.contents_.size() < options_.partContents_ ||
                 !HasRequestsWithout(aFeature))) {
    return false;
  }
  std::size_t threshold = options_.partThreshold_;
  if (!isPart && !aSuspicion.wasSound_) {
    const bool doubtful =
      IsShared(aFeature, aSuspicion) ||
      std::any_of(aSuspicion.crashes_.begin(),
                  aSuspicion.crashes_.end(),
                  [&](const auto& aCrash) {
                    return IsInGroup(aFeature, aCrash->second);
                  });
    threshold = doubtful ? options_.doubtfulContentThreshold_
                         : options_.contentThreshold_;
  }
  if (CountMoments(aFeature, aSuspicion) < threshold) {
    return false;
  }
  const WallTime first = aSuspicion.crashes_.front()->second.At();
  if (aSuspicion.wasSound_ &&
      aSuspicion.crashes_.back()->second.At() - first < options_.settleTime_) {
    return false;
  }
  return !isPart || aNow - first >= options_.settleTime_ ||
         !IsCoincidence(aFeature, aAll, aSuspicion.crashes_.size());
}

bool PoisonRequestDetector::HasRequestsWithout(const std::string& aPart) const
{
  const ArrivalCounts counts = arrivals_.Of(aPart);
  const std::uint64_t without = counts.all_ - counts.with_;
  return without >= options_.minRequestsWithoutPart_ &&
         static_cast<double>(without) >=
           options_.minShareWithoutPart_ * static_cast<double>(counts.all_);
}

// Returns how many of the requests that this host knows of have a part: those
// that arrived here, and those that crashes at any host accuse.
std::uint64_t PoisonRequestDetector::PopularityOf(
  const Suspicions::value_type& aPart) const
{
  return arrivals_.Of(aPart.first).with_ + aPart.second.accused_;
}

// Returns how likely a crash accuses a part that has nothing to do with it: one
// of the requests that had just begun may have it.
double PoisonRequestDetector::ChanceOf(const std::string& aPart,
                                       const EndpointCrash& aCrash) const
{
  const ArrivalCounts counts = arrivals_.Of(aPart);
  const double share = (static_cast<double>(counts.with_) + 1) /
                       (static_cast<double>(counts.all_) + 2);
  return 1 - std::pow(1 - share, static_cast<double>(aCrash.accused_.size()));
}

// Returns whether a part that has nothing to do with some crashes may be
// accused by this many of them.
bool PoisonRequestDetector::IsCoincidence(const std::string& aPart,
                                          const CrashList& aCrashes,
                                          std::size_t aAccusing) const
{
  double sum = 0;
  for (const auto& crash : aCrashes) {
    sum += ChanceOf(aPart, crash->second);
  }
  const double chance = sum / static_cast<double>(aCrashes.size());
  return BinomialTail(aCrashes.size(), aAccusing, std::min(chance, 1.0)) >
         options_.maxCoincidence_;
}

// Returns whether a part explains the crashes of another one: it was part of
// nearly all of them, and not by chance.
bool PoisonRequestDetector::Explains(const Suspicions::value_type& aOne,
                                     const Suspicion& aOther) const
{
  const auto& own = aOne.second.crashes_;
  const auto common = static_cast<std::size_t>(std::count_if(
    aOther.crashes_.begin(), aOther.crashes_.end(), [&](const auto& aCrash) {
      return std::find(own.begin(), own.end(), aCrash) != own.end();
    }));
  return static_cast<double>(common) >=
           options_.explainedShare_ *
             static_cast<double>(aOther.crashes_.size()) &&
         !IsCoincidence(aOne.first, aOther.crashes_, common);
}

// Returns the proven features that explain most crashes, all of them the same
// ones. What was part of fewer crashes is judged by the others.
PoisonRequestDetector::Verdict PoisonRequestDetector::FindProven(
  const Suspicions& aAll,
  const CrashList& aCrashes,
  WallTime aNow) const
{
  const auto rankOf = [](const Suspicion& aSuspicion) {
    return std::pair(!aSuspicion.wasSound_, aSuspicion.crashes_.size());
  };
  Verdict verdict;
  auto& leaders = verdict.features_;
  for (auto entry = aAll.begin(); entry != aAll.end(); ++entry) {
    if (quarantine_.Contains(entry->first, aNow) ||
        !IsProven(entry->first, entry->second, aCrashes, aNow)) {
      continue;
    }
    if (!leaders.empty() &&
        rankOf(entry->second) > rankOf(leaders.front()->second)) {
      leaders.clear();
    }
    if (leaders.empty() ||
        (entry->second.wasSound_ == leaders.front()->second.wasSound_ &&
         entry->second.crashes_ == leaders.front()->second.crashes_)) {
      leaders.push_back(entry);
    }
  }
  BlameRarerPart(verdict, aAll, aCrashes, aNow);
  return verdict;
}

// Returns whether clearly fewer requests have one part than the other.
bool PoisonRequestDetector::IsRarer(const Suspicions::value_type& aPart,
                                    const Suspicions::value_type& aThan) const
{
  return kClearlyMorePopular * PopularityOf(aPart) <= PopularityOf(aThan);
}

// Replaces the parts of a verdict by a rarer part that explains their crashes.
// A part that more requests have is in these crashes by chance.
void PoisonRequestDetector::BlameRarerPart(Verdict& aVerdict,
                                           const Suspicions& aAll,
                                           const CrashList& aCrashes,
                                           WallTime aNow) const
{
  const auto isRarer = [this](const auto& aOne, const auto& aTwo) {
    return PopularityOf(*aOne) < PopularityOf(*aTwo);
  };
  auto& features = aVerdict.features_;
  std::vector<Suspicions::const_iterator> parts;
  std::copy_if(features.begin(),
               features.end(),
               std::back_inserter(parts),
               [](const auto& aEntry) { return IsPartFeature(aEntry->first); });
  if (parts.empty()) {
    return;
  }
  auto blamed = *std::min_element(parts.begin(), parts.end(), isRarer);
  const auto leader = blamed;
  for (auto entry = aAll.begin(); entry != aAll.end(); ++entry) {
    const auto& [feature, suspicion] = *entry;
    const bool isRival = IsPartFeature(feature) && IsRarer(*entry, *leader) &&
                         (!suspicion.wasSound_ || leader->second.wasSound_) &&
                         Explains(*entry, leader->second);
    aVerdict.contested_ = aVerdict.contested_ || isRival;
    if (isRival && isRarer(entry, blamed) &&
        IsProven(feature, suspicion, aCrashes, aNow)) {
      blamed = entry;
    }
  }
  std::erase_if(features, [&](const auto& aEntry) {
    return IsPartFeature(aEntry->first) &&
           (blamed != leader || IsRarer(*leader, *aEntry));
  });
  if (blamed != leader) {
    features.push_back(blamed);
  }
  const auto left =
    std::count_if(features.begin(), features.end(), [](const auto& aEntry) {
      return IsPartFeature(aEntry->first);
    });
  aVerdict.contested_ = aVerdict.contested_ || left > 1;
}

} // namespace gooseberrylift
