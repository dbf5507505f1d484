// Passes on between hosts what a few of them read from the store.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_STORE_RELAY_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_STORE_RELAY_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "gooseberrylift/gooseberrylift-peer-table.h"
#include "gooseberrylift/internal/gooseberrylift-store.h"
#include "gooseberrylift/membership/gooseberrylift-freshness-lease.h"
#include "gooseberrylift/membership/gooseberrylift-reader-choice.h"
#include "gooseberrylift/membership/gooseberrylift-store-view.h"

namespace gooseberrylift {

// What a reader answers.
struct RelayedView
{
  ViewChanges changes_;
  // Age of the reader's last proof, measured on its clock when it answered;
  // nothing when it has none.
  std::optional<std::chrono::milliseconds> proofAge_;
  // For how long the reader has had the store without an outage.
  std::chrono::milliseconds steadyFor_{ 0 };
};

// Both sides of it. A reader that has lost the store says so, and who asked
// then reads for itself.
//
// Why a proof may be passed on: the reader says how old its proof was when it
// answered, and the asker takes that age from the time at which it asked. The
// answer was made after the question, so the proof is in truth younger than
// that. No clocks are compared, only spans on clocks that count suspension; a
// reader that stands still, or an answer that comes late, shortens the lease.
//
// Asking and waiting belong to one executor; the rest is safe from any thread.
class StoreRelay
{
public:
  struct Parts
  {
    // Calls a method of another host.
    std::function<boost::asio::awaitable<Outcome<nlohmann::json>>(
      PeerMember aPeer,
      nlohmann::json aParams,
      TimePoint aDeadline)>
      call_;
    // Something changed that other hosts are to ask for.
    std::function<void()> changed_;
  };

  struct Options
  {
    // A host of the same zone answers within a few ms; one that does not is
    // gone, and the next one is asked.
    std::chrono::milliseconds callTimeout_{ 300 };
    // Between two questions when nothing happens. Proofs get this much older
    // than at the reader, and a change of which the word is lost waits so long.
    // With the time in which a reader notices that it has lost the store (1.2
    // s) it stays below the 2 s in which a change must be known.
    std::chrono::milliseconds every_{ 600 };
    // An answer beyond it is not passed on: links of hosts are narrow, and the
    // store answers large readings faster.
    std::size_t mostBytes_ = 64 * 1024;
  };

  StoreRelay(Parts aParts, Options aOptions);

  /// Sets who reads.
  /// @param aReads whether this host reads for itself
  /// @param aReaders others that read, in the order in which to ask them
  void SetReaders(bool aReads, std::vector<PeerMember> aReaders);

  /// Says whether this host asks others.
  bool Asks() const;

  /// Says whether others ask this host.
  bool Serves() const;

  /// Asks the readers for what changed in a kind.
  /// @param aRevision up to which this host knows the kind; 0: not at all
  /// @return kPeerUnreachable when none could say
  boost::asio::awaitable<Outcome<RelayedView>> Ask(std::string aKind,
                                                   std::uint64_t aRevision);

  /// Waits until it is time to ask again, or a reader has news.
  boost::asio::awaitable<void> WaitForNews();

  /// Notes that a host's view has changed, by its own count.
  void OnNews(const std::string& aHost, std::uint64_t aChanges);

  /// Takes in what this host read itself.
  void OnList(const std::string& aKind,
              const std::vector<StoreObject>& aObjects,
              const std::string& aVersion);
  void OnChanges(const std::string& aKind,
                 const std::vector<StoreEvent>& aEvents,
                 const std::string& aVersion);
  void OnProof(const std::string& aKind, BootTime aBegan);
  void OnStore(const std::string& aKind, bool aReachable);

  /// Answers another host's question.
  nlohmann::json Answer(const nlohmann::json& aParams);

  /// Counts the changes that this host has read; 0 while it asks others.
  std::uint64_t Changes() const;

private:
  struct Kind
  {
    StoreView view_{ StoreView::Options{} };
    std::optional<BootTime> proof_;
    bool reachable_ = false;
    TimePoint steadySince_{};
  };

  void Wake();

  Parts parts_;
  Options options_;
  mutable std::mutex mutex_; // guards what follows
  bool reads_ = true;
  std::vector<PeerMember> readers_;
  std::map<std::string, Kind> kinds_;
  std::map<std::string, std::uint64_t> news_; // by host, last heard
  std::vector<std::weak_ptr<boost::asio::steady_timer>> waiting_;
};

/// Gives the store's count of changes that a version stands for; 0 for none.
std::uint64_t RevisionOf(const std::string& aVersion);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_STORE_RELAY_H_
