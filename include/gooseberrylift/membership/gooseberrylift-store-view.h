// What one host has seen of a kind of object in the store, kept so that it can
// tell other hosts what changed since they heard last. The load it answers:
// fleets in which each host that reads the store for itself costs two calls a
// second, and in which most of these calls say that nothing has changed.

#ifndef GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_STORE_VIEW_H_
#define GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_STORE_VIEW_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace gooseberrylift {

// An object as it was read.
struct ViewedObject
{
  std::string name_;
  std::string version_; // the store's, of the object's last change
  nlohmann::json spec_;
};

// What one host tells another of a kind.
struct ViewChanges
{
  std::uint64_t revision_ = 0; // of the store, up to which this is complete
  std::vector<ViewedObject> objects_; // new or changed
  std::vector<std::string> removed_;  // names
  // All names that there are, in their order, when it is not known for sure
  // what was removed.
  std::optional<std::vector<std::string>> names_;
};

// The store counts its changes, so a host that knows its state at a revision
// gets the rest from any other host, whichever it asked before. Each change is
// stamped with a revision at or after its own: who asks from between the two
// gets it twice, which changes nothing. A list does not show what came and went
// again before it, and the host that asks may have heard of that elsewhere: to
// questions from before it all names are told. Not thread-safe.
class StoreView
{
public:
  struct Options
  {
    // Removals kept. Who asks from before them is told all names; a fleet of
    // some hundred endpoints loses no more in minutes.
    std::size_t removals_ = 1024;
  };

  explicit StoreView(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Takes in the whole kind, as it was at a revision.
  void OnList(std::vector<ViewedObject> aObjects, std::uint64_t aRevision);

  /// Takes in changes, up to a revision.
  void OnChanges(std::vector<ViewedObject> aObjects,
                 const std::vector<std::string>& aRemoved,
                 std::uint64_t aRevision);

  /// Gives the revision up to which all is known; 0 before the first list.
  std::uint64_t Revision() const { return revision_; }

  /// Gives a number that rises with each change of an object.
  std::uint64_t Changes() const { return changes_; }

  /// Gives what changed after a revision.
  ViewChanges Since(std::uint64_t aRevision) const;

private:
  struct Kept
  {
    ViewedObject object_;
    std::uint64_t stamp_ = 0; // a revision
  };
  struct Removal
  {
    std::string name_;
    std::uint64_t stamp_ = 0;
  };

  void Put(ViewedObject aObject, std::uint64_t aRevision);
  void Remove(const std::string& aName, std::uint64_t aRevision);

  Options options_;
  std::uint64_t revision_ = 0;
  std::uint64_t changes_ = 0;
  std::uint64_t floor_ = 0; // what was removed up to it is not known any more
  std::map<std::string, Kept> objects_;
  std::deque<Removal> removals_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_STORE_VIEW_H_
