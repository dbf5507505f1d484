#include "harness-ports.h"

#include <fcntl.h>
#include <unistd.h>

namespace gooseberrylift::test {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

namespace {

constexpr int kFirstPort = 10'000;
constexpr int kPorts = 20'000; // below the kernel's usual range

const asio::ip::address_v4 kLoopback = asio::ip::address_v4::loopback();

// Otherwise a process that is started meanwhile holds the port itself.
template<typename Socket>
void CloseInChildren(Socket& aSocket)
{
  ::fcntl(aSocket.native_handle(), F_SETFD, FD_CLOEXEC);
}

template<typename Socket, typename Endpoint>
bool IsFree(const Endpoint& aEndpoint)
{
  asio::io_context context(1);
  Socket socket(context);
  boost::system::error_code code;
  socket.open(aEndpoint.protocol(), code);
  socket.bind(aEndpoint, code);
  return !code;
}

bool AreFree(int aFirst, int aCount)
{
  for (int port = aFirst; port < aFirst + aCount; ++port) {
    const auto number = static_cast<std::uint16_t>(port);
    if (!IsFree<tcp::socket>(tcp::endpoint(kLoopback, number)) ||
        !IsFree<udp::socket>(udp::endpoint(kLoopback, number))) {
      return false;
    }
  }
  return true;
}

} // namespace

std::uint16_t FindFreePorts(int aCount)
{
  // Test programs that run at the same time begin at different ports.
  static int sNext = static_cast<int>(::getpid()) * 37;
  while (true) {
    const int first = kFirstPort + sNext % kPorts;
    sNext += aCount;
    if (AreFree(first, aCount)) {
      return static_cast<std::uint16_t>(first);
    }
  }
}

HeldPort::HeldPort(std::uint16_t aPort)
  : acceptor_(context_, tcp::endpoint(kLoopback, aPort))
{
  CloseInChildren(acceptor_);
}

HeldUdpPort::HeldUdpPort(std::uint16_t aPort)
  : socket_(context_, udp::endpoint(kLoopback, aPort))
{
  CloseInChildren(socket_);
}

bool HeldUdpPort::IsHeld(std::uint16_t aPort)
{
  return !IsFree<udp::socket>(udp::endpoint(kLoopback, aPort));
}

ConnectionFromPort::ConnectionFromPort(std::uint16_t aPort, std::uint16_t aTo)
  : socket_(context_, tcp::endpoint(kLoopback, aPort))
{
  CloseInChildren(socket_);
  socket_.connect(tcp::endpoint(kLoopback, aTo));
  socket_.set_option(asio::socket_base::linger(true, 0));
}

// The socket's destructor would reset the option.
ConnectionFromPort::~ConnectionFromPort()
{
  boost::system::error_code ignored;
  socket_.close(ignored);
}

} // namespace gooseberrylift::test
