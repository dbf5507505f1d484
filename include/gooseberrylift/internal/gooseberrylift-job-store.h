// Keeps jobs in the object store: one object a job, and chunks for texts that
// are too long for it.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_JOB_STORE_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_JOB_STORE_H_

#include <string>

#include <boost/asio/awaitable.hpp>

#include "gooseberrylift/gooseberrylift-job.h"
#include "gooseberrylift/internal/gooseberrylift-store.h"

namespace gooseberrylift {

constexpr const char* kJobKind = "jobs";
constexpr const char* kJobChunkKind = "jobchunks";

// A job with the version of its object, for the next conditional update.
struct StoredJob
{
  std::string id_;
  std::string version_;
  JobRecord record_{};
};

// Holds no state of its own; safe from any thread. Each call ends by its
// deadline.
class JobStore
{
public:
  explicit JobStore(ObjectStore& aStore);

  /// Stores a new job with its request, chunks and all.
  /// @param aRequest the request's text, to be compressed
  /// @return the job, or kStoreConflict when the identifier is taken
  boost::asio::awaitable<Outcome<StoredJob>> Add(StoredJob aJob,
                                                 std::string aRequest,
                                                 TimePoint aDeadline);

  boost::asio::awaitable<Outcome<StoredJob>> Read(std::string aId,
                                                  TimePoint aDeadline);

  /// Replaces a job's record if nobody else has. A lost answer is settled by
  /// reading back.
  boost::asio::awaitable<Outcome<StoredJob>> Update(StoredJob aJob,
                                                    TimePoint aDeadline);

  /// Gives the request's or the result's text.
  boost::asio::awaitable<Outcome<std::string>> ReadRequest(StoredJob aJob,
                                                           TimePoint aDeadline);
  boost::asio::awaitable<Outcome<std::string>> ReadResult(StoredJob aJob,
                                                          TimePoint aDeadline);

  /// Puts a result into the job's record, writing chunks when it is long.
  boost::asio::awaitable<Outcome<StoredJob>> AttachResult(StoredJob aJob,
                                                          std::string aResult,
                                                          TimePoint aDeadline);

  /// Removes a job and its chunks.
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
