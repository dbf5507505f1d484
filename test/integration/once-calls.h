// Helpers for tests of at-most-once calls: calls with an idempotency key, timed
// against their deadline, and counts of runs and of stored records.

#ifndef GOOSEBERRYLIFT_TEST_INTEGRATION_ONCE_CALLS_H_
#define GOOSEBERRYLIFT_TEST_INTEGRATION_ONCE_CALLS_H_

#include "harness.h"

#include <string>

#include "gooseberrylift/internal/gooseberrylift-once-ledger.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift::test {

// The longest time after its deadline at which a response is accepted. The
// bound was set by the users.
constexpr std::chrono::milliseconds kLateness{ 250 };

// A call's response as the caller received it.
struct OnceAnswer
{
  bool answered_ = false; // false: the connection was closed
  bool late_ = false;     // later than the deadline plus kLateness
  int status_ = 0;
  int code_ = 0;
  bool replayed_ = false;
  bool retryAfter_ = false;
  std::string ran_;
  std::string requestId_;
  json body_;
};

inline HttpRequest KeyedCall(const std::string& aKey,
                             std::chrono::milliseconds aDeadline,
                             const std::string& aBody = {})
{
  HttpRequest request =
    BoardRequest("POST", "/stamp", aBody.empty() ? "stamp " + aKey : aBody);
  request.fields_.push_back({ "Idempotency-Key", aKey });
  request.fields_.push_back(
    { "X-Deadline-Ms", std::to_string(aDeadline.count()) });
  return request;
}

inline OnceAnswer CallOnce(
  std::uint16_t aPort,
  const std::string& aKey,
  std::chrono::milliseconds aDeadline = std::chrono::seconds(5),
  const std::string& aBody = {})
{
  const TimePoint begin = TimerService::Now();
  const auto response = Send(aPort,
                             KeyedCall(aKey, aDeadline, aBody),
                             aDeadline + std::chrono::seconds(10));
  OnceAnswer answer;
  answer.late_ = TimerService::Now() - begin > aDeadline + kLateness;
  if (!response) {
    return answer;
  }
  answer.answered_ = true;
  answer.status_ = response.value().status_;
  answer.code_ = ErrorResponseCode(response.value());
  answer.replayed_ = !response.value().Field("Idempotency-Replayed").empty();
  answer.retryAfter_ = !response.value().Field("Retry-After").empty();
  answer.requestId_ = std::string(response.value().Field("X-Request-Id"));
  answer.body_ = json::parse(response.value().body_, nullptr, false);
  if (answer.code_ != 0) {
    answer.ran_ = answer.body_["error"].value("ran", "");
    answer.requestId_ = answer.body_["error"].value("request_id", "");
  }
  return answer;
}

// Returns how often the service ran the call with a key.
inline int RunsOf(Fake& aService, const std::string& aKey)
{
  return aService.Stats()["runs"].value(aKey, 0);
}

// Returns the number of at-most-once records in the store.
inline std::size_t RecordsIn(Fake& aStore)
{
  const auto response =
    Send(aStore.Port(),
         MakeRequest(std::string("/apis/gooseberrylift.dev/v1/") + kOnceKind));
  std::size_t count = 0;
  if (response) {
    const json list = json::parse(response.value().body_, nullptr, false);
    for (const json& item : list.value("items", json::array())) {
      count += item["spec"].value("records", json::object()).size();
    }
  }
  return count;
}

} // namespace gooseberrylift::test

#endif // GOOSEBERRYLIFT_TEST_INTEGRATION_ONCE_CALLS_H_
