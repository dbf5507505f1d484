// Interface of the platform's object store. To support another store API, add
// an implementation of ObjectStore in one file.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_STORE_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_STORE_H_

#include <algorithm>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json.hpp>

#include "gooseberrylift/gooseberrylift-endpoint.h"
#include "gooseberrylift/internal/gooseberrylift-http.h"

namespace gooseberrylift {

// One versioned object. The store assigns the version, which is opaque and
// changes with every write.
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
  std::string version_; // to start a watch from
  // Numbers of items that were read at once, in the order of items_; empty if
  // all were.
  std::vector<std::size_t> pageSizes_{};
  // Whether the list has all objects. If not, it can't be continued because of
  // one of them, and the absence of others means nothing.
  bool complete_ = true;

  /// Returns the object of a name; null if the list has none.
  const StoreObject* Find(const std::string& aName) const
  {
    const auto found = std::find_if(
      items_.begin(), items_.end(), [&](const StoreObject& aObject) {
        return aObject.name_ == aName;
      });
    return found == items_.end() ? nullptr : &*found;
  }
};

struct StoreEvent
{
  bool deleted_ = false;
  StoreObject object_;
};

// Every call completes by its deadline. Errors: kStoreUnavailable if the store
// does not respond or limits the call rate, kStoreConflict, kStoreNotFound and
// kStoreGone. An error's ran_ tells whether a write may have taken effect. It
// is kUnknown if the response was lost; the caller then reads the object back.
class ObjectStore
{
public:
  using EventSink = std::function<void(const StoreEvent& aEvent)>;

  virtual ~ObjectStore() = default;

  /// Reads one object.
  virtual boost::asio::awaitable<Outcome<StoreObject>>
  Read(std::string aKind, std::string aName, TimePoint aDeadline) = 0;

  /// Reads one object, allowing a result that is a few seconds stale if that is
  /// cheaper for the store. Meant for objects that never change. An object that
  /// was just created may not be found.
  virtual boost::asio::awaitable<Outcome<StoreObject>>
  ReadAllowStale(std::string aKind, std::string aName, TimePoint aDeadline)
  {
    co_return co_await Read(std::move(aKind), std::move(aName), aDeadline);
  }

  /// Reads all objects of a kind, unless the result is marked as incomplete.
  virtual boost::asio::awaitable<Outcome<StoreList>> List(
    std::string aKind,
    TimePoint aDeadline) = 0;

  /// Reads all objects of a kind, allowing a result that is a few seconds stale
  /// if that is cheaper for the store. The store may hold later updates, and
  /// each page may be of another age.
  virtual boost::asio::awaitable<Outcome<StoreList>> ListAllowStale(
    std::string aKind,
    TimePoint aDeadline)
  {
    co_return co_await List(std::move(aKind), aDeadline);
  }

  /// Creates an object.
  /// @return kStoreConflict if the name is in use
  virtual boost::asio::awaitable<Outcome<StoreObject>> Create(
    StoreObject aObject,
    TimePoint aDeadline) = 0;

  /// Replaces an object if its version is still that of aObject.
  /// @return kStoreConflict if the version has changed
  virtual boost::asio::awaitable<Outcome<StoreObject>> Update(
    StoreObject aObject,
    TimePoint aDeadline) = 0;

  /// Deletes an object if its version is still the given one.
  virtual boost::asio::awaitable<Outcome<void>> Delete(std::string aKind,
                                                       std::string aName,
                                                       std::string aVersion,
                                                       TimePoint aDeadline) = 0;

  /// Watches the objects of a kind for changes after a version, until aWait has
  /// passed, the store ends the watch, or an error occurs.
  /// @param aWait how long to wait for changes
  /// @param aDeadline when to consider the connection dead; later than the end
  /// of aWait
  /// @return the version to continue from, or kStoreGone if the version is too
  /// old and a new List is needed
  virtual boost::asio::awaitable<Outcome<std::string>> Watch(
    std::string aKind,
    std::string aVersion,
    EventSink aSink,
    std::chrono::milliseconds aWait,
    TimePoint aDeadline) = 0;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_STORE_H_
