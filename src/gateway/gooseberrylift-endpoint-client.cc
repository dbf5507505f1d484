#include "gooseberrylift/internal/gooseberrylift-endpoint-client.h"

#include <utility>

#include <boost/asio/use_awaitable.hpp>

#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;

namespace {

// A refused connection is reported within one round trip in the region.
constexpr std::chrono::milliseconds kExitCheckTimeout{ 250 };

const char* ReasonOf(SendBlock aBlock)
{
  return aBlock == SendBlock::kBackoff ? "asked for a backoff"
                                       : "is leaving or gone";
}

// A call to an endpoint that passes on what the endpoint states about itself in
// the head of the response.
class EndpointCall : public HttpCall
{
public:
  EndpointCall(std::unique_ptr<HttpCall> aCall,
               EndpointClient::Parts aParts,
               ListedEndpoint aEndpoint,
               std::string aRequestId,
               bool aHasCallerExpectation,
               TimePoint aSentAt)
    : call_(std::move(aCall))
    , parts_(aParts)
    , endpoint_(std::move(aEndpoint))
    , requestId_(std::move(aRequestId))
    , hasCallerExpectation_(aHasCallerExpectation)
    , sentAt_(aSentAt)
  {
  }

  asio::awaitable<Outcome<void>> ReadHead() override
  {
    auto read = co_await call_->ReadHead();
    if (read) {
      parts_.links_.OnSucceeded(endpoint_, LinkFailure::kResponse);
      OnHead();
    } else if (read.error().code_ == ResultCode::kEndpointBroken) {
      parts_.links_.OnFailed(endpoint_, LinkFailure::kResponse);
    }
    co_return read;
  }

  const HttpResponse& Head() const override { return call_->Head(); }

  asio::awaitable<Outcome<std::optional<std::string>>> ReadSome() override
  {
    return call_->ReadSome();
  }

  void SetDeadline(TimePoint aDeadline) override
  {
    call_->SetDeadline(aDeadline);
  }

  bool HasExplicitEnd() const override { return call_->HasExplicitEnd(); }

private:
  // Unlike the rest of the response, a notice doesn't depend on which request
  // the response belongs to: also a late response to an earlier request on the
  // connection comes from this endpoint.
  void OnHead()
  {
    const EndpointResponseMetadata facts =
      parts_.dialect_.ParseEndpointResponse(call_->Head());
    if (IsReplaced(facts)) {
      parts_.fleet_.Access().OnReplaced(endpoint_);
      return;
    }
    if (!facts.instanceId_.empty() && facts.instanceId_ != endpoint_.id_) {
      return;
    }
    const NoticeEffect effect = parts_.fleet_.Access().OnNotice(
      endpoint_,
      facts.notice_,
      { .signed_ = facts.hasResponseStamp_, .sentAt_ = sentAt_ });
    LogNotice(facts.notice_, effect);
    if (facts.notExecuted_) {
      parts_.metrics_.Count("gooseberrylift_endpoint_rejections_total",
                            "endpoint=\"" + endpoint_.id_ + "\"");
    }
    if (effect.backoff_) {
      parts_.fleet_.Loads().OnBackoff(
        endpoint_, facts.notice_.backoff_.duration_, TimerService::Now());
      parts_.metrics_.Count("gooseberrylift_endpoint_backoffs_total",
                            "endpoint=\"" + endpoint_.id_ + "\"");
    }
  }

  // Returns whether the address belongs to another incarnation now. One that
  // names none may have refused what the caller expects.
  bool IsReplaced(const EndpointResponseMetadata& aFacts) const
  {
    if (!aFacts.misdirected_) {
      return false;
    }
    return aFacts.instanceId_.empty() ? !hasCallerExpectation_
                                      : aFacts.instanceId_ != endpoint_.id_;
  }

  void LogNotice(const EndpointNotice& aNotice,
                 const NoticeEffect& aEffect) const
  {
    const RequestedBackoff& backoff = aNotice.backoff_;
    const bool malformed = backoff.kind_ == RequestedBackoff::Kind::kMalformed;
    if (!aEffect.leaving_ && !aEffect.backoff_ && !malformed) {
      return;
    }
    Log(LogEvent::kEndpointNotice,
        { { "request_id", requestId_ },
          { "endpoint", endpoint_.id_ },
          { "service", endpoint_.service_ },
          { "status", call_->Head().status_ },
          { "leaving", aNotice.leaving_ },
          { "backoff_ms", backoff.duration_.count() },
          { "malformed", malformed } });
  }

  std::unique_ptr<HttpCall> call_;
  EndpointClient::Parts parts_;
  ListedEndpoint endpoint_;
  std::string requestId_;
  bool hasCallerExpectation_;
  TimePoint sentAt_;
};

} // namespace

std::optional<Error> EndpointClient::CheckSend(
  const ListedEndpoint& aEndpoint,
  const CallOptions& aOptions) const
{
  if (aOptions.purpose_ == EndpointPurpose::kUpkeep) {
    return std::nullopt;
  }
  std::vector<ListedEndpoint> involved = aOptions.helpers_;
  involved.push_back(aEndpoint);
  for (const ListedEndpoint& endpoint : involved) {
    const SendBlock block = parts_.fleet_.Access().CheckSend(endpoint);
    if (block != SendBlock::kNone) {
      parts_.metrics_.Count("gooseberrylift_sends_withdrawn_total",
                            "endpoint=\"" + endpoint.id_ + "\"");
      return MakeError(ResultCode::kEndpointWithdrawn,
                       endpoint.id_ + " " + ReasonOf(block));
    }
  }
  return std::nullopt;
}

asio::awaitable<Outcome<std::unique_ptr<HttpCall>>> EndpointClient::Send(
  ListedEndpoint aEndpoint,
  HttpRequest aRequest,
  TimePoint aDeadline,
  CallOptions aOptions)
{
  HttpClient::CallOptions http = aOptions.http_;
  http.checkBeforeWrite_ = [&]() -> std::optional<Error> {
    if (auto withdrawn = CheckSend(aEndpoint, aOptions)) {
      return withdrawn;
    }
    return aOptions.checkRequest_ ? aOptions.checkRequest_() : std::nullopt;
  };
  http.onConnected_ = [&] {
    parts_.links_.OnSucceeded(aEndpoint, LinkFailure::kConnection);
    if (aOptions.http_.onConnected_) {
      aOptions.http_.onConnected_();
    }
  };
  const bool hasCallerExpectation =
    parts_.dialect_.HasCallerExpectation(aRequest);
  const TimePoint sentAt = TimerService::Now();
  auto call = co_await parts_.client_.Send(
    aEndpoint.address_, std::move(aRequest), aDeadline, std::move(http));
  if (!call) {
    if (call.error().code_ == ResultCode::kEndpointUnreachable) {
      parts_.links_.OnFailed(aEndpoint, LinkFailure::kConnection);
    }
    co_return call.error();
  }
  co_return std::make_unique<EndpointCall>(std::move(call.value()),
                                           parts_,
                                           std::move(aEndpoint),
                                           std::move(aOptions.requestId_),
                                           hasCallerExpectation,
                                           sentAt);
}

asio::awaitable<Outcome<HttpResponse>> EndpointClient::Fetch(
  ListedEndpoint aEndpoint,
  HttpRequest aRequest,
  TimePoint aDeadline,
  CallOptions aOptions)
{
  auto call = co_await Send(
    std::move(aEndpoint), std::move(aRequest), aDeadline, std::move(aOptions));
  if (!call) {
    co_return call.error();
  }
  co_return co_await ReadResponse(*call.value());
}

asio::awaitable<bool> EndpointClient::HasExited(ListedEndpoint aEndpoint)
{
  const ConnectResult result =
    co_await parts_.client_.TryConnect(aEndpoint.address_, kExitCheckTimeout);
  co_return result == ConnectResult::kRefused;
}

} // namespace gooseberrylift
