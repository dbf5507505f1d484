// Takes one admitted request to an endpoint, and to others when one fails it,
// until its caller has an answer or there is none to be had.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_REQUEST_RUN_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_REQUEST_RUN_H_

#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "gooseberrylift/gooseberrylift-attempt-errors.h"
#include "gooseberrylift/internal/gooseberrylift-endpoint-rate-limiter.h"
#include "gooseberrylift/internal/gooseberrylift-fleet.h"
#include "gooseberrylift/internal/gooseberrylift-http-client.h"
#include "gooseberrylift/internal/gooseberrylift-http-server.h"
#include "gooseberrylift/internal/gooseberrylift-load-exchange.h"
#include "gooseberrylift/internal/gooseberrylift-memory-reservation.h"
#include "gooseberrylift/internal/gooseberrylift-poison-request-monitor.h"
#include "gooseberrylift/internal/gooseberrylift-route-follower.h"
#include "gooseberrylift/internal/gooseberrylift-wire-dialect.h"
#include "gooseberrylift/limits/gooseberrylift-fleet-retry-budget.h"
#include "gooseberrylift/limits/gooseberrylift-long-prompt-hold.h"
#include "gooseberrylift/streams/gooseberrylift-event-splitter.h"

namespace gooseberrylift {

// The repeat budget of this host, shared by its requests.
struct SharedRetryBudget
{
  std::mutex mutex_; // guards what follows
  FleetRetryBudget budget_{ FleetRetryBudget::Options{} };
  std::size_t hosts_ = 1; // that share the budget
};

// A request whose route and team are known.
struct RoutedRequest
{
  std::string fingerprint_; // what is the same when it comes again
  std::uint64_t id_ = 0;    // this host's own number
  CallerRequestMetadata facts_;
  RouteTable::Ptr table_;
  const Route* route_ = nullptr; // of table_
  std::string service_;
  std::string team_;
  int priority_ = 0;   // the team's or the route's; 0 is the most urgent
  bool keyed_ = false; // the caller was let in by a key
  TimePoint arrived_;
  TimePoint deadline_;
};

// One request on its way; lives as long as its handler. The promises it keeps:
// a request that may not be repeated gives bytes to one endpoint only, unless
// that one proves that it did not run it; an answer reaches the caller only
// whole, or as a stream that is visibly cut; the events of a stream follow each
// other without a gap, from however many engines they come.
class RequestRun
{
public:
  struct Parts
  {
    const GatewayBoard& board_;
    HttpClient& client_;
    const WireDialect& dialect_;
    Fleet& fleet_;
    RouteFollower& routes_;
    SharedRetryBudget& retryBudget_;
    PoisonRequestMonitor& poisonRequestMonitor_;
    EndpointRateLimiter& limiter_;
    boost::asio::any_io_executor executor_;
    LoadExchange& words_; // for the other hosts
  };

  RequestRun(Parts aParts, HttpExchange& aExchange, RoutedRequest aRequest);

  /// Runs until the caller has its answer.
  /// @return an error when it has none yet, or when its stream was cut
  boost::asio::awaitable<Outcome<void>> Run();

  /// Gives the time from arrival to the first byte of the answer; nothing
  /// before it.
  std::optional<std::chrono::microseconds> FirstAnswer() const
  {
    return firstAnswer_;
  }

  /// Gives the longest pause between two pieces of a stream; zero when there
  /// was none.
  std::chrono::microseconds LongestGap() const { return longestGap_; }

  /// Gives the status that the caller was sent; 0 while none was.
  int Status() const { return status_; }

  /// Gives how many endpoints the request was given to.
  int Sends() const { return sends_; }

private:
  using Call = std::unique_ptr<HttpCall>;

  std::optional<Error> WhyNotSend() const;
  std::optional<Error> Admit(const FleetPlacement& aPlacement) const;
  std::chrono::milliseconds RemainingTime() const;
  Error Refusal(const FleetPlacement& aPlacement,
                std::chrono::milliseconds aReturn) const;
  HoldDecision JudgeHold(const FleetPlacement& aPlacement) const;
  std::optional<std::chrono::milliseconds> WaitForRoom();
  std::optional<std::chrono::milliseconds> WaitForPermit();
  Error NoEndpoint();
  HoldInput MakeHoldInput(const EngineProfile& aFigures,
                          std::chrono::microseconds aWait) const;
  const EngineProfile* Figures() const;
  FleetQuery MakeQuery() const;
  HttpRequest MakeSend(const FleetPlacement& aPlacement,
                       const MemoryHolds* aHolds) const;
  boost::asio::awaitable<Outcome<std::unique_ptr<MemoryHolds>>> TakeMemory(
    const FleetPlacement& aPlacement);
  boost::asio::awaitable<Outcome<void>> Attempt(FleetPlacement aPlacement);
  boost::asio::awaitable<Outcome<void>> ReadHead(
    HttpCall& aCall,
    Fleet::ActiveRequest& aActiveRequest);
  boost::asio::awaitable<Outcome<std::optional<std::string>>> ReadPiece(
    HttpCall& aCall,
    const Fleet::ActiveRequest& aActiveRequest);
  std::optional<Error> CheckHead(const HttpResponse& aHead,
                                 const Fleet::ActiveRequest& aActiveRequest);
  void NoteRate(const EndpointResponseMetadata& aFacts,
                const Fleet::ActiveRequest& aActiveRequest);
  boost::asio::awaitable<Outcome<void>> PassWhole(
    HttpCall& aCall,
    const Fleet::ActiveRequest& aActiveRequest);
  boost::asio::awaitable<Outcome<void>> PassLarge(HttpCall& aCall,
                                                  std::string aBegin);
  boost::asio::awaitable<Outcome<void>> PassStream(
    HttpCall& aCall,
    Fleet::ActiveRequest& aActiveRequest);
  Outcome<std::string> TakeEvents(EventSplitter& aSplitter);
  boost::asio::awaitable<Outcome<void>> WriteEvents(const HttpResponse& aHead,
                                                    std::string aEvents);
  boost::asio::awaitable<bool> OpenStream(const HttpResponse& aHead);
  boost::asio::awaitable<Outcome<void>> SendKept();
  void TellPlaced(const FleetPlacement& aPlacement) const;
  void NoteBroken(const ListedEndpoint& aEndpoint, const Error& aError);
  bool MayRepeat(const Error& aError);
  bool MayLeave() const;
  TimePoint SilentAt() const;
  TimePoint LookAgainAt() const;
  bool LeavesSilent(const Fleet::ActiveRequest& aActiveRequest);
  bool IsSilence(const Error& aError) const;
  bool PayRepeat();
  void SayWhenToReturn(Error aError);
  void NoteAnswer(int aStatus);
  void NotePiece();
  void LogPlaced(const FleetPlacement& aPlacement) const;
  void LogFailed(const FleetPlacement& aPlacement, const Error& aError) const;

  Parts parts_;
  HttpExchange& exchange_;
  RoutedRequest request_;
  AttemptErrors attempts_;
  EventSequence events_;
  std::set<std::string> tried_;
  int sends_ = 0; // endpoints that got bytes of the request
  TimePoint::duration unreachable_{ 0 }; // lost on endpoints not connected to
  bool repeatPaid_ = false;              // for the next send
  bool streaming_ = false;               // the head of a stream is out
  int status_ = 0;
  // An endpoint's failure, kept to be delivered when a repeat brings nothing
  // better.
  std::optional<HttpResponse> kept_;
  std::optional<std::chrono::microseconds> firstAnswer_;
  TimePoint lastPiece_{}; // of a stream, when it was passed on
  std::chrono::microseconds longestGap_{ 0 };
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_REQUEST_RUN_H_
