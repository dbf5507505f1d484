#include "gooseberrylift/internal/gooseberrylift-entry-host.h"

#include <csignal>
#include <random>
#include <thread>
#include <vector>

#include <boost/asio/use_awaitable.hpp>
#include <unistd.h>
#include <xxhash.h>

#include "gooseberrylift/internal/gooseberrylift-descriptor-limit.h"
#include "gooseberrylift/internal/gooseberrylift-host-stop.h"
#include "gooseberrylift/internal/gooseberrylift-log-routes.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-process-signals.h"
#include "gooseberrylift/internal/gooseberrylift-task-failure-recorder.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"

namespace gooseberrylift {

namespace asio = boost::asio;

namespace {

// Returns the state that this host sends to its peers.
Digest BuildDigest(const Blackboard& aBoard)
{
  Digest digest;
  const auto configuration = aBoard.configuration_.Read()->configuration_;
  if (configuration) {
    digest.generation_ = configuration->Generation();
    digest.configurationHash_ =
      XXH64(configuration->Text().data(), configuration->Text().size(), 0);
  }
  digest.storeReachable_ = aBoard.store_.Read()->reachable_;
  digest.draining_ = aBoard.host_.Read()->draining_;
  for (const EndpointView& view : aBoard.endpoints_.Read()->endpoints_) {
    if (view.state_ != EndpointState::kLive) {
      digest.endpoints_.push_back({ .name_ = view.name_,
                                    .incarnation_ = view.incarnation_,
                                    .state_ = view.state_ });
    }
  }
  digest.quarantine_ = aBoard.quarantine_.Read()->entries_;
  digest.demand_ = aBoard.demand_.Read()->demand_;
  return digest;
}

OfferedConfiguration CurrentConfiguration(const Blackboard& aBoard)
{
  const auto current = aBoard.configuration_.Read()->configuration_;
  if (!current) {
    return {};
  }
  return { .generation_ = current->Generation(), .text_ = current->Text() };
}

} // namespace

EntryHost::EntryHost(Settings aSettings)
  : settings_(std::move(aSettings))
  , context_(settings_.threads_)
  , stopSignals_(context_, kStopSignals[0], kStopSignals[1], kStopSignals[2])
  , memory_(metrics_, settings_.memoryBytes_)
  , burn_({ .settings_ = settings_, .board_ = board_, .metrics_ = metrics_ })
  , client_(context_.get_executor(), HttpClient::Options{})
  , store_(client_,
           { .addresses_ = settings_.storeAddresses_,
             .onCall_ =
               [this](std::string_view aKind) {
                 metrics_.Count("gooseberrylift_store_calls_total",
                                "kind=\"" + std::string(aKind) + "\"");
               },
             .onUnreadable_ =
               [this](const StoreObject& aObject, const std::string& aFault) {
                 unreadableObjects_.Record(aObject, aFault);
               } })
  , configFollower_(store_,
                    board_,
                    { .host_ = settings_.hostName_,
                      .zone_ = settings_.zone_,
                      .seed_ = std::random_device{}() })
  , peers_(
      { .settings_ = settings_,
        .store_ = store_,
        .client_ = client_,
        .executor_ = context_.get_executor(),
        .own_ = [this] { return BuildDigest(board_); },
        .onPeersChanged_ =
          [this](const PeersState& aPeers) { board_.peers_.Write(aPeers); },
        .configuration_ = [this] { return CurrentConfiguration(board_); },
        .offer_ =
          [this](const OfferedConfiguration& aOffered) {
            configFollower_.ApplyTextIfNewer(
              aOffered.generation_, aOffered.text_, ConfigSource::kPeer);
          } },
      PeerExchange::Options{})
  , endpointTracker_(client_,
                     context_.get_executor(),
                     board_,
                     { .listAddress_ = settings_.hostListAddress_,
                       .listPoll_ = settings_.hostListPoll_,
                       .loadPoll_ = settings_.loadPoll_ })
  , broker_(context_.get_executor(),
            board_,
            { .zone_ = settings_.zone_,
              .seed_ = XXH3_64bits(settings_.hostName_.data(),
                                   settings_.hostName_.size()) })
  , models_(client_,
            context_.get_executor(),
            broker_,
            endpointTracker_,
            metrics_,
            ModelRunner::Options{})
  , services_(client_,
              broker_,
              endpointTracker_,
              metrics_,
              ServiceRunner::Options{})
  , onceLedger_(store_,
                context_.get_executor(),
                { .committer_ = { .maxBatch_ = settings_.onceMaxBatch_ } })
  , once_(services_,
          onceLedger_,
          context_.get_executor(),
          metrics_,
          OnceRunner::Options{})
  , jobs_(store_,
          models_,
          board_,
          context_.get_executor(),
          { .leaseDuration_ = settings_.jobLease_ })
  , jobApi_(store_, jobs_, JobApi::Options{})
  , callerApi_({ .board_ = board_,
                 .models_ = models_,
                 .services_ = services_,
                 .once_ = once_,
                 .jobs_ = jobApi_,
                 .metrics_ = metrics_,
                 .burn_ = burn_ })
  , adminApi_({ .settings_ = settings_,
                .board_ = board_,
                .broker_ = broker_,
                .metrics_ = metrics_ })
  , configApi_(store_, configFollower_, board_, ConfigApi::Options{})
  , callerServer_(
      context_.get_executor(),
      { .address_ = settings_.caller_.address_,
        .port_ = settings_.caller_.port_,
        .maxHeaderBytes_ = settings_.maxHeaderBytes_,
        .maxBodyBytes_ = settings_.maxBodyBytes_,
        .maxConnections_ = settings_.caller_.maxConnections_,
        .headerTimeout_ = settings_.headerTimeout_,
        .bodyTimeout_ = settings_.bodyTimeout_,
        .writeTimeout_ = settings_.writeTimeout_,
        .budget_ = memory_.Callers(),
        .checkHead_ =
          [this](const HttpRequest& aHead,
                 std::optional<TimePoint> aLatestEnd) {
            return callerApi_.CheckHead(aHead, aLatestEnd);
          },
        .onMemoryFull_ = memory_.Recorder(),
        .onClosedUnread_ = ClosedUnreadCounter(metrics_),
        .onAcceptError_ = AcceptErrorRecorder(metrics_) },
      [this](HttpExchange& aExchange) { return callerApi_.Handle(aExchange); })
  , adminServer_(
      context_.get_executor(),
      { .address_ = settings_.admin_.address_,
        .port_ = settings_.admin_.port_,
        .maxConnections_ = settings_.admin_.maxConnections_,
        .budget_ = memory_.Hosts(),
        .onMemoryFull_ = memory_.Recorder() },
      [this](HttpExchange& aExchange) { return adminApi_.Handle(aExchange); })
  , peerServer_(
      context_.get_executor(),
      { .address_ = settings_.peer_.address_,
        .port_ = settings_.peer_.port_,
        .maxConnections_ = settings_.peer_.maxConnections_,
        .budget_ = memory_.Hosts(),
        .onMemoryFull_ = memory_.Recorder() },
      [this](HttpExchange& aExchange) { return peers_.Handle(aExchange); })
  , listeners_({ .metrics_ = metrics_, .onServing_ = [this] { LogStarted(); } })
{
  SetTaskFailureHandler(context_, TaskFailureRecorder(metrics_));
  memory_.SetLargest(settings_.maxBodyBytes_ + settings_.maxHeaderBytes_);
  IgnoreReloadSignal();
  AddRoutes();
}

void EntryHost::AddRoutes()
{
  burn_.AddRoutes(adminApi_);
  AddLogRoutes(adminApi_);
  adminApi_.Add(
    "POST", "/drain", [](HttpExchange& aExchange) -> asio::awaitable<void> {
      co_await aExchange.Send(TextResponse(202, "draining\n"));
      // To the process, since only one thread doesn't block the signal.
      ::kill(::getpid(), SIGTERM);
    });
}

Outcome<void> EntryHost::Run()
{
  configApi_.AddRoutes(adminApi_);
  AddListeners();
  const auto listening = listeners_.Open();
  if (!listening) {
    return listening.error();
  }
  SpawnLoop(context_.get_executor(), [this] { return listeners_.Run(); });
  StartControllers();
  memory_.Start(context_.get_executor());
  SpawnLoop(context_.get_executor(), [this] { return WaitForStop(); });
  std::vector<std::thread> threads;
  for (int thread = 1; thread < settings_.threads_; ++thread) {
    threads.emplace_back([this] { RunContext(context_); });
  }
  ReleaseSignals();
  RunContext(context_);
  for (std::thread& thread : threads) {
    thread.join();
  }
  FinishStop(context_, { &callerServer_, &adminServer_, &peerServer_ });
  HoldSignals();
  return boost::outcome_v2::success();
}

void EntryHost::AddListeners()
{
  listeners_.Add("caller", callerServer_, settings_.caller_);
  listeners_.Add("admin", adminServer_, settings_.admin_);
  listeners_.AddPeerPort(peerServer_, nullptr, settings_.peer_, [this] {
    peers_.Start(peerServer_.Port(), settings_.peerKeys_);
    board_.configuration_.Subscribe(
      [this](const auto& /*aSnapshot*/) { peers_.AnnounceConfiguration(); });
  });
}

void EntryHost::LogStarted()
{
  Log(LogEvent::kStarted,
      { { "caller_port", callerServer_.Port() },
        { "admin_port", adminServer_.Port() },
        { "peer_port", peerServer_.Port() },
        { "caller_connections", settings_.caller_.maxConnections_ },
        { "zone", settings_.zone_ } });
}

void EntryHost::StartControllers()
{
  const auto executor = context_.get_executor();
  SpawnLoop(executor, [this] { return configFollower_.Run(); });
  SpawnLoop(executor, [this] { return configFollower_.Poll(); });
  endpointTracker_.FollowPeers();
  SpawnLoop(executor, [this] { return endpointTracker_.Run(); });
  jobs_.Start();
}

asio::awaitable<void> EntryHost::WaitForStop()
{
  co_await stopSignals_.async_wait(asio::use_awaitable);
  listeners_.Stop();
  if (callerServer_.Port() != 0) {
    co_await DrainOrFail();
  }
  context_.stop();
}

// A drain that fails must not keep the host from ending.
asio::awaitable<void> EntryHost::DrainOrFail()
{
  try {
    co_await Drain();
  } catch (...) {
    ReportTaskFailure(context_, std::current_exception());
  }
}

asio::awaitable<void> EntryHost::Drain()
{
  Log(LogEvent::kDrainStarted);
  board_.host_.Write({ .draining_ = true });
  HttpServer::DrainOptions options{
    .lag_ = settings_.drainLag_,
    .limit_ = TimerService::Now() + settings_.drainLag_ + settings_.drainLimit_,
    .onClosing_ = LogClosing
  };
  const HttpServer::DrainReport report =
    co_await callerServer_.Drain(std::move(options));
  LogClosed(report);
  // Outcomes of at-most-once calls are recorded after the answer is sent; a
  // host that exited earlier would leave them as "unknown".
  const TimePoint limit = TimerService::Now() + settings_.drainLag_;
  while (!once_.Idle() && TimerService::Now() < limit) {
    co_await TimerService::SleepFor(std::chrono::milliseconds(10));
  }
  Log(LogEvent::kDrainFinished, { { "cut", report.active_ } });
}

} // namespace gooseberrylift
