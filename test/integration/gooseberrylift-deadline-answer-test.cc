// Tests how a host records a response whose deadline passes while its caller
// reads slowly.

#include "harness-gateway.h"

#include "harness-raw-connection.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;

namespace {

// More than the sockets between a host and its caller buffer.
constexpr std::size_t kBodyBytes = 7 * 1024 * 1024;

// The endpoint's response repeats the body.
std::string LargeRequest()
{
  return "POST /safe/a HTTP/1.1\r\nHost: house.example\r\n"
         "Authorization: Bearer team-key\r\n" +
         std::string(platform::kAttemptId) + ": at-1\r\n" +
         platform::kDeadlineMs +
         ": 1500\r\nContent-Length: " + std::to_string(kBodyBytes) +
         "\r\n\r\n" + std::string(kBodyBytes, 'x');
}

} // namespace

TEST_GROUP(DeadlineAnswerTest){};

// Guards against callers that are recorded as gone when their deadline passes.
TEST(DeadlineAnswerTest, RecordsADeadlineThatPassesDuringAWrite)
{
  GatewayDeployment deployment({});
  RawConnection caller(deployment.At(0).Port());
  CHECK_TRUE(caller.Write(LargeRequest()));
  const std::string failed =
    deployment.At(0).Handle().WaitForLine("\"event\":1301", 5s);
  STRCMP_CONTAINS("\"code\":63", failed.c_str());
  STRCMP_CONTAINS("\"status\":504", failed.c_str());
  STRCMP_CONTAINS("\"ran\":\"unknown\"", failed.c_str());
}
