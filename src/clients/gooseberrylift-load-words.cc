#include "gooseberrylift/internal/gooseberrylift-load-words.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "gooseberrylift/internal/gooseberrylift-encoding.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using asio::ip::udp;
using std::chrono::milliseconds;

namespace {

// How often it is looked whether a word must be repeated.
constexpr milliseconds kRepeatCheck{ 100 };

std::optional<udp::endpoint> EndpointOf(const std::string& aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  boost::system::error_code fault;
  const auto ip = asio::ip::make_address(aAddress.substr(0, colon), fault);
  const int port = std::atoi(aAddress.c_str() + colon + 1);
  if (fault || port <= 0) {
    return std::nullopt;
  }
  return udp::endpoint(ip, static_cast<std::uint16_t>(port));
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

LoadWords::LoadWords(Parts aParts, Options aOptions)
  : parts_(std::move(aParts))
  , options_(std::move(aOptions))
  , pace_(options_.pace_)
  , socket_(parts_.executor_)
  , sequence_(FirstSequence())
{
}

Outcome<void> LoadWords::Start(const std::string& aAddress,
                               std::uint16_t aPort,
                               std::string aKey)
{
  key_ = std::move(aKey);
  boost::system::error_code fault;
  const udp::endpoint local(asio::ip::make_address(aAddress, fault), aPort);
  if (!fault) {
    socket_.open(local.protocol(), fault);
  }
  if (!fault) {
    socket_.bind(local, fault);
  }
  if (!fault) {
    socket_.non_blocking(true, fault);
  }
  if (fault) {
    return Error{ .code_ = ResultCode::kListenFailed,
                  .text_ = "UDP port " + std::to_string(aPort) + ": " +
                           fault.message() };
  }
  asio::co_spawn(parts_.executor_, Receive(), asio::detached);
  repeat_ =
    TimerService::Every(kRepeatCheck, parts_.executor_, [this] { Repeat(); });
  return boost::outcome_v2::success();
}

void LoadWords::OnPlaced(const std::vector<ListedEndpoint>& aEndpoints,
                         bool aUrgent)
{
  if (!socket_.is_open()) {
    return;
  }
  const TimePoint now = TimerService::Now();
  const std::size_t peers = parts_.peers_().size();
  if (!aUrgent && !pace_.MayTell(now, peers)) {
    SendWholeSoon(); // it goes with that
    return;
  }
  pace_.OnTold(now, peers);
  Send({ .host_ = options_.host_,
         .sequence_ = ++sequence_,
         .part_ = LoadWordPart::kChange,
         .shares_ = parts_.ownAt_(aEndpoints) });
  told_ = true;
}

void LoadWords::SendWholeSoon()
{
  if (!socket_.is_open() || armed_) {
    return;
  }
  armed_ = true;
  const TimePoint due =
    pace_.DueAt(TimerService::Now(), parts_.peers_().size());
  asio::co_spawn(parts_.executor_, SendAt(due), asio::detached);
}

asio::awaitable<void> LoadWords::SendAt(TimePoint aWhen)
{
  co_await TimerService::SleepUntil(aWhen);
  armed_ = false;
  SendWhole();
}

void LoadWords::Repeat()
{
  if (told_ && pace_.MustRepeat(TimerService::Now(), parts_.peers_().size())) {
    SendWhole();
  }
}

void LoadWords::SendWhole()
{
  if (!socket_.is_open()) {
    return;
  }
  const LoadWord word{ .host_ = options_.host_,
                       .sequence_ = ++sequence_,
                       .shares_ = parts_.own_() };
  Send(word);
  told_ = !word.shares_.empty();
  pace_.OnSent(TimerService::Now());
}

void LoadWords::Send(const LoadWord& aWord)
{
  std::vector<std::string> datagrams = EncodeLoadWord(aWord);
  for (std::string& datagram : datagrams) {
    datagram.insert(0, MacOf(key_, datagram));
  }
  for (const std::string& peer : parts_.peers_()) {
    const auto endpoint = EndpointOf(peer);
    for (const std::string& datagram : datagrams) {
      if (endpoint) {
        // A datagram that finds no room in the socket is as good as one lost on
        // the way: the next word replaces it.
        boost::system::error_code lost;
        socket_.send_to(asio::buffer(datagram), *endpoint, 0, lost);
      }
    }
  }
}

asio::awaitable<void> LoadWords::Receive()
{
  while (true) {
    udp::endpoint from;
    boost::system::error_code fault;
    const std::size_t size = co_await socket_.async_receive_from(
      asio::buffer(buffer_),
      from,
      asio::redirect_error(asio::use_awaitable, fault));
    if (fault == asio::error::operation_aborted) {
      co_return;
    }
    if (!fault) { // else a peer's port was closed; it will be back
      TakeIn(std::string_view(buffer_.data(), size));
    }
  }
}

void LoadWords::TakeIn(std::string_view aDatagram)
{
  if (aDatagram.size() <= kMacBytes) {
    return;
  }
  const std::string_view bytes = aDatagram.substr(kMacBytes);
  if (!IsMacOf(key_, bytes, aDatagram.substr(0, kMacBytes))) {
    return; // a stranger, or a host with another key
  }
  if (const auto word = DecodeLoadWord(bytes)) {
    parts_.take_(*word);
  }
}

} // namespace gooseberrylift
