// A host with the limits of a small machine, and crowds of clients that do not
// behave.

#ifndef GOOSEBERRYLIFT_TEST_CROWD_CROWD_HOST_H_
#define GOOSEBERRYLIFT_TEST_CROWD_CROWD_HOST_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "harness-crowd.h"
#include "harness.h"

namespace gooseberrylift::test {

constexpr std::uint64_t kMiB = 1024 * 1024;
constexpr std::uint64_t kMachineBytes = 64 * kMiB; // resident memory of a host
constexpr std::size_t kMachineDescriptors = 320;
constexpr std::uint64_t kMaxBodyBytes = kMiB;
constexpr std::uint64_t kMaxHeadBytes = 16 * 1024;
constexpr std::size_t kFewClients = 8; // each sends without end
constexpr std::size_t kManyClients = 96;
constexpr std::uint64_t kEndlessBytes = 32 * kMiB;
constexpr std::chrono::seconds kSendLimit{ 20 };

/// Returns a route document with the limits of callers' requests.
json WithLimits(json aDocument);

/// Starts a host with the limits of the machine.
std::unique_ptr<Process> StartCrowdedHost(json aSettings);

/// Returns a port of a host that has started, by its name in event 1000.
std::uint16_t PortOf(Process& aHost, const std::string& aName);

/// Checks that a host lives, and has stayed within its machine's memory and
/// descriptors.
void CheckWithinMachine(Process& aHost);

/// Sends a request until it is served, since a host may refuse it for a while.
/// @return false if it isn't served
bool IsServed(std::uint16_t aPort, const HttpRequest& aRequest);

/// Formats the head of a POST request that ends before its last empty line.
std::string PostHead(const std::string& aPath, const std::string& aFields);

/// A request whose body has a length. The last aMissing bytes are not sent.
CrowdScript SizedBody(const std::string& aHead,
                      std::uint64_t aBytes,
                      std::uint64_t aMissing);

/// A request whose whole body is aBegin, aBytes of a repeated text, and aEnd.
CrowdScript RepeatedText(const std::string& aHead,
                         const std::string& aBegin,
                         const std::string& aUnit,
                         std::uint64_t aBytes,
                         const std::string& aEnd);

/// A request whose body is sent in chunks of 64 KiB.
/// @param aEnd sent after the last whole chunk
CrowdScript ChunkedBody(const std::string& aHead,
                        std::uint64_t aBytes,
                        const std::string& aEnd);

/// A request that never ends within its trailers.
/// @param aUnit repeated without end
CrowdScript EndlessTrailers(const std::string& aHead, const std::string& aUnit);

/// A request that never ends within the size line of its first chunk.
/// @param aBegin the line's begin
CrowdScript EndlessChunkLine(const std::string& aHead,
                             const std::string& aBegin,
                             const std::string& aUnit);

} // namespace gooseberrylift::test

#endif // GOOSEBERRYLIFT_TEST_CROWD_CROWD_HOST_H_
