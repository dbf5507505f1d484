#include "harness-process.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "harness.h"

namespace gooseberrylift::test {

namespace {

constexpr int kExecFailed = 127;

void SetNonBlocking(int aDescriptor, bool aOn)
{
  const int flags = ::fcntl(aDescriptor, F_GETFL);
  ::fcntl(aDescriptor, F_SETFL, aOn ? flags | O_NONBLOCK : flags & ~O_NONBLOCK);
}

// Gives the child a descriptor under a standard number, or none.
void Install(int aDescriptor, int aNumber)
{
  if (aDescriptor < 0) {
    ::close(aNumber);
  } else {
    ::dup2(aDescriptor, aNumber);
  }
}

[[noreturn]] void RunChild(const BareProcess::Options& aOptions,
                           char* const* aArguments)
{
  Install(aOptions.output_, STDOUT_FILENO);
  Install(aOptions.errors_, STDERR_FILENO);
  if (aOptions.fileSizeLimit_) {
    const rlimit limit{ .rlim_cur = *aOptions.fileSizeLimit_,
                        .rlim_max = *aOptions.fileSizeLimit_ };
    ::setrlimit(RLIMIT_FSIZE, &limit);
  }
  ::execv(PRODUCT_BINARY, aArguments);
  ::_exit(kExecFailed);
}

} // namespace

Descriptor::Descriptor(Descriptor&& aOther) noexcept
  : number_(std::exchange(aOther.number_, -1))
{
}

Descriptor& Descriptor::operator=(Descriptor&& aOther) noexcept
{
  std::swap(number_, aOther.number_);
  return *this;
}

void Descriptor::Close()
{
  if (number_ >= 0) {
    ::close(std::exchange(number_, -1));
  }
}

Channel Channel::Pipe()
{
  int ends[2] = { -1, -1 };
  (void)::pipe2(ends, O_CLOEXEC);
  return { .reader_ = Descriptor(ends[0]), .writer_ = Descriptor(ends[1]) };
}

Channel Channel::Sockets()
{
  int ends[2] = { -1, -1 };
  (void)::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends);
  const int least = 1; // the system takes its minimum instead
  ::setsockopt(ends[1], SOL_SOCKET, SO_SNDBUF, &least, sizeof(least));
  return { .reader_ = Descriptor(ends[0]), .writer_ = Descriptor(ends[1]) };
}

void Channel::Fill() const
{
  SetNonBlocking(writer_.Number(), true);
  for (std::size_t size : { 4096, 64, 1 }) {
    const std::string filler(size, '.');
    while (::write(writer_.Number(), filler.data(), size) > 0) {
    }
  }
  SetNonBlocking(writer_.Number(), false);
}

std::string Channel::Drain() const
{
  SetNonBlocking(reader_.Number(), true);
  std::string text;
  std::string part(1 << 16, '\0');
  ssize_t size = 0;
  while ((size = ::read(reader_.Number(), part.data(), part.size())) > 0) {
    text.append(part, 0, static_cast<std::size_t>(size));
  }
  return text;
}

BareProcess::BareProcess(const Options& aOptions)
{
  std::vector<std::string> words = { PRODUCT_BINARY };
  words.insert(
    words.end(), aOptions.arguments_.begin(), aOptions.arguments_.end());
  std::vector<char*> arguments;
  std::transform(words.begin(),
                 words.end(),
                 std::back_inserter(arguments),
                 [](std::string& aWord) { return aWord.data(); });
  arguments.push_back(nullptr);
  pid_ = ::fork();
  if (pid_ == 0) {
    RunChild(aOptions, arguments.data());
  }
}

BareProcess::~BareProcess()
{
  if (Runs()) {
    Signal(SIGKILL);
    WaitForExit(std::chrono::seconds(10));
  }
}

void BareProcess::Signal(int aSignal) const
{
  ::kill(pid_, aSignal);
}

int BareProcess::WaitForExit(std::chrono::milliseconds aLimit)
{
  WaitUntil(aLimit, [this] {
    int status = 0;
    if (!status_ && ::waitpid(pid_, &status, WNOHANG) == pid_) {
      status_ =
        WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status);
    }
    return status_.has_value();
  });
  return status_.value_or(-1);
}

std::uint16_t FreePort()
{
  const Descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  (void)::bind(socket.Number(), generic, size);
  ::getsockname(socket.Number(), generic, &size);
  return ntohs(address.sin_port);
}

} // namespace gooseberrylift::test
