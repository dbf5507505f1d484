#include "gooseberrylift/internal/gooseberrylift-job-store.h"

#include <nlohmann/json.hpp>

#include "gooseberrylift/internal/gooseberrylift-encoding.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr std::size_t kInlineBytes = 16 * 1024;
constexpr std::size_t kChunkBytes = 700 * 1024; // the store takes 1 MB

StoreObject ObjectOf(const StoredJob& aJob)
{
  return { .kind_ = kJobKind,
           .name_ = aJob.id_,
           .version_ = aJob.version_,
           .spec_ = aJob.record_.Spec() };
}

StoredJob JobOf(const StoreObject& aObject)
{
  return { .id_ = aObject.name_,
           .version_ = aObject.version_,
           .record_ = JobRecord::Parse(aObject.spec_) };
}

StoreObject ChunkOf(const std::string& aName, int aIndex, std::string aText)
{
  json spec = json::object();
  spec["text"] = std::move(aText);
  return { .kind_ = kJobChunkKind,
           .name_ = aName + "-" + std::to_string(aIndex),
           .spec_ = std::move(spec) };
}

// Base64 with what names may not hold replaced.
std::string PlainName(const std::string& aText)
{
  std::string name;
  for (const char letter : aText) {
    const bool plain = std::isalnum(static_cast<unsigned char>(letter)) != 0;
    name += plain ? letter : '0';
  }
  return name;
}

// A result's chunks carry the claim's nonce, so that two holders, one of them
// paused past its lease, never write the same chunk.
std::string ResultName(const StoredJob& aJob)
{
  return aJob.id_ + "-r" + PlainName(aJob.record_.holder_);
}

// A request's chunks carry its digest, so that what an earlier job of the same
// key left behind is never taken for this one's.
std::string RequestName(const StoredJob& aJob)
{
  return aJob.id_ + "-q" + PlainName(aJob.record_.digest_);
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
  const bool isShort = text.size() <= kInlineBytes;
  if (isShort) {
    aJob.record_.request_ = text;
  } else {
    // The job's own object comes first, so that its chunks are swept with it
    // if this host dies between them.
    aJob.record_.state_ = JobState::kStoring;
    aJob.record_.requestChunks_ =
      static_cast<int>((text.size() + kChunkBytes - 1) / kChunkBytes);
  }
  const auto made = co_await store_.Create(ObjectOf(aJob), aDeadline);
  if (!made && made.error().ran_ != RanState::kNo) {
    // The answer was lost; the digest tells whether it is this job.
    auto found = co_await Read(aJob.id_, aDeadline);
    if (!found || found.value().record_.digest_ != aJob.record_.digest_) {
      co_return made.error();
    }
    aJob.version_ = found.value().version_;
  } else if (!made) {
    co_return made.error();
  } else {
    aJob.version_ = made.value().version_;
  }
  if (isShort) {
    co_return aJob;
  }
  const std::string name = RequestName(aJob);
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
  co_return JobOf(object.value());
}

asio::awaitable<Outcome<StoredJob>> JobStore::Update(StoredJob aJob,
                                                     TimePoint aDeadline)
{
  const auto written = co_await store_.Update(ObjectOf(aJob), aDeadline);
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
    StoreObject chunk = ChunkOf(aName, count, aText.substr(at, kChunkBytes));
    const auto made = co_await store_.Create(std::move(chunk), aDeadline);
    // A conflict is this text's own chunk from a try whose answer was lost.
    if (!made && made.error().code_ != ResultCode::kStoreConflict) {
      co_return made.error();
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
                     .text_ = "the stored text can't be decoded" };
  }
  co_return std::move(*decoded);
}

asio::awaitable<Outcome<std::string>> JobStore::ReadRequest(StoredJob aJob,
                                                            TimePoint aDeadline)
{
  co_return co_await ReadText(RequestName(aJob),
                              aJob.record_.request_,
                              aJob.record_.requestChunks_,
                              aDeadline);
}

asio::awaitable<Outcome<std::string>> JobStore::ReadResult(StoredJob aJob,
                                                           TimePoint aDeadline)
{
  co_return co_await ReadText(ResultName(aJob),
                              aJob.record_.result_,
                              aJob.record_.resultChunks_,
                              aDeadline);
}

asio::awaitable<Outcome<StoredJob>> JobStore::AttachResult(StoredJob aJob,
                                                           std::string aResult,
                                                           TimePoint aDeadline)
{
  std::string text = CompressToBase64(aResult);
  if (text.size() <= kInlineBytes) {
    aJob.record_.result_ = std::move(text);
    co_return aJob;
  }
  const auto written =
    co_await WriteChunks(ResultName(aJob), std::move(text), aDeadline);
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
    RequestName(aJob), aJob.record_.requestChunks_, aDeadline);
  co_await RemoveChunks(
    ResultName(aJob), aJob.record_.resultChunks_, aDeadline);
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
