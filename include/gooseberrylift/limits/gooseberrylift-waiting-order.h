// The order in which the prompts that wait at all hosts are sent. Each host
// knows its own waiting prompts and those that its peers reported last, and
// derives the same order from the same facts. Without it, whichever host checks
// first when engines become free sends its prompt, and a prompt that needs
// several engines at once loses to smaller ones for as long as these arrive.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_WAITING_ORDER_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_WAITING_ORDER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gooseberrylift/gooseberrylift-endpoint.h"
#include "gooseberrylift/limits/gooseberrylift-long-prompt-hold.h"
#include "gooseberrylift/limits/gooseberrylift-waiting-prompt.h"

namespace gooseberrylift {

// The engines of a service, as the host of a waiting prompt sees them.
struct WaitingSupply
{
  std::size_t engines_ = 0; // that may receive requests
  std::size_t free_ = 0;   // of these, without other prefill or much memory use
  std::size_t wanted_ = 0; // that the prompt would occupy if it were sent now
};

// The place of a waiting prompt among those of its service.
struct WaitingTurn
{
  std::size_t ahead_ = 0;   // prompts that precede it
  std::size_t waiting_ = 0; // all prompts that wait, including itself
  // The engines that are free now are for prompts ahead of it.
  bool yields_ = false;
  std::chrono::milliseconds expectedWait_{ 0 };
  // It precedes all others, and engines are kept for it.
  bool isFirst_ = false;
  bool inTime_ = true; // can be sent before its remaining time has passed
  // Age of the oldest report of a peer on which this is based.
  std::chrono::milliseconds factsAge_{ 0 };
};

/// Decides about a long prompt by its turn.
/// @param aByItself the decision without regard to other prompts that wait
/// @param aArrived whether this is its first decision
HoldDecision DecideByTurn(HoldDecision aByItself,
                          const WaitingTurn& aTurn,
                          bool aArrived);

// Within a service, more urgent prompts precede less urgent ones. Among equally
// urgent ones the team that received less prefill recently precedes, counted
// with its own prompts that are further ahead; within a team, the prompt that
// has used up the larger share of its time. The allowed wait of a large prompt
// is shorter because its prefill takes longer, so it moves up faster.
//
// A report is replaced by the next one of the same source and expires without
// one, so that a host that is down or disconnected blocks nobody. Not
// thread-safe.
class WaitingOrder
{
public:
  struct Options
  {
    // Time without a newer message after which the prompts of a peer are
    // ignored; as for its load.
    std::chrono::milliseconds reportTimeout_{ 2'000 };
    // Share of the engines that is left free for prompts ahead of others. The
    // first large prompt may need more.
    double keptShare_ = 0.15;
    // Large prompts have precedence over smaller ones while more than this
    // share of them, and at least a few, was not sent in time. They cost
    // others more than they bring, so otherwise they wait for idle engines.
    double largeLostShare_ = 0.25;
    double minLost_ = 4;
    // One that has waited for this share of its time counts as lost.
    double atRiskFrom_ = 0.4;
    // Time over which the lost ones are counted: several times as long as
    // callers wait.
    std::chrono::milliseconds lossWindow_{ 30'000 };
    // A prompt doesn't yield to one whose prefill takes longer, or to a large
    // one whose prefill takes longer by more than this factor: it hardly delays
    // it.
    int smallFactor_ = 4;
    // A prompt is large if it needs at least as many engines at once.
    std::uint32_t largeEngines_ = 6;
    // Number of the first large prompts that may wait as long at their engines
    // as smaller ones.
    std::size_t firstLarge_ = 2;
    // Engines are left free for a prompt from this share of its time on.
    // Before, smaller ones may still pass it.
    double keptFrom_ = 0.15;
    // A prompt that doesn't use the engines that are free for it within this
    // time no longer blocks others: its caller has left, or its host can't
    // reach them. Several times the delay of a message.
    std::chrono::milliseconds gapTimeout_{ 300 };
    // Within this time, the prefill that a team received counts less by a
    // factor of e.
    std::chrono::milliseconds fairnessWindow_{ 4'000 };
    // Time over which the rate is measured at which waiting prompts are sent.
    std::chrono::milliseconds rateWindow_{ 2'000 };
    // Share of the engines that prefill waiting prompts at the least. Keeps a
    // moment without progress from rejecting all arrivals.
    double minRateShare_ = 0.25;
    // Time for which a computed order is used: many prompts are checked within
    // it.
    std::chrono::milliseconds orderInterval_{ 20 };
  };

  explicit WaitingOrder(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Adds a prompt that waits at this host. Durations count from now.
  void OnWaiting(const WaitingPrompt& aPrompt, TimePoint aNow);

  /// Removes a prompt of this host.
  /// @param aSent whether it was sent to engines; otherwise it was rejected or
  /// its caller has left
  void OnLeft(std::uint64_t aId, bool aSent, TimePoint aNow);

  /// Replaces the prompts that a source reported.
  /// @param aSource a host, or a zone whose totals another host sends
  void OnReport(const std::string& aSource,
                const std::vector<WaitingPrompt>& aPrompts,
                TimePoint aNow);

  /// Records a message of a source that doesn't say which prompts wait.
  void OnContact(const std::string& aSource, TimePoint aNow);

  /// Returns the place of a prompt of this host.
  WaitingTurn TurnOf(std::uint64_t aId,
                     const WaitingSupply& aSupply,
                     TimePoint aNow);

  /// Returns the first prompts in order, for a message.
  /// @param aIncludes returns whether the prompts of a source are included
  std::vector<WaitingPrompt> First(
    std::size_t aCount,
    const std::function<bool(const std::string& aSource)>& aIncludes,
    TimePoint aNow);

  /// Returns whether no prompt waits here, nor at a host that reported any.
  bool IsEmpty() const { return own_.empty() && reports_.empty(); }

private:
  struct Entry
  {
    WaitingPrompt prompt_; // durations count from at_
    TimePoint at_{};
    std::string source_{}; // empty for this host's own
  };
  struct Report
  {
    TimePoint at_{};
    std::vector<WaitingPrompt> prompts_;
    TimePoint heard_{}; // latest message, with prompts or without
  };
  using TeamKey = std::pair<std::uint32_t, std::uint32_t>; // service, team
  struct Decayed
  {
    double value_ = 0;
    TimePoint at_{};
  };
  // Large prompts of a service that were sent, and that were not.
  struct LargeCount
  {
    Decayed sent_;
    Decayed lost_;
  };
  struct ServiceOrder
  {
    std::vector<Entry> entries_;                           // in order
    std::vector<std::chrono::milliseconds> prefillAhead_;  // by place
    std::unordered_map<std::uint64_t, std::size_t> place_; // by id
    std::chrono::milliseconds factsAge_{ 0 };

    std::chrono::milliseconds PrefillAhead(std::size_t aPlace) const
    {
      return aPlace < prefillAhead_.size()
               ? prefillAhead_[aPlace]
               : prefillAhead_.back() + entries_.back().prompt_.prefill_;
    }
  };

  static WaitingPrompt At(const Entry& aEntry, TimePoint aNow);
  static double ShareUsed(const WaitingPrompt& aPrompt);
  static double ValueAt(const Decayed& aSum,
                        std::chrono::milliseconds aWindow,
                        TimePoint aNow);
  static void Add(Decayed& aSum,
                  double aValue,
                  std::chrono::milliseconds aWindow,
                  TimePoint aNow);
  void RecordLost(const WaitingPrompt& aPrompt, TimePoint aNow);
  bool AreLargeOnesLost(std::uint32_t aService, TimePoint aNow) const;
  void RecordSent(const WaitingPrompt& aPrompt, TimePoint aNow);
  void Rebuild(TimePoint aNow);
  void SortService(ServiceOrder& aOrder, TimePoint aNow);
  bool BlocksAt(const Entry& aAhead,
                std::size_t aNeeded,
                const WaitingSupply& aSupply,
                TimePoint aNow);
  std::size_t EnginesKeptAhead(const ServiceOrder& aOrder,
                               std::size_t aPlace,
                               const WaitingPrompt& aPrompt,
                               const WaitingSupply& aSupply,
                               TimePoint aNow);
  bool IsFirstLarge(const ServiceOrder& aOrder,
                    std::size_t aPlace,
                    TimePoint aNow) const;
  std::chrono::milliseconds ExpectedWait(std::uint32_t aService,
                                         std::chrono::milliseconds aAhead,
                                         const WaitingSupply& aSupply,
                                         TimePoint aNow) const;

  Options options_;
  std::map<std::uint64_t, Entry> own_;
  std::map<std::string, Report> reports_;     // by source
  std::map<TeamKey, Decayed> served_;         // prefill in ms
  std::map<std::uint32_t, Decayed> rate_;     // by service, sent prefill in ms
  std::map<std::uint32_t, LargeCount> large_; // by service
  std::map<std::uint32_t, TimePoint> busySince_;
  // When the free engines first were enough for a prompt ahead of others.
  std::unordered_map<std::uint64_t, TimePoint> firstFit_;
  std::map<std::uint32_t, ServiceOrder> orders_; // by service
  TimePoint ordered_{};
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_WAITING_ORDER_H_
