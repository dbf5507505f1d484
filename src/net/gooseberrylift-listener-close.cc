#include "gooseberrylift-listener-close.h"

#include <array>
#include <cstdint>

#include <linux/filter.h>
#include <sys/socket.h>

namespace gooseberrylift {

using tcp = boost::asio::ip::tcp;

bool DropNewHandshakes(tcp::acceptor& aAcceptor)
{
  // A filter of a TCP socket sees each packet from its TCP header on.
  constexpr std::uint32_t kFlagsOffset = 13;
  constexpr std::uint32_t kSyn = 0x02;
  constexpr std::uint32_t kSynAndAck = 0x12;
  constexpr std::uint32_t kWholePacket = 0xffffffff;
  std::array<sock_filter, 5> code{ {
    BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
    BPF_STMT(BPF_ALU | BPF_AND | BPF_K, kSynAndAck),
    BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, kSyn, 1, 0),
    BPF_STMT(BPF_RET | BPF_K, kWholePacket),
    BPF_STMT(BPF_RET | BPF_K, 0),
  } };
  const sock_fprog filter{ .len = code.size(), .filter = code.data() };
  return ::setsockopt(aAcceptor.native_handle(),
                      SOL_SOCKET,
                      SO_ATTACH_FILTER,
                      &filter,
                      sizeof(filter)) == 0;
}

void AcceptQueued(
  tcp::acceptor& aAcceptor,
  const std::function<boost::asio::any_io_executor()>& aExecutor,
  const std::function<void(tcp::socket)>& aOnAccepted)
{
  boost::system::error_code code;
  aAcceptor.non_blocking(true, code);
  while (!code) {
    tcp::socket socket(aExecutor());
    aAcceptor.accept(socket, code);
    if (!code) {
      aOnAccepted(std::move(socket));
    } else if (code == boost::asio::error::connection_aborted) {
      code.clear(); // this one is gone; others may follow
    }
  }
}

} // namespace gooseberrylift
