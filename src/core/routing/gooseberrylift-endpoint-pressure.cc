#include "gooseberrylift/routing/gooseberrylift-endpoint-pressure.h"

#include <algorithm>
#include <limits>
#include <set>

#include <xxhash.h>

namespace gooseberrylift {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Additional requests counted for each slot of an endpoint. Twice its slots
// make it worse than an endpoint with a full queue, and one that certainly
// rejects is worse than one in its ramp. It isn't more, so that an endpoint
// under pressure is used before all others are far overloaded.
constexpr int kRampWeight = 2;
constexpr int kHoldWeight = 3;

// The same if only other hosts know of the pressure: the endpoint is used when
// the others are full.
constexpr int kReportedWeight = 1;

// Doublings of a hold beyond this exceed any limit.
constexpr int kMaxDoublings = 10;

// An endpoint at which this host has nothing but pressure to tell has not been
// silent to any request. A host that doesn't know pressure would take zero for
// data that just arrived.
constexpr milliseconds kNoRequestSilence{ 3'600'000 };

// Returns a number from 0 to 1 that depends on the request and the endpoint.
double DrawFor(const std::string& aEndpoint, std::uint64_t aDraw)
{
  constexpr double kRange =
    static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const auto hash =
    XXH3_64bits_withSeed(aEndpoint.data(), aEndpoint.size(), aDraw);
  return static_cast<double>(hash) / kRange;
}

bool IsPreferred(const PlacementCandidate& aCandidate)
{
  return !aCandidate.avoided_ && !aCandidate.tried_;
}

} // namespace

const char* NameOf(PressureCause aCause)
{
  switch (aCause) {
    case PressureCause::kRejected:
      return "rejected";
    case PressureCause::kBackedOff:
      return "backed-off";
    case PressureCause::kEjected:
      return "ejected";
    case PressureCause::kReturned:
      return "returned";
  }
  return "";
}

milliseconds EndpointPressure::HoldFor(int aRejections) const
{
  const int doublings = std::clamp(aRejections - 1, 0, kMaxDoublings);
  return std::min(options_.initialHold_ * (1 << doublings), options_.maxHold_);
}

// Begins a hold, or makes the current one longer.
void EndpointPressure::Hold(Record& aRecord,
                            PressureCause aCause,
                            milliseconds aDuration,
                            TimePoint aNow)
{
  if (aNow >= aRecord.heldUntil_) {
    aRecord.heldFrom_ = aNow;
    aRecord.cause_ = aCause;
  }
  if (!aRecord.isOpen_) {
    aRecord.isNew_ = true;
    aRecord.isOpen_ = true;
  }
  aRecord.heldUntil_ = std::max(aRecord.heldUntil_, aNow + aDuration);
  const milliseconds ramp =
    std::clamp(aDuration, options_.initialHold_, options_.maxRamp_);
  aRecord.rampUntil_ = std::max(aRecord.rampUntil_, aRecord.heldUntil_ + ramp);
}

bool EndpointPressure::OnRejected(const std::string& aEndpoint,
                                  TimePoint aSentAt,
                                  TimePoint aNow)
{
  Record& record = records_[aEndpoint];
  if (aNow < record.ownBackoffUntil_ ||
      (record.rejections_ > 0 && aSentAt < record.heldFrom_)) {
    return false;
  }
  const bool isNew = aNow >= record.heldUntil_ || record.rejections_ == 0;
  record.rejections_ += isNew ? 1 : 0;
  record.told_ = false;
  record.trustedUntil_ = {};
  const milliseconds hold = HoldFor(record.rejections_);
  Hold(record, PressureCause::kRejected, hold, aNow);
  record.ownRejectionUntil_ = aNow + std::max(hold, options_.minReporting_);
  return isNew;
}

void EndpointPressure::OnAnswered(const std::string& aEndpoint,
                                  TimePoint aSentAt,
                                  TimePoint aNow)
{
  const auto found = records_.find(aEndpoint);
  if (found == records_.end() || aSentAt < found->second.heldFrom_) {
    return;
  }
  Record& record = found->second;
  record.rejections_ /= 2;
  // The ramp begins now, as long as it was.
  const auto early = std::max(record.heldUntil_, aNow) - aNow;
  record.heldUntil_ -= early;
  record.rampUntil_ -= early;
  record.ownRejectionUntil_ = std::min(record.ownRejectionUntil_, aNow);
  record.trustedUntil_ = aNow + options_.trust_;
}

void EndpointPressure::OnBackoff(const std::string& aEndpoint,
                                 milliseconds aDuration,
                                 TimePoint aNow)
{
  Record& record = records_[aEndpoint];
  record.told_ = false;
  record.trustedUntil_ = {};
  record.ownBackoffUntil_ = std::max(record.ownBackoffUntil_, aNow + aDuration);
  Hold(record, PressureCause::kBackedOff, aDuration, aNow);
}

void EndpointPressure::OnEjected(const std::string& aEndpoint,
                                 TimePoint aUntil,
                                 TimePoint aNow)
{
  Hold(records_[aEndpoint],
       PressureCause::kEjected,
       duration_cast<milliseconds>(aUntil - aNow),
       aNow);
}

void EndpointPressure::OnReturned(const std::string& aEndpoint, TimePoint aNow)
{
  records_[aEndpoint] = { .cause_ = PressureCause::kReturned,
                          .heldFrom_ = aNow,
                          .heldUntil_ = aNow,
                          .rampUntil_ = aNow + options_.maxRamp_ };
}

// Returns whether a report of another host counts. What this host itself saw
// counts more.
bool EndpointPressure::AppliesPeerReport(const Record& aRecord, TimePoint aNow)
{
  return aNow >= aRecord.trustedUntil_ &&
         (aRecord.told_ || aNow >= aRecord.heldUntil_);
}

void EndpointPressure::OnPeerReport(const EndpointShare& aShare, TimePoint aNow)
{
  if (aShare.rejections_ <= 0 && aShare.backoff_.count() <= 0) {
    return;
  }
  Record& record = records_[aShare.id_];
  if (!AppliesPeerReport(record, aNow)) {
    return;
  }
  // Hosts report the same rejection several times and through others. Only a
  // higher number than the known one is a new rejection.
  if (aShare.rejections_ > record.rejections_) {
    ++record.rejections_;
    record.told_ = true;
    Hold(record, PressureCause::kRejected, HoldFor(record.rejections_), aNow);
  }
  if (aShare.backoff_.count() > 0) {
    record.told_ = true;
    Hold(record,
         PressureCause::kBackedOff,
         std::min(aShare.backoff_, options_.maxReportedBackoff_),
         aNow);
  }
}

void EndpointPressure::AddReportsTo(const Record& aRecord,
                                    EndpointShare& aShare,
                                    TimePoint aNow)
{
  if (aNow < aRecord.ownRejectionUntil_) {
    aShare.rejections_ = std::max(aShare.rejections_, aRecord.rejections_);
  }
  if (aNow < aRecord.ownBackoffUntil_) {
    aShare.backoff_ = std::max(
      aShare.backoff_,
      std::chrono::ceil<milliseconds>(aRecord.ownBackoffUntil_ - aNow));
  }
}

void EndpointPressure::AddReportsTo(EndpointShare& aShare, TimePoint aNow) const
{
  const auto found = records_.find(aShare.id_);
  if (found != records_.end()) {
    AddReportsTo(found->second, aShare, aNow);
  }
}

void EndpointPressure::AddReportsTo(std::vector<EndpointShare>& aShares,
                                    TimePoint aNow) const
{
  if (records_.empty()) {
    return;
  }
  std::set<std::string> present;
  for (EndpointShare& share : aShares) {
    present.insert(share.id_);
    AddReportsTo(share, aNow);
  }
  for (const auto& [id, record] : records_) {
    if (present.contains(id)) {
      continue;
    }
    EndpointShare share{ .id_ = id, .silent_ = kNoRequestSilence };
    AddReportsTo(record, share, aNow);
    if (share.rejections_ > 0 || share.backoff_.count() > 0) {
      aShares.push_back(std::move(share));
    }
  }
}

// Returns the requests to be counted for each slot of an endpoint.
int EndpointPressure::SlotsPerSlot(const std::string& aEndpoint,
                                   std::uint64_t aDraw,
                                   std::size_t aCandidates,
                                   TimePoint aNow) const
{
  const auto found = records_.find(aEndpoint);
  if (found == records_.end()) {
    return 0;
  }
  const Record& record = found->second;
  if (aNow < record.heldUntil_) {
    return record.told_ ? kReportedWeight : kHoldWeight;
  }
  if (aNow >= record.rampUntil_) {
    return 0;
  }
  const std::chrono::duration<double> ramp =
    record.rampUntil_ - record.heldUntil_;
  const std::chrono::duration<double> elapsed = aNow - record.heldUntil_;
  const double start =
    record.cause_ == PressureCause::kReturned ? options_.returnedRampStart_ : 0;
  const double progress = start + (1 - start) * (elapsed / ramp);
  const double admitted =
    progress * options_.rampHeadroom_ /
    static_cast<double>(std::max<std::size_t>(aCandidates, 1));
  if (DrawFor(aEndpoint, aDraw) < admitted) {
    return 0;
  }
  return record.told_ ? kReportedWeight : kRampWeight;
}

std::size_t EndpointPressure::AddTo(
  std::vector<PlacementCandidate>& aCandidates,
  std::uint64_t aDraw,
  TimePoint aNow) const
{
  if (records_.empty()) {
    return 0;
  }
  const bool anyPreferred =
    std::any_of(aCandidates.begin(), aCandidates.end(), IsPreferred);
  std::vector<int> weights;
  weights.reserve(aCandidates.size());
  int least = std::numeric_limits<int>::max();
  for (const PlacementCandidate& candidate : aCandidates) {
    weights.push_back(
      SlotsPerSlot(candidate.endpoint_->id_, aDraw, aCandidates.size(), aNow));
    if (!anyPreferred || IsPreferred(candidate)) {
      least = std::min(least, weights.back());
    }
  }
  std::size_t pressed = 0;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    PlacementCandidate& candidate = aCandidates[index];
    pressed += weights[index] > 0 ? 1 : 0;
    EndpointLoad& load = candidate.load_;
    load.pressure_ = std::max(weights[index] - least, 0) *
                     std::max(candidate.endpoint_->slots_, 1);
    load.running_ += load.pressure_;
  }
  return pressed;
}

void EndpointPressure::Report(const std::string& aEndpoint,
                              Record& aRecord,
                              TimePoint aNow,
                              std::vector<PressureChange>& aChanges)
{
  PressureChange change{ .endpoint_ = aEndpoint,
                         .cause_ = aRecord.cause_,
                         .told_ = aRecord.told_,
                         .rejections_ = aRecord.rejections_,
                         .remaining_ = duration_cast<milliseconds>(
                           std::max(aRecord.rampUntil_, aNow) - aNow) };
  if (aRecord.isNew_) {
    aRecord.isNew_ = false;
    change.began_ = true;
    aChanges.push_back(change);
  }
  if (aRecord.isOpen_ && aNow >= aRecord.rampUntil_) {
    aRecord.isOpen_ = false;
    change.began_ = false;
    aChanges.push_back(change);
  }
}

std::vector<PressureChange> EndpointPressure::Sweep(TimePoint aNow)
{
  std::vector<PressureChange> changes;
  for (auto& [endpoint, record] : records_) {
    Report(endpoint, record, aNow, changes);
  }
  std::erase_if(records_, [&](const auto& aEntry) {
    const Record& record = aEntry.second;
    return aNow >= std::max({ record.rampUntil_,
                              record.trustedUntil_,
                              record.ownRejectionUntil_ }) +
                     options_.memory_;
  });
  return changes;
}

} // namespace gooseberrylift
