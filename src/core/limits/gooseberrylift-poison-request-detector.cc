#include "gooseberrylift/limits/gooseberrylift-poison-request-detector.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include <xxhash.h>

namespace gooseberrylift {

namespace {

template<typename Map, typename Time>
void EvictOldest(Map& aMap, std::size_t aMaxEntries, const Time& aTimeOf)
{
  while (aMap.size() > aMaxEntries) {
    aMap.erase(std::min_element(
      aMap.begin(), aMap.end(), [&](const auto& aLeft, const auto& aRight) {
        return aTimeOf(aLeft.second) < aTimeOf(aRight.second);
      }));
  }
}

} // namespace

std::string RequestFingerprint(std::string_view aTarget,
                               std::string_view aCaller,
                               std::string_view aBody)
{
  // The hash of each part seeds the next one, so that shifting bytes from one
  // part to the next changes the fingerprint.
  std::uint64_t hash = XXH3_64bits(aTarget.data(), aTarget.size());
  hash = XXH3_64bits_withSeed(aCaller.data(), aCaller.size(), hash);
  hash = XXH3_64bits_withSeed(aBody.data(), aBody.size(), hash);
  std::array<char, 17> text{};
  std::snprintf(
    text.data(), text.size(), "%016llx", static_cast<unsigned long long>(hash));
  return text.data();
}

bool PoisonRequestDetector::OnConnectionLost(const std::string& aFingerprint,
                                             const std::string& aEndpoint,
                                             WallTime aNow)
{
  Suspect& suspect = suspects_[aFingerprint];
  if (aNow - suspect.firstLost_ > options_.observationWindow_) {
    suspect = { .lostConnections_ = {}, .firstLost_ = aNow };
  }
  const auto exit = lastExits_.find(aEndpoint);
  const bool crashed = exit != lastExits_.end() &&
                       aNow - exit->second <= options_.confirmationWindow_;
  suspect.lostConnections_[aEndpoint] = { .at_ = aNow, .crashed_ = crashed };
  const bool quarantined = crashed && QuarantineIfConfirmed(aFingerprint, aNow);
  EvictOldest(suspects_, options_.maxEntries_, [](const Suspect& aSuspect) {
    return aSuspect.firstLost_;
  });
  return quarantined;
}

std::vector<std::string> PoisonRequestDetector::OnEndpointExit(
  const std::string& aEndpoint,
  WallTime aNow)
{
  lastExits_[aEndpoint] = aNow;
  EvictOldest(
    lastExits_, options_.maxEntries_, [](WallTime aAt) { return aAt; });
  std::vector<std::string> confirmed;
  for (auto& [fingerprint, suspect] : suspects_) {
    const auto found = suspect.lostConnections_.find(aEndpoint);
    if (found != suspect.lostConnections_.end() && !found->second.crashed_ &&
        aNow - found->second.at_ <= options_.confirmationWindow_) {
      found->second.crashed_ = true;
      confirmed.push_back(fingerprint);
    }
  }
  std::vector<std::string> quarantined;
  for (const std::string& fingerprint : confirmed) {
    if (QuarantineIfConfirmed(fingerprint, aNow)) {
      quarantined.push_back(fingerprint);
    }
  }
  return quarantined;
}

std::set<std::string> PoisonRequestDetector::ConfirmedCrashes(
  const Suspect& aSuspect) const
{
  std::set<std::string> crashed;
  for (const auto& [endpoint, connection] : aSuspect.lostConnections_) {
    if (connection.crashed_) {
      crashed.insert(endpoint);
    }
  }
  return crashed;
}

// Returns whether another request also ran on all of these endpoints when they
// crashed.
bool PoisonRequestDetector::HasSameCrashes(
  const std::string& aFingerprint,
  const std::set<std::string>& aCrashed) const
{
  return std::any_of(
    suspects_.begin(), suspects_.end(), [&](const auto& aEntry) {
      const std::set<std::string> others = ConfirmedCrashes(aEntry.second);
      return aEntry.first != aFingerprint &&
             std::includes(
               others.begin(), others.end(), aCrashed.begin(), aCrashed.end());
    });
}

// Quarantines a request if enough endpoints crashed while they ran it.
bool PoisonRequestDetector::QuarantineIfConfirmed(
  const std::string& aFingerprint,
  WallTime aNow)
{
  const std::set<std::string> crashed =
    ConfirmedCrashes(suspects_.at(aFingerprint));
  if (crashed.size() < options_.crashThreshold_) {
    return false;
  }
  if (crashed.size() < options_.sharedCrashThreshold_ &&
      HasSameCrashes(aFingerprint, crashed)) {
    return false;
  }
  suspects_.erase(aFingerprint);
  quarantine_[aFingerprint] = aNow + options_.quarantineTime_;
  EvictOldest(
    quarantine_, options_.maxEntries_, [](WallTime aUntil) { return aUntil; });
  return true;
}

bool PoisonRequestDetector::IsQuarantined(const std::string& aFingerprint,
                                          WallTime aNow) const
{
  const auto found = quarantine_.find(aFingerprint);
  return found != quarantine_.end() && aNow < found->second;
}

void PoisonRequestDetector::OnPeer(const std::vector<QuarantineEntry>& aEntries)
{
  for (const QuarantineEntry& entry : aEntries) {
    WallTime& until = quarantine_[entry.fingerprint_];
    until = std::max(until, entry.until_);
  }
  EvictOldest(
    quarantine_, options_.maxEntries_, [](WallTime aUntil) { return aUntil; });
}

std::vector<QuarantineEntry> PoisonRequestDetector::Entries(WallTime aNow) const
{
  std::vector<QuarantineEntry> entries;
  for (const auto& [fingerprint, until] : quarantine_) {
    if (aNow < until) {
      entries.push_back(
        { .fingerprint_ = fingerprint, .version_ = 1, .until_ = until });
    }
  }
  return entries;
}

} // namespace gooseberrylift
