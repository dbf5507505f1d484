#include "soak-process.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

#include "harness.h"

namespace gooseberrylift::test {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t kLogTailBytes = 4'000;
constexpr milliseconds kReaderPoll{ 20 };

// The end for the host comes second. Neither is inherited unless duplicated.
std::array<int, 2> OpenChannel(LogChannel aChannel)
{
  std::array<int, 2> ends{ -1, -1 };
  if (aChannel == LogChannel::kPipe) {
    (void)::pipe2(ends.data(), O_CLOEXEC);
  } else {
    (void)::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends.data());
  }
  return ends;
}

int Spawn(const std::string& aSettingsPath, int aLog)
{
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_adddup2(&actions, aLog, STDOUT_FILENO);
  ::posix_spawn_file_actions_adddup2(&actions, aLog, STDERR_FILENO);
  std::string program = PRODUCT_BINARY;
  std::string command = "serve";
  std::string variable = "GOOSEBERRYLIFT_SETTINGS=" + aSettingsPath;
  std::array<char*, 3> arguments{ program.data(), command.data(), nullptr };
  std::array<char*, 2> environment{ variable.data(), nullptr };
  int pid = -1;
  if (::posix_spawn(&pid,
                    program.c_str(),
                    &actions,
                    nullptr,
                    arguments.data(),
                    environment.data()) != 0) {
    pid = -1;
  }
  ::posix_spawn_file_actions_destroy(&actions);
  return pid;
}

} // namespace

SoakProcess::SoakProcess(const std::string& aSettingsPath, LogChannel aChannel)
{
  const std::array<int, 2> ends = OpenChannel(aChannel);
  pid_ = Spawn(aSettingsPath, ends[1]);
  ::close(ends[1]);
  reader_ = std::thread([this, descriptor = ends[0]] { ReadLog(descriptor); });
}

SoakProcess::~SoakProcess()
{
  if (!status_) {
    ::kill(pid_, SIGKILL);
    WaitForEnd(std::chrono::seconds(10));
  }
  done_ = true;
  reader_.join();
}

void SoakProcess::Signal(int aSignal)
{
  if (!status_) {
    ::kill(pid_, aSignal);
  }
}

void SoakProcess::Stop()
{
  stopped_ = true;
  Signal(SIGTERM);
}

bool SoakProcess::WaitUntilLoaded(milliseconds aLimit) const
{
  const std::string path = "/proc/" + std::to_string(pid_) + "/status";
  return WaitUntil(aLimit, [&path] {
    std::ifstream status(path);
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with("SigBlk:") || line.starts_with("SigCgt:")) {
        const auto signals = std::stoull(line.substr(7), nullptr, 16);
        if ((signals & 1) != 0) { // the bit of SIGHUP
          return true;
        }
      }
    }
    return false;
  });
}

bool SoakProcess::WaitForEnd(milliseconds aLimit)
{
  return WaitUntil(aLimit, [this] {
    int status = 0;
    if (!status_ && ::waitpid(pid_, &status, WNOHANG) == pid_) {
      status_ = status;
    }
    return status_.has_value();
  });
}

std::string SoakProcess::Fault() const
{
  if (!status_) {
    return {};
  }
  if (WIFSIGNALED(*status_)) {
    return "ended by signal " + std::to_string(WTERMSIG(*status_));
  }
  const int code = WEXITSTATUS(*status_);
  if (code != 0 || !stopped_) {
    return "ended by itself with exit status " + std::to_string(code);
  }
  return {};
}

std::string SoakProcess::LogTail() const
{
  const std::lock_guard lock(mutex_);
  return log_;
}

void SoakProcess::ReadLog(int aDescriptor)
{
  std::vector<char> buffer(65'536);
  while (!done_ && logReader_ != LogReader::kEnded) {
    pollfd readable{ .fd = aDescriptor, .events = POLLIN, .revents = 0 };
    const bool reads = logReader_ == LogReader::kReads;
    if (::poll(&readable, reads ? 1 : 0, kReaderPoll.count()) <= 0) {
      continue;
    }
    const ssize_t size = ::read(aDescriptor, buffer.data(), buffer.size());
    if (size <= 0) {
      break;
    }
    const std::lock_guard lock(mutex_);
    log_.append(buffer.data(), static_cast<std::size_t>(size));
    if (log_.size() > kLogTailBytes) {
      log_.erase(0, log_.size() - kLogTailBytes);
    }
  }
  ::close(aDescriptor);
}

} // namespace gooseberrylift::test
