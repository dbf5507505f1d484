#include "gooseberrylift/limits/gooseberrylift-poison-request-detector.h"

#include <algorithm>
#include <utility>

namespace gooseberrylift {

void PoisonRequestDetector::OnAnswered(const RequestFeatures& aFeatures,
                                       WallTime aBegunAt)
{
  for (const std::string& feature : aFeatures.All()) {
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

void PoisonRequestDetector::OnPeer(const std::vector<QuarantineEntry>& aEntries,
                                   WallTime aNow)
{
  for (const QuarantineEntry& entry : aEntries) {
    const bool isNews = !quarantine_.Contains(entry.fingerprint_, aNow);
    if (isNews && !entry.released_ && IsPartFeature(entry.fingerprint_)) {
      Displace(entry.fingerprint_, aNow);
    }
  }
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
  for (const std::string& feature : aFeatures.All()) {
    if (quarantine_.Contains(feature, aNow)) {
      return feature;
    }
  }
  return std::nullopt;
}

std::optional<std::string> PoisonRequestDetector::TryProbe(
  const RequestFeatures& aFeatures,
  WallTime aNow)
{
  std::optional<std::string> quarantined;
  for (const std::string& feature : aFeatures.All()) {
    if (!quarantine_.Contains(feature, aNow)) {
      continue;
    }
    const ArrivalCounts arrivals = arrivals_.Of(feature);
    const bool isPopular =
      static_cast<double>(arrivals.with_) >=
      options_.minProbedShare_ * static_cast<double>(arrivals.all_);
    if (quarantined || !IsPartFeature(feature) || !isPopular) {
      return std::nullopt; // its answer would not tell which feature is sound
    }
    quarantined = feature;
  }
  if (!quarantined) {
    return std::nullopt;
  }
  ProbeSchedule& schedule =
    probes_
      .try_emplace(*quarantined,
                   ProbeSchedule{ .next_ = aNow + options_.firstProbe_,
                                  .interval_ = options_.firstProbe_ })
      .first->second;
  if (aNow < schedule.next_) {
    return std::nullopt;
  }
  schedule.interval_ *= options_.probeIntervalGrowth_;
  schedule.next_ = aNow + schedule.interval_;
  return quarantined;
}

void PoisonRequestDetector::OnProbeNotRun(const std::string& aFeature,
                                          bool aSent,
                                          WallTime aNow)
{
  const auto found = probes_.find(aFeature);
  if (found == probes_.end()) {
    return; // the quarantine has ended
  }
  ProbeSchedule& schedule = found->second;
  const auto interval = std::max(
    schedule.interval_ / options_.probeIntervalGrowth_, options_.firstProbe_);
  if (aSent) {
    schedule.next_ = aNow + interval; // the intervals of arrivals still grow
    return;
  }
  schedule.interval_ = interval;
  schedule.next_ = aNow + options_.unsentProbeRetry_;
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
                                         return aEntry.second.Accuses(aPart);
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
  const Suspicions suspicions = CollectSuspicions(CollectCrashes(aNow));
  using Weighted = std::pair<std::size_t, CrashReport>;
  std::vector<Weighted> weighted;
  for (CrashReport& report : aReports) {
    std::size_t weight = 0;
    for (const RequestFeatures& request : report.accused_) {
      for (const std::string& feature : request.All()) {
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
  std::erase_if(displaced_, [&](const auto& aEntry) {
    return aNow - aEntry.second > options_.history_.window_;
  });
  std::erase_if(probes_, [&](const auto& aEntry) {
    return !quarantine_.Contains(aEntry.first, aNow);
  });
  if (!history_.All().empty()) {
    Decide(aNow);
  }
}

bool PoisonRequestDetector::IsClearedOf(const std::string& aFeature,
                                        const EndpointCrash& aCrash) const
{
  const auto sound = sound_.Find(aFeature);
  if (sound && *sound >= aCrash.At()) {
    return true;
  }
  const auto displaced = displaced_.find(aFeature);
  return displaced != displaced_.end() && displaced->second >= aCrash.At();
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

// Returns the confirmed crashes that no quarantined part explains.
PoisonRequestDetector::CrashList PoisonRequestDetector::CollectCrashes(
  WallTime aNow) const
{
  CrashList list;
  const CrashHistory::Crashes& crashes = history_.All();
  for (auto crash = crashes.begin(); crash != crashes.end(); ++crash) {
    if (crash->second.confirmed_ && !IsExplained(crash->second, aNow)) {
      list.push_back(crash);
    }
  }
  return list;
}

PoisonRequestDetector::Suspicions PoisonRequestDetector::CollectSuspicions(
  const CrashList& aCrashes) const
{
  Suspicions all;
  for (const auto& crash : aCrashes) {
    const EndpointCrash& record = crash->second;
    for (const RequestFeatures& request : record.accused_) {
      for (const std::string& feature : request.All()) {
        if (IsClearedOf(feature, record)) {
          continue;
        }
        Suspicion& suspicion = all[feature];
        suspicion.contents_.insert(request.content_);
        ++suspicion.accused_;
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

void PoisonRequestDetector::Decide(WallTime aNow)
{
  while (true) {
    const CrashList crashes = CollectCrashes(aNow);
    const Suspicions suspicions = CollectSuspicions(crashes);
    const Verdict verdict = FindProven(suspicions, crashes, aNow);
    if (verdict.features_.empty()) {
      return;
    }
    const WallTime firstCrash =
      verdict.features_.front()->second.crashes_.front()->second.At();
    if (verdict.contested_ && aNow - firstCrash < options_.tieTime_) {
      return;
    }
    for (const auto& entry : verdict.features_) {
      if (IsPartFeature(entry->first)) {
        Displace(entry->first, aNow);
      }
    }
    for (const auto& entry : verdict.features_) {
      Quarantine(entry->first, entry->second, aNow);
    }
  }
}

// Records which more popular parts the crashes of a part, which is about to be
// quarantined, explain.
void PoisonRequestDetector::Displace(const std::string& aPart, WallTime aNow)
{
  const Suspicions suspicions = CollectSuspicions(CollectCrashes(aNow));
  const auto blamed = suspicions.find(aPart);
  if (blamed == suspicions.end()) {
    return;
  }
  for (const auto& entry : suspicions) {
    if (IsPartFeature(entry.first) && IsRarer(*blamed, entry) &&
        Explains(*blamed, entry.second)) {
      displaced_[entry.first] = aNow;
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
