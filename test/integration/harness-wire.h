// A caller that writes raw bytes, for what no proper HTTP client would do.

#ifndef GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_WIRE_H_
#define GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_WIRE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace gooseberrylift::test {

// One connection of a caller; it closes when the object goes. Reads are
// bounded; what has been read stays in Received().
class Wire
{
public:
  explicit Wire(std::uint16_t aPort);
  ~Wire();
  Wire(const Wire&) = delete;
  Wire& operator=(const Wire&) = delete;

  /// Writes all of a text. @return false when the other side is gone
  bool Write(const std::string& aText);

  /// Reads until a text has come. @return whether it came in time
  bool ReadUntil(const std::string& aText,
                 std::chrono::milliseconds aLimit = std::chrono::seconds(10));

  /// Reads until the other side closes. @return whether it did in time
  bool ReadToEnd(std::chrono::milliseconds aLimit = std::chrono::seconds(10));

  /// Closes the sending half only.
  void HalfClose();

  void Close();

  const std::string& Received() const { return received_; }

  /// Gives the status of the first answer; 0 when there is none.
  int Status() const;

  /// Gives the result code in the first answer's body; 0 when there is none.
  int Code() const;

private:
  bool ReadSome(bool* aEnded);

  class Impl;
  std::unique_ptr<Impl> impl_;
  std::string received_;
};

/// Writes a chat request as text.
/// @param aFields more header lines, each ended by CR LF
std::string RawChat(const std::string& aBody, const std::string& aFields = {});

/// Reads a process's resident memory in bytes.
std::uint64_t ResidentBytes(int aProcess);

} // namespace gooseberrylift::test

#endif // GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_WIRE_H_
