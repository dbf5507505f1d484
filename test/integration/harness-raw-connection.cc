#include "harness-raw-connection.h"

#include <array>
#include <fstream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "harness.h"

namespace gooseberrylift::test {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

class RawConnection::Impl
{
public:
  explicit Impl(std::uint16_t aPort)
    : socket_(context_)
  {
    boost::system::error_code ignored;
    socket_.connect({ asio::ip::make_address("127.0.0.1"), aPort }, ignored);
  }

  asio::io_context context_;
  tcp::socket socket_;
};

RawConnection::RawConnection(std::uint16_t aPort)
  : impl_(std::make_unique<Impl>(aPort))
{
}

RawConnection::~RawConnection() = default;

bool RawConnection::Write(const std::string& aText)
{
  boost::system::error_code code;
  impl_->socket_.non_blocking(false, code);
  asio::write(impl_->socket_, asio::buffer(aText), code);
  return !code;
}

bool RawConnection::ReadSome(bool* aEnded)
{
  std::array<char, 16'384> buffer{};
  boost::system::error_code code;
  impl_->socket_.non_blocking(true, code);
  const std::size_t size = impl_->socket_.read_some(asio::buffer(buffer), code);
  received_.append(buffer.data(), size);
  *aEnded = code && code != asio::error::would_block;
  return size > 0;
}

bool RawConnection::ReadUntil(const std::string& aText,
                              std::chrono::milliseconds aLimit)
{
  bool ended = false;
  WaitUntil(aLimit, [&] {
    while (!ended && ReadSome(&ended)) {
    }
    return ended || received_.find(aText) != std::string::npos;
  });
  return received_.find(aText) != std::string::npos;
}

bool RawConnection::ReadToEnd(std::chrono::milliseconds aLimit)
{
  bool ended = false;
  return WaitUntil(aLimit, [&] {
    while (!ended && ReadSome(&ended)) {
    }
    return ended;
  });
}

void RawConnection::ShutdownSend()
{
  boost::system::error_code ignored;
  impl_->socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

void RawConnection::Close()
{
  boost::system::error_code ignored;
  impl_->socket_.close(ignored);
}

int RawConnection::Status() const
{
  constexpr std::string_view kVersion = "HTTP/1.1 ";
  return received_.starts_with(kVersion)
           ? std::atoi(received_.c_str() + kVersion.size())
           : 0;
}

int RawConnection::Code() const
{
  constexpr std::string_view kField = "\"code\":";
  const std::size_t at = received_.find(kField);
  return at == std::string::npos
           ? 0
           : std::atoi(received_.c_str() + at + kField.size());
}

std::string RawChatRequest(const std::string& aBody, const std::string& aFields)
{
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"
         "Authorization: Bearer team-one-key\r\n" +
         aFields + "Content-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

std::uint64_t ResidentBytes(int aProcess)
{
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/statm");
  std::uint64_t size = 0;
  std::uint64_t resident = 0;
  file >> size >> resident;
  return resident * 4096;
}

} // namespace gooseberrylift::test
