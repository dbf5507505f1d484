#include "harness-raw-endpoint.h"

#include <algorithm>
#include <chrono>

#include <boost/asio.hpp>

#include "gooseberrylift-fleet-names.h"

namespace gooseberrylift::test {

namespace asio = boost::asio;
namespace names = gooseberrylift::platform;
using tcp = asio::ip::tcp;

class RawEndpoint::Impl
{
public:
  asio::io_context context_;
  tcp::acceptor acceptor_{ context_, { asio::ip::address_v4::loopback(), 0 } };
  tcp::socket socket_{ context_ }; // of the connection that is being served
};

namespace {

// Returns the value of a header field; empty if the request lacks it.
std::string FieldOf(const std::string& aRequest, const std::string& aName)
{
  const std::size_t at = aRequest.find("\r\n" + aName + ": ");
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t begin = at + aName.size() + 4;
  return aRequest.substr(begin, aRequest.find("\r\n", begin) - begin);
}

// Reads a request, with its body unless it is answered early; empty if the
// connection was closed.
std::string ReadRequest(tcp::socket& aSocket, bool aEarly)
{
  std::string text;
  boost::system::error_code code;
  const std::size_t head =
    asio::read_until(aSocket, asio::dynamic_buffer(text), "\r\n\r\n", code);
  if (code) {
    return {};
  }
  const std::size_t size =
    std::strtoul(FieldOf(text, "Content-Length").c_str(), nullptr, 10);
  if (!aEarly && text.size() < head + size) {
    const std::size_t missing = head + size - text.size();
    asio::read(aSocket,
               asio::dynamic_buffer(text),
               asio::transfer_exactly(missing),
               code);
  }
  return text;
}

// Returns an answer without its endless part.
std::string TextOf(const RawEndpoint::Answer& aAnswer,
                   const std::string& aRequest)
{
  const std::string& reportPath = aAnswer.reportPath_;
  if (!reportPath.empty() && aRequest.starts_with("GET " + reportPath + " ")) {
    return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
           R"({"state":"live"})";
  }
  const std::string head = aAnswer.start_.value_or(
    "HTTP/1.1 " + aAnswer.status_ + "\r\n" + names::kAttemptId + ": " +
    (aAnswer.attemptId_.empty() ? FieldOf(aRequest, names::kAttemptId)
                                : aAnswer.attemptId_) +
    "\r\nX-Request-Id: " + FieldOf(aRequest, "X-Request-Id") + "\r\n" +
    names::kResponseStamp + ": raw\r\n" + aAnswer.fields_ + "\r\n");
  return head + aAnswer.body_;
}

} // namespace

RawEndpoint::RawEndpoint(Answer aAnswer)
  : answer_(std::move(aAnswer))
  , impl_(std::make_unique<Impl>())
  , thread_([this] { Run(); })
{
}

RawEndpoint::~RawEndpoint()
{
  stop_ = true;
  thread_.join();
}

std::uint16_t RawEndpoint::Port() const
{
  return impl_->acceptor_.local_endpoint().port();
}

std::string RawEndpoint::Address() const
{
  return "127.0.0.1:" + std::to_string(Port());
}

void RawEndpoint::SetAnswer(Answer aAnswer)
{
  const std::lock_guard lock(mutex_);
  answer_ = std::move(aAnswer);
}

RawEndpoint::Answer RawEndpoint::CurrentAnswer() const
{
  const std::lock_guard lock(mutex_);
  return answer_;
}

void RawEndpoint::SendEndless(const Answer& aAnswer)
{
  ++sending_;
  std::size_t sent = 0;
  boost::system::error_code code;
  while (!stop_ && !code) {
    sent += asio::write(impl_->socket_, asio::buffer(aAnswer.endless_), code);
    mostSent_ = std::max(mostSent_.load(), sent);
    std::this_thread::sleep_for(aAnswer.pause_);
  }
  --sending_;
}

// Serves one connection after the other.
void RawEndpoint::Run()
{
  impl_->acceptor_.non_blocking(true);
  while (!stop_) {
    boost::system::error_code code;
    tcp::socket& socket = impl_->socket_;
    socket = tcp::socket(impl_->context_);
    impl_->acceptor_.accept(socket, code);
    if (code) {
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
      continue;
    }
    socket.non_blocking(false);
    const Answer answer = CurrentAnswer();
    const std::string request = ReadRequest(socket, answer.early_);
    if (request.empty()) {
      continue;
    }
    ++received_;
    asio::write(socket, asio::buffer(TextOf(answer, request)), code);
    if (!answer.endless_.empty()) {
      SendEndless(answer);
    }
    ++answered_;
    // What was sent must have arrived before a reset discards it.
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    reused_ += !answer.early_ && socket.available(code) > 0 ? 1 : 0;
    if (answer.end_ == End::kReset) {
      socket.set_option(asio::socket_base::linger(true, 0), code);
    }
    const bool exits = answer.end_ == End::kExited;
    if (exits) {
      impl_->acceptor_.close(code);
    }
    socket.close(code); // the destructor would not reset the connection
    if (exits) {
      return;
    }
  }
}

} // namespace gooseberrylift::test
