#include "gooseberrylift/internal/gooseberrylift-host-memory.h"

#include <algorithm>

#include <malloc.h>
#include <sys/sysinfo.h>

#include "gooseberrylift/internal/gooseberrylift-log.h"

namespace gooseberrylift {

namespace {

// Blocks of this size or more are mapped each by itself. The pages of smaller
// ones, such as documents of the store, stay in use until Trim: to map or
// return them each time costs processor time.
constexpr int kMappedBytes = 256 * 1024;
constexpr int kTrimBytes = 4 * 1024 * 1024;

// The parts of the machine's memory for requests of callers, and for those of
// hosts and operators. The rest is for connections, state and answers.
constexpr std::uint64_t kCallersPart = 4;
constexpr std::uint64_t kHostsPart = 8;

constexpr std::chrono::seconds kCheckInterval{ 1 };
constexpr std::uint64_t kMinTrimmedBytes = 4 * 1024 * 1024;

std::uint64_t SystemMemory()
{
  struct sysinfo info
  {};
  if (::sysinfo(&info) != 0) {
    return UINT64_MAX;
  }
  return static_cast<std::uint64_t>(info.totalram) * info.mem_unit;
}

std::shared_ptr<SharedMemoryBudget> MakeBudget(std::uint64_t aBytes)
{
  return std::make_shared<SharedMemoryBudget>(
    MemoryBudget::Options{ .bytes_ = aBytes });
}

} // namespace

void PrepareAllocator()
{
  // The threshold rises by itself unless it is set.
  ::mallopt(M_MMAP_THRESHOLD, kMappedBytes);
  ::mallopt(M_TRIM_THRESHOLD, kTrimBytes);
}

HostMemory::HostMemory(Metrics& aMetrics, std::optional<std::uint64_t> aBytes)
  : metrics_(aMetrics)
  , callers_(MakeBudget(aBytes.value_or(SystemMemory()) / kCallersPart))
  , hosts_(MakeBudget(aBytes.value_or(SystemMemory()) / kHostsPart))
{
}

void HostMemory::SetLargest(std::uint64_t aBytes)
{
  callers_->SetLargest(aBytes);
  hosts_->SetLargest(aBytes);
}

void HostMemory::OnRefused(bool aGaveWay)
{
  ++(aGaveWay ? gaveWay_ : refused_);
  metrics_.Count("gooseberrylift_memory_refusals_total",
                 aGaveWay ? "gave_way=\"yes\"" : "gave_way=\"no\"");
}

std::function<void(const HttpRequest& aHead, bool aGaveWay)>
HostMemory::Recorder()
{
  return [this](const HttpRequest& /*aHead*/, bool aGaveWay) {
    OnRefused(aGaveWay);
  };
}

void HostMemory::Start(const boost::asio::any_io_executor& aExecutor)
{
  timer_ = TimerService::Every(kCheckInterval, aExecutor, [this] { Check(); });
}

void HostMemory::Check()
{
  LogRefusals();
  Trim();
}

void HostMemory::LogRefusals()
{
  const std::uint64_t refused = refused_.exchange(0);
  const std::uint64_t gaveWay = gaveWay_.exchange(0);
  if (refused + gaveWay > 0) {
    Log(LogEvent::kMemoryFull,
        { { "refused", refused },
          { "gave_way", gaveWay },
          { "callers_bytes", callers_->Used() },
          { "hosts_bytes", hosts_->Used() } });
  }
}

// Returns the pages of small bodies to the system once most of them are freed.
void HostMemory::Trim()
{
  const std::uint64_t peak = callers_->TakePeak() + hosts_->TakePeak();
  const std::uint64_t used = callers_->Used() + hosts_->Used();
  untrimmed_ = std::max(untrimmed_, peak);
  if (untrimmed_ - std::min(untrimmed_, used) >= kMinTrimmedBytes) {
    ::malloc_trim(0);
    untrimmed_ = used;
  }
}

} // namespace gooseberrylift
