// Sends a request to an endpoint, retries it at others if an attempt fails, and
// forwards the response to the caller.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_REQUEST_RUN_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_REQUEST_RUN_H_

#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "gooseberrylift/gooseberrylift-attempt-errors.h"
#include "gooseberrylift/internal/gooseberrylift-endpoint-client.h"
#include "gooseberrylift/internal/gooseberrylift-endpoint-rate-limiter.h"
#include "gooseberrylift/internal/gooseberrylift-fleet.h"
#include "gooseberrylift/internal/gooseberrylift-http-server.h"
#include "gooseberrylift/internal/gooseberrylift-load-exchange.h"
#include "gooseberrylift/internal/gooseberrylift-poison-request-monitor.h"
#include "gooseberrylift/internal/gooseberrylift-promise-book.h"
#include "gooseberrylift/internal/gooseberrylift-request-attempt.h"
#include "gooseberrylift/internal/gooseberrylift-route-follower.h"
#include "gooseberrylift/internal/gooseberrylift-shared-retry-budget.h"
#include "gooseberrylift/internal/gooseberrylift-waiting-room.h"
#include "gooseberrylift/internal/gooseberrylift-wire-dialect.h"
#include "gooseberrylift/limits/gooseberrylift-long-prompt-hold.h"
#include "gooseberrylift/limits/gooseberrylift-request-features.h"
#include "gooseberrylift/limits/gooseberrylift-used-endpoints.h"

namespace gooseberrylift {

// A request whose route and team have been resolved.
struct RoutedRequest
{
  RequestFeatures features_;
  // Whether other callers hardly have the same fingerprint: without a body, all
  // callers of a team do.
  bool identified_ = false;
  std::uint64_t id_ = 0; // unique on this host
  CallerRequestMetadata facts_;
  RouteTable::Ptr table_;
  const Route* route_ = nullptr; // owned by table_
  std::string service_;
  std::string team_;
  int priority_ = 0;          // of the team or the route; 0 is the most urgent
  AllowedZones allowedZones_; // by the regions of the route and the team
  bool authenticatedByKey_ = false; // by a team key
  TimePoint arrived_;
  // When the caller first sent it, if it returns after a rejection as it was
  // told to; otherwise arrived_.
  TimePoint firstArrived_;
  bool returnedEarly_ = false; // before the time that its caller was told
  // Set if another host received it from its caller and relayed it.
  std::optional<RelayTerms> relay_{};
  TimePoint deadline_;
};

// Processes one request; it lives as long as the request's handler. Guarantees:
//
// - A request that must not be repeated is sent to one endpoint only, unless
//   that endpoint proves that it did not run the request.
// - The caller receives a complete response, or a stream that is recognizably
//   truncated.
// - The events of a stream are contiguous, even if several engines produced
//   them.
class RequestRun
{
public:
  struct Parts
  {
    const GatewayBoard& board_;
    EndpointClient& client_;
    const WireDialect& dialect_;
    Fleet& fleet_;
    LinkProber& links_;
    RelayClient& relays_;
    std::string host_; // name of this host
    RouteFollower& routes_;
    SharedRetryBudget& retryBudget_;
    PoisonRequestMonitor& poisonRequestMonitor_;
    EndpointRateLimiter& limiter_;
    PromiseBook& promises_;
    boost::asio::any_io_executor executor_;
    LoadExchange& loadExchange_; // sends load messages to the other hosts
    WaitingRoom& waitingRoom_;
  };

  RequestRun(Parts aParts, HttpExchange& aExchange, RoutedRequest aRequest);
  ~RequestRun();
  RequestRun(const RequestRun&) = delete;
  RequestRun& operator=(const RequestRun&) = delete;

  /// Runs until the caller has the response.
  /// @return an error if no response was sent, or if a stream was truncated
  boost::asio::awaitable<Outcome<void>> Run();

  /// Returns the time from the request's arrival to the start of the response;
  /// nothing if there is no response yet.
  std::optional<std::chrono::microseconds> TimeToFirstByte() const
  {
    return timeToFirstByte_;
  }

  /// Returns the longest time between two consecutive writes of stream events;
  /// zero if there were fewer than two.
  std::chrono::microseconds LongestGap() const { return longestGap_; }

  /// Returns the HTTP status sent to the caller; 0 if none was sent yet.
  int Status() const { return status_; }

  /// Returns the number of attempts in which an endpoint may have received
  /// part of the request.
  int Sends() const { return sends_; }

  // How much of a response the caller has.
  struct Progress
  {
    std::uint64_t lastEvent_ = 0; // of a stream; 0 before the first
    std::chrono::milliseconds sinceLastWrite_{ 0 };
    std::size_t relays_ = 0; // hosts that the request was relayed to
  };

  Progress CurrentProgress() const;

  /// Returns the endpoints that failed the request.
  std::vector<std::string> Tried() const
  {
    return { tried_.begin(), tried_.end() };
  }

private:
  // What follows a failed attempt.
  enum class Next
  {
    kTryAgain,
    kEnd,
  };

  // What the request does now. It waits if it has neither an endpoint nor a
  // host, and no refusal.
  struct Step
  {
    std::chrono::milliseconds wait_{ 0 };
    std::optional<FleetPlacement> placement_{};
    std::optional<PeerMember> peer_{};
    std::optional<Error> refusal_{};
  };

  // Responses up to this size are buffered, so that the request can still be
  // retried at another endpoint if the response breaks off. Larger ones are
  // forwarded as they arrive.
  static constexpr std::size_t kMaxBufferedBytes = 256 * 1024;

  struct Replacement;
  using AttemptPtr = std::unique_ptr<RequestAttempt>;

  Step DecideStep();
  Step DecidePlacement();
  bool MayWaitFor(const Error& aRefusal) const;
  bool IsUnderWay() const;
  bool HasCallerPatience() const;
  bool IsAdmitted() const;
  boost::asio::awaitable<Outcome<AttemptPtr>> NextAttempt();
  boost::asio::awaitable<Outcome<AttemptPtr>> OpenAttempt();
  AttemptPtr MakeAttempt(Step aStep);
  boost::asio::awaitable<Outcome<void>> SendAttempt(RequestAttempt& aAttempt);
  boost::asio::awaitable<Outcome<void>> SendToEndpoint(
    RequestAttempt& aAttempt);
  boost::asio::awaitable<Outcome<void>> SendToPeer(RequestAttempt& aAttempt);
  std::optional<Error> OnFirstByte(RequestAttempt& aAttempt);
  void EndAttempt(RequestAttempt& aAttempt, const Outcome<void>& aDone);
  Next OnAttemptFailed(RequestAttempt& aAttempt, const Error& aError);
  Next OnEndpointFailed(const RequestAttempt& aAttempt, const Error& aError);
  Next OnRelayFailed(const RequestAttempt& aAttempt, const Error& aError);
  void ApplyReport(const RelayOutcome& aReported);

  // Replacement of a stalled attempt.
  TimePoint StallDeadline(const RequestAttempt& aAttempt) const;
  TimePoint NextStallCheck() const;
  bool IsStallTimeout(const Error& aError) const;
  boost::asio::awaitable<void> OnStallTimeout(RequestAttempt& aAttempt);
  boost::asio::awaitable<void> AwaitOrReplace(RequestAttempt& aStalled);
  void Exclude(const RequestAttempt& aAttempt);
  void Include(const RequestAttempt& aAttempt);
  boost::asio::awaitable<void> AwaitStalled(RequestAttempt& aStalled,
                                            const Replacement& aReplacement);
  boost::asio::awaitable<void> PrepareReplacement(Replacement& aReplacement);
  boost::asio::awaitable<Outcome<void>> AwaitData(RequestAttempt& aAttempt);
  std::optional<Error> CheckData(const RequestAttempt& aAttempt);
  std::optional<Error> CheckBody(const RequestAttempt& aAttempt);
  void RecordStalled(const RequestAttempt& aAttempt,
                     std::string_view aDecision);

  bool MustAwaitLinkState() const;
  bool MustAwaitCrashCheck();
  std::optional<Error> CheckFirstByte() const;
  std::optional<Error> CheckQuarantine() const;
  std::optional<PeerMember> ChooseRelay();
  std::optional<PeerMember> ChoosePeer() const;
  bool MayRelayLate();
  std::chrono::milliseconds PeerStallTimeout() const;
  void LogRelayed(const PeerMember& aPeer) const;
  int MaxAttempts() const;
  std::set<std::string> FailedEndpoints() const;
  std::optional<std::set<std::string>> AllowedNext() const;
  bool HasAttemptLeft() const;
  bool MayReachAny(const std::set<std::string>& aFailed) const;
  bool IsAnyUntried() const;
  bool MayAskAnotherHost();
  void DelayAfterRefusal();
  std::optional<Error> CheckSendPreconditions() const;
  std::optional<Error> Admit(const FleetPlacement& aPlacement) const;
  std::optional<Error> DecideRefusal(const FleetPlacement& aPlacement,
                                     HoldDecision aDecision) const;
  std::chrono::milliseconds RemainingTime() const;
  Error MakeRefusal(const FleetPlacement& aPlacement,
                    std::chrono::milliseconds aRetryAfter) const;
  Error MakeFinalError();
  std::chrono::milliseconds PromiseReturn(
    std::chrono::milliseconds aExpectedWait);
  std::size_t CountParallel() const;
  std::chrono::microseconds KeptPrefill(const FleetPlacement& aPlacement) const;
  HoldDecision DecideHold(const FleetPlacement& aPlacement);
  HoldDecision DecideInOrder(HoldInput aInput,
                             const FleetPlacement* aPlacement);
  void EnterWaitingRoom(const EngineProfile& aProfile, HoldInput aInput);
  void LogWaiting() const;
  void LeaveWaitingRoom(bool aSent);
  std::optional<std::chrono::milliseconds> DelayForMemory();
  std::optional<std::chrono::milliseconds> DelayForEndpoint();
  Error MakeNoEndpointError();
  HoldInput MakeHoldInput(const EngineProfile& aProfile,
                          std::chrono::microseconds aWait) const;
  const EngineProfile* FindEngineProfile() const;
  FleetQuery MakeQuery() const;
  HttpRequest MakeEndpointRequest(const FleetPlacement& aPlacement,
                                  const MemoryReservation* aReservation) const;
  std::string MakeReservationId() const;
  boost::asio::awaitable<Outcome<std::unique_ptr<MemoryReservation>>>
  ReserveMemory(const Fleet::ActiveRequest& aActive);

  // Reads the response of an attempt and forwards it.
  bool IsStream(const RequestAttempt& aAttempt) const;
  std::optional<Error> CheckContinues(const RequestAttempt& aAttempt) const;
  boost::asio::awaitable<Outcome<void>> ForwardResponse(
    RequestAttempt& aAttempt);
  boost::asio::awaitable<Outcome<void>> Read(RequestAttempt& aAttempt);
  boost::asio::awaitable<Outcome<void>> ReadPart(RequestAttempt& aAttempt);
  boost::asio::awaitable<Outcome<void>> ReadHead(RequestAttempt& aAttempt);
  static void OnPart(RequestAttempt& aAttempt);
  Outcome<void> OnStreamData(RequestAttempt& aAttempt,
                             const std::string& aData);
  std::optional<Error> ValidateHead(const HttpResponse& aHead,
                                    AttemptTarget& aTarget);
  void OnNotExecuted(const EndpointResponseMetadata& aFacts,
                     const Fleet::ActiveRequest& aActiveRequest);
  void RecordRejection(const EndpointResponseMetadata& aFacts,
                       const Fleet::ActiveRequest& aActiveRequest);
  boost::asio::awaitable<Outcome<void>> ForwardBuffered(
    RequestAttempt& aAttempt);
  boost::asio::awaitable<Outcome<void>> ForwardUnbuffered(
    RequestAttempt& aAttempt);
  boost::asio::awaitable<Outcome<void>> ForwardStream(RequestAttempt& aAttempt);
  Outcome<std::string> TakeEvents(RequestAttempt& aAttempt);
  boost::asio::awaitable<Outcome<void>> WriteEvents(
    const RequestAttempt& aAttempt,
    std::string aEvents);
  boost::asio::awaitable<bool> EnsureStreamStarted(
    const RequestAttempt& aAttempt);
  HttpResponse MakeHead(const RequestAttempt& aAttempt) const;
  void IdentifyResponder(RequestAttempt& aAttempt);
  boost::asio::awaitable<Outcome<void>> SendSavedFailure();
  void AnnouncePlacement(const FleetPlacement& aPlacement) const;
  void RecordAnswerData(RequestAttempt& aAttempt);
  void RecordSound(const RequestAttempt& aAttempt) const;
  void RecordLostConnection(const RequestAttempt& aAttempt,
                            const Error& aError);
  bool MayRetry(const Error& aError);
  bool MayRetryElsewhere(const RequestAttempt& aAttempt) const;
  bool TryReserveRetry();
  void EnsureRetryDelay(Error aError);
  void RecordResponseStart(int aStatus);
  void RecordStreamChunk();
  void LogPlacement(const FleetPlacement& aPlacement) const;
  void LogFailedAttempt(const RequestAttempt& aAttempt,
                        const Error& aError) const;

  Parts parts_;
  HttpExchange& exchange_;
  RoutedRequest request_;
  SharedRetryBudget::Retry retry_; // its next attempt, unless that is its first
  AttemptErrors attempts_;
  EventSequence events_;
  std::uint64_t requestDraw_;   // random
  std::set<std::string> tried_; // endpoints that are avoided
  // Of these, those that have not failed it: out of a host's reach, or full.
  std::set<std::string> unavailable_;
  UsedEndpoints used_;
  // While it waits in the order of all hosts, and its place when last checked.
  std::unique_ptr<WaitingRoom::Ticket> waiting_;
  WaitingTurn turn_;
  int stalled_ = 0;           // attempts that stalled and are still open
  TimePoint nextAttemptAt_{}; // earliest time of the next attempt
  // The next delay after a refusal, once all endpoints have been tried.
  std::chrono::milliseconds refusalDelay_{ 400 };
  AttemptPtr replacement_; // has begun in place of a stalled attempt
  // While endpoints were checked under which parts of its prompt may have
  // crashed.
  std::chrono::milliseconds awaitedCrashChecks_{ 0 };
  std::uint64_t opened_ = 0; // attempts, whether they sent something or not
  int sends_ = 0;            // attempts that sent at least part of the request
  std::size_t failedConnections_ = 0; // endpoints that it could not be sent to
  // Whether it would be late or rejected at the endpoints in reach.
  bool lateHere_ = false;
  std::size_t relays_ = 0;              // hosts that it was relayed to
  std::set<std::string> excludedPeers_; // of these, those that refused it
  std::set<std::string> silentPeers_;   // and those that stalled
  RelayReason relayReason_ = RelayReason::kNone; // of the last decision
  // Total time of the attempts that sent nothing, such as failed connections.
  TimePoint::duration timeOnUnsentAttempts_{ 0 };
  std::optional<std::string> probed_; // feature that it is sent to verify
  bool ranNothing_ = false;    // it has failed, and no endpoint has run it
  bool streamStarted_ = false; // the head has been sent to the caller
  int status_ = 0;
  // A 5xx response of an endpoint, sent to the caller if the retries don't
  // produce a better one.
  std::optional<HttpResponse> savedFailure_;
  std::optional<std::chrono::microseconds> timeToFirstByte_;
  TimePoint lastChunk_{}; // when stream events were last forwarded
  std::chrono::microseconds longestGap_{ 0 };
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_REQUEST_RUN_H_
