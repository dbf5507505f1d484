// Takes operators' changes of configuration on the admin port and makes them
// the next generation in the store.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_CONFIG_API_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_CONFIG_API_H_

#include <chrono>
#include <string>

#include "gooseberrylift/gooseberrylift-config-change.h"
#include "gooseberrylift/internal/gooseberrylift-admin-api.h"
#include "gooseberrylift/internal/gooseberrylift-config-follower.h"
#include "gooseberrylift/internal/gooseberrylift-store.h"

namespace gooseberrylift {

// One object a generation that is no longer the newest; its bound is that of
// StoredConfiguration::kMaxRecentChanges.
constexpr const char* kHistoryKind = "configuration-history";

// Routes: GET /configuration (in force here), POST /configuration?base=N,
// GET /configuration/history, GET /configuration/generation?number=N,
// GET /configuration/spread (which host has which generation).
//
// A change is accepted when its conditional update is known to have taken
// effect; a lost answer is settled by reading the object back and looking for
// the change's nonce. Once accepted it is in force on this host at once and
// told to peers, so that it does not depend on the store any more.
class ConfigApi
{
public:
  struct Options
  {
    std::chrono::milliseconds timeout_{ 8000 }; // of one change, in all
    std::chrono::milliseconds callTimeout_{ 2000 };
    std::chrono::milliseconds pause_{ 100 }; // between two tries to settle
  };

  ConfigApi(ObjectStore& aStore,
            ConfigFollower& aFollower,
            Blackboard& aBoard,
            Options aOptions);

  /// Adds the routes.
  void AddRoutes(AdminApi& aAdminApi);

private:
  boost::asio::awaitable<void> HandleShow(HttpExchange& aExchange);
  boost::asio::awaitable<void> HandleApply(HttpExchange& aExchange);
  boost::asio::awaitable<void> HandleHistory(HttpExchange& aExchange);
  boost::asio::awaitable<void> HandleGeneration(HttpExchange& aExchange);
  boost::asio::awaitable<void> HandleSpread(HttpExchange& aExchange);

  boost::asio::awaitable<Outcome<std::uint64_t>> Change(std::uint64_t aBase,
                                                        std::string aText,
                                                        std::string aAuthor);
  boost::asio::awaitable<Outcome<StoreObject>> ReadMain(TimePoint aDeadline);
  boost::asio::awaitable<Outcome<void>> KeepOld(StoredConfiguration aOld,
                                                TimePoint aDeadline);
  boost::asio::awaitable<Outcome<void>> Write(StoreObject aObject,
                                              std::string aNonce,
                                              TimePoint aDeadline);
  boost::asio::awaitable<Outcome<void>> Settle(std::string aNonce,
                                               TimePoint aDeadline);
  boost::asio::awaitable<void> DropOldest(std::uint64_t aGeneration,
                                          TimePoint aDeadline);
  boost::asio::awaitable<Outcome<nlohmann::json>> TextOf(
    std::uint64_t aGeneration,
    TimePoint aDeadline);
  boost::asio::awaitable<Error> Conflict(std::uint64_t aBase,
                                         TimePoint aDeadline);
  std::uint64_t HighestKnown() const;
  TimePoint CallDeadline(TimePoint aDeadline) const;

  ObjectStore& store_;
  ConfigFollower& follower_;
  Blackboard& board_;
  Options options_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_CONFIG_API_H_
