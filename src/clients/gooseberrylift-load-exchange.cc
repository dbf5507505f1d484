#include "gooseberrylift/internal/gooseberrylift-load-exchange.h"

#include <algorithm>

#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

// A read that others must know of at once: it takes longer than a pass that
// callers of short requests bear.
constexpr milliseconds kLongRead{ 150 };

// How often it is looked whether a word must be repeated.
constexpr milliseconds kRepeatCheck{ 100 };

// Says whether a host has just placed a long prompt.
bool HasLongRead(const LoadMessage& aWord)
{
  return aWord.kind_ == LoadMessageKind::kDelta &&
         std::any_of(aWord.shares_.begin(),
                     aWord.shares_.end(),
                     [](const EndpointShare& aShare) {
                       return aShare.backlog_ > kLongRead;
                     });
}

// Words of a host's next start must follow those of this one.
std::uint64_t FirstSequence()
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
  , pace_(options_.pace_)
  , sequence_(FirstSequence())
  , random_(static_cast<std::minstd_rand::result_type>(sequence_))
{
  parts_.datagrams_.SetReceiver(
    PeerTopic::kLoad,
    [this](std::string_view aBytes, const PeerAddress& /*aFrom*/) {
      TakeIn(aBytes);
    });
}

void LoadExchange::Start()
{
  repeat_ =
    TimerService::Every(kRepeatCheck, parts_.executor_, [this] { Repeat(); });
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
  if (!aUrgent && !pace_.MaySendDelta(now, peers)) {
    SendWholeSoon(); // it goes with that
    return;
  }
  pace_.OnDeltaSent(now, peers);
  Send({ .host_ = options_.host_,
         .sequence_ = ++sequence_,
         .kind_ = LoadMessageKind::kDelta,
         .shares_ = parts_.ownSharesAt_(aEndpoints) },
       near_);
  told_ = true;
  if (aUrgent) {
    TellZoneSoon();
  }
}

void LoadExchange::SendWholeSoon()
{
  if (!parts_.datagrams_.IsOpen() || armed_) {
    return;
  }
  armed_ = true;
  const TimePoint due =
    pace_.NextSnapshotTime(TimerService::Now(), near_.size());
  SpawnTask(parts_.executor_, SendAt(due));
}

asio::awaitable<void> LoadExchange::SendAt(TimePoint aWhen)
{
  co_await TimerService::SleepUntil(aWhen);
  armed_ = false;
  SendWhole();
}

void LoadExchange::Repeat()
{
  if (told_ && pace_.IsRepeatDue(TimerService::Now(), near_.size())) {
    SendWhole();
  }
}

void LoadExchange::SendWhole()
{
  if (!parts_.datagrams_.IsOpen()) {
    return;
  }
  const LoadMessage word{ .host_ = options_.host_,
                          .sequence_ = ++sequence_,
                          .shares_ = parts_.own_() };
  Send(word, near_);
  told_ = !word.shares_.empty();
  pace_.OnSnapshotSent(TimerService::Now());
}

void LoadExchange::Send(const LoadMessage& aWord,
                        const std::vector<PeerAddress>& aTo)
{
  for (const std::string& datagram : EncodeLoadMessage(aWord)) {
    parts_.datagrams_.Send(PeerTopic::kLoad, datagram, aTo);
  }
}

void LoadExchange::SetPeers(const LoadMessagePeers& aPeers)
{
  near_ = PeerAddressesOf(aPeers.near_);
  successors_ = PeerAddressesOf(aPeers.successors_);
  rank_ = aPeers.rank_;
  far_.clear();
  for (const auto& [zone, addresses] : aPeers.far_) {
    far_[zone] = PeerAddressesOf(addresses);
  }
  if (far_.empty()) {
    zone_.Cancel();
    sumsAt_ = false;
  } else if (!sumsAt_) {
    sumsAt_ = true;
    zone_ = TimerService::Every(
      options_.sums_, parts_.executor_, [this] { TellZone(); });
  }
}

void LoadExchange::TellZone()
{
  const TimePoint now = TimerService::Now();
  const bool sums = parts_.datagrams_.IsOpen() && !far_.empty() &&
                    turn_.IsAggregator(now, rank_);
  if (sums != sums_) {
    sums_ = sums;
    zoneAggregator_.Restart();
    Log(LogEvent::kZoneAggregatorChanged,
        { { "sums", sums }, { "zone", options_.zone_ }, { "rank", rank_ } });
  }
  if (!sums) {
    return;
  }
  summed_ = now;
  const auto word = zoneAggregator_.NextMessage(parts_.zoneTotals_(), now);
  if (!word) {
    return;
  }
  if (word->kind_ == LoadMessageKind::kSnapshot) {
    SendToZones(word->kind_, word->shares_);
    return;
  }
  // A change is told or lost by itself, so each datagram is a word of its own.
  auto begin = word->shares_.begin();
  do {
    const auto left = static_cast<std::size_t>(word->shares_.end() - begin);
    const auto end =
      begin + static_cast<std::ptrdiff_t>(std::min(left, kSharesPerDatagram));
    SendToZones(word->kind_, { begin, end });
    begin = end;
  } while (begin != word->shares_.end());
}

void LoadExchange::TellZoneSoon()
{
  if (sums_ && TimerService::Now() - summed_ >= options_.leastBetweenSums_) {
    TellZone();
  }
}

void LoadExchange::SendToZones(LoadMessageKind aPart,
                               std::vector<EndpointShare> aShares)
{
  LoadMessage word{ .host_ = options_.host_,
                    .sequence_ = ++sequence_,
                    .kind_ = aPart,
                    .shares_ = std::move(aShares),
                    .zone_ = options_.zone_ };
  Send(word, successors_);
  word.relayToZone_ = true;
  for (const auto& [zone, hosts] : far_) {
    Send(word, { hosts[random_() % hosts.size()] });
  }
}

void LoadExchange::PassOn(LoadMessage aWord)
{
  aWord.relayToZone_ = false;
  Send(aWord, near_);
}

void LoadExchange::TakeIn(std::string_view aBytes)
{
  const auto word = DecodeLoadMessage(aBytes);
  if (!word) {
    return;
  }
  parts_.onReceived_(*word);
  if (word->zone_ == options_.zone_) {
    turn_.OnAggregateReceived(TimerService::Now());
  } else if (word->relayToZone_) {
    PassOn(*word);
  } else if (sums_ && HasLongRead(*word)) {
    TellZoneSoon(); // others would take the same idle endpoints
  }
}

} // namespace gooseberrylift
