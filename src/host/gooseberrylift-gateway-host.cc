#include "gooseberrylift/internal/gooseberrylift-gateway-host.h"

#include <algorithm>
#include <csignal>
#include <random>

#include <boost/asio/use_awaitable.hpp>

#include "gooseberrylift-fleet-dialect.h"
#include "gooseberrylift-fleet-store.h"
#include "gooseberrylift/internal/gooseberrylift-descriptor-limit.h"
#include "gooseberrylift/internal/gooseberrylift-host-stop.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-peer-keys.h"
#include "gooseberrylift/internal/gooseberrylift-process-signals.h"
#include "gooseberrylift/internal/gooseberrylift-task-failure-recorder.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"
#include "gooseberrylift/internal/gooseberrylift-unreadable-object-recorder.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

// The interval between rounds of the peer exchange, and the number of hosts
// contacted in each. In a fleet of nine, each host thus has the load of every
// other about every 150 ms, while such a fleet places some eight requests. Long
// prompts are reported at once.
constexpr milliseconds kPeerRound{ 150 };
constexpr std::size_t kPeerRoundFanout = 3;
// In a large fleet, datagrams carry all urgent data, that is load messages and
// the store status, and the exchange carries only data that seldom changes.
// Shorter rounds would use too much CPU on a small host.
constexpr milliseconds kLargePeerRound{ 600 };
constexpr int kPeerRoundsUntilExpired = 15; // slightly over two seconds
// The number of other hosts' digests relayed in a message. In a zone of 60, a
// host thus receives some 23 digests a second, one of each host in under three
// seconds; a host without a digest for nine seconds counts as gone.
constexpr std::size_t kRelayedDigests = 6;
// Peers that learn at once of what concerns all hosts. In a larger fleet they
// pass it on.
constexpr std::size_t kScopeFanout = 8;
// Upper bound of the header fields that accompany a relayed request.
constexpr std::uint32_t kRelayFieldBytes = 4 * 1024;
constexpr milliseconds kRelayDrainPoll{ 20 };
constexpr std::uint64_t kMaxReadyBodyBytes = 64 * 1024;
// RPC method that returns the store's objects that the calling host lacks.
constexpr const char* kStoreMethod = "store";
// RPC method that grants permits to send to endpoints with a rate limit.
constexpr const char* kPermitMethod = "permit";

std::unique_ptr<ObjectStore> MakeStore(HttpClient& aClient,
                                       const Settings& aSettings,
                                       Metrics& aMetrics)
{
  const auto recorder = std::make_shared<UnreadableObjectRecorder>(aMetrics);
  return std::make_unique<platform::FleetStore>(
    aClient,
    platform::FleetStore::Options{
      .address_ = aSettings.storeAddresses_.front(),
      .onCall_ =
        [&aMetrics](std::string_view aKind) {
          aMetrics.Count("gooseberrylift_store_calls_total",
                         "kind=\"" + std::string(aKind) + "\"");
        },
      .onUnreadable_ =
        [recorder](const StoreObject& aObject, const std::string& aFault) {
          recorder->Record(aObject, aFault);
        } });
}

} // namespace

GatewayHost::GatewayHost(Settings aSettings, SettingsFile aFile)
  : settings_(std::move(aSettings))
  , context_(1)
  , stopSignals_(context_, kStopSignals[0], kStopSignals[1], kStopSignals[2])
  , random_(std::random_device{}())
  , memory_(metrics_, settings_.memoryBytes_)
  , client_(context_.get_executor(), HttpClient::Options{})
  , storeClient_(context_.get_executor(),
                 { .connectTimeout_ = milliseconds(500) })
  , peerClient_(context_.get_executor(),
                { .connectTimeout_ = milliseconds(300) })
  , store_(MakeStore(storeClient_, settings_, metrics_))
  , dialect_(std::make_unique<platform::FleetDialect>())
  , limiter_(LimiterParts(),
             { .host_ = settings_.hostName_,
               .zone_ = settings_.zone_,
               .hasPeers_ = HasOtherSeeds() })
  , fleet_({ .host_ = settings_.hostName_,
             .zone_ = settings_.zone_,
             .limiter_ = limiter_,
             .onListed_ =
               [this](const ListedEndpoint& aEndpoint) {
                 poisonRequestMonitor_.OnListed(aEndpoint);
               },
             .onUnlisted_ =
               [this](const std::string& aEndpoint) {
                 poisonRequestMonitor_.OnUnlisted(aEndpoint);
               } })
  , links_(
      { .client_ = client_,
        .dialect_ = *dialect_,
        .access_ = fleet_.Access(),
        .metrics_ = metrics_,
        .executor_ = context_.get_executor(),
        .hasExited_ =
          [this](const ListedEndpoint& aEndpoint) {
            return poisonRequestMonitor_.HasExited(aEndpoint);
          },
        .onChanged_ = [this](const std::string& aService,
                             bool aLost) { OnLinksChanged(aService, aLost); } })
  , endpointClient_({ .client_ = client_,
                      .dialect_ = *dialect_,
                      .fleet_ = fleet_,
                      .metrics_ = metrics_,
                      .links_ = links_ })
  , routes_(*dialect_, board_)
  , endpoints_(*dialect_, fleet_, metrics_)
  , storeFollower_(StoreFollowerParts(), StoreFollowerOptions())
  , retryBudget_(metrics_)
  , promises_(metrics_)
  , peers_(
      { .settings_ = settings_,
        .store_ = *store_,
        .client_ = peerClient_,
        .executor_ = context_.get_executor(),
        .own_ = [this] { return OwnDigest(); },
        .onPeersChanged_ =
          [this](const PeersState& aPeers) { ApplyPeers(aPeers); },
        .crashEvidence_ = [this] { return poisonRequestMonitor_.Evidence(); },
        .onCrashEvidence_ =
          [this](const CrashEvidence& aEvidence) {
            poisonRequestMonitor_.OnPeerEvidence(
              aEvidence, peers_.Known().size() > kScopeFanout);
          },
        .isListed_ = [this] { return rank_.rank_ == 0; } },
      { .round_ = kPeerRound,
        .largeFleetRound_ = kLargePeerRound,
        .publishesInRounds_ = true,
        .callTimeout_ = milliseconds(500),
        .roundFanout_ = kPeerRoundFanout,
        .roundsUntilExpired_ = kPeerRoundsUntilExpired,
        .relayed_ = kRelayedDigests,
        .scopeFanout_ = kScopeFanout })
  , relays_({ .client_ = peerClient_, .peers_ = peers_, .metrics_ = metrics_ },
            { .zone_ = settings_.zone_, .region_ = settings_.region_ })
  , poisonRequestMonitor_(
      { .client_ = client_,
        .executor_ = context_.get_executor(),
        .metrics_ = metrics_,
        .notifyPeers_ = [this] { peers_.ExchangeInScope(); },
        .linkState_ =
          [this](const std::string& aService) {
            return links_.StateOf(aService);
          },
        .verifiesQuarantines_ = [this] { return VerifiesQuarantines(); } })
  , datagrams_(context_.get_executor())
  , waitingRoom_({ .metrics_ = metrics_,
                   .onChanged_ = [this] { loadExchange_.OnListsChanged(); } },
                 settings_.hostName_)
  , statusExchange_(
      { .executor_ = context_.get_executor(),
        .datagrams_ = datagrams_,
        .samplePeers_ = [this] { return SamplePeers(peerGroups_, random_); },
        .own_ = [this] { return storeFollower_.CurrentStatus(); },
        .onReceived_ =
          [this](const PeerMember& aPeer,
                 const StoreStatus& aStatus,
                 std::optional<BootTime> aRequestTime) {
            peers_.OnHeard(aPeer.host_);
            storeFollower_.OnPeerStatus(aPeer, aStatus, aRequestTime);
          } },
      { .host_ = settings_.hostName_ })
  , loadExchange_(
      { .executor_ = context_.get_executor(),
        .datagrams_ = datagrams_,
        .own_ =
          [this] { return fleet_.Loads().OwnShares(TimerService::Now()); },
        .ownSharesAt_ =
          [this](const std::vector<ListedEndpoint>& aEndpoints) {
            return fleet_.Loads().OwnSharesAt(aEndpoints, TimerService::Now());
          },
        .zoneTotals_ =
          [this] {
            return fleet_.Loads().SumSharesOf(peerGroups_.zoneHosts_,
                                              TimerService::Now());
          },
        .ownLists_ =
          [this] {
            return LoadMessageLists{ .waiting_ = waitingRoom_.Own(),
                                     .promises_ = promises_.TakeOwnNews() };
          },
        .zoneLists_ =
          [this] {
            return LoadMessageLists{ .waiting_ = waitingRoom_.OfZone(
                                       peerGroups_.zoneHosts_),
                                     .promises_ = promises_.TakeZoneNews() };
          },
        .onReceived_ =
          [this](const LoadMessage& aMessage) {
            metrics_.Count("gooseberrylift_load_words_total", "");
            if (const auto source = fleet_.OnLoadMessage(aMessage)) {
              waitingRoom_.OnLoadMessage(*source, aMessage);
              promises_.OnLoadMessage(aMessage);
            }
          } },
      { .host_ = settings_.hostName_, .zone_ = settings_.zone_ })
  , settingsWatch_({ .executor_ = context_.get_executor(),
                     .file_ = std::move(aFile),
                     .settings_ = settings_,
                     .apply_ =
                       [this](const Settings& aNewSettings) {
                         ApplySettings(aNewSettings);
                       } })
  , pauseMonitor_(metrics_)
  , front_({ .board_ = board_,
             .dialect_ = *dialect_,
             .metrics_ = metrics_,
             .expediteFirstRead_ =
               [this] { return storeFollower_.ExpediteFirstRead(); },
             .run_ = { .board_ = board_,
                       .client_ = endpointClient_,
                       .dialect_ = *dialect_,
                       .fleet_ = fleet_,
                       .links_ = links_,
                       .relays_ = relays_,
                       .host_ = settings_.hostName_,
                       .routes_ = routes_,
                       .retryBudget_ = retryBudget_,
                       .poisonRequestMonitor_ = poisonRequestMonitor_,
                       .limiter_ = limiter_,
                       .promises_ = promises_,
                       .executor_ = context_.get_executor(),
                       .loadExchange_ = loadExchange_,
                       .waitingRoom_ = waitingRoom_ } })
  , relayServer_({ .peers_ = peers_,
                   .front_ = front_,
                   .board_ = board_,
                   .metrics_ = metrics_ },
                 {})
  , callerServer_(
      context_.get_executor(),
      { .address_ = settings_.caller_.address_,
        .port_ = settings_.caller_.port_,
        .maxConnections_ = settings_.caller_.maxConnections_,
        .writeTimeout_ = settings_.writeTimeout_,
        .budget_ = memory_.Callers(),
        .checkHead_ =
          [this](const HttpRequest& aHead,
                 std::optional<TimePoint> aLatestEnd) {
            return front_.CheckHead(aHead, aLatestEnd);
          },
        .onMemoryFull_ =
          [this](const HttpRequest& aHead, bool aGaveWay) {
            memory_.OnRefused(aGaveWay);
            front_.RecordMemoryFull(aHead);
          },
        .onClosedUnread_ = ClosedUnreadCounter(metrics_),
        .onAcceptError_ = AcceptErrorRecorder(metrics_) },
      [this](HttpExchange& aExchange) { return front_.Handle(aExchange); })
  , readyServer_(
      context_.get_executor(),
      { .address_ = settings_.ready_.address_,
        .port_ = settings_.ready_.port_,
        .maxBodyBytes_ = kMaxReadyBodyBytes,
        .maxConnections_ = settings_.ready_.maxConnections_,
        .budget_ = memory_.Hosts(),
        .onMemoryFull_ = memory_.Recorder() },
      [this](HttpExchange& aExchange) { return HandleReady(aExchange); })
  , adminServer_(
      context_.get_executor(),
      { .address_ = settings_.admin_.address_,
        .port_ = settings_.admin_.port_,
        .maxConnections_ = settings_.admin_.maxConnections_,
        .budget_ = memory_.Hosts(),
        .onMemoryFull_ = memory_.Recorder() },
      [this](HttpExchange& aExchange) { return HandleAdmin(aExchange); })
  , peerServer_(
      context_.get_executor(),
      { .address_ = settings_.peer_.address_,
        .port_ = settings_.peer_.port_,
        .maxConnections_ = settings_.peer_.maxConnections_,
        .budget_ = memory_.Hosts(),
        .onMemoryFull_ = memory_.Recorder() },
      [this](HttpExchange& aExchange) { return HandlePeer(aExchange); })
  , listeners_({ .metrics_ = metrics_, .onServing_ = [this] { LogStarted(); } })
{
  peers_.AddMethod(kStoreMethod, [this](const nlohmann::json& aParams) {
    return storeFollower_.Answer(aParams);
  });
  peers_.AddMethod(kPermitMethod, [this](const nlohmann::json& aParams) {
    return limiter_.Answer(aParams);
  });
  SetTaskFailureHandler(context_, TaskFailureRecorder(metrics_));
  ApplyGatewaySettings(*settings_.gateway_);
  board_.routes_.Subscribe([this](const auto& aSnapshot) {
    const CallerLimits& limits = aSnapshot->table_->Limits();
    callerServer_.SetLimits({ .maxHeaderBytes_ = limits.maxHeaderBytes_,
                              .maxBodyBytes_ = limits.maxBodyBytes_,
                              .headerTimeout_ = limits.headerTimeout_,
                              .idleTimeout_ = limits.idleTimeout_ });
    memory_.SetLargest(limits.maxBodyBytes_ + limits.maxHeaderBytes_);
    peerServer_.SetLimits(
      { .maxHeaderBytes_ = limits.maxHeaderBytes_ + kRelayFieldBytes,
        .maxBodyBytes_ =
          std::max(limits.maxBodyBytes_, HttpServer::Limits{}.maxBodyBytes_) });
    ApplyColdTerms(*aSnapshot->table_);
  });
}

GatewayHost::~GatewayHost() = default;

Digest GatewayHost::OwnDigest()
{
  Digest digest;
  const RouteTable::Ptr table = board_.routes_.Read()->table_;
  digest.generation_ = table ? table->Version() : 0;
  digest.storeReachable_ = !storeFollower_.IsStoreUnavailable();
  digest.draining_ = board_.host_.Read()->draining_;
  digest.keysProven_ = routes_.AreKeysProven();
  digest.acceptsRelays_ = true;
  digest.linksLost_ = links_.Lost();
  digest.quarantine_ = poisonRequestMonitor_.Entries();
  digest.rates_ = limiter_.Entries();
  return digest;
}

void GatewayHost::ApplyPeers(const PeersState& aPeers)
{
  bool proven = false;
  for (const Digest& digest : aPeers.digests_) {
    proven = proven || (digest.keysProven_ && !digest.draining_);
  }
  if (!aPeers.digests_.empty()) {
    fleet_.OnPeerContact();
  }
  fleet_.OnPeersKnown(aPeers.known_);
  relays_.SetPeers(aPeers.digests_);
  peerGroups_ = GroupPeers({ .host_ = settings_.hostName_,
                             .zone_ = settings_.zone_,
                             .known_ = peers_.Known(),
                             .live_ = aPeers.digests_,
                             .fleet_ = aPeers.known_ });
  loadExchange_.SetPeers(peerGroups_.loadMessagePeers_);
  peersHaveProvenKeys_ = proven;
  if (settings_.gateway_->relaysStore_) { // otherwise it ranks as the only host
    rank_ = RankAmong({ .host_ = settings_.hostName_,
                        .leaving_ = board_.host_.Read()->draining_ },
                      aPeers.digests_);
  }
  for (const Digest& digest : aPeers.digests_) {
    poisonRequestMonitor_.OnPeer(digest.quarantine_);
    limiter_.OnPeer(digest.rates_);
  }
  limiter_.SetPeers(aPeers.digests_,
                    aPeers.known_,
                    peers_.Known(),
                    board_.host_.Read()->draining_);
  fleet_.Sweep();
  poisonRequestMonitor_.Sweep();
  limiter_.Sweep();
  promises_.Sweep();
  promises_.SetHosts(aPeers.known_ + 1);
  if (aPeers.known_ > 0 || !HasOtherSeeds()) {
    retryBudget_.SetHosts(aPeers.known_ + 1);
  }
}

// Other hosts learn at once whether to relay requests to this one. What was
// recorded of endpoints behind lost links was the links' failure.
void GatewayHost::OnLinksChanged(const std::string& aService, bool aLost)
{
  if (!aLost) {
    fleet_.Loads().With(aService, [](ServiceLoad& aLoad) {
      aLoad.outlierDetector_.OnLinksRestored();
    });
  }
  peers_.ExchangeInScope();
}

void GatewayHost::ApplyColdTerms(const RouteTable& aTable)
{
  const auto board = board_.gatewaySettings_.Read();
  const GatewaySettings& bounds = board->gatewaySettings_;
  std::map<std::string, ColdTerms> terms;
  if (bounds.coldOvershoot_ && bounds.coldSlack_) {
    for (const RoutedService& service : aTable.Services()) {
      if (service.coldPerSecond_ > 0) {
        terms[service.name_] = { .startDuration_ = service.coldStart_,
                                 .perSecond_ = service.coldPerSecond_,
                                 .overshoot_ = *bounds.coldOvershoot_,
                                 .slack_ = *bounds.coldSlack_ };
      }
    }
  }
  limiter_.SetColdTerms(std::move(terms), bounds.zoneRegions_.size());
}

// Returns whether the settings name another host, or may do so.
bool GatewayHost::HasOtherSeeds() const
{
  return settings_.peerSeeds_.size() > 1;
}

// One host of the fleet verifies quarantines. In a large fleet each zone has a
// host of the first rank, so that of one zone is chosen.
bool GatewayHost::VerifiesQuarantines() const
{
  const std::vector<PeerMember> known = peers_.Known();
  return rank_.rank_ == 0 &&
         std::none_of(
           known.begin(), known.end(), [this](const PeerMember& aMember) {
             return aMember.zone_ < settings_.zone_;
           });
}

bool GatewayHost::IsSeed() const
{
  const std::vector<std::string>& seeds = settings_.peerSeeds_;
  return std::find(seeds.begin(), seeds.end(), AdminAddress()) != seeds.end();
}

std::string GatewayHost::AdminAddress() const
{
  // With port 0 in the settings, the system chooses the port at startup.
  const std::uint16_t port =
    settings_.admin_.port_ != 0 ? settings_.admin_.port_ : adminServer_.Port();
  return settings_.admin_.address_ + ":" + std::to_string(port);
}

EndpointRateLimiter::Parts GatewayHost::LimiterParts()
{
  return {
    .executor_ = context_.get_executor(),
    .metrics_ = metrics_,
    .isListed_ =
      [this](const Incarnation& aEndpoint) {
        return fleet_.Access().IsListed(aEndpoint);
      },
    .notifyPeers_ = [this] { peers_.ExchangeInScope(); },
    .call_ =
      [this](PeerMember aPeer, nlohmann::json aParams, TimePoint aDeadline) {
        return peers_.Call(
          std::move(aPeer), kPermitMethod, std::move(aParams), aDeadline);
      }
  };
}

StoreFollower::Parts GatewayHost::StoreFollowerParts()
{
  return {
    .store_ = *store_,
    .executor_ = context_.get_executor(),
    .call_ =
      [this](PeerMember aPeer, nlohmann::json aParams, TimePoint aDeadline) {
        return peers_.Call(
          std::move(aPeer), kStoreMethod, std::move(aParams), aDeadline);
      },
    .onRoutes_ = [this](const StoreEvent& aEvent) { routes_.OnEvent(aEvent); },
    .onEvacuation_ =
      [this](const StoreEvent& aEvent) { endpoints_.OnEvacuation(aEvent); },
    .onEndpoints_ =
      [this](const ViewUpdate& aUpdate, const EndpointUpdateSource& aSource) {
        endpoints_.OnUpdate(aUpdate, aSource);
      },
    .onProof_ = [this](BootTime aReadStart) { routes_.OnProof(aReadStart); },
    .onReachabilityChanged_ =
      [](bool aReachable) {
        Log(aReachable ? LogEvent::kStoreReached : LogEvent::kStoreLost);
      },
    .onStoreReturned_ =
      [this](milliseconds aGap) { endpoints_.OnStoreReturned(aGap); },
    .onEndpointsLate_ =
      [this](bool aLate, const StoreStatus& aStatus) {
        endpoints_.OnListLate(aLate, aStatus);
      },
    .onNewData_ = [this] { statusExchange_.SendRequestNow(); },
    .rank_ = [this] { return rank_; },
  };
}

StoreFollower::Options GatewayHost::StoreFollowerOptions() const
{
  const StoreKinds kinds = dialect_->Kinds();
  return { .routesKind_ = kinds.routes_,
           .routesName_ = kinds.routesName_,
           .endpointsKind_ = kinds.endpoints_,
           .evacuationsKind_ = settings_.gateway_->evacuations_
                                 ? kinds.evacuations_
                                 : std::string(),
           .hasPeers_ = settings_.gateway_->relaysStore_ &&
                        !settings_.peerSeeds_.empty() };
}

asio::awaitable<void> GatewayHost::StartPeers()
{
  const bool startsFleet = IsSeed() || settings_.peerSeeds_.empty();
  const std::string key = co_await ObtainPeerKey(*store_, startsFleet);
  datagrams_.Start(key);
  loadExchange_.Start();
  if (settings_.gateway_->relaysStore_) {
    statusExchange_.Start();
  }
  peers_.Start(peerServer_.Port(), { key }, AdminAddress());
}

void GatewayHost::ApplySettings(const Settings& aSettings)
{
  settings_.drainLag_ = aSettings.drainLag_;
  settings_.drainLimit_ = aSettings.drainLimit_;
  ApplyGatewaySettings(*aSettings.gateway_);
}

void GatewayHost::ApplyGatewaySettings(const GatewaySettings& aGatewaySettings)
{
  board_.gatewaySettings_.Write({ .gatewaySettings_ = aGatewaySettings });
  if (const RouteTable::Ptr table = board_.routes_.Read()->table_) {
    ApplyColdTerms(*table);
  }
  retryBudget_.SetOptions({ .ratio_ = aGatewaySettings.retryRatio_,
                            .window_ = aGatewaySettings.retryWindow_,
                            .allowance_ = aGatewaySettings.retryAllowance_ });
}

Outcome<void> GatewayHost::Run()
{
  AddListeners();
  const auto listening = listeners_.Open();
  if (!listening) {
    return listening.error();
  }
  SpawnLoop(context_.get_executor(), [this] { return listeners_.Run(); });
  SpawnLoop(context_.get_executor(), [this] { return storeFollower_.Run(); });
  settingsWatch_.Start();
  pauseMonitor_.Start(context_.get_executor());
  memory_.Start(context_.get_executor());
  SpawnLoop(context_.get_executor(), [this] { return WaitForStop(); });
  ReleaseSignals();
  RunContext(context_);
  FinishStop(context_,
             { &callerServer_, &readyServer_, &adminServer_, &peerServer_ });
  HoldSignals();
  return boost::outcome_v2::success();
}

void GatewayHost::AddListeners()
{
  listeners_.Add("caller", callerServer_, settings_.caller_);
  listeners_.Add("ready", readyServer_, settings_.ready_);
  listeners_.Add("admin", adminServer_, settings_.admin_);
  listeners_.AddPeerPort(peerServer_, &datagrams_, settings_.peer_, [this] {
    SpawnLoop(context_.get_executor(), [this] { return StartPeers(); });
  });
}

void GatewayHost::LogStarted()
{
  Log(LogEvent::kStarted,
      { { "caller_port", callerServer_.Port() },
        { "ready_port", readyServer_.Port() },
        { "admin_port", adminServer_.Port() },
        { "peer_port", peerServer_.Port() },
        { "caller_connections", settings_.caller_.maxConnections_ },
        { "zone", settings_.zone_ } });
}

std::string GatewayHost::NotReadyReason()
{
  if (board_.host_.Read()->draining_) {
    return "draining";
  }
  if (callerServer_.Port() == 0) {
    return "the callers' port is not open yet";
  }
  const RouteTable::Ptr table = board_.routes_.Read()->table_;
  if (!table) {
    return "no configuration yet";
  }
  // A host that must reject keys reports that it is not ready while another
  // host can accept them. If no host can, it stays ready: it may be the first
  // to reach the store again, and it can serve public routes meanwhile.
  if (table->NeedsKeys() && peersHaveProvenKeys_ && !routes_.AreKeysProven()) {
    return "keys are not proven here, but they are on other hosts";
  }
  return {};
}

asio::awaitable<void> GatewayHost::HandleReady(HttpExchange& aExchange)
{
  const std::string reason = NotReadyReason();
  const std::string text = reason.empty() ? "ready" : reason;
  co_await aExchange.Send(
    TextResponse(reason.empty() ? 200 : 503, text + "\n"));
}

std::string GatewayHost::StatusText()
{
  const RouteTable::Ptr table = board_.routes_.Read()->table_;
  const auto age = routes_.ProofAge();
  const StoreStatus store = storeFollower_.CurrentStatus();
  const std::string reason = NotReadyReason();
  const nlohmann::json status = {
    { "host", settings_.hostName_ },
    { "zone", settings_.zone_ },
    { "ready", reason.empty() },
    { "why_not_ready", reason },
    { "generation", table ? table->Version() : 0 },
    { "store_reachable", !storeFollower_.IsStoreUnavailable() },
    { "proof_age_ms", age ? age->count() : -1 },
    { "keys_proven", routes_.AreKeysProven() },
    { "endpoints_revision", store.endpoints_ },
    { "endpoints_age_ms",
      store.endpointsAge_ ? store.endpointsAge_->count() : -1 },
    { "cold_endpoints", limiter_.CountCold() },
    { "links_lost", links_.Lost() },
  };
  return status.dump();
}

asio::awaitable<void> GatewayHost::HandleAdmin(HttpExchange& aExchange)
{
  // A starting host knows only the admin addresses of other hosts.
  if (PeerRpc::IsRpcRequest(aExchange.Request())) {
    co_await peers_.Handle(aExchange);
    co_return;
  }
  const std::string path(aExchange.Request().Path());
  if (path == "/metrics") {
    HttpResponse metrics = TextResponse(200, metrics_.Text());
    co_await aExchange.Send(std::move(metrics));
    co_return;
  }
  if (path == "/status") {
    HttpResponse status = JsonResponse(200, StatusText());
    co_await aExchange.Send(std::move(status));
    co_return;
  }
  if (path == "/readyz") {
    co_await HandleReady(aExchange);
    co_return;
  }
  HttpResponse unknown =
    ErrorResponse(MakeError(ResultCode::kUnknownRoute), {});
  co_await aExchange.Send(std::move(unknown));
}

asio::awaitable<void> GatewayHost::HandlePeer(HttpExchange& aExchange)
{
  if (RelayServer::IsRelayed(aExchange.Request())) {
    co_await relayServer_.Handle(aExchange);
  } else {
    co_await peers_.Handle(aExchange);
  }
}

asio::awaitable<void> GatewayHost::WaitForStop()
{
  co_await stopSignals_.async_wait(asio::use_awaitable);
  listeners_.Stop();
  if (callerServer_.Port() != 0) {
    co_await DrainOrFail();
  }
  context_.stop();
}

// A drain that fails must not keep the host from ending.
asio::awaitable<void> GatewayHost::DrainOrFail()
{
  try {
    co_await Drain();
  } catch (...) {
    ReportTaskFailure(context_, std::current_exception());
  }
}

asio::awaitable<void> GatewayHost::Drain()
{
  Log(LogEvent::kDrainStarted);
  board_.host_.Write({ .draining_ = true });
  const TimePoint limit =
    TimerService::Now() + settings_.drainLag_ + settings_.drainLimit_;
  HttpServer::DrainOptions options{ .lag_ = settings_.drainLag_,
                                    .limit_ = limit,
                                    .onClosing_ = LogClosing };
  const HttpServer::DrainReport report =
    co_await callerServer_.Drain(std::move(options));
  LogClosed(report);
  std::size_t abortedRequests = report.active_;
  while (relayServer_.Active() > 0 && TimerService::Now() < limit) {
    co_await TimerService::SleepFor(kRelayDrainPoll);
  }
  abortedRequests += relayServer_.Active();
  Log(LogEvent::kDrainFinished, { { "cut", abortedRequests } });
}

} // namespace gooseberrylift
