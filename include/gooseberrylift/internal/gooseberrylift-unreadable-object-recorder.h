// Logs and counts objects of the store that can't be read.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_UNREADABLE_OBJECT_RECORDER_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_UNREADABLE_OBJECT_RECORDER_H_

#include <map>
#include <mutex>
#include <string>

#include "gooseberrylift/internal/gooseberrylift-metrics.h"
#include "gooseberrylift/internal/gooseberrylift-store.h"

namespace gooseberrylift {

// Counts each time that such an object is received, and logs each of its
// versions once, since lists contain it again and again. Thread-safe.
class UnreadableObjectRecorder
{
public:
  /// @param aMetrics must outlive the recorder
  explicit UnreadableObjectRecorder(Metrics& aMetrics)
    : metrics_(aMetrics)
  {
  }

  /// Records an object.
  /// @param aObject what can be read of it
  /// @param aFault why it can't be read
  void Record(const StoreObject& aObject, const std::string& aFault);

private:
  // Returns whether this version of the object was not recorded before.
  bool IsNew(const StoreObject& aObject);

  Metrics& metrics_;
  std::mutex mutex_;
  std::map<std::string, std::string> versions_; // by kind and name
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_UNREADABLE_OBJECT_RECORDER_H_
