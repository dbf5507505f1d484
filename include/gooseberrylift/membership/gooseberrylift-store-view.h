// What one host has seen of a kind of object in the store, kept so that it can
// tell other hosts what changed since they heard last. The load it answers:
// fleets in which one host reads the store and hundreds hear from it, and from
// each other, what is new.

#ifndef GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_STORE_VIEW_H_
#define GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_STORE_VIEW_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
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

// What a host says of its views in each exchange with another: enough for the
// other to see whether it lacks something.
struct StoreHeadline
{
  // The store's revisions up to which the host knows all; 0: nothing.
  std::uint64_t routes_ = 0;
  std::uint64_t endpoints_ = 0;
  std::uint64_t evacuations_ = 0;
  // Age of the proof that the routes hold, on the host's clock when it said
  // so; nothing without one.
  std::optional<std::chrono::milliseconds> proofAge_;
};

// What a view has just learnt.
struct ViewNews
{
  std::vector<ViewedObject> objects_; // new or changed
  std::vector<std::string> removed_;  // names

  bool Empty() const { return objects_.empty() && removed_.empty(); }
};

// The store counts its changes, so a host that knows its state at a revision
// gets the rest from any other host, whichever it asked before. An object bears
// the revision of its last change; what is missing is stamped with one at or
// after its removal: who asks from between the two gets it twice, which changes
// nothing. A list does not show what came and went again before it, and the
// host that asks may have heard of that elsewhere: to questions from before it
// all names are told. Not thread-safe.
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

  /// Takes in the whole kind, as it was at a revision. One from before what is
  /// known changes nothing.
  /// @return what is new in it
  ViewNews OnList(std::vector<ViewedObject> aObjects, std::uint64_t aRevision);

  /// Takes in what another host told, asked from this view's revision on.
  /// @return what is new in it
  ViewNews OnTold(ViewChanges aChanges);

  /// Gives the revision up to which all is known; 0 before the first list.
  std::uint64_t Revision() const { return revision_; }

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

  void Put(ViewedObject aObject, std::uint64_t aRevision, ViewNews& aNews);
  void Remove(const std::string& aName,
              std::uint64_t aRevision,
              ViewNews& aNews);
  void RemoveOthers(const std::set<std::string>& aNames,
                    std::uint64_t aRevision,
                    ViewNews& aNews);

  Options options_;
  std::uint64_t revision_ = 0;
  std::uint64_t floor_ = 0; // what was removed up to it is not known any more
  std::map<std::string, Kept> objects_;
  std::deque<Removal> removals_;
};

/// Gives the store's count of changes that a version stands for; 0 for none.
std::uint64_t RevisionOf(const std::string& aVersion);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_STORE_VIEW_H_
