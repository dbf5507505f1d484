// What endpoints say of the rate that they take from all hosts together. The
// load it answers: an endpoint in need names a limit to whichever host it
// answers. A host that goes only by what it was told itself learns the limit
// late, and never hears of its end while it sends nothing there.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_ENDPOINT_RATES_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_ENDPOINT_RATES_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "gooseberrylift/gooseberrylift-digest.h"
#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// Keeps one entry for each incarnation that has ever named a limit. A limit
// stays until an answer lacks it, however long nothing is heard: an endpoint
// that was relieved too early is flooded again. Not thread-safe.
class EndpointRates
{
public:
  struct Options
  {
    // An entry is dropped when its endpoint was not listed for so long.
    // Listings lapse for some seconds while the store is away.
    std::chrono::milliseconds keep_{ 60'000 };
    // A rate that differs by no more than this part of the known one is no
    // change. Each change is told to other hosts at once, and an endpoint may
    // name another rate in each answer.
    double sameShare_ = 0.1;
  };

  using IsListed = std::function<bool(const Incarnation& aEndpoint)>;

  explicit EndpointRates(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Takes in what an answer says.
  /// @param aSent when its request was sent. An answer to one from before the
  /// limit was learnt may itself be from before it, and does not end it.
  /// @return the entry, if it has changed
  std::optional<EndpointRate> OnAnswer(const Incarnation& aEndpoint,
                                       const RateNotice& aNotice,
                                       TimePoint aSent,
                                       TimePoint aNow);

  /// Takes in what a peer knows of endpoints that are listed here; the others
  /// would be told from host to host for ever.
  /// @return the entries that have changed
  std::vector<EndpointRate> OnPeer(const std::vector<EndpointRate>& aEntries,
                                   const IsListed& aIsListed,
                                   TimePoint aNow);

  /// Gives what is known of an endpoint; nothing when it never had a limit.
  std::optional<EndpointRate> Find(const Incarnation& aEndpoint) const;

  /// Says whether any endpoint has a limit.
  bool HasLimits() const;

  /// Gives an endpoint's limit in requests a second.
  /// @return nothing when it has none
  std::optional<double> Of(const Incarnation& aEndpoint) const;

  /// Gives all entries, for the peers.
  std::vector<EndpointRate> Entries() const;

  /// Drops what is no longer listed; called now and then.
  /// @return what was dropped
  std::vector<Incarnation> Sweep(const IsListed& aIsListed, TimePoint aNow);

private:
  struct Known
  {
    std::uint64_t version_ = 0;
    std::optional<double> perSecond_;
    TimePoint learnt_{}; // when the limit was last named or told
    TimePoint listed_{}; // when the endpoint was last seen in the list
  };

  bool IsSame(const std::optional<double>& aKnown,
              const std::optional<double>& aNamed) const;

  Options options_;
  std::map<Incarnation, Known> known_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_ENDPOINT_RATES_H_
