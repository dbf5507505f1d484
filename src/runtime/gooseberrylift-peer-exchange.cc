#include "gooseberrylift/internal/gooseberrylift-peer-exchange.h"

#include <algorithm>
#include <random>
#include <set>

#include "gooseberrylift/gooseberrylift-digest-codec.h"
#include "gooseberrylift/gooseberrylift-json-text.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-member-list.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"
#include "gooseberrylift/limits/gooseberrylift-crash-evidence-codec.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

// Initial interval between rounds of a host that knows no live peer, doubled
// each round up to the limit. Keeps a fleet that starts at once from
// overloading its seeds.
constexpr milliseconds kInitialRoundWithoutPeers{ 50 };
constexpr int kMaxRoundDoublings = 3;

std::uint64_t IncarnationOfNow()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

// Field names of a serialized member.
constexpr const char* kHost = "h";
constexpr const char* kZone = "z";
constexpr const char* kRegion = "r";
constexpr const char* kAddress = "a";
constexpr const char* kIncarnation = "i";

json MemberToJson(const PeerMember& aMember)
{
  return { { kHost, aMember.host_ },
           { kZone, aMember.zone_ },
           { kRegion, aMember.region_ },
           { kAddress, aMember.address_ },
           { kIncarnation, aMember.incarnation_ } };
}

// Throws json::exception if a field is missing or of the wrong type.
PeerMember MemberFromJson(const json& aDocument)
{
  return { .host_ = aDocument.at(kHost),
           .zone_ = aDocument.at(kZone),
           .region_ = aDocument.at(kRegion),
           .address_ = aDocument.at(kAddress),
           .incarnation_ = aDocument.at(kIncarnation) };
}

json MessageToJson(const PeerMessage& aMessage)
{
  json relayed = json::array();
  for (const Digest& digest : aMessage.relayed_) {
    relayed.push_back(DigestToJson(digest));
  }
  json document;
  document["f"] = DigestToJson(aMessage.from_);
  document["r"] = std::move(relayed);
  if (!aMessage.crashEvidence_.IsEmpty()) {
    document["c"] = CrashEvidenceToJson(aMessage.crashEvidence_);
  }
  return document;
}

PeerMessage MessageFromJson(const json& aDocument)
{
  PeerMessage message;
  if (!aDocument.is_object()) {
    return message;
  }
  message.from_ = DigestFromJson(aDocument.value("f", json()));
  for (const json& item : aDocument.value("r", json::array())) {
    message.relayed_.push_back(DigestFromJson(item));
  }
  if (aDocument.contains("c")) {
    message.crashEvidence_ = CrashEvidenceFromJson(aDocument["c"]);
  }
  return message;
}

PeerMember MemberOf(const Digest& aDigest)
{
  return { .host_ = aDigest.host_,
           .zone_ = aDigest.zone_,
           .region_ = aDigest.region_,
           .address_ = aDigest.peerAddress_,
           .incarnation_ = aDigest.incarnation_ };
}

} // namespace

PeerExchange::PeerExchange(Parts aParts, Options aOptions)
  : parts_(std::move(aParts))
  , options_(aOptions)
  , rpc_(parts_.client_, { .host_ = parts_.settings_.hostName_, .keys_ = {} })
{
  rpc_.Add("exchange",
           [this](const json& aParams) { return HandleExchange(aParams); });
  rpc_.Add("configuration",
           [this](const json& /*aParams*/) { return HandleConfiguration(); });
  rpc_.Add("members",
           [this](const json& /*aParams*/) { return HandleMembers(); });
}

void PeerExchange::Start(std::uint16_t aPort,
                         std::vector<std::string> aKeys,
                         const std::string& aOtherAddress)
{
  rpc_.SetKeys(std::move(aKeys));
  const Settings& settings = parts_.settings_;
  self_ = { .host_ = settings.hostName_,
            .zone_ = settings.zone_,
            .region_ = settings.region_,
            .address_ = settings.peer_.address_ + ":" + std::to_string(aPort),
            .incarnation_ = IncarnationOfNow() };
  otherAddress_ = aOtherAddress;
  rpc_.SetAddresses({ self_.address_, otherAddress_ });
  std::random_device device;
  table_ = std::make_unique<PeerTable>(
    PeerTable::Options{ .host_ = self_.host_,
                        .zone_ = self_.zone_,
                        .region_ = self_.region_,
                        .address_ = self_.address_,
                        .incarnation_ = self_.incarnation_,
                        .seed_ = device(),
                        .round_ = options_.round_,
                        .largeFleetRound_ = options_.largeFleetRound_,
                        .roundFanout_ = options_.roundFanout_,
                        .relayedPerMessage_ = options_.relayed_,
                        .roundsUntilExpired_ = options_.roundsUntilExpired_ });
  UpdateOwnDigest();
  started_ = true;
  SpawnLoop(parts_.executor_, [this] { return RunRounds(); });
  SpawnLoop(parts_.executor_, [this] { return RunMembership(); });
}

asio::awaitable<void> PeerExchange::Handle(HttpExchange& aExchange)
{
  // Before Start the host has no keys to authenticate peers with.
  if (!started_) {
    HttpResponse refusal =
      ErrorResponse(MakeError(ResultCode::kPeerRefused), {});
    co_await aExchange.Send(std::move(refusal));
    co_return;
  }
  co_await rpc_.Handle(aExchange);
}

asio::awaitable<Outcome<json>> PeerExchange::Call(PeerMember aPeer,
                                                  std::string aMethod,
                                                  json aParams,
                                                  TimePoint aDeadline)
{
  PeerRpc::Target target{ .host_ = aPeer.host_, .address_ = aPeer.address_ };
  co_return co_await rpc_.Call(
    std::move(target), std::move(aMethod), std::move(aParams), aDeadline);
}

std::vector<PeerMember> PeerExchange::Known() const
{
  const std::lock_guard lock(mutex_);
  return table_ ? table_->Known() : std::vector<PeerMember>{};
}

asio::awaitable<void> PeerExchange::RunRounds()
{
  while (true) {
    UpdateOwnDigest();
    std::vector<PeerMember> peers;
    {
      const std::lock_guard lock(mutex_);
      peers = table_->SelectPeers();
      // Seeds are also asked when all known peers have expired.
      if (table_->Live(TimerService::Now()).empty()) {
        const std::vector<PeerMember> seeds = SeedPeers();
        if (roundsWithoutPeers_ == 0) {
          peers.insert(peers.end(), seeds.begin(), seeds.end());
        } else if (!seeds.empty()) {
          peers.push_back(seeds[roundsWithoutPeers_ % seeds.size()]);
        }
        ++roundsWithoutPeers_;
      } else {
        roundsWithoutPeers_ = 0;
      }
    }
    StartExchanges(peers);
    Publish();
    co_await TimerService::SleepFor(Round());
  }
}

// A host that has just started uses short rounds until a peer answers, because
// until then it places requests without knowing the load that other hosts have
// placed.
milliseconds PeerExchange::Round() const
{
  if (noLivePeers_ && !parts_.settings_.peerSeeds_.empty()) {
    const int doublings =
      std::min(static_cast<int>(roundsWithoutPeers_), kMaxRoundDoublings);
    return kInitialRoundWithoutPeers * (1 << doublings);
  }
  const std::lock_guard lock(mutex_);
  return table_->Round();
}

void PeerExchange::OnHeard(const std::string& aHost)
{
  const std::lock_guard lock(mutex_);
  if (table_) {
    table_->OnHeard(aHost, TimerService::Now());
  }
}

asio::awaitable<void> PeerExchange::RunMembership()
{
  std::mt19937_64 random(self_.incarnation_);
  if (!parts_.settings_.peerSeeds_.empty()) {
    co_await TimerService::SleepFor(options_.seedGracePeriod_);
  }
  // Hosts that start at the same time read the list before the others have
  // written to it, so it is read again soon, with exponentially growing
  // intervals.
  auto next = options_.joinRetry_ * 2;
  while (true) {
    const bool joined = co_await Join();
    auto pause = options_.joinRetry_;
    if (joined) {
      pause = next;
      next = std::min(next * 2, options_.listPeriod_);
    }
    // Jitter keeps hosts that lost the store at the same time from returning at
    // the same time.
    pause += std::chrono::milliseconds(random() % (pause.count() / 2 + 1));
    co_await TimerService::SleepFor(pause);
  }
}

// Joining the store's list costs each host several calls, and many more when
// the hosts of a zone start at the same time, because they all update the same
// object and conflict. Therefore only the hosts selected by isListed_ join the
// list; the others learn the members from peers.
asio::awaitable<bool> PeerExchange::Join()
{
  if (!parts_.isListed_) {
    co_return co_await JoinStoreList();
  }
  const bool heard = co_await FetchMembers();
  const bool fresh = heard && TimerService::Now() < nextListRead_;
  if (fresh || !parts_.isListed_()) {
    co_return heard;
  }
  const bool joined = co_await JoinStoreList();
  if (joined) {
    nextListRead_ = TimerService::Now() + options_.listPeriod_;
  }
  co_return joined;
}

asio::awaitable<bool> PeerExchange::FetchMembers()
{
  std::vector<PeerMember> heard;
  {
    const std::lock_guard lock(mutex_);
    heard = table_->RecentlyHeard(TimerService::Now());
  }
  if (heard.empty()) {
    co_return false;
  }
  std::random_device device;
  const auto answer =
    co_await Call(heard[device() % heard.size()],
                  "members",
                  json::object(),
                  TimerService::Now() + options_.callTimeout_);
  if (!answer) {
    co_return false;
  }
  std::vector<PeerMember> members;
  try {
    for (const json& item : answer.value().at("m")) {
      members.push_back(MemberFromJson(item));
    }
  } catch (const json::exception&) {
    co_return false; // the peer uses another version of the protocol
  }
  const std::lock_guard lock(mutex_);
  table_->OnMembers(members, TimerService::Now());
  co_return true;
}

json PeerExchange::HandleMembers() const
{
  json members = json::array();
  const std::lock_guard lock(mutex_);
  for (const PeerMember& member : table_->RecentlyHeard(TimerService::Now())) {
    members.push_back(MemberToJson(member));
  }
  members.push_back(MemberToJson(self_));
  json answer;
  answer["m"] = std::move(members);
  return answer;
}

asio::awaitable<bool> PeerExchange::JoinStoreList()
{
  std::set<std::string> live;
  {
    const std::lock_guard lock(mutex_);
    for (const Digest& digest : table_->Live(TimerService::Now())) {
      live.insert(digest.host_);
    }
  }
  const auto listed =
    co_await JoinMemberList(parts_.store_,
                            self_,
                            std::move(live),
                            TimerService::Now() + options_.storeTimeout_);
  if (!listed) {
    co_return false;
  }
  {
    const std::lock_guard lock(mutex_);
    table_->OnMembers(listed.value(), TimerService::Now());
  }
  co_return true;
}

// A host that starts while the store is down can't read the list of members. It
// reaches its peers, and through them the configuration in force, by the seed
// addresses in its settings.
std::vector<PeerMember> PeerExchange::SeedPeers() const
{
  std::vector<PeerMember> seeds;
  for (const std::string& address : parts_.settings_.peerSeeds_) {
    if (address != self_.address_ && address != otherAddress_) {
      seeds.push_back({ .host_ = address, .address_ = address });
    }
  }
  return seeds;
}

void PeerExchange::StartExchanges(const std::vector<PeerMember>& aPeers)
{
  for (const PeerMember& peer : aPeers) {
    SpawnTask(parts_.executor_, ExchangeWith(peer));
  }
}

PeerMessage PeerExchange::MakeMessage(const std::string& aZone)
{
  PeerMessage message;
  {
    const std::lock_guard lock(mutex_);
    message = table_->MakeMessage(aZone);
  }
  if (parts_.crashEvidence_) {
    message.crashEvidence_ = parts_.crashEvidence_();
  }
  return message;
}

asio::awaitable<void> PeerExchange::ExchangeWith(PeerMember aPeer)
{
  json message = MessageToJson(MakeMessage(aPeer.zone_));
  PeerRpc::Target target{ .host_ = aPeer.host_, .address_ = aPeer.address_ };
  const auto answer =
    co_await rpc_.Call(std::move(target),
                       "exchange",
                       std::move(message),
                       TimerService::Now() + options_.callTimeout_);
  if (answer) {
    HandleMessage(MessageFromJson(answer.value()));
  }
}

json PeerExchange::HandleExchange(const json& aParams)
{
  const PeerMessage message = MessageFromJson(aParams);
  HandleMessage(message);
  return MessageToJson(MakeMessage(message.from_.zone_));
}

void PeerExchange::HandleMessage(const PeerMessage& aMessage)
{
  if (aMessage.from_.host_.empty()) {
    return;
  }
  bool fetch = false;
  PeerMergeResult merged;
  {
    const std::lock_guard lock(mutex_);
    merged = table_->OnMessage(aMessage, TimerService::Now());
    fetch = parts_.offer_ && !fetching_ &&
            merged.generation_ > table_->Own().generation_;
    fetching_ = fetching_ || fetch;
  }
  if (parts_.onCrashEvidence_ && !aMessage.crashEvidence_.IsEmpty()) {
    parts_.onCrashEvidence_(aMessage.crashEvidence_);
  }
  if (fetch) {
    SpawnTask(parts_.executor_, FetchConfiguration(MemberOf(aMessage.from_)));
  }
  const bool urgent = !options_.publishesInRounds_ || noLivePeers_ ||
                      !aMessage.from_.quarantine_.empty();
  if (merged.changed_ && urgent) {
    Publish();
  }
}

asio::awaitable<void> PeerExchange::FetchConfiguration(PeerMember aPeer)
{
  json params = json::object();
  PeerRpc::Target target{ .host_ = aPeer.host_, .address_ = aPeer.address_ };
  const auto answer =
    co_await rpc_.Call(std::move(target),
                       "configuration",
                       std::move(params),
                       TimerService::Now() + options_.callTimeout_);
  {
    const std::lock_guard lock(mutex_);
    fetching_ = false;
  }
  if (answer) {
    const json& document = answer.value();
    parts_.offer_(
      { .generation_ = JsonFieldOr(document, "generation", std::uint64_t{ 0 }),
        .text_ = JsonFieldOr(document, "text", std::string()) });
  }
}

json PeerExchange::HandleConfiguration() const
{
  OfferedConfiguration offered;
  if (parts_.configuration_) {
    offered = parts_.configuration_();
  }
  json answer;
  answer["generation"] = offered.generation_;
  answer["text"] = offered.text_;
  return answer;
}

// Sending at once lets a configuration spread through the fleet in a few round
// trips instead of a few rounds.
void PeerExchange::AnnounceConfiguration()
{
  if (!started_) {
    return;
  }
  UpdateOwnDigest();
  std::vector<PeerMember> peers;
  {
    const std::lock_guard lock(mutex_);
    peers = table_->SelectOutdatedPeers(options_.configurationFanout_);
  }
  StartExchanges(peers);
}

void PeerExchange::ExchangeInScope()
{
  if (!started_) {
    return;
  }
  UpdateOwnDigest();
  std::vector<PeerMember> peers;
  {
    const std::lock_guard lock(mutex_);
    peers = table_->SelectPeersInScope(options_.scopeFanout_);
  }
  StartExchanges(peers);
}

void PeerExchange::UpdateOwnDigest()
{
  Digest own = parts_.own_();
  const std::lock_guard lock(mutex_);
  table_->BeginRound(std::move(own), TimerService::Now());
}

void PeerExchange::Publish()
{
  const std::lock_guard order(publishMutex_);
  std::vector<Digest> live;
  std::size_t known = 0;
  {
    const std::lock_guard lock(mutex_);
    live = table_->Live(TimerService::Now());
    known = table_->EstimateOtherHosts();
  }
  noLivePeers_ = live.empty();
  parts_.onPeersChanged_({ .digests_ = std::move(live), .known_ = known });
}

} // namespace gooseberrylift
