// Stores jobs in the object store: one object per job, and chunk objects for
// requests and results that are too long for it.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_JOB_STORE_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_JOB_STORE_H_

#include <string>

#include <boost/asio/awaitable.hpp>

#include "gooseberrylift/gooseberrylift-job.h"
#include "gooseberrylift/internal/gooseberrylift-store.h"

namespace gooseberrylift {

constexpr const char* kJobKind = "jobs";
constexpr const char* kJobChunkKind = "jobchunks";

// A job and the version of its object, which the next conditional update needs.
struct StoredJob
{
  std::string id_;
  std::string version_;
  JobRecord record_{};
};

// Stateless, therefore thread-safe. Each call completes by its deadline.
class JobStore
{
public:
  explicit JobStore(ObjectStore& aStore);

  /// Stores a new job with its request, in chunks if the request is long.
  /// @param aRequest text of the request, not yet compressed
  /// @return the stored job, or kStoreConflict if the identifier is in use
  boost::asio::awaitable<Outcome<StoredJob>> Add(StoredJob aJob,
                                                 std::string aRequest,
                                                 TimePoint aDeadline);

  boost::asio::awaitable<Outcome<StoredJob>> Read(std::string aId,
                                                  TimePoint aDeadline);

  /// Replaces a job's record unless it was changed meanwhile. If the response
  /// is lost, the record is read back to find out whether the update took
  /// effect.
  boost::asio::awaitable<Outcome<StoredJob>> Update(StoredJob aJob,
                                                    TimePoint aDeadline);

  /// Reads the text of the request.
  boost::asio::awaitable<Outcome<std::string>> ReadRequest(StoredJob aJob,
                                                           TimePoint aDeadline);

  /// Reads the text of the result.
  boost::asio::awaitable<Outcome<std::string>> ReadResult(StoredJob aJob,
                                                          TimePoint aDeadline);

  /// Adds a result to the job's record, which the caller then stores by Update.
  /// A long result is written to chunks.
  boost::asio::awaitable<Outcome<StoredJob>> AttachResult(StoredJob aJob,
                                                          std::string aResult,
                                                          TimePoint aDeadline);

  /// Deletes a job and its chunks.
  boost::asio::awaitable<Outcome<void>> Remove(StoredJob aJob,
                                               TimePoint aDeadline);

private:
  boost::asio::awaitable<Outcome<int>> WriteChunks(std::string aName,
                                                   std::string aText,
                                                   TimePoint aDeadline);
  boost::asio::awaitable<Outcome<std::string>> ReadText(std::string aName,
                                                        std::string aInline,
                                                        int aChunks,
                                                        TimePoint aDeadline);
  boost::asio::awaitable<void> RemoveChunks(std::string aName,
                                            int aChunks,
                                            TimePoint aDeadline);

  ObjectStore& store_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_JOB_STORE_H_
