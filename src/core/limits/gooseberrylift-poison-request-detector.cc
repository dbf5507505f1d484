#include "gooseberrylift/limits/gooseberrylift-poison-request-detector.h"

#include <algorithm>
#include <utility>

namespace gooseberrylift {

namespace {

std::vector<std::string> FeaturesOf(const RequestFeatures& aRequest)
{
  std::vector<std::string> features = aRequest.parts_;
  features.push_back(aRequest.content_);
  return features;
}

bool HasFeature(const RequestFeatures& aRequest, const std::string& aFeature)
{
  return aRequest.content_ == aFeature ||
         std::find(aRequest.parts_.begin(), aRequest.parts_.end(), aFeature) !=
           aRequest.parts_.end();
}

bool Accuses(const EndpointCrash& aCrash, const std::string& aFeature)
{
  return std::any_of(aCrash.accused_.begin(),
                     aCrash.accused_.end(),
                     [&](const RequestFeatures& aRequest) {
                       return HasFeature(aRequest, aFeature);
                     });
}

} // namespace

void PoisonRequestDetector::OnAnswered(const RequestFeatures& aFeatures,
                                       WallTime aBegunAt)
{
  for (const std::string& feature : FeaturesOf(aFeatures)) {
    Clear(feature, aBegunAt);
  }
}

void PoisonRequestDetector::Clear(const std::string& aFeature,
                                  WallTime aBegunAt)
{
  sound_.OnAnswered(aFeature, aBegunAt);
  if (!quarantine_.IsEmpty() && quarantine_.Release(aFeature, aBegunAt)) {
    changes_.push_back({ .feature_ = aFeature, .released_ = true });
  }
}

void PoisonRequestDetector::OnConnectionLost(const BrokenAttempt& aAttempt,
                                             WallTime aNow)
{
  history_.OnConnectionLost(aAttempt, aNow);
  if (history_.HasExited(aAttempt.endpoint_)) {
    Decide(aNow);
  }
}

bool PoisonRequestDetector::OnEndpointExit(const std::string& aEndpoint,
                                           WallTime aNow)
{
  const bool isNews = history_.OnExit(aEndpoint, aNow);
  Decide(aNow);
  return isNews;
}

void PoisonRequestDetector::OnEndpointAlive(const std::string& aEndpoint)
{
  history_.OnAlive(aEndpoint);
}

void PoisonRequestDetector::OnPeer(const std::vector<QuarantineEntry>& aEntries)
{
  for (const QuarantineEntry& entry : quarantine_.OnPeer(aEntries)) {
    changes_.push_back({ .feature_ = entry.fingerprint_,
                         .released_ = entry.released_,
                         .fromPeer_ = true });
  }
}

bool PoisonRequestDetector::OnPeerEvidence(const CrashEvidence& aEvidence,
                                           WallTime aNow)
{
  // First, so that no feature is quarantined that the same message clears.
  for (const SoundFeature& sound : aEvidence.sound_) {
    if (sound.at_ <= aNow + options_.history_.maxClockSkew_) {
      Clear(sound.feature_, sound.at_);
    }
  }
  bool isNews = false;
  for (const CrashReport& report : aEvidence.crashes_) {
    isNews = history_.OnReport(report, aNow) || isNews;
  }
  if (isNews) {
    Decide(aNow);
  }
  return isNews;
}

std::vector<QuarantineChange> PoisonRequestDetector::TakeChanges()
{
  return std::exchange(changes_, {});
}

std::optional<std::string> PoisonRequestDetector::FindQuarantined(
  const RequestFeatures& aFeatures,
  WallTime aNow) const
{
  if (quarantine_.IsEmpty()) {
    return std::nullopt;
  }
  for (const std::string& feature : FeaturesOf(aFeatures)) {
    if (quarantine_.Contains(feature, aNow)) {
      return feature;
    }
  }
  return std::nullopt;
}

bool PoisonRequestDetector::IsSuspect(const RequestFeatures& aFeatures) const
{
  if (history_.All().empty()) {
    return false;
  }
  return std::any_of(aFeatures.parts_.begin(),
                     aFeatures.parts_.end(),
                     [&](const std::string& aPart) {
                       const auto crashes =
                         std::count_if(history_.All().begin(),
                                       history_.All().end(),
                                       [&](const auto& aEntry) {
                                         return Accuses(aEntry.second, aPart);
                                       });
                       return crashes > 1 && !sound_.Find(aPart);
                     });
}

CrashEvidence PoisonRequestDetector::Evidence(WallTime aNow) const
{
  CrashEvidence evidence{ .crashes_ = history_.Reports(aNow) };
  if (evidence.crashes_.empty()) {
    return evidence;
  }
  if (evidence.crashes_.size() > options_.maxReportedCrashes_) {
    KeepMostTelling(evidence.crashes_, aNow);
  }
  std::set<std::string> accused;
  for (const CrashReport& report : evidence.crashes_) {
    for (const RequestFeatures& request : report.accused_) {
      accused.insert(request.parts_.begin(), request.parts_.end());
    }
  }
  for (const std::string& feature : accused) {
    if (const auto at = sound_.Find(feature)) {
      evidence.sound_.push_back({ .feature_ = feature, .at_ = *at });
    }
  }
  return evidence;
}

// Of many crashes at once, keeps those whose requests were part of several: the
// others prove nothing yet.
void PoisonRequestDetector::KeepMostTelling(std::vector<CrashReport>& aReports,
                                            WallTime aNow) const
{
  const Suspicions suspicions = CollectSuspicions(aNow);
  using Weighted = std::pair<std::size_t, CrashReport>;
  std::vector<Weighted> weighted;
  for (CrashReport& report : aReports) {
    std::size_t weight = 0;
    for (const RequestFeatures& request : report.accused_) {
      for (const std::string& feature : FeaturesOf(request)) {
        const auto found = suspicions.find(feature);
        if (found != suspicions.end() && !found->second.wasSound_) {
          weight = std::max(weight, found->second.crashes_.size());
        }
      }
    }
    weighted.emplace_back(weight, std::move(report));
  }
  std::sort(weighted.begin(),
            weighted.end(),
            [](const Weighted& aOne, const Weighted& aOther) {
              return std::pair(aOne.first, aOne.second.at_) >
                     std::pair(aOther.first, aOther.second.at_);
            });
  weighted.resize(options_.maxReportedCrashes_);
  aReports.clear();
  for (Weighted& entry : weighted) {
    aReports.push_back(std::move(entry.second));
  }
}

void PoisonRequestDetector::Sweep(WallTime aNow)
{
  history_.Sweep(aNow);
  quarantine_.Sweep(aNow);
  if (!history_.All().empty()) {
    Decide(aNow);
  }
}

bool PoisonRequestDetector::IsClearedOf(const std::string& aFeature,
                                        const EndpointCrash& aCrash) const
{
  const auto sound = sound_.Find(aFeature);
  return sound && *sound >= aCrash.At();
}

bool PoisonRequestDetector::IsExplained(const EndpointCrash& aCrash,
                                        WallTime aNow) const
{
  return std::any_of(aCrash.accused_.begin(),
                     aCrash.accused_.end(),
                     [&](const RequestFeatures& aRequest) {
                       return std::any_of(aRequest.parts_.begin(),
                                          aRequest.parts_.end(),
                                          [&](const std::string& aPart) {
                                            return quarantine_.Contains(aPart,
                                                                        aNow);
                                          });
                     });
}

PoisonRequestDetector::Suspicions PoisonRequestDetector::CollectSuspicions(
  WallTime aNow) const
{
  Suspicions all;
  const CrashHistory::Crashes& crashes = history_.All();
  for (auto crash = crashes.begin(); crash != crashes.end(); ++crash) {
    const EndpointCrash& record = crash->second;
    if (!record.confirmed_ || IsExplained(record, aNow)) {
      continue;
    }
    for (const RequestFeatures& request : record.accused_) {
      for (const std::string& feature : FeaturesOf(request)) {
        if (IsClearedOf(feature, record)) {
          continue;
        }
        Suspicion& suspicion = all[feature];
        suspicion.contents_.insert(request.content_);
        suspicion.wasSound_ = sound_.Find(feature).has_value();
        if (suspicion.crashes_.empty() || suspicion.crashes_.back() != crash) {
          suspicion.crashes_.push_back(crash);
        }
      }
    }
  }
  for (auto& [feature, suspicion] : all) {
    std::sort(suspicion.crashes_.begin(),
              suspicion.crashes_.end(),
              [](const auto& aOne, const auto& aOther) {
                return aOne->second.At() < aOther->second.At();
              });
  }
  return all;
}

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
             !Accuses(other, aFeature);
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
      const auto features = FeaturesOf(request);
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
                                     const Suspicion& aSuspicion) const
{
  const bool isPart = IsPartFeature(aFeature);
  if (aSuspicion.crashes_.size() <
      std::min(options_.contentThreshold_, options_.partThreshold_)) {
    return false; // most features; what follows takes longer
  }
  if (isPart && aSuspicion.contents_.size() < options_.partContents_) {
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
  const auto time = aSuspicion.crashes_.back()->second.At() -
                    aSuspicion.crashes_.front()->second.At();
  return !aSuspicion.wasSound_ || time >= options_.settleTime_;
}

// Returns the proven features that explain most crashes, all of them the same
// ones. What was part of fewer crashes is judged by the others.
std::vector<PoisonRequestDetector::Suspicions::const_iterator>
PoisonRequestDetector::FindProven(const Suspicions& aAll, WallTime aNow) const
{
  const auto rankOf = [](const Suspicion& aSuspicion) {
    return std::pair(!aSuspicion.wasSound_, aSuspicion.crashes_.size());
  };
  std::vector<Suspicions::const_iterator> proven;
  for (auto entry = aAll.begin(); entry != aAll.end(); ++entry) {
    if (quarantine_.Contains(entry->first, aNow) ||
        !IsProven(entry->first, entry->second)) {
      continue;
    }
    if (!proven.empty() &&
        rankOf(entry->second) > rankOf(proven.front()->second)) {
      proven.clear();
    }
    if (proven.empty() ||
        (entry->second.wasSound_ == proven.front()->second.wasSound_ &&
         entry->second.crashes_ == proven.front()->second.crashes_)) {
      proven.push_back(entry);
    }
  }
  return proven;
}

void PoisonRequestDetector::Decide(WallTime aNow)
{
  while (true) {
    const Suspicions suspicions = CollectSuspicions(aNow);
    const auto proven = FindProven(suspicions, aNow);
    if (proven.empty()) {
      return;
    }
    const auto parts =
      std::count_if(proven.begin(), proven.end(), [](const auto& aEntry) {
        return IsPartFeature(aEntry->first);
      });
    const WallTime firstCrash =
      proven.front()->second.crashes_.front()->second.At();
    if (parts > 1 && aNow - firstCrash < options_.tieTime_) {
      return;
    }
    for (const auto& entry : proven) {
      Quarantine(entry->first, entry->second, aNow);
    }
  }
}

void PoisonRequestDetector::Quarantine(const std::string& aFeature,
                                       const Suspicion& aSuspicion,
                                       WallTime aNow)
{
  quarantine_.Add(aFeature, aSuspicion.crashes_.back()->second.At(), aNow);
  QuarantineChange change{ .feature_ = aFeature,
                           .arrivals_ = arrivals_.Of(aFeature) };
  for (const auto& crash : aSuspicion.crashes_) {
    change.endpoints_.push_back(crash->first);
  }
  changes_.push_back(std::move(change));
}

} // namespace gooseberrylift
