#include "gooseberrylift/limits/gooseberrylift-crash-suspects.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include <xxhash.h>

namespace gooseberrylift {

namespace {

template<typename Map, typename Time>
void DropOldest(Map& aMap, std::size_t aMost, const Time& aTimeOf)
{
  while (aMap.size() > aMost) {
    aMap.erase(std::min_element(
      aMap.begin(), aMap.end(), [&](const auto& aLeft, const auto& aRight) {
        return aTimeOf(aLeft.second) < aTimeOf(aRight.second);
      }));
  }
}

} // namespace

std::string FingerprintOf(std::string_view aTarget,
                          std::string_view aCaller,
                          std::string_view aBody)
{
  // Each part is hashed with the one before as its seed, so that no part can
  // pass for the end of another.
  std::uint64_t hash = XXH3_64bits(aTarget.data(), aTarget.size());
  hash = XXH3_64bits_withSeed(aCaller.data(), aCaller.size(), hash);
  hash = XXH3_64bits_withSeed(aBody.data(), aBody.size(), hash);
  std::array<char, 17> text{};
  std::snprintf(
    text.data(), text.size(), "%016llx", static_cast<unsigned long long>(hash));
  return text.data();
}

bool CrashSuspects::OnBroken(const std::string& aFingerprint,
                             const std::string& aEndpoint,
                             WallTime aNow)
{
  Suspect& suspect = suspects_[aFingerprint];
  if (aNow - suspect.first_ > options_.within_) {
    suspect = { .breaks_ = {}, .first_ = aNow };
  }
  const auto ended = ended_.find(aEndpoint);
  const bool proven =
    ended != ended_.end() && aNow - ended->second <= options_.proofWithin_;
  suspect.breaks_[aEndpoint] = { .at_ = aNow, .ended_ = proven };
  const bool quarantined = proven && Judge(aFingerprint, aNow);
  DropOldest(suspects_, options_.most_, [](const Suspect& aSuspect) {
    return aSuspect.first_;
  });
  return quarantined;
}

std::vector<std::string> CrashSuspects::OnEnded(const std::string& aEndpoint,
                                                WallTime aNow)
{
  ended_[aEndpoint] = aNow;
  DropOldest(ended_, options_.most_, [](WallTime aAt) { return aAt; });
  std::vector<std::string> marked;
  for (auto& [fingerprint, suspect] : suspects_) {
    const auto found = suspect.breaks_.find(aEndpoint);
    if (found != suspect.breaks_.end() && !found->second.ended_ &&
        aNow - found->second.at_ <= options_.proofWithin_) {
      found->second.ended_ = true;
      marked.push_back(fingerprint);
    }
  }
  std::vector<std::string> quarantined;
  for (const std::string& fingerprint : marked) {
    if (Judge(fingerprint, aNow)) {
      quarantined.push_back(fingerprint);
    }
  }
  return quarantined;
}

std::set<std::string> CrashSuspects::EndedBy(const Suspect& aSuspect) const
{
  std::set<std::string> ended;
  for (const auto& [endpoint, broken] : aSuspect.breaks_) {
    if (broken.ended_) {
      ended.insert(endpoint);
    }
  }
  return ended;
}

// Says whether another request fell at all of these endpoints as well.
bool CrashSuspects::IsShared(const std::string& aFingerprint,
                             const std::set<std::string>& aEnded) const
{
  return std::any_of(
    suspects_.begin(), suspects_.end(), [&](const auto& aEntry) {
      const std::set<std::string> others = EndedBy(aEntry.second);
      return aEntry.first != aFingerprint &&
             std::includes(
               others.begin(), others.end(), aEnded.begin(), aEnded.end());
    });
}

// Puts a request under quarantine when it has ended enough endpoints.
bool CrashSuspects::Judge(const std::string& aFingerprint, WallTime aNow)
{
  const std::set<std::string> ended = EndedBy(suspects_.at(aFingerprint));
  if (ended.size() < options_.endpoints_) {
    return false;
  }
  if (ended.size() < options_.endpointsIfShared_ &&
      IsShared(aFingerprint, ended)) {
    return false;
  }
  suspects_.erase(aFingerprint);
  quarantine_[aFingerprint] = aNow + options_.quarantine_;
  DropOldest(
    quarantine_, options_.most_, [](WallTime aUntil) { return aUntil; });
  return true;
}

bool CrashSuspects::IsQuarantined(const std::string& aFingerprint,
                                  WallTime aNow) const
{
  const auto found = quarantine_.find(aFingerprint);
  return found != quarantine_.end() && aNow < found->second;
}

void CrashSuspects::OnPeer(const std::vector<QuarantineEntry>& aEntries)
{
  for (const QuarantineEntry& entry : aEntries) {
    WallTime& until = quarantine_[entry.fingerprint_];
    until = std::max(until, entry.until_);
  }
  DropOldest(
    quarantine_, options_.most_, [](WallTime aUntil) { return aUntil; });
}

std::vector<QuarantineEntry> CrashSuspects::Entries(WallTime aNow) const
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
