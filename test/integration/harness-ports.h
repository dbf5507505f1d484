// Ports of the loopback address that a test holds while a host wants them.

#ifndef GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_PORTS_H_
#define GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_PORTS_H_

#include <cstdint>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace gooseberrylift::test {

/// Finds consecutive ports that are free for TCP and UDP, outside the range
/// from which the kernel takes ports for outgoing connections.
/// @return the first one
std::uint16_t FindFreePorts(int aCount);

// Listens on a port until destroyed.
class HeldPort
{
public:
  explicit HeldPort(std::uint16_t aPort);

private:
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
};

// Holds a port for datagrams until destroyed.
class HeldUdpPort
{
public:
  explicit HeldUdpPort(std::uint16_t aPort);

  /// Returns whether a process holds the port.
  static bool IsHeld(std::uint16_t aPort);

private:
  boost::asio::io_context context_;
  boost::asio::ip::udp::socket socket_;
};

// A connection whose local port is the given one. Closed with a reset, which
// frees the port at once.
class ConnectionFromPort
{
public:
  ConnectionFromPort(std::uint16_t aPort, std::uint16_t aTo);
  ~ConnectionFromPort();
  ConnectionFromPort(const ConnectionFromPort&) = delete;
  ConnectionFromPort& operator=(const ConnectionFromPort&) = delete;

private:
  boost::asio::io_context context_;
  boost::asio::ip::tcp::socket socket_;
};

} // namespace gooseberrylift::test

#endif // GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_PORTS_H_
