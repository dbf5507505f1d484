// Admin routes for the configuration. A change that an operator submits becomes
// the next generation in the object store.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_CONFIG_API_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_CONFIG_API_H_

#include <chrono>
#include <string>

#include "gooseberrylift/gooseberrylift-config-change.h"
#include "gooseberrylift/internal/gooseberrylift-admin-api.h"
#include "gooseberrylift/internal/gooseberrylift-config-follower.h"
#include "gooseberrylift/internal/gooseberrylift-store.h"

namespace gooseberrylift {

// Kind of the objects that archive replaced generations, one object for each.
// At most StoredConfiguration::kMaxRecentChanges of them are kept.
constexpr const char* kHistoryKind = "configuration-history";

// Routes: GET /configuration (the one in use on this host),
// POST /configuration?base=N,
// GET /configuration/history, GET /configuration/generation?number=N,
// GET /configuration/spread (the generation in use on each host).
//
// A change is accepted once its conditional update is known to have taken
// effect. When the store's response is lost, the object is read back and
// searched for the change's nonce. An accepted change is applied on this host
// at once and sent to peers, so that its distribution no longer depends on the
// store.
class ConfigApi
{
public:
  struct Options
  {
    std::chrono::milliseconds timeout_{ 8000 }; // total time for one change
    std::chrono::milliseconds callTimeout_{ 2000 };
    std::chrono::milliseconds retryDelay_{ 100 }; // between store attempts
  };

  ConfigApi(ObjectStore& aStore,
            ConfigFollower& aFollower,
            Blackboard& aBoard,
            Options aOptions);

  /// Adds the routes.
  void AddRoutes(AdminApi& aAdminApi);

private:
  boost::asio::awaitable<void> HandleCurrent(HttpExchange& aExchange);
  boost::asio::awaitable<void> HandleApply(HttpExchange& aExchange);
  boost::asio::awaitable<void> HandleHistory(HttpExchange& aExchange);
  boost::asio::awaitable<void> HandleGeneration(HttpExchange& aExchange);
  boost::asio::awaitable<void> HandleHostGenerations(HttpExchange& aExchange);

  boost::asio::awaitable<Outcome<std::uint64_t>>
  ApplyChange(std::uint64_t aBase, std::string aText, std::string aAuthor);
  boost::asio::awaitable<Outcome<StoreObject>> ReadMain(TimePoint aDeadline);
  boost::asio::awaitable<Outcome<void>> ArchiveReplaced(
    StoredConfiguration aReplaced,
    TimePoint aDeadline);
  boost::asio::awaitable<Outcome<void>> WriteWithRetry(StoreObject aObject,
                                                       std::string aNonce,
                                                       TimePoint aDeadline);
  boost::asio::awaitable<Outcome<void>> ResolveConflict(std::string aNonce,
                                                        TimePoint aDeadline);
  boost::asio::awaitable<void> DeleteOldestArchived(std::uint64_t aGeneration,
                                                    TimePoint aDeadline);
  boost::asio::awaitable<Outcome<nlohmann::json>> ReadGeneration(
    std::uint64_t aGeneration,
    TimePoint aDeadline);
  boost::asio::awaitable<Error> MakeConflictError(std::uint64_t aBase,
                                                  TimePoint aDeadline);
  std::uint64_t HighestKnownGeneration() const;
  TimePoint CallDeadline(TimePoint aDeadline) const;

  ObjectStore& store_;
  ConfigFollower& follower_;
  Blackboard& board_;
  Options options_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_CONFIG_API_H_
