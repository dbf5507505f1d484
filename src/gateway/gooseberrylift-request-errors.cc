#include "gooseberrylift-request-errors.h"

#include <random>

namespace gooseberrylift {

using std::chrono::milliseconds;

namespace {

// An endpoint that crashed or was full is replaced by others within some
// hundred ms; callers come back over a second.
constexpr milliseconds kRetrySoonest{ 200 };
constexpr milliseconds kRetrySpread{ 600 };

} // namespace

std::uint64_t Draw()
{
  thread_local std::mt19937_64 sGenerator{ std::random_device{}() };
  return sGenerator();
}

milliseconds RetrySoon()
{
  return kRetrySoonest + milliseconds(Draw() % static_cast<std::uint64_t>(
                                                 kRetrySpread.count()));
}

Error Broken(std::string aText)
{
  return { .code_ = ResultCode::kEndpointBroken,
           .text_ = std::move(aText),
           .ran_ = RanState::kUnknown };
}

} // namespace gooseberrylift
