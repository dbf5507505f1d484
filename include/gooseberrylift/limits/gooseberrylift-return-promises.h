// Chooses when rejected callers return, and recognizes those that do as they
// were told. Without it, callers return at random times, find the same crowd
// and have no advantage over those that come for the first time.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_RETURN_PROMISES_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_RETURN_PROMISES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "gooseberrylift/gooseberrylift-endpoint.h"
#include "gooseberrylift/limits/gooseberrylift-return-promise.h"

namespace gooseberrylift {

// A request that is being rejected.
struct RejectedRequest
{
  std::uint64_t request_ = 0; // hash of its fingerprint
  std::uint32_t service_ = 0; // NameHash of the service
  // Until there is room for it, apart from what is promised to others.
  std::chrono::milliseconds expectedWait_{ 0 };
  std::chrono::milliseconds maxDelay_{ 0 }; // the caller waits no longer
  std::chrono::microseconds prefill_{ 0 };  // on a single engine
  // That serve at the same time; 0 if it is not known when there will be any.
  std::size_t engines_ = 1;
  TimePoint firstArrived_{}; // of the caller's first attempt
};

// What a rejected caller is told.
struct GivenPromise
{
  std::chrono::milliseconds delay_{ 0 }; // until it is to return
  // False if the request already had a promise, which stands.
  bool isNew_ = false;
  int dueWithIt_ = 0; // known promises that are due in the same slot
  // Since the last message of a peer; nothing if there was none.
  std::optional<std::chrono::milliseconds> newsAge_;
};

// Whether an arriving request was told to return.
enum class ReturnKind
{
  kNone,  // as far as this host knows, not or too long ago
  kEarly, // it returns before the promised time
  kClaim, // it returns at the promised time
};

struct ArrivedReturn
{
  ReturnKind kind_ = ReturnKind::kNone;
  // The members below are set for a claim only.
  TimePoint firstArrived_{};            // of its first attempt
  std::chrono::milliseconds late_{ 0 }; // since the promised time; or negative
};

// Every host keeps the promises of all hosts, as far as it was told of them, so
// that callers may return to any host. A promise is identified by the request's
// hash and the time from the first arrival to the promised time: unlike the
// durations in a message, their sum does not depend on how late the message is.
//
// A promise is closed when its caller has returned, and its place is no longer
// kept. Hosts tell each other of a closed promise by a prefill time of zero. A
// caller that returns too early has its promise closed without a claim:
// otherwise, callers that try all the time would have the same claim as those
// that wait. Not thread-safe.
class ReturnPromises
{
public:
  struct Options
  {
    // The unit in which returns are spread; a few passes of an engine.
    std::chrono::milliseconds slot_{ 100 };
    std::chrono::milliseconds minDelay_{ 100 };
    // Promises further ahead, or of callers that first arrived longer ago, are
    // not worth anything: most callers' deadlines will have passed.
    std::chrono::milliseconds maxAhead_{ 10'000 };
    std::chrono::milliseconds maxAge_{ 30'000 };
    // How early and how late a caller may return. Callers open a new
    // connection, and hosts may be busy.
    std::chrono::milliseconds earlyTolerance_{ 100 };
    std::chrono::milliseconds lateTolerance_{ 400 };
    // The early tolerance of promises that peers have given: a late message
    // lets them seem to be due later than they are.
    std::chrono::milliseconds peerEarlyTolerance_{ 250 };
    // A promise is remembered for this long after it can be claimed, so that a
    // late message does not renew it.
    std::chrono::milliseconds retention_{ 1'000 };
    // The time in which most hosts learn of a new promise. Until then this
    // host assumes that each other host has given the same promise: requests
    // are spread evenly over the hosts, and so are rejections.
    std::chrono::milliseconds newsDelay_{ 200 };
    // The first callers that a host rejects are spread over the time that the
    // engines need for one caller of each host, but over no more than this or
    // the time that they would wait anyway.
    std::chrono::milliseconds maxSpread_{ 600 };
    // Share of the engines' time that is promised. The rest is for what is
    // served without a claim.
    double promisedShare_ = 0.8;
    // Weight of the latest promise in the observed share of callers that
    // return.
    double returnShareWeight_ = 1.0 / 16;
    int timesTold_ = 3; // messages that contain a change
    std::size_t maxEntries_ = 4'096;
  };

  explicit ReturnPromises(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Sets the number of hosts, this one included.
  void SetHosts(std::size_t aHosts);

  /// Chooses when a rejected caller is to return.
  /// @param aDraw a random number
  GivenPromise Promise(const RejectedRequest& aRejected,
                       std::uint64_t aDraw,
                       TimePoint aNow);

  /// Records that a request has arrived, and uses its claim if it has one.
  ArrivedReturn OnArrived(std::uint64_t aRequest, TimePoint aNow);

  /// Returns the prefill time that is expected to be needed by callers that
  /// return within a time, on a single engine.
  std::chrono::microseconds KeptPrefill(std::uint32_t aService,
                                        std::chrono::microseconds aWithin,
                                        TimePoint aNow) const;

  /// Applies the promises of a peer's message, which may be empty.
  /// @param aOfOwnZone whether to pass them on to other zones
  void OnPeer(const std::vector<ReturnPromise>& aPromises,
              bool aOfOwnZone,
              TimePoint aNow);

  /// Returns changes that this host has made and that its peers need to know.
  /// Each call counts as one message.
  std::vector<ReturnPromise> TakeOwnNews(std::size_t aMax, TimePoint aNow);

  /// Returns changes by hosts of this host's zone, for other zones.
  std::vector<ReturnPromise> TakeZoneNews(std::size_t aMax, TimePoint aNow);

  /// Returns how many of this host's promises have expired unused since the
  /// previous call.
  std::uint64_t TakeUnused(TimePoint aNow);

  /// Returns the observed share of callers that return.
  double ReturnShare() const { return returnShare_; }

  std::size_t Size() const { return entries_.size(); }

private:
  using ByDue = std::multimap<TimePoint, std::uint64_t>;
  struct Entry
  {
    std::uint32_t service_ = 0;
    TimePoint due_{};
    TimePoint firstArrived_{};
    std::chrono::milliseconds prefill_{ 0 };
    bool own_ = false;    // given by this host
    bool closed_ = false; // its caller has returned
    int ownNews_ = 0;     // messages that are still to contain it
    int zoneNews_ = 0;
    ByDue::iterator byDue_;
  };
  using Entries = std::unordered_map<std::uint64_t, Entry>;
  // What is due in a slot.
  struct Slot
  {
    std::chrono::microseconds kept_{ 0 };
    std::chrono::microseconds assumed_{ 0 }; // promised by others, not yet told
    int promises_ = 0;
  };
  struct SlotKey
  {
    std::uint32_t service_ = 0;
    std::int64_t number_ = 0;

    bool operator==(const SlotKey& aOther) const = default;
    bool operator<(const SlotKey& aOther) const
    {
      return std::tie(service_, number_) <
             std::tie(aOther.service_, aOther.number_);
    }
  };
  struct Assumption
  {
    TimePoint until_{};
    SlotKey slot_;
    std::chrono::microseconds prefill_{ 0 };
  };
  // Requests whose promises are to be told; those that were not told at all
  // come before those that were, which are told again in case of a loss.
  struct News
  {
    std::deque<std::uint64_t> untold_;
    std::deque<std::uint64_t> told_;
  };

  bool Stands(const Entry& aEntry, TimePoint aNow) const;
  TimePoint ChooseDue(const RejectedRequest& aRejected,
                      std::uint64_t aDraw,
                      TimePoint aNow) const;
  std::chrono::microseconds SlotCapacity(std::size_t aEngines) const;
  std::optional<TimePoint> FindRoom(const RejectedRequest& aRejected,
                                    TimePoint aNow,
                                    TimePoint aFrom,
                                    TimePoint aUntil) const;
  TimePoint ChooseWithoutRoom(const RejectedRequest& aRejected,
                              std::uint64_t aDraw,
                              TimePoint aNow,
                              std::chrono::milliseconds aLimit) const;
  void Assume(const RejectedRequest& aRejected, TimePoint aDue, TimePoint aNow);
  void Add(std::uint64_t aRequest, Entry aEntry);
  void Remove(Entries::iterator aEntry);
  void Close(Entry& aEntry);
  void MoveDue(Entries::iterator aEntry, TimePoint aDue);
  void OnPeerPromise(const ReturnPromise& aPromise,
                     bool aOfOwnZone,
                     TimePoint aNow);
  void AnnounceOwn(Entries::iterator aEntry);
  void AnnounceToZones(Entries::iterator aEntry);
  void Announce(News& aNews, int Entry::*aCount, Entries::iterator aEntry);
  std::vector<ReturnPromise> TakeNews(News& aNews,
                                      int Entry::*aCount,
                                      std::size_t aMax,
                                      TimePoint aNow);
  void Expire(TimePoint aNow);
  void RecordExpiry(const Entry& aEntry);
  void RecordReturn(bool aReturned);
  SlotKey SlotOf(std::uint32_t aService, TimePoint aWhen) const;
  SlotKey SlotOf(const Entry& aEntry) const;
  const Slot* FindSlot(const SlotKey& aKey) const;
  void Keep(const Entry& aEntry);
  void Release(const Entry& aEntry);
  void EraseIfEmpty(const SlotKey& aKey);

  Options options_;
  std::size_t hosts_ = 1;
  Entries entries_; // by request
  ByDue byDue_;
  std::map<SlotKey, Slot> slots_;
  std::deque<Assumption> assumptions_; // the oldest first
  News ownNews_;
  News zoneNews_;
  std::optional<TimePoint> lastNews_;
  std::uint64_t unused_ = 0;
  double returnShare_ = 0.8; // most callers return
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_RETURN_PROMISES_H_
