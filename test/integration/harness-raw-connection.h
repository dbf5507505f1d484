// A raw TCP client, for requests that a conforming HTTP client would not send.

#ifndef GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_RAW_CONNECTION_H_
#define GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_RAW_CONNECTION_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace gooseberrylift::test {

// A client connection, closed by the destructor. Every read has a timeout. All
// bytes read so far are kept in Received().
class RawConnection
{
public:
  explicit RawConnection(std::uint16_t aPort);
  ~RawConnection();
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  /// Writes a complete text. @return false if the connection is closed
  bool Write(const std::string& aText);

  /// Reads until a text was received. @return false on timeout or end of stream
  bool ReadUntil(const std::string& aText,
                 std::chrono::milliseconds aLimit = std::chrono::seconds(10));

  /// Reads until the peer closes the connection. @return false on timeout
  bool ReadToEnd(std::chrono::milliseconds aLimit = std::chrono::seconds(10));

  /// Shuts down the sending half of the connection only.
  void ShutdownSend();

  void Close();

  const std::string& Received() const { return received_; }

  /// Returns the status of the first response; 0 if there is none.
  int Status() const;

  /// Returns the result code in the first response's body; 0 if there is none.
  int Code() const;

private:
  bool ReadSome(bool* aEnded);

  class Impl;
  std::unique_ptr<Impl> impl_;
  std::string received_;
};

/// Formats a chat request as HTTP/1.1 text.
/// @param aFields additional header lines, each terminated by CR LF
std::string RawChatRequest(const std::string& aBody,
                           const std::string& aFields = {});

/// Returns the resident memory of a process in bytes.
std::uint64_t ResidentBytes(int aProcess);

} // namespace gooseberrylift::test

#endif // GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_RAW_CONNECTION_H_
