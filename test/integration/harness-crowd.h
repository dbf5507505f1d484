// Many raw clients at once, for tests of what they can make a host hold.

#ifndef GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_CROWD_H_
#define GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_CROWD_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "harness-process.h"

namespace gooseberrylift::test {

// What each client of a crowd sends, and whether it reads what it is sent.
struct CrowdScript
{
  std::string begin_{};
  std::string unit_{}; // repeated, and cut off at the end of unitBytes_
  std::uint64_t unitBytes_ = 0; // of all repetitions together
  std::string end_{};
  // How often the whole is sent on one connection.
  std::size_t times_ = 1;
  // The length of the pieces into which end_ is cut; 0: it is sent at once.
  std::size_t endPiece_ = 0;
  std::chrono::milliseconds endPause_{}; // between such pieces
  bool reads_ = false;
};

// Non-blocking clients that run in the calling thread. They stay connected
// until they are closed by either side.
class Crowd
{
public:
  Crowd(std::uint16_t aPort, std::size_t aClients, CrowdScript aScript);

  /// Sends until each client has sent all or was closed, or until nothing more
  /// is taken from any of them for a second. @return the number of bytes sent
  std::uint64_t Send(std::chrono::milliseconds aLimit);

  /// Returns the number of clients whose connections are open.
  std::size_t CountOpen() const;

private:
  struct Client
  {
    Descriptor socket_;
    std::uint64_t sent_ = 0;
    std::chrono::steady_clock::time_point pausedUntil_{};
    bool closed_ = false;
  };

  std::uint64_t SendSome(Client& aClient);
  static void ReadSome(Client& aClient);
  std::string PieceAt(std::uint64_t aSent) const;
  std::uint64_t ScriptBytes() const;
  bool IsDone(const Client& aClient) const;

  CrowdScript script_;
  std::string units_; // repetitions of unit_, longer than a piece
  std::vector<Client> clients_;
};

/// Lets the peak of a process's resident memory begin anew.
void ResetPeakMemory(int aProcess);

/// Returns the peak of a process's resident memory, in bytes.
std::uint64_t PeakMemory(int aProcess);

/// Returns the bytes that the kernel has received for connections of a local
/// port and that have not been read yet.
std::uint64_t UnreadBytes(std::uint16_t aPort);

/// Returns the number of a process's open descriptors.
std::size_t CountDescriptors(int aProcess);

} // namespace gooseberrylift::test

#endif // GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_CROWD_H_
