// The records of calls that may not be repeated, as they stand in one object of
// the store. Whoever dispatches such a call has first written its intent here.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_ONCE_BUCKET_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_ONCE_BUCKET_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace gooseberrylift {

// Hosts compare these times with their own clocks. Their skew moves only how
// long a record is waited for and kept; what runs never hangs on it.
using WallTime = std::chrono::system_clock::time_point;

enum class OnceState
{
  kIntent,        // its owner may dispatch the call, nobody else ever
  kDone,          // ran; the outcome is recorded
  kOutcomeUnknown // dispatched, and what came of it can't be known
};

struct OnceRecord
{
  std::string digest_; // of the request, to notice another one with the key
  std::string nonce_;  // the attempt that owns the record
  OnceState state_ = OnceState::kIntent;
  WallTime leaseUntil_{}; // an intent: the end of its lease; else when it ended
  std::string result_;    // encoded by the runtime; empty when not kept
};

// What a call wants to write before it is dispatched.
struct OnceIntent
{
  std::string key_; // digest of team, service and the caller's key
  std::string digest_;
  std::string nonce_;
  WallTime leaseUntil_{};
};

enum class OnceBeginStatus
{
  kBegun,         // the intent is this attempt's own
  kReplay,        // done; the result is at hand
  kResultDropped, // done; the result is no longer kept
  kPending,       // another attempt's intent, within its lease
  kUnknown,       // another attempt's intent, and no outcome is to come
  kKeyReused,     // the key belongs to a different request
  kBucketFull     // no room for one more record
};

struct OnceBeginResult
{
  OnceBeginStatus beginStatus_ = OnceBeginStatus::kUnknown;
  std::string result_{};
  bool changed_ = false; // the bucket must be written before this is true
};

// A value: a committer changes a copy, writes it with a conditional update and
// keeps the copy when the write took effect. An intent is given away once, to
// its nonce, until it is released by the same nonce or swept after the
// retention; that alone makes a call run at most once.
class OnceBucket
{
public:
  struct Options
  {
    std::chrono::seconds retention_{ 86'400 }; // after a record's leaseUntil_
    std::size_t maxBytes_ = 768 * 1024;        // the store takes 1 MB
  };

  explicit OnceBucket(Options aOptions);

  /// Reads a bucket as the store holds it.
  static OnceBucket Parse(const nlohmann::json& aSpec, Options aOptions);

  /// Gives the bucket as the store is to hold it.
  nlohmann::json Spec() const;

  /// Claims a key for an attempt, or says why it can't.
  OnceBeginResult Begin(const OnceIntent& aIntent, WallTime aNow);

  /// Ends an attempt's own record.
  /// @param aState kDone or kOutcomeUnknown
  /// @return true when the record changed
  bool Finish(const std::string& aKey,
              const std::string& aNonce,
              OnceState aState,
              std::string aResult,
              WallTime aNow);

  /// Removes an attempt's own intent, whose call was not dispatched.
  /// @return true when it was there
  bool Release(const std::string& aKey, const std::string& aNonce);

  /// Removes what is past its retention.
  /// @return true when something was
  bool Sweep(WallTime aNow);

  std::size_t Size() const { return records_.size(); }
  std::size_t Bytes() const { return bytes_; }

  /// Finds a record. @return null when there is none
  const OnceRecord* Find(const std::string& aKey) const;

private:
  using Records = std::map<std::string, OnceRecord>;
  void Put(const std::string& aKey, OnceRecord aRecord);
  Records::iterator Erase(Records::iterator aAt);
  void DropOldestResult();

  Options options_;
  Records records_;
  std::size_t bytes_ = 0;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_ONCE_BUCKET_H_
