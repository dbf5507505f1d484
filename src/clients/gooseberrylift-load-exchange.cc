#include "gooseberrylift/internal/gooseberrylift-load-exchange.h"

#include <algorithm>

#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

// A backlog above this is a long prompt, which other zones must know of at
// once: it occupies an engine for longer than callers of short requests
// tolerate.
constexpr milliseconds kLongPrefill{ 150 };

// How often to check whether a snapshot must be repeated.
constexpr milliseconds kRepeatCheckInterval{ 100 };

// Returns whether the sender has just placed a long prompt.
bool HasLongPrefill(const LoadMessage& aMessage)
{
  return aMessage.kind_ == LoadMessageKind::kDelta &&
         std::any_of(aMessage.shares_.begin(),
                     aMessage.shares_.end(),
                     [](const EndpointShare& aShare) {
                       return aShare.backlog_ > kLongPrefill;
                     });
}

// The wall-clock time, so that the sequence numbers continue to rise when a
// host restarts.
std::uint64_t InitialSequence()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

} // namespace

LoadExchange::LoadExchange(Parts aParts, Options aOptions)
  : parts_(std::move(aParts))
  , options_(std::move(aOptions))
  , pacer_(options_.pacerOptions_)
  , sequence_(InitialSequence())
  , random_(static_cast<std::minstd_rand::result_type>(sequence_))
{
  parts_.datagrams_.SetReceiver(
    PeerTopic::kLoad,
    [this](std::string_view aBytes, const PeerAddress& /*aFrom*/) {
      HandleDatagram(aBytes);
    });
}

void LoadExchange::Start()
{
  repeatTimer_ = TimerService::Every(
    kRepeatCheckInterval, parts_.executor_, [this] { RepeatSnapshot(); });
}

void LoadExchange::OnRequestPlaced(
  const std::vector<ListedEndpoint>& aEndpoints,
  bool aUrgent)
{
  if (!parts_.datagrams_.IsOpen()) {
    return;
  }
  const TimePoint now = TimerService::Now();
  const std::size_t peers = near_.size();
  if (!aUrgent && !pacer_.MaySendDelta(now, peers)) {
    ScheduleSnapshot(); // which includes this request
    return;
  }
  pacer_.OnDeltaSent(now, peers);
  Send(MakeOwnMessage(LoadMessageKind::kDelta, parts_.ownSharesAt_(aEndpoints)),
       near_);
  lastMessageHadLoad_ = true;
  if (aUrgent) {
    SendTotalsIfAllowed();
  }
}

void LoadExchange::ScheduleSnapshot()
{
  if (!parts_.datagrams_.IsOpen() || snapshotScheduled_) {
    return;
  }
  snapshotScheduled_ = true;
  const TimePoint due =
    pacer_.NextSnapshotTime(TimerService::Now(), near_.size());
  SpawnTask(parts_.executor_, SendSnapshotAt(due));
}

asio::awaitable<void> LoadExchange::SendSnapshotAt(TimePoint aWhen)
{
  co_await TimerService::SleepUntil(aWhen);
  snapshotScheduled_ = false;
  SendSnapshot();
}

void LoadExchange::RepeatSnapshot()
{
  if (lastMessageHadLoad_ &&
      pacer_.IsRepeatDue(TimerService::Now(), near_.size())) {
    SendSnapshot();
  }
}

void LoadExchange::SendSnapshot()
{
  if (!parts_.datagrams_.IsOpen()) {
    return;
  }
  const LoadMessage message =
    MakeOwnMessage(LoadMessageKind::kSnapshot, parts_.own_());
  Send(message, near_);
  lastMessageHadLoad_ = !message.shares_.empty() || !message.waiting_.empty() ||
                        !message.promises_.empty();
  pacer_.OnSnapshotSent(TimerService::Now());
}

LoadMessage LoadExchange::MakeOwnMessage(LoadMessageKind aKind,
                                         std::vector<EndpointShare> aShares)
{
  LoadMessageLists lists;
  // A delta with more shares would not fit into one datagram with the lists.
  if (aKind == LoadMessageKind::kSnapshot ||
      aShares.size() <= kSharesBesideLists) {
    lists = parts_.ownLists_();
  }
  return { .host_ = options_.host_,
           .sequence_ = ++sequence_,
           .kind_ = aKind,
           .shares_ = std::move(aShares),
           .waiting_ = std::move(lists.waiting_),
           .promises_ = std::move(lists.promises_) };
}

void LoadExchange::Send(const LoadMessage& aMessage,
                        const std::vector<PeerAddress>& aTo)
{
  for (const std::string& datagram : EncodeLoadMessage(aMessage)) {
    parts_.datagrams_.Send(PeerTopic::kLoad, datagram, aTo);
  }
}

void LoadExchange::SetPeers(const LoadMessagePeers& aPeers)
{
  near_ = ParsePeerAddresses(aPeers.near_);
  successors_ = ParsePeerAddresses(aPeers.successors_);
  rank_ = aPeers.rank_;
  far_.clear();
  for (const auto& [zone, addresses] : aPeers.far_) {
    far_[zone] = ParsePeerAddresses(addresses);
  }
  if (far_.empty()) {
    totalsTimer_.Cancel();
    totalsTimerRuns_ = false;
  } else if (!totalsTimerRuns_) {
    totalsTimerRuns_ = true;
    totalsTimer_ = TimerService::Every(
      options_.totalsInterval_, parts_.executor_, [this] { SendTotals(); });
  }
}

void LoadExchange::SendTotals()
{
  const TimePoint now = TimerService::Now();
  const bool isAggregator = parts_.datagrams_.IsOpen() && !far_.empty() &&
                            aggregatorRole_.IsAggregator(now, rank_);
  if (isAggregator != isAggregator_) {
    isAggregator_ = isAggregator;
    zoneAggregator_.Restart();
    Log(LogEvent::kZoneAggregatorChanged,
        { { "sums", isAggregator },
          { "zone", options_.zone_ },
          { "rank", rank_ } });
  }
  if (!isAggregator) {
    return;
  }
  lastTotals_ = now;
  const auto message = zoneAggregator_.NextMessage(parts_.zoneTotals_(), now);
  if (!message) {
    return;
  }
  LoadMessageLists lists = parts_.zoneLists_();
  if (message->kind_ == LoadMessageKind::kSnapshot) {
    SendToOtherZones(message->kind_, message->shares_, std::move(lists));
    return;
  }
  // Each datagram of a delta is applied or lost independently, so each one is
  // sent as a separate message.
  auto begin = message->shares_.begin();
  do {
    const auto remaining =
      static_cast<std::size_t>(message->shares_.end() - begin);
    const std::size_t room =
      lists.IsEmpty() ? kSharesPerDatagram : kSharesBesideLists;
    const auto end =
      begin + static_cast<std::ptrdiff_t>(std::min(remaining, room));
    SendToOtherZones(message->kind_, { begin, end }, std::move(lists));
    lists = {};
    begin = end;
  } while (begin != message->shares_.end());
}

void LoadExchange::SendTotalsIfAllowed()
{
  if (isAggregator_ &&
      TimerService::Now() - lastTotals_ >= options_.minTotalsInterval_) {
    SendTotals();
  }
}

void LoadExchange::SendToOtherZones(LoadMessageKind aKind,
                                    std::vector<EndpointShare> aShares,
                                    LoadMessageLists aLists)
{
  LoadMessage message{ .host_ = options_.host_,
                       .sequence_ = ++sequence_,
                       .kind_ = aKind,
                       .shares_ = std::move(aShares),
                       .zone_ = options_.zone_,
                       .waiting_ = std::move(aLists.waiting_),
                       .promises_ = std::move(aLists.promises_) };
  Send(message, successors_);
  message.relayToZone_ = true;
  for (const auto& [zone, hosts] : far_) {
    Send(message, { hosts[random_() % hosts.size()] });
  }
}

void LoadExchange::RelayToZone(LoadMessage aMessage)
{
  aMessage.relayToZone_ = false;
  Send(aMessage, near_);
}

void LoadExchange::HandleDatagram(std::string_view aBytes)
{
  const auto message = DecodeLoadMessage(aBytes);
  if (!message) {
    return;
  }
  parts_.onReceived_(*message);
  if (message->zone_ == options_.zone_) {
    aggregatorRole_.OnAggregateReceived(TimerService::Now());
  } else if (message->relayToZone_) {
    RelayToZone(*message);
  } else if (isAggregator_ && HasLongPrefill(*message)) {
    // Other zones would otherwise choose the same idle endpoints.
    SendTotalsIfAllowed();
  }
}

} // namespace gooseberrylift
