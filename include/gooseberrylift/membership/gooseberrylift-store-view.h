// A host's copy of one kind of object in the store, with enough history to send
// other hosts only what changed since they last asked. This lets one host read
// the store while hundreds of others receive changes from it and each other.

#ifndef GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_STORE_VIEW_H_
#define GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_STORE_VIEW_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace gooseberrylift {

// An object as it was read from the store.
struct CachedObject
{
  std::string name_;
  std::string version_; // assigned by the store at the object's last change
  nlohmann::json spec_;
};

// The changes of one kind that one host sends to another.
struct StoreDelta
{
  std::uint64_t revision_ = 0; // store revision up to which this is complete
  std::vector<CachedObject> objects_; // new or changed
  std::vector<std::string> removed_;  // names
  // All existing names, in order. Set if the sender cannot tell which objects
  // were removed.
  std::optional<std::vector<std::string>> names_;
};

// A summary of a host's views. The receiver can tell from it whether it lacks
// any changes.
struct StoreStatus
{
  // Store revisions up to which the host's views are complete; 0 for none.
  std::uint64_t routes_ = 0;
  std::uint64_t endpoints_ = 0;
  std::uint64_t evacuations_ = 0;
  // Age of the latest proof that the routes are current (see FreshnessLease),
  // on the sender's clock at the time of sending; nothing without one.
  std::optional<std::chrono::milliseconds> proofAge_;
  // The views of endpoints and evacuations include all changes that were made
  // longer ago than this, on the sender's clock at the time of sending; nothing
  // if unknown.
  std::optional<std::chrono::milliseconds> endpointsAge_{};
};

// What an update changed in a view.
struct ViewUpdate
{
  std::vector<CachedObject> objects_; // new or changed
  std::vector<std::string> removed_;  // names

  bool Empty() const { return objects_.empty() && removed_.empty(); }
};

// The store numbers its changes with revisions, so a host that is up to date to
// one revision can get later changes from any other host. An object carries the
// revision of its last change. A removal is recorded with a revision at or
// after the actual one: a host whose revision lies between the two receives the
// removal twice, which is harmless.
//
// A list that is read in pages has the revision of its first page, so a view
// may hold objects that are newer than its revision. An update never replaces
// such an object by an older state of it.
//
// A list does not show objects that were both created and removed before it,
// and a host that asks may have received such an object from elsewhere. A host
// whose revision is older than the last list therefore gets all names. Not
// thread-safe.
class StoreView
{
public:
  struct Options
  {
    // Number of removals kept. A host that asks for changes since before the
    // oldest one gets all names. A fleet of a few hundred endpoints removes
    // fewer than this in minutes.
    std::size_t maxRemovals_ = 1024;
  };

  explicit StoreView(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Applies a list of all objects at a revision. A list older than this view
  /// is ignored.
  /// @return what changed in this view
  ViewUpdate OnList(std::vector<CachedObject> aObjects,
                    std::uint64_t aRevision);

  /// Applies a list from which objects may be missing: adds and changes
  /// objects, and removes none. The revision stays, since other changes are
  /// unknown.
  /// @param aRevision the store's when the list was read
  /// @return what changed in this view
  ViewUpdate OnIncompleteList(std::vector<CachedObject> aObjects,
                              std::uint64_t aRevision);

  /// Applies changes from another host that were requested since this view's
  /// revision.
  /// @return what changed in this view
  ViewUpdate ApplyDelta(StoreDelta aChanges);

  /// Returns the revision up to which this view is complete; 0 before the first
  /// list.
  std::uint64_t Revision() const { return revision_; }

  /// Returns the changes after a revision.
  StoreDelta Since(std::uint64_t aRevision) const;

private:
  struct Entry
  {
    CachedObject object_;
    std::uint64_t changeRevision_ = 0;
  };
  struct Removal
  {
    std::string name_;
    std::uint64_t changeRevision_ = 0;
  };

  void Upsert(CachedObject aObject,
              std::uint64_t aRevision,
              ViewUpdate& aUpdate);
  void Remove(const std::string& aName,
              std::uint64_t aRevision,
              ViewUpdate& aUpdate);
  void RemoveUnlisted(const std::set<std::string>& aListed,
                      std::uint64_t aRevision,
                      ViewUpdate& aUpdate);

  Options options_;
  std::uint64_t revision_ = 0;
  // Removals up to this revision are not all recorded.
  std::uint64_t removalsCompactedTo_ = 0;
  std::map<std::string, Entry> objects_;
  std::deque<Removal> removals_;
};

/// Returns the store revision that a version stands for; 0 if it is not a
/// number.
std::uint64_t RevisionOf(const std::string& aVersion);

/// Returns the store revision up to which a list of any age is known to be
/// complete; 0 if unknown. A page shows all changes up to its newest object,
/// and each page may be of another age, so it is the lowest of these revisions.
/// @param aObjects the listed objects
/// @param aPageSizes numbers of objects that were read at once, in the order of
/// aObjects; empty if all were
std::uint64_t CompleteRevision(const std::vector<CachedObject>& aObjects,
                               const std::vector<std::size_t>& aPageSizes);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_STORE_VIEW_H_
