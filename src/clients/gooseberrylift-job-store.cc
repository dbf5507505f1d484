#include "gooseberrylift/internal/gooseberrylift-job-store.h"

#include <nlohmann/json.hpp>

#include "gooseberrylift/internal/gooseberrylift-encoding.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr std::size_t kMaxInlineBytes = 16 * 1024;
constexpr std::size_t kChunkBytes = 700 * 1024; // the store accepts 1 MB

StoreObject ToStoreObject(const StoredJob& aJob)
{
  return { .kind_ = kJobKind,
           .name_ = aJob.id_,
           .version_ = aJob.version_,
           .spec_ = aJob.record_.Spec() };
}

StoredJob ToStoredJob(const StoreObject& aObject)
{
  return { .id_ = aObject.name_,
           .version_ = aObject.version_,
           .record_ = JobRecord::Parse(aObject.spec_) };
}

StoreObject MakeChunk(const std::string& aName, int aIndex, std::string aText)
{
  json spec = json::object();
  spec["text"] = std::move(aText);
  return { .kind_ = kJobChunkKind,
           .name_ = aName + "-" + std::to_string(aIndex),
           .spec_ = std::move(spec) };
}

// Replaces the characters of base64 that are not allowed in object names.
std::string SanitizeName(const std::string& aText)
{
  std::string name;
  for (const char letter : aText) {
    const bool allowed = std::isalnum(static_cast<unsigned char>(letter)) != 0;
    name += allowed ? letter : '0';
  }
  return name;
}

// The names of a result's chunks contain the nonce of the claim. A holder that
// was paused beyond its lease therefore never writes the same chunk as the next
// holder.
std::string ResultChunkPrefix(const StoredJob& aJob)
{
  return aJob.id_ + "-r" + SanitizeName(aJob.record_.holder_);
}

// The names of a request's chunks contain its digest, so that chunks left over
// from an earlier job with the same key are never read as part of this one.
std::string RequestChunkPrefix(const StoredJob& aJob)
{
  return aJob.id_ + "-q" + SanitizeName(aJob.record_.digest_);
}

} // namespace

JobStore::JobStore(ObjectStore& aStore)
  : store_(aStore)
{
}

asio::awaitable<Outcome<StoredJob>> JobStore::Add(StoredJob aJob,
                                                  std::string aRequest,
                                                  TimePoint aDeadline)
{
  std::string text = CompressToBase64(aRequest);
  const bool isShort = text.size() <= kMaxInlineBytes;
  if (isShort) {
    aJob.record_.request_ = text;
  } else {
    // The job's object is created before its chunks, so that these are removed
    // together with it if this host fails before all of them are written.
    aJob.record_.state_ = JobState::kStoring;
    aJob.record_.requestChunks_ =
      static_cast<int>((text.size() + kChunkBytes - 1) / kChunkBytes);
  }
  const auto created = co_await store_.Create(ToStoreObject(aJob), aDeadline);
  if (!created && created.error().ran_ != RanState::kNo) {
    // The response was lost. If the stored digest is this request's, the create
    // succeeded.
    auto found = co_await Read(aJob.id_, aDeadline);
    if (!found || found.value().record_.digest_ != aJob.record_.digest_) {
      co_return created.error();
    }
    aJob.version_ = found.value().version_;
  } else if (!created) {
    co_return created.error();
  } else {
    aJob.version_ = created.value().version_;
  }
  if (isShort) {
    co_return aJob;
  }
  const std::string name = RequestChunkPrefix(aJob);
  const auto written = co_await WriteChunks(name, std::move(text), aDeadline);
  if (!written) {
    co_return written.error();
  }
  aJob.record_.state_ = JobState::kQueued;
  co_return co_await Update(std::move(aJob), aDeadline);
}

asio::awaitable<Outcome<StoredJob>> JobStore::Read(std::string aId,
                                                   TimePoint aDeadline)
{
  const auto object = co_await store_.Read(kJobKind, std::move(aId), aDeadline);
  if (!object) {
    co_return object.error();
  }
  co_return ToStoredJob(object.value());
}

asio::awaitable<Outcome<StoredJob>> JobStore::Update(StoredJob aJob,
                                                     TimePoint aDeadline)
{
  const auto written = co_await store_.Update(ToStoreObject(aJob), aDeadline);
  if (written) {
    aJob.version_ = written.value().version_;
    co_return aJob;
  }
  if (written.error().ran_ == RanState::kNo) {
    co_return written.error();
  }
  auto found = co_await Read(aJob.id_, aDeadline);
  if (found && found.value().record_.Spec() == aJob.record_.Spec()) {
    co_return found.value();
  }
  co_return written.error();
}

asio::awaitable<Outcome<int>> JobStore::WriteChunks(std::string aName,
                                                    std::string aText,
                                                    TimePoint aDeadline)
{
  int count = 0;
  for (std::size_t at = 0; at < aText.size(); at += kChunkBytes) {
    StoreObject chunk = MakeChunk(aName, count, aText.substr(at, kChunkBytes));
    const auto created = co_await store_.Create(std::move(chunk), aDeadline);
    // A conflict means that an earlier attempt, whose response was lost, has
    // already written this chunk.
    if (!created && created.error().code_ != ResultCode::kStoreConflict) {
      co_return created.error();
    }
    ++count;
  }
  co_return count;
}

asio::awaitable<Outcome<std::string>> JobStore::ReadText(std::string aName,
                                                         std::string aInline,
                                                         int aChunks,
                                                         TimePoint aDeadline)
{
  std::string text = std::move(aInline);
  for (int index = 0; index < aChunks; ++index) {
    const std::string name = aName + "-" + std::to_string(index);
    const auto chunk = co_await store_.Read(kJobChunkKind, name, aDeadline);
    if (!chunk) {
      co_return chunk.error();
    }
    text += chunk.value().spec_.value("text", "");
  }
  auto decoded = DecompressFromBase64(text);
  if (!decoded) {
    co_return Error{ .code_ = ResultCode::kInternal,
                     .text_ = "cannot decode the stored request or result" };
  }
  co_return std::move(*decoded);
}

asio::awaitable<Outcome<std::string>> JobStore::ReadRequest(StoredJob aJob,
                                                            TimePoint aDeadline)
{
  co_return co_await ReadText(RequestChunkPrefix(aJob),
                              aJob.record_.request_,
                              aJob.record_.requestChunks_,
                              aDeadline);
}

asio::awaitable<Outcome<std::string>> JobStore::ReadResult(StoredJob aJob,
                                                           TimePoint aDeadline)
{
  co_return co_await ReadText(ResultChunkPrefix(aJob),
                              aJob.record_.result_,
                              aJob.record_.resultChunks_,
                              aDeadline);
}

asio::awaitable<Outcome<StoredJob>> JobStore::AttachResult(StoredJob aJob,
                                                           std::string aResult,
                                                           TimePoint aDeadline)
{
  std::string text = CompressToBase64(aResult);
  if (text.size() <= kMaxInlineBytes) {
    aJob.record_.result_ = std::move(text);
    co_return aJob;
  }
  const auto written =
    co_await WriteChunks(ResultChunkPrefix(aJob), std::move(text), aDeadline);
  if (!written) {
    co_return written.error();
  }
  aJob.record_.resultChunks_ = written.value();
  co_return aJob;
}

asio::awaitable<Outcome<void>> JobStore::Remove(StoredJob aJob,
                                                TimePoint aDeadline)
{
  const auto removed =
    co_await store_.Delete(kJobKind, aJob.id_, aJob.version_, aDeadline);
  if (!removed) {
    co_return removed.error();
  }
  co_await RemoveChunks(
    RequestChunkPrefix(aJob), aJob.record_.requestChunks_, aDeadline);
  co_await RemoveChunks(
    ResultChunkPrefix(aJob), aJob.record_.resultChunks_, aDeadline);
  co_return boost::outcome_v2::success();
}

asio::awaitable<void> JobStore::RemoveChunks(std::string aName,
                                             int aChunks,
                                             TimePoint aDeadline)
{
  for (int index = 0; index < aChunks; ++index) {
    const std::string name = aName + "-" + std::to_string(index);
    co_await store_.Delete(kJobChunkKind, name, "", aDeadline);
  }
}

} // namespace gooseberrylift
