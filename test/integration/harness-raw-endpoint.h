// An endpoint whose answers a conforming HTTP server would not send: they have
// neither a length nor chunks and end with their connection, don't end, or have
// an invalid head.

#ifndef GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_RAW_ENDPOINT_H_
#define GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_RAW_ENDPOINT_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
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
    // Of another request; that of the request if empty.
    std::string attemptId_;
    std::string body_;
    End end_ = End::kClosed;
    std::string status_ = "200 OK";
    // Sent instead of the head.
    std::optional<std::string> start_{};
    // Sent again and again after the body until the connection is closed, with
    // this pause in between.
    std::string endless_{};
    std::chrono::milliseconds pause_{ 1 };
    bool early_ = false; // sent before the body of the request is read
    // The path of load reports, which are sound.
    std::string reportPath_{};
  };

  explicit RawEndpoint(Answer aAnswer);
  ~RawEndpoint();
  RawEndpoint(const RawEndpoint&) = delete;
  RawEndpoint& operator=(const RawEndpoint&) = delete;

  std::uint16_t Port() const;
  std::string Address() const;

  /// Changes the answer to requests that are received from now on.
  void SetAnswer(Answer aAnswer);

  /// Returns how many requests were received.
  int Received() const { return received_; }

  /// Returns how many requests were answered.
  int Answered() const { return answered_; }

  /// Returns the most bytes sent in an endless answer before its connection was
  /// closed.
  std::size_t MostSent() const { return mostSent_; }

  /// Returns how many endless answers are being sent.
  int Sending() const { return sending_; }

  /// Returns how many connections carried a second request.
  int Reused() const { return reused_; }

private:
  class Impl;
  void Run();
  void SendEndless(const Answer& aAnswer);
  Answer CurrentAnswer() const;

  mutable std::mutex mutex_;
  Answer answer_; // guarded by mutex_
  std::unique_ptr<Impl> impl_;
  std::atomic<bool> stop_ = false;
  std::atomic<int> received_ = 0;
  std::atomic<int> answered_ = 0;
  std::atomic<int> reused_ = 0;
  std::atomic<int> sending_ = 0;
  std::atomic<std::size_t> mostSent_ = 0;
  std::thread thread_;
};

} // namespace gooseberrylift::test

#endif // GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_RAW_ENDPOINT_H_
