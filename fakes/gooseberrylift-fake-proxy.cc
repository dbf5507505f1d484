// A TCP proxy in front of one target that injects faults according to a list of
// rules. The port that it prints is the control port; /stats returns the data
// port.
//   GET  /stats    {"port", "connections", "open", "messages", "hits"}
//   POST /control  {"rules": [...]} replaces the rules; {"target"};
//                  {"reset_all": true} resets every open connection
// Settings: target, data_port, seed, rules (see FaultScript::Load).

#include <set>

#include <boost/asio.hpp>

#include "gooseberrylift-fake-proxy-script.h"
#include "gooseberrylift-fake.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift::fakes {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto kAwaitAsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kReadBufferBytes = 64 * 1024;
constexpr std::size_t kMaxStoredResponseBytes = 64 * 1024;

tcp::endpoint ParseEndpoint(const std::string& aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  return { asio::ip::make_address(aAddress.substr(0, colon)),
           static_cast<std::uint16_t>(
             std::atoi(aAddress.c_str() + colon + 1)) };
}

// Closes a socket with a TCP reset instead of an orderly shutdown.
void ResetConnection(tcp::socket& aSocket)
{
  boost::system::error_code ignored;
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

// State shared by all connections of a proxy. Used on one thread only.
struct ProxyState
{
  FaultScript script_;
  std::uint64_t seed_ = 1;
  std::uint64_t connectionCount_ = 0;
  std::uint64_t messageCount_ = 0;
  std::set<class ProxyConnection*> openConnections_;
  std::weak_ptr<class ProxyConnection> waitingForPartner_; // for a kCross fault
};

// A client connection and the connection to the target that belongs to it.
class ProxyConnection : public std::enable_shared_from_this<ProxyConnection>
{
public:
  ProxyConnection(ProxyState& aState,
                  tcp::socket aClient,
                  std::uint64_t aNumber)
    : state_(aState)
    , client_(std::move(aClient))
    , target_(client_.get_executor())
    , random_(aState.seed_ * 0x9e3779b97f4a7c15ULL + aNumber)
  {
    state_.openConnections_.insert(this);
  }

  ~ProxyConnection() { state_.openConnections_.erase(this); }
  ProxyConnection(const ProxyConnection&) = delete;
  ProxyConnection& operator=(const ProxyConnection&) = delete;

  asio::awaitable<void> Run(tcp::endpoint aTarget)
  {
    const auto [code] = co_await target_.async_connect(aTarget, kAwaitAsTuple);
    if (code) {
      ResetBoth();
      co_return;
    }
    boost::system::error_code ignored;
    client_.set_option(tcp::no_delay(true), ignored);
    target_.set_option(tcp::no_delay(true), ignored);
    asio::co_spawn(
      client_.get_executor(),
      [self = shared_from_this()] { return self->RelayResponses(); },
      asio::detached);
    co_await RelayRequests();
  }

  void ResetBoth()
  {
    ResetConnection(client_);
    ResetConnection(target_);
  }

private:
  asio::awaitable<void> RelayRequests()
  {
    std::string buffer(kReadBufferBytes, '\0');
    bool going = true;
    while (going) {
      const auto [code, size] =
        co_await client_.async_read_some(asio::buffer(buffer), kAwaitAsTuple);
      if (code) {
        PropagateClose(client_, target_, code);
        co_return;
      }
      const std::string_view chunk(buffer.data(), size);
      if (responseStarted_) {
        co_await BeginMessage(chunk);
      }
      going = co_await ApplyFault(chunk, Direction::kToTarget);
    }
  }

  asio::awaitable<void> RelayResponses()
  {
    std::string buffer(kReadBufferBytes, '\0');
    bool going = true;
    while (going) {
      const auto [code, size] =
        co_await target_.async_read_some(asio::buffer(buffer), kAwaitAsTuple);
      if (code) {
        PropagateClose(target_, client_, code);
        co_return;
      }
      responseStarted_ = true;
      const std::string_view chunk(buffer.data(), size);
      if (response_.size() + size <= kMaxStoredResponseBytes) {
        response_ += chunk;
      }
      going = co_await ApplyFault(chunk, Direction::kToClient);
    }
  }

  // A request chunk that follows response data starts a new message.
  asio::awaitable<void> BeginMessage(std::string_view aFirstChunk)
  {
    responseStarted_ = false;
    bytesToTarget_ = 0;
    bytesToClient_ = 0;
    partner_.reset();
    ++state_.messageCount_;
    rule_ = state_.script_.SelectFault(aFirstChunk, random_);
    const std::string previousResponse = std::exchange(response_, {});
    if (!rule_) {
      co_return;
    }
    if (rule_->fault_ == Fault::kCross) {
      FindPartner();
    }
    if (rule_->fault_ == Fault::kStale && !previousResponse.empty()) {
      co_await asio::async_write(
        client_, asio::buffer(previousResponse), kAwaitAsTuple);
    }
  }

  void FindPartner()
  {
    const auto waiting = state_.waitingForPartner_.lock();
    if (!waiting || waiting.get() == this) {
      state_.waitingForPartner_ = weak_from_this();
      return;
    }
    state_.waitingForPartner_.reset();
    partner_ = waiting;
    waiting->partner_ = weak_from_this();
  }

  // Applies the rule of the message to a chunk. Returns false to stop relaying.
  asio::awaitable<bool> ApplyFault(std::string_view aChunk,
                                   Direction aDirection)
  {
    const bool affected = rule_ && rule_->AppliesTo(aDirection);
    if (!rule_) {
      co_return co_await Write(aChunk, aDirection);
    }
    switch (rule_->fault_) {
      case Fault::kDelay:
        co_await TimerService::SleepFor(RandomDelay());
        break;
      case Fault::kDrop:
        ResetBoth();
        co_return false;
      case Fault::kBlackHole:
        if (affected) {
          co_return true;
        }
        break;
      case Fault::kCut:
      case Fault::kTruncate:
        if (affected) {
          co_return co_await WriteUpToLimit(aChunk, aDirection);
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
          co_return co_await WriteToPartner(aChunk);
        }
        break;
      default:
        break;
    }
    co_return co_await Write(aChunk, aDirection);
  }

  std::chrono::milliseconds RandomDelay()
  {
    std::uniform_int_distribution<std::int64_t> extra(0,
                                                      rule_->jitter_.count());
    return rule_->delay_ + std::chrono::milliseconds(extra(random_));
  }

  asio::awaitable<bool> WriteUpToLimit(std::string_view aChunk,
                                       Direction aDirection)
  {
    std::uint64_t& forwarded =
      aDirection == Direction::kToTarget ? bytesToTarget_ : bytesToClient_;
    const std::uint64_t remaining =
      rule_->afterBytes_ - std::min(forwarded, rule_->afterBytes_);
    forwarded += aChunk.size();
    if (aChunk.size() < remaining) {
      co_return co_await Write(aChunk, aDirection);
    }
    co_await Write(aChunk.substr(0, remaining), aDirection);
    if (rule_->fault_ == Fault::kTruncate) {
      boost::system::error_code ignored;
      client_.shutdown(tcp::socket::shutdown_send, ignored);
      ResetConnection(target_);
    } else {
      ResetBoth();
    }
    co_return false;
  }

  asio::awaitable<bool> WriteToPartner(std::string_view aChunk)
  {
    constexpr std::chrono::milliseconds kPollInterval{ 2 };
    const TimePoint end = TimerService::Now() + rule_->hold_;
    while (partner_.expired() && TimerService::Now() < end) {
      co_await TimerService::SleepFor(kPollInterval);
    }
    const std::shared_ptr<ProxyConnection> partner = partner_.lock();
    if (!partner) {
      co_return co_await Write(aChunk, Direction::kToClient);
    }
    const auto [code, size] = co_await asio::async_write(
      partner->client_, asio::buffer(aChunk), kAwaitAsTuple);
    co_return !code;
  }

  asio::awaitable<bool> Write(std::string_view aChunk, Direction aDirection)
  {
    tcp::socket& to = aDirection == Direction::kToTarget ? target_ : client_;
    const auto [code, size] =
      co_await asio::async_write(to, asio::buffer(aChunk), kAwaitAsTuple);
    if (code) {
      ResetBoth();
    }
    co_return !code;
  }

  // Forwards an orderly shutdown as a half-close and any error as a reset.
  void PropagateClose(tcp::socket& aFrom,
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
  std::weak_ptr<ProxyConnection> partner_;
  std::string response_; // response data of the current message
  std::uint64_t bytesToTarget_ = 0;
  std::uint64_t bytesToClient_ = 0;
  bool responseStarted_ = true;
};

class FakeProxy
{
public:
  FakeProxy(asio::io_context& aContext, const json& aSettings)
    : context_(aContext)
    , reservation_(aContext)
    , acceptor_(aContext)
    , target_(ParseEndpoint(aSettings.value("target", "")))
  {
    state_.seed_ = aSettings.value("seed", std::uint64_t{ 1 });
    state_.script_.Load(aSettings.value("rules", json::array()));
    Reserve(aSettings.value("data_port", std::uint16_t{ 0 }));
    UpdateListener();
  }

  asio::awaitable<void> Handle(HttpExchange& aExchange)
  {
    bool known = true;
    if (aExchange.Request().Path() == "/control") {
      known = Control(ParseJsonBody(aExchange.Request()));
    }
    co_await SendJson(aExchange, known ? 200 : 400, Stats());
  }

private:
  bool Control(const json& aBody)
  {
    if (aBody.contains("rules") && !state_.script_.Load(aBody.at("rules"))) {
      return false;
    }
    if (aBody.contains("target")) {
      target_ = ParseEndpoint(aBody.value("target", ""));
    }
    if (aBody.value("reset_all", false)) {
      for (ProxyConnection* connection : state_.openConnections_) {
        connection->ResetBoth();
      }
    }
    UpdateListener();
    return true;
  }

  json Stats() const
  {
    return { { "port", port_ },
             { "connections", state_.connectionCount_ },
             { "open", state_.openConnections_.size() },
             { "messages", state_.messageCount_ },
             { "hits", state_.script_.Hits() } };
  }

  static void Bind(tcp::acceptor& aAcceptor, std::uint16_t aPort)
  {
    const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), aPort);
    aAcceptor.open(endpoint.protocol());
    aAcceptor.set_option(tcp::acceptor::reuse_address(true));
    aAcceptor.bind(endpoint);
  }

  // While the proxy refuses connections, the kernel would assign its port to
  // another process, which would then answer instead.
  void Reserve(std::uint16_t aPort)
  {
    Bind(reservation_, aPort);
    port_ = reservation_.local_endpoint().port();
  }

  void Listen()
  {
    Bind(acceptor_, port_);
    const bool hangs = state_.script_.HangsConnections();
    acceptor_.listen(hangs ? 0 : asio::socket_base::max_listen_connections);
    if (hangs) {
      FillAcceptQueue(acceptor_.local_endpoint());
    } else {
      asio::co_spawn(context_, Accept(), asio::detached);
    }
  }

  // The kernel ignores connection requests while the accept queue is full. With
  // a backlog of 0 it holds one connection.
  void FillAcceptQueue(const tcp::endpoint& aEndpoint)
  {
    queued_ = std::make_unique<tcp::socket>(context_);
    boost::system::error_code ignored;
    queued_->connect(aEndpoint, ignored);
  }

  // The kernel refuses connections only while no socket listens on the port.
  void UpdateListener()
  {
    const bool refuses = state_.script_.RefusesConnections();
    const bool hangs = state_.script_.HangsConnections();
    if (acceptor_.is_open() && (refuses || hangs != (queued_ != nullptr))) {
      acceptor_.close();
      queued_.reset();
    }
    if (!refuses && !acceptor_.is_open()) {
      Listen();
    }
  }

  asio::awaitable<void> Accept()
  {
    while (true) {
      auto [code, socket] = co_await acceptor_.async_accept(kAwaitAsTuple);
      if (code) {
        co_return;
      }
      auto connection = std::make_shared<ProxyConnection>(
        state_, std::move(socket), ++state_.connectionCount_);
      asio::co_spawn(
        context_,
        [connection, target = target_]() -> asio::awaitable<void> {
          co_await connection->Run(target);
        },
        asio::detached);
    }
  }

  asio::io_context& context_;
  tcp::acceptor reservation_; // bound to the port, never listens
  tcp::acceptor acceptor_;
  tcp::endpoint target_;
  std::uint16_t port_ = 0;
  ProxyState state_;
  // Set while new connections hang.
  std::unique_ptr<tcp::socket> queued_;
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
