#include "gooseberrylift/internal/gooseberrylift-unreadable-object-recorder.h"

#include <utility>

#include "gooseberrylift/internal/gooseberrylift-log.h"

namespace gooseberrylift {

namespace {

// The parser's messages quote the text before the fault, however long it is.
constexpr std::size_t kMaxFaultBytes = 200;

// Bounds the memory for objects of a writer that uses ever new names.
constexpr std::size_t kMaxObjects = 1'000;

} // namespace

void UnreadableObjectRecorder::Record(const StoreObject& aObject,
                                      const std::string& aFault)
{
  metrics_.Count("gooseberrylift_store_objects_unreadable_total");
  if (IsNew(aObject)) {
    Log(LogEvent::kStoreObjectUnreadable,
        { { "kind", aObject.kind_ },
          { "object", aObject.name_ },
          { "store_version", aObject.version_ },
          { "fault", aFault.substr(0, kMaxFaultBytes) } });
  }
}

bool UnreadableObjectRecorder::IsNew(const StoreObject& aObject)
{
  const std::lock_guard lock(mutex_);
  if (versions_.size() >= kMaxObjects) {
    versions_.clear();
  }
  const auto [entry, inserted] = versions_.try_emplace(
    aObject.kind_ + "/" + aObject.name_, aObject.version_);
  return inserted ||
         std::exchange(entry->second, aObject.version_) != aObject.version_;
}

} // namespace gooseberrylift
