// Records of at-most-once calls, as stored in one object of the store. An
// intent is written to the record before the call is dispatched.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_ONCE_BUCKET_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_ONCE_BUCKET_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace gooseberrylift {

// Hosts compare these times with their own clocks. Clock skew affects only how
// long a record is waited for and retained, never which calls run.
using WallTime = std::chrono::system_clock::time_point;

enum class OnceState
{
  kIntent,        // only the owner may ever dispatch the call
  kDone,          // the call ran and its outcome is recorded
  kOutcomeUnknown // dispatched, but its outcome cannot be determined
};

// Record of one at-most-once call, stored under the digest of its key.
struct OnceRecord
{
  std::string digest_; // of the request; detects reuse of the key
  std::string nonce_;  // of the attempt that owns the record
  OnceState state_ = OnceState::kIntent;
  WallTime leaseUntil_{}; // end of an intent's lease; else when the call ended
  std::string result_;    // encoded by the runtime; empty if not retained
};

// Intent that an attempt records before it dispatches its call.
struct OnceIntent
{
  std::string key_; // digest of team, service and the caller's key
  std::string digest_;
  std::string nonce_;
  WallTime leaseUntil_{}; // end of the lease
};

enum class OnceBeginStatus
{
  kBegun,         // the intent is recorded for this attempt
  kReplay,        // the call ran; its result is returned
  kResultDropped, // the call ran; its result is no longer retained
  kPending,       // another attempt holds an intent with a valid lease
  kUnknown,       // another attempt may have run; its outcome is unavailable
  kKeyReused,     // the key was already used for a different request
  kBucketFull     // the bucket has no space for another record
};

// Result of OnceBucket::Begin.
struct OnceBeginResult
{
  OnceBeginStatus beginStatus_ = OnceBeginStatus::kUnknown;
  std::string result_{};
  bool changed_ = false; // takes effect only once the bucket is written
};

// A value type: the committer modifies a copy, writes it with a conditional
// update and keeps the copy if the write succeeded. A key belongs to the first
// nonce that begins it, until that nonce releases it or the record is removed
// after the retention period. This alone guarantees that a call runs at most
// once.
class OnceBucket
{
public:
  struct Options
  {
    std::chrono::seconds retention_{
      86'400
    };                                  // counted from a record's leaseUntil_
    std::size_t maxBytes_ = 768 * 1024; // the store's limit is 1 MB per object
  };

  explicit OnceBucket(Options aOptions);

  /// Parses the stored representation.
  static OnceBucket Parse(const nlohmann::json& aSpec, Options aOptions);

  /// Returns the representation to store.
  nlohmann::json Spec() const;

  /// Records an attempt's intent, or returns why the key is unavailable.
  OnceBeginResult Begin(const OnceIntent& aIntent, WallTime aNow);

  /// Records the outcome of an attempt that owns an intent.
  /// @param aState kDone or kOutcomeUnknown
  /// @return whether the record changed; false if the attempt owns no intent
  bool Finish(const std::string& aKey,
              const std::string& aNonce,
              OnceState aState,
              std::string aResult,
              WallTime aNow);

  /// Removes the intent of an attempt that did not dispatch its call.
  /// @return whether the attempt owned an intent
  bool Release(const std::string& aKey, const std::string& aNonce);

  /// Removes records whose retention period is over.
  /// @return whether any record was removed
  bool Sweep(WallTime aNow);

  /// Returns the number of records.
  std::size_t Size() const { return records_.size(); }

  /// Returns the approximate size of the stored representation.
  std::size_t Bytes() const { return bytes_; }

  /// Returns the record of a key, or null if there is none.
  const OnceRecord* Find(const std::string& aKey) const;

private:
  using Records = std::map<std::string, OnceRecord>;
  void InsertOrReplace(const std::string& aKey, OnceRecord aRecord);
  Records::iterator Erase(Records::iterator aAt);
  void DropOldestResult();

  Options options_;
  Records records_;
  std::size_t bytes_ = 0;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_ONCE_BUCKET_H_
