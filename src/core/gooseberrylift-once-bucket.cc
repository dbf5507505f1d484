#include "gooseberrylift/gooseberrylift-once-bucket.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace gooseberrylift {

using nlohmann::json;

namespace {

// Quotes, names and separators of one record in the store's JSON.
constexpr std::size_t kRecordOverhead = 64;

std::size_t BytesOf(const std::string& aKey, const OnceRecord& aRecord)
{
  return kRecordOverhead + aKey.size() + aRecord.digest_.size() +
         aRecord.nonce_.size() + aRecord.result_.size();
}

std::int64_t MillisecondsOf(WallTime aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           aTime.time_since_epoch())
    .count();
}

json JsonOf(const OnceRecord& aRecord)
{
  json body = { { "d", aRecord.digest_ },
                { "s", static_cast<int>(aRecord.state_) },
                { "u", MillisecondsOf(aRecord.leaseUntil_) } };
  if (!aRecord.nonce_.empty()) {
    body["n"] = aRecord.nonce_;
  }
  if (!aRecord.result_.empty()) {
    body["r"] = aRecord.result_;
  }
  return body;
}

// A record that can't be read stands as kOutcomeUnknown: its call may have run.
OnceRecord RecordOf(const json& aBody)
{
  const int state =
    aBody.value("s", static_cast<int>(OnceState::kOutcomeUnknown));
  return { .digest_ = aBody.value("d", ""),
           .nonce_ = aBody.value("n", ""),
           .state_ =
             state >= 0 && state <= static_cast<int>(OnceState::kOutcomeUnknown)
               ? static_cast<OnceState>(state)
               : OnceState::kOutcomeUnknown,
           .leaseUntil_ = WallTime(
             std::chrono::milliseconds(aBody.value("u", std::int64_t{ 0 }))),
           .result_ = aBody.value("r", "") };
}

OnceBeginResult DecisionOf(const OnceRecord& aRecord, WallTime aNow)
{
  switch (aRecord.state_) {
    case OnceState::kDone:
      return { .beginStatus_ = aRecord.result_.empty()
                                 ? OnceBeginStatus::kResultDropped
                                 : OnceBeginStatus::kReplay,
               .result_ = aRecord.result_ };
    case OnceState::kIntent:
      // The owner may have dispatched and died, so nobody else may: past its
      // lease an intent is as good as lost, but is never given away again.
      return { .beginStatus_ = aNow < aRecord.leaseUntil_
                                 ? OnceBeginStatus::kPending
                                 : OnceBeginStatus::kUnknown };
    case OnceState::kOutcomeUnknown:
      break;
  }
  return { .beginStatus_ = OnceBeginStatus::kUnknown };
}

} // namespace

OnceBucket::OnceBucket(Options aOptions)
  : options_(aOptions)
{
}

OnceBucket OnceBucket::Parse(const json& aSpec, Options aOptions)
{
  OnceBucket bucket(aOptions);
  const json records = aSpec.value("records", json::object());
  for (const auto& [key, body] : records.items()) {
    bucket.Put(key, RecordOf(body));
  }
  return bucket;
}

json OnceBucket::Spec() const
{
  json records = json::object();
  for (const auto& [key, record] : records_) {
    records[key] = JsonOf(record);
  }
  json spec = json::object();
  spec["records"] = std::move(records);
  return spec;
}

OnceBeginResult OnceBucket::Begin(const OnceIntent& aIntent, WallTime aNow)
{
  const auto found = records_.find(aIntent.key_);
  if (found != records_.end()) {
    if (found->second.nonce_ == aIntent.nonce_ &&
        found->second.state_ == OnceState::kIntent) {
      // The write whose answer was lost has taken effect.
      return { .beginStatus_ = OnceBeginStatus::kBegun };
    }
    if (found->second.digest_ != aIntent.digest_) {
      return { .beginStatus_ = OnceBeginStatus::kKeyReused };
    }
    return DecisionOf(found->second, aNow);
  }
  OnceRecord record{ .digest_ = aIntent.digest_,
                     .nonce_ = aIntent.nonce_,
                     .leaseUntil_ = aIntent.leaseUntil_ };
  // Results make room first. A record never does before its retention is over,
  // since a call sent again would then run twice.
  while (bytes_ + BytesOf(aIntent.key_, record) > options_.maxBytes_) {
    const std::size_t before = bytes_;
    DropOldestResult();
    if (bytes_ == before) {
      return { .beginStatus_ = OnceBeginStatus::kBucketFull };
    }
  }
  Put(aIntent.key_, std::move(record));
  return { .beginStatus_ = OnceBeginStatus::kBegun, .changed_ = true };
}

bool OnceBucket::Finish(const std::string& aKey,
                        const std::string& aNonce,
                        OnceState aState,
                        std::string aResult,
                        WallTime aNow)
{
  const auto found = records_.find(aKey);
  if (found == records_.end() || found->second.nonce_ != aNonce) {
    return false;
  }
  OnceRecord record = found->second;
  if (record.state_ != OnceState::kIntent) {
    return false;
  }
  record.state_ = aState;
  record.nonce_.clear(); // nobody owns it any more
  record.leaseUntil_ = aNow;
  record.result_ = std::move(aResult);
  Put(aKey, std::move(record));
  while (bytes_ > options_.maxBytes_) {
    const std::size_t before = bytes_;
    DropOldestResult();
    if (bytes_ == before) {
      break;
    }
  }
  return true;
}

bool OnceBucket::Release(const std::string& aKey, const std::string& aNonce)
{
  const auto found = records_.find(aKey);
  if (found == records_.end() || found->second.nonce_ != aNonce ||
      found->second.state_ != OnceState::kIntent) {
    return false;
  }
  Erase(found);
  return true;
}

bool OnceBucket::Sweep(WallTime aNow)
{
  const std::size_t before = records_.size();
  for (auto at = records_.begin(); at != records_.end();) {
    const bool over = at->second.leaseUntil_ + options_.retention_ <= aNow;
    at = over ? Erase(at) : std::next(at);
  }
  return records_.size() != before;
}

const OnceRecord* OnceBucket::Find(const std::string& aKey) const
{
  const auto found = records_.find(aKey);
  return found == records_.end() ? nullptr : &found->second;
}

void OnceBucket::Put(const std::string& aKey, OnceRecord aRecord)
{
  const auto found = records_.find(aKey);
  if (found != records_.end()) {
    Erase(found);
  }
  bytes_ += BytesOf(aKey, aRecord);
  records_.emplace(aKey, std::move(aRecord));
}

OnceBucket::Records::iterator OnceBucket::Erase(Records::iterator aAt)
{
  bytes_ -= BytesOf(aAt->first, aAt->second);
  return records_.erase(aAt);
}

void OnceBucket::DropOldestResult()
{
  auto oldest = records_.end();
  for (auto at = records_.begin(); at != records_.end(); ++at) {
    if (!at->second.result_.empty() &&
        (oldest == records_.end() ||
         at->second.leaseUntil_ < oldest->second.leaseUntil_)) {
      oldest = at;
    }
  }
  if (oldest != records_.end()) {
    bytes_ -= oldest->second.result_.size();
    oldest->second.result_.clear();
  }
}

} // namespace gooseberrylift
