// An endpoint whose answers have neither a length nor chunks and end with their
// connection, which a conforming HTTP server would not send.

#ifndef GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_RAW_ENDPOINT_H_
#define GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_RAW_ENDPOINT_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

namespace gooseberrylift::test {

class RawEndpoint
{
public:
  // How the connection of an answer ends.
  enum class End
  {
    kClosed,
    kReset,
    kExited, // closed, and no further connection is accepted
  };

  struct Answer
  {
    std::string fields_; // further header lines, each terminated by CR LF
    std::string body_;
    End end_ = End::kClosed;
  };

  explicit RawEndpoint(Answer aAnswer);
  ~RawEndpoint();
  RawEndpoint(const RawEndpoint&) = delete;
  RawEndpoint& operator=(const RawEndpoint&) = delete;

  std::string Address() const;

  /// Returns how many requests were answered.
  int Answered() const { return answered_; }

  /// Returns how many connections carried a second request.
  int Reused() const { return reused_; }

private:
  class Impl;
  void Run();

  Answer answer_;
  std::unique_ptr<Impl> impl_;
  std::atomic<bool> stop_ = false;
  std::atomic<int> answered_ = 0;
  std::atomic<int> reused_ = 0;
  std::thread thread_;
};

} // namespace gooseberrylift::test

#endif // GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_RAW_ENDPOINT_H_
