// A TCP proxy before one target that injects faults by a script. The port that
// it prints is its control port; the data port stands in /stats.
//   GET  /stats    {"port", "connections", "open", "messages", "hits"}
//   POST /control  {"rules": [...]} replaces the script; {"target"};
//                  {"reset_all": true} resets every open connection
// Settings: target, seed, rules (see FaultScript::Load).

#include <set>

#include <boost/asio.hpp>

#include "gooseberrylift-fake-proxy-script.h"
#include "gooseberrylift-fake.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift::fakes {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kPieceBytes = 64 * 1024;
constexpr std::size_t kLastAnswerBytes = 64 * 1024;

tcp::endpoint EndpointOf(const std::string& aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  return { asio::ip::make_address(aAddress.substr(0, colon)),
           static_cast<std::uint16_t>(
             std::atoi(aAddress.c_str() + colon + 1)) };
}

// Closes so that the other side sees a reset, not a proper end.
void Reset(tcp::socket& aSocket)
{
  boost::system::error_code ignored;
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

// Shared by all links of one proxy; everything runs on one thread.
struct ProxyState
{
  FaultScript script_;
  std::uint64_t seed_ = 1;
  std::uint64_t connections_ = 0;
  std::uint64_t messages_ = 0;
  std::set<class ProxyLink*> links_;
  std::weak_ptr<class ProxyLink> crossing_; // waits for a partner
};

// One connection of a client and its own one to the target.
class ProxyLink : public std::enable_shared_from_this<ProxyLink>
{
public:
  ProxyLink(ProxyState& aState, tcp::socket aClient, std::uint64_t aNumber)
    : state_(aState)
    , client_(std::move(aClient))
    , target_(client_.get_executor())
    , random_(aState.seed_ * 0x9e3779b97f4a7c15ULL + aNumber)
  {
    state_.links_.insert(this);
  }

  ~ProxyLink() { state_.links_.erase(this); }
  ProxyLink(const ProxyLink&) = delete;
  ProxyLink& operator=(const ProxyLink&) = delete;

  asio::awaitable<void> Run(tcp::endpoint aTarget)
  {
    const auto [code] = co_await target_.async_connect(aTarget, kAwait);
    if (code) {
      ResetBoth();
      co_return;
    }
    boost::system::error_code ignored;
    client_.set_option(tcp::no_delay(true), ignored);
    target_.set_option(tcp::no_delay(true), ignored);
    asio::co_spawn(
      client_.get_executor(),
      [self = shared_from_this()] { return self->PumpAnswers(); },
      asio::detached);
    co_await PumpRequests();
  }

  void ResetBoth()
  {
    Reset(client_);
    Reset(target_);
  }

private:
  asio::awaitable<void> PumpRequests()
  {
    std::string buffer(kPieceBytes, '\0');
    bool going = true;
    while (going) {
      const auto [code, size] =
        co_await client_.async_read_some(asio::buffer(buffer), kAwait);
      if (code) {
        EndOf(client_, target_, code);
        co_return;
      }
      const std::string_view piece(buffer.data(), size);
      if (answered_) {
        co_await BeginMessage(piece);
      }
      going = co_await Pass(piece, Direction::kToTarget);
    }
  }

  asio::awaitable<void> PumpAnswers()
  {
    std::string buffer(kPieceBytes, '\0');
    bool going = true;
    while (going) {
      const auto [code, size] =
        co_await target_.async_read_some(asio::buffer(buffer), kAwait);
      if (code) {
        EndOf(target_, client_, code);
        co_return;
      }
      answered_ = true;
      const std::string_view piece(buffer.data(), size);
      if (answer_.size() + size <= kLastAnswerBytes) {
        answer_ += piece;
      }
      going = co_await Pass(piece, Direction::kToClient);
    }
  }

  // A request that comes after an answer begins a message of its own.
  asio::awaitable<void> BeginMessage(std::string_view aFirstPiece)
  {
    answered_ = false;
    passedToTarget_ = 0;
    passedToClient_ = 0;
    partner_.reset();
    ++state_.messages_;
    rule_ = state_.script_.Choose(aFirstPiece, random_);
    const std::string last = std::exchange(answer_, {});
    if (!rule_) {
      co_return;
    }
    if (rule_->fault_ == Fault::kCross) {
      FindPartner();
    }
    if (rule_->fault_ == Fault::kStale && !last.empty()) {
      co_await asio::async_write(client_, asio::buffer(last), kAwait);
    }
  }

  void FindPartner()
  {
    const auto waiting = state_.crossing_.lock();
    if (!waiting || waiting.get() == this) {
      state_.crossing_ = weak_from_this();
      return;
    }
    state_.crossing_.reset();
    partner_ = waiting;
    waiting->partner_ = weak_from_this();
  }

  // Passes a piece on as the message's rule says. False ends the pump.
  asio::awaitable<bool> Pass(std::string_view aPiece, Direction aDirection)
  {
    const bool concerned = rule_ && rule_->Concerns(aDirection);
    if (!rule_) {
      co_return co_await Write(aPiece, aDirection);
    }
    switch (rule_->fault_) {
      case Fault::kDelay:
        co_await TimerService::SleepFor(Pause());
        break;
      case Fault::kDrop:
        ResetBoth();
        co_return false;
      case Fault::kBlackHole:
        if (concerned) {
          co_return true;
        }
        break;
      case Fault::kCut:
      case Fault::kTruncate:
        if (concerned) {
          co_return co_await PassUpTo(aPiece, aDirection);
        }
        break;
      case Fault::kLoseAnswer:
        if (aDirection == Direction::kToClient) {
          co_await TimerService::SleepFor(rule_->hold_);
          ResetBoth();
          co_return false;
        }
        break;
      case Fault::kCross:
        if (aDirection == Direction::kToClient) {
          co_return co_await WriteCrossed(aPiece);
        }
        break;
      default:
        break;
    }
    co_return co_await Write(aPiece, aDirection);
  }

  std::chrono::milliseconds Pause()
  {
    std::uniform_int_distribution<std::int64_t> extra(0,
                                                      rule_->jitter_.count());
    return rule_->delay_ + std::chrono::milliseconds(extra(random_));
  }

  asio::awaitable<bool> PassUpTo(std::string_view aPiece, Direction aDirection)
  {
    std::uint64_t& passed =
      aDirection == Direction::kToTarget ? passedToTarget_ : passedToClient_;
    const std::uint64_t left =
      rule_->afterBytes_ - std::min(passed, rule_->afterBytes_);
    passed += aPiece.size();
    if (aPiece.size() < left) {
      co_return co_await Write(aPiece, aDirection);
    }
    co_await Write(aPiece.substr(0, left), aDirection);
    if (rule_->fault_ == Fault::kTruncate) {
      boost::system::error_code ignored;
      client_.shutdown(tcp::socket::shutdown_send, ignored);
      Reset(target_);
    } else {
      ResetBoth();
    }
    co_return false;
  }

  asio::awaitable<bool> WriteCrossed(std::string_view aPiece)
  {
    constexpr std::chrono::milliseconds kPoll{ 2 };
    const TimePoint end = TimerService::Now() + rule_->hold_;
    while (partner_.expired() && TimerService::Now() < end) {
      co_await TimerService::SleepFor(kPoll);
    }
    const std::shared_ptr<ProxyLink> partner = partner_.lock();
    if (!partner) {
      co_return co_await Write(aPiece, Direction::kToClient);
    }
    const auto [code, size] = co_await asio::async_write(
      partner->client_, asio::buffer(aPiece), kAwait);
    co_return !code;
  }

  asio::awaitable<bool> Write(std::string_view aPiece, Direction aDirection)
  {
    tcp::socket& to = aDirection == Direction::kToTarget ? target_ : client_;
    const auto [code, size] =
      co_await asio::async_write(to, asio::buffer(aPiece), kAwait);
    if (code) {
      ResetBoth();
    }
    co_return !code;
  }

  // Hands a side's end on: a proper one as such, a reset as a reset.
  void EndOf(tcp::socket& aFrom,
             tcp::socket& aTo,
             const boost::system::error_code& aCode)
  {
    if (aCode != asio::error::eof) {
      ResetBoth();
      return;
    }
    boost::system::error_code ignored;
    aTo.shutdown(tcp::socket::shutdown_send, ignored);
    aFrom.shutdown(tcp::socket::shutdown_receive, ignored);
  }

  ProxyState& state_;
  tcp::socket client_;
  tcp::socket target_;
  std::mt19937_64 random_;
  std::optional<FaultRule> rule_;
  std::weak_ptr<ProxyLink> partner_;
  std::string answer_; // of the message so far
  std::uint64_t passedToTarget_ = 0;
  std::uint64_t passedToClient_ = 0;
  bool answered_ = true;
};

class FakeProxy
{
public:
  FakeProxy(asio::io_context& aContext, const json& aSettings)
    : context_(aContext)
    , acceptor_(aContext)
    , target_(EndpointOf(aSettings.value("target", "")))
  {
    state_.seed_ = aSettings.value("seed", std::uint64_t{ 1 });
    state_.script_.Load(aSettings.value("rules", json::array()));
    Listen(aSettings.value("data_port", std::uint16_t{ 0 }));
    FollowRefusal();
  }

  asio::awaitable<void> Handle(HttpExchange& aExchange)
  {
    bool known = true;
    if (aExchange.Request().Path() == "/control") {
      known = Control(BodyOf(aExchange.Request()));
    }
    co_await Reply(aExchange, known ? 200 : 400, Stats());
  }

private:
  bool Control(const json& aBody)
  {
    if (aBody.contains("rules") && !state_.script_.Load(aBody.at("rules"))) {
      return false;
    }
    if (aBody.contains("target")) {
      target_ = EndpointOf(aBody.value("target", ""));
    }
    if (aBody.value("reset_all", false)) {
      for (ProxyLink* link : state_.links_) {
        link->ResetBoth();
      }
    }
    FollowRefusal();
    return true;
  }

  json Stats() const
  {
    return { { "port", port_ },
             { "connections", state_.connections_ },
             { "open", state_.links_.size() },
             { "messages", state_.messages_ },
             { "hits", state_.script_.Hits() } };
  }

  void Listen(std::uint16_t aPort)
  {
    const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), aPort);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    port_ = acceptor_.local_endpoint().port();
    asio::co_spawn(context_, Accept(), asio::detached);
  }

  // A closed listener is the only way to make the system refuse for us.
  void FollowRefusal()
  {
    const bool refuses = state_.script_.Refuses();
    if (refuses && acceptor_.is_open()) {
      acceptor_.close();
    } else if (!refuses && !acceptor_.is_open()) {
      Listen(port_);
    }
  }

  asio::awaitable<void> Accept()
  {
    while (true) {
      auto [code, socket] = co_await acceptor_.async_accept(kAwait);
      if (code) {
        co_return;
      }
      auto link = std::make_shared<ProxyLink>(
        state_, std::move(socket), ++state_.connections_);
      asio::co_spawn(
        context_,
        [link, target = target_]() -> asio::awaitable<void> {
          co_await link->Run(target);
        },
        asio::detached);
    }
  }

  asio::io_context& context_;
  tcp::acceptor acceptor_;
  tcp::endpoint target_;
  std::uint16_t port_ = 0;
  ProxyState state_;
};

} // namespace

int RunFakeProxy(const json& aSettings)
{
  asio::io_context context(1);
  FakeProxy proxy(context, aSettings);
  return RunFake(context, aSettings, [&proxy](HttpExchange& aExchange) {
    return proxy.Handle(aExchange);
  });
}

} // namespace gooseberrylift::fakes
