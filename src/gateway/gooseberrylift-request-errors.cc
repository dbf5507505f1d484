#include "gooseberrylift-request-errors.h"

#include <random>

namespace gooseberrylift {

using std::chrono::milliseconds;

namespace {

// Other endpoints replace one that crashed or is full within a few hundred
// milliseconds. Retry delays of 200 to 800 ms spread the callers accordingly.
constexpr milliseconds kMinRetryDelay{ 200 };
constexpr milliseconds kRetryDelaySpread{ 600 };

} // namespace

std::uint64_t RandomNumber()
{
  thread_local std::mt19937_64 sGenerator{ std::random_device{}() };
  return sGenerator();
}

milliseconds RandomRetryDelay()
{
  return kMinRetryDelay +
         milliseconds(RandomNumber() %
                      static_cast<std::uint64_t>(kRetryDelaySpread.count()));
}

Error MakeBrokenError(std::string aText)
{
  return { .code_ = ResultCode::kEndpointBroken,
           .text_ = std::move(aText),
           .ran_ = RanState::kUnknown };
}

Error MakeOverlongError(std::string aText)
{
  return { .code_ = ResultCode::kEndpointOverlong,
           .text_ = std::move(aText),
           .ran_ = RanState::kUnknown };
}

Error MakeStallError()
{
  return { .code_ = ResultCode::kEndpointSilent, .ran_ = RanState::kUnknown };
}

} // namespace gooseberrylift
