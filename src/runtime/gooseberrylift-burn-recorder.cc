#include "gooseberrylift/internal/gooseberrylift-burn-recorder.h"

#include <functional>

namespace gooseberrylift {

namespace asio = boost::asio;

namespace {

// Codes 30 to 59 name faults of the caller: they say nothing of the service.
bool IsCallersDoing(ResultCode aCode)
{
  const int number = static_cast<int>(aCode);
  return number >= 30 && number <= 59;
}

} // namespace

BurnRecorder::BurnRecorder(Parts aParts)
  : parts_(aParts)
{
}

void BurnRecorder::Record(const ServiceConfig& aService,
                          BurnSample aSample,
                          ResultCode aCode)
{
  if (!aService.objective_ || IsCallersDoing(aCode)) {
    return;
  }
  aSample.succeeded_ = aCode == ResultCode::kOk;
  const std::size_t hash =
    std::hash<std::string>()(aSample.team_ + '\n' + aSample.service_);
  Shard& shard = shards_.at(hash % shards_.size());
  const std::lock_guard lock(shard.mutex_);
  shard.ledger_.Record(aSample, *aService.objective_, TimerService::Now());
}

BurnDocument BurnRecorder::Document() const
{
  const auto configuration =
    parts_.board_.configuration_.Read()->configuration_;
  BurnDocument document{ .hosts_ = { parts_.settings_.hostName_ },
                         .firstTokens_ = parts_.metrics_.FirstTokens() };
  if (configuration) {
    document.generation_ = configuration->Generation();
    document.objectives_ = ObjectivesOf(*configuration);
  }
  for (const Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex_);
    MergeTally(document.tally_, shard.ledger_.Tally(TimerService::Now()));
  }
  return document;
}

void BurnRecorder::AddRoutes(AdminApi& aAdminApi)
{
  aAdminApi.Add("GET",
                "/report/burn",
                [this](HttpExchange& aExchange) -> asio::awaitable<void> {
                  HttpResponse response =
                    JsonResponse(200, SerializeBurnDocument(Document()));
                  co_await aExchange.Send(std::move(response));
                });
}

} // namespace gooseberrylift
