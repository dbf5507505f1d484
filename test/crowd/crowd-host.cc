#include "crowd-host.h"

#include <thread>

#include <CppUTest/TestHarness.h>

namespace gooseberrylift::test {

using namespace std::chrono_literals;

namespace {

constexpr auto kServedLimit = 20s;
constexpr auto kReturnDelay = 200ms;
constexpr auto kSteadyTime = 1s;
constexpr auto kSteadyLimit = 20s;

// Waits until a process has taken what it was sent: its memory no longer grows.
std::uint64_t WaitForSteadyPeak(int aProcess)
{
  std::uint64_t peak = PeakMemory(aProcess);
  auto changedAt = std::chrono::steady_clock::now();
  WaitUntil(kSteadyLimit, [&] {
    const auto now = std::chrono::steady_clock::now();
    const std::uint64_t current = PeakMemory(aProcess);
    changedAt = current == peak ? changedAt : now;
    peak = current;
    return now - changedAt >= kSteadyTime;
  });
  return peak;
}

} // namespace

json WithLimits(json aDocument)
{
  aDocument["version"] = 2;
  aDocument["limits"] = { { "maxHeaderBytes", kMaxHeadBytes },
                          { "maxBodyBytes", kMaxBodyBytes },
                          { "headerTimeoutMs", 5000 },
                          { "idleTimeoutMs", 60'000 } };
  return aDocument;
}

std::unique_ptr<Process> StartCrowdedHost(json aSettings)
{
  aSettings["host"]["memory_mb"] = kMachineBytes / kMiB;
  return std::make_unique<Process>(
    "/bin/sh",
    std::vector<std::string>{ "-c",
                              "ulimit -n " +
                                std::to_string(kMachineDescriptors) +
                                " && exec \"$0\" serve --settings \"$1\"",
                              PRODUCT_BINARY,
                              aSettings.dump() });
}

std::uint16_t PortOf(Process& aHost, const std::string& aName)
{
  const json started =
    json::parse(aHost.WaitForLine("\"event\":1000", 10s), nullptr, false);
  return started.is_object() ? started.value(aName, std::uint16_t{ 0 }) : 0;
}

void CheckWithinMachine(Process& aHost)
{
  const std::uint64_t peak = WaitForSteadyPeak(aHost.Pid());
  CHECK_EQUAL(-1, aHost.WaitForExit(0ms));
  CHECK_TRUE(peak > 0);
  CHECK_COMPARE(peak / kMiB, <, kMachineBytes / kMiB);
  CHECK_COMPARE(CountDescriptors(aHost.Pid()), <, kMachineDescriptors);
}

bool IsServed(std::uint16_t aPort, const HttpRequest& aRequest)
{
  return WaitUntil(kServedLimit, [&] {
    const auto answer = Send(aPort, aRequest, 5s);
    const bool served = answer && answer.value().status_ == 200;
    if (!served) {
      std::this_thread::sleep_for(kReturnDelay);
    }
    return served;
  });
}

std::string PostHead(const std::string& aPath, const std::string& aFields)
{
  return "POST " + aPath + " HTTP/1.1\r\n" + aFields;
}

CrowdScript SizedBody(const std::string& aHead,
                      std::uint64_t aBytes,
                      std::uint64_t aMissing)
{
  return { .begin_ =
             aHead + "Content-Length: " + std::to_string(aBytes) + "\r\n\r\n",
           .unit_ = "a",
           .unitBytes_ = aBytes - aMissing };
}

CrowdScript RepeatedText(const std::string& aHead,
                         const std::string& aBegin,
                         const std::string& aUnit,
                         std::uint64_t aBytes,
                         const std::string& aEnd)
{
  const std::uint64_t length = aBegin.size() + aBytes + aEnd.size();
  return { .begin_ = aHead + "Content-Length: " + std::to_string(length) +
                     "\r\n\r\n" + aBegin,
           .unit_ = aUnit,
           .unitBytes_ = aBytes,
           .end_ = aEnd };
}

CrowdScript ChunkedBody(const std::string& aHead,
                        std::uint64_t aBytes,
                        const std::string& aEnd)
{
  constexpr std::uint64_t kChunkBytes = 64 * 1024;
  const std::string chunk =
    "10000\r\n" + std::string(kChunkBytes, 'a') + "\r\n";
  return { .begin_ = aHead + "Transfer-Encoding: chunked\r\n\r\n",
           .unit_ = chunk,
           .unitBytes_ = aBytes / kChunkBytes * chunk.size(),
           .end_ = aEnd };
}

CrowdScript EndlessTrailers(const std::string& aHead, const std::string& aUnit)
{
  return { .begin_ = aHead + "Transfer-Encoding: chunked\r\n\r\n"
                             "5\r\nhello\r\n0\r\nX-Trailer: ",
           .unit_ = aUnit,
           .unitBytes_ = kEndlessBytes };
}

CrowdScript EndlessChunkLine(const std::string& aHead,
                             const std::string& aBegin,
                             const std::string& aUnit)
{
  return { .begin_ = aHead + "Transfer-Encoding: chunked\r\n\r\n" + aBegin,
           .unit_ = aUnit,
           .unitBytes_ = kEndlessBytes };
}

} // namespace gooseberrylift::test
