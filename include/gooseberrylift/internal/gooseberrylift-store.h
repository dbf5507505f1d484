// The platform's object store as the rest of the program sees it. Another
// dialect is another implementation of ObjectStore, in one file.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_STORE_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_STORE_H_

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json.hpp>

#include "gooseberrylift/gooseberrylift-endpoint.h"
#include "gooseberrylift/internal/gooseberrylift-http.h"

namespace gooseberrylift {

// One versioned object. The version is the store's, opaque, and changes with
// every write.
struct StoreObject
{
  std::string kind_;
  std::string name_;
  std::string version_{};
  nlohmann::json spec_ = nlohmann::json::object();
};

struct StoreList
{
  std::vector<StoreObject> items_;
  std::string version_; // from which a watch goes on
};

struct StoreEvent
{
  bool deleted_ = false;
  StoreObject object_;
};

// Every call ends by its deadline. Errors: kStoreUnavailable when the store
// does not answer or is over its rate, kStoreConflict, kStoreNotFound,
// kStoreGone. An error's ran_ says whether a write may have taken effect:
// kUnknown after a lost answer, which the caller settles by reading back.
class ObjectStore
{
public:
  using EventSink = std::function<void(const StoreEvent& aEvent)>;

  virtual ~ObjectStore() = default;

  /// Reads one object.
  virtual boost::asio::awaitable<Outcome<StoreObject>>
  Read(std::string aKind, std::string aName, TimePoint aDeadline) = 0;

  /// Reads one object as it was some seconds ago at most, where that costs the
  /// store less; for objects that never change. It may miss one that was just
  /// created.
  virtual boost::asio::awaitable<Outcome<StoreObject>>
  ReadAllowStale(std::string aKind, std::string aName, TimePoint aDeadline)
  {
    co_return co_await Read(std::move(aKind), std::move(aName), aDeadline);
  }

  /// Reads all objects of a kind.
  virtual boost::asio::awaitable<Outcome<StoreList>> List(
    std::string aKind,
    TimePoint aDeadline) = 0;

  /// Reads all objects of a kind, at most some seconds out of date where that
  /// costs the store less. Later updates may change them.
  virtual boost::asio::awaitable<Outcome<StoreList>> ListAllowStale(
    std::string aKind,
    TimePoint aDeadline)
  {
    co_return co_await List(std::move(aKind), aDeadline);
  }

  /// Creates an object; kStoreConflict when the name is taken.
  virtual boost::asio::awaitable<Outcome<StoreObject>> Create(
    StoreObject aObject,
    TimePoint aDeadline) = 0;

  /// Replaces an object whose version is still aObject's; else kStoreConflict.
  virtual boost::asio::awaitable<Outcome<StoreObject>> Update(
    StoreObject aObject,
    TimePoint aDeadline) = 0;

  /// Deletes an object whose version is still the given one.
  virtual boost::asio::awaitable<Outcome<void>> Delete(std::string aKind,
                                                       std::string aName,
                                                       std::string aVersion,
                                                       TimePoint aDeadline) = 0;

  /// Follows changes of a kind from a version on, until the wait has passed,
  /// the store ends the watch, or an error.
  /// @param aWait how long to wait for changes
  /// @param aDeadline when the connection counts as dead; after the wait
  /// @return the version to go on from; kStoreGone asks for a new List
  virtual boost::asio::awaitable<Outcome<std::string>> Watch(
    std::string aKind,
    std::string aVersion,
    EventSink aSink,
    std::chrono::milliseconds aWait,
    TimePoint aDeadline) = 0;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_STORE_H_
