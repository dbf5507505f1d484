#include "harness-crowd.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace gooseberrylift::test {

using namespace std::chrono_literals;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t kPieceBytes = 64 * 1024;
constexpr auto kQuietTime = 1s;
constexpr auto kPollInterval = 2ms;

Descriptor Connect(std::uint16_t aPort)
{
  Descriptor descriptor(
    ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  sockaddr_in address{ .sin_family = AF_INET, .sin_port = htons(aPort) };
  ::inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
  // A refused connection shows when something is sent.
  (void)::connect(descriptor.Number(),
                  reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address));
  return descriptor;
}

bool WouldBlock(int aError)
{
  return aError == EAGAIN || aError == ENOTCONN || aError == EINPROGRESS;
}

// Returns a field of /proc/PID/status that is given in KiB, in bytes.
std::uint64_t StatusField(int aProcess, const std::string& aName)
{
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/status");
  std::string word;
  while (file >> word) {
    if (word == aName) {
      std::uint64_t kib = 0;
      file >> kib;
      return kib * 1024;
    }
  }
  return 0;
}

} // namespace

Crowd::Crowd(std::uint16_t aPort, std::size_t aClients, CrowdScript aScript)
  : script_(std::move(aScript))
{
  while (!script_.unit_.empty() && units_.size() < 2 * kPieceBytes) {
    units_ += script_.unit_;
  }
  clients_.resize(aClients);
  for (Client& client : clients_) {
    client.socket_ = Connect(aPort);
  }
}

std::uint64_t Crowd::ScriptBytes() const
{
  return script_.begin_.size() + script_.unitBytes_ + script_.end_.size();
}

bool Crowd::IsDone(const Client& aClient) const
{
  return aClient.closed_ || aClient.sent_ >= ScriptBytes() * script_.times_;
}

// Returns the bytes that follow a number of sent ones; not all of them.
std::string Crowd::PieceAt(std::uint64_t aSent) const
{
  std::uint64_t at = aSent % ScriptBytes();
  if (at < script_.begin_.size()) {
    return script_.begin_.substr(at);
  }
  at -= script_.begin_.size();
  if (at < script_.unitBytes_) {
    const std::size_t offset = at % script_.unit_.size();
    return units_.substr(
      offset, std::min<std::uint64_t>(kPieceBytes, script_.unitBytes_ - at));
  }
  at -= script_.unitBytes_;
  return script_.endPiece_ == 0 ? script_.end_.substr(at)
                                : script_.end_.substr(at, script_.endPiece_);
}

std::uint64_t Crowd::SendSome(Client& aClient)
{
  std::uint64_t sent = 0;
  while (!IsDone(aClient) && sent < 4 * kPieceBytes &&
         steady_clock::now() >= aClient.pausedUntil_) {
    const std::string piece = PieceAt(aClient.sent_);
    const ssize_t size = ::send(
      aClient.socket_.Number(), piece.data(), piece.size(), MSG_NOSIGNAL);
    if (size < 0) {
      aClient.closed_ = !WouldBlock(errno);
      return sent;
    }
    sent += static_cast<std::uint64_t>(size);
    aClient.sent_ += static_cast<std::uint64_t>(size);
    const bool isInEnd = aClient.sent_ % ScriptBytes() >=
                         script_.begin_.size() + script_.unitBytes_;
    if (script_.endPiece_ > 0 && isInEnd) {
      aClient.pausedUntil_ = steady_clock::now() + script_.endPause_;
    }
  }
  return sent;
}

void Crowd::ReadSome(Client& aClient)
{
  std::array<char, 16'384> buffer{};
  ssize_t size = 1;
  while (size > 0) {
    size = ::recv(aClient.socket_.Number(), buffer.data(), buffer.size(), 0);
  }
  aClient.closed_ = aClient.closed_ || size == 0 || !WouldBlock(errno);
}

std::uint64_t Crowd::Send(std::chrono::milliseconds aLimit)
{
  const auto begin = steady_clock::now();
  auto lastProgress = begin;
  std::uint64_t total = 0;
  bool done = false;
  while (!done) {
    std::uint64_t sent = 0;
    done = true;
    for (Client& client : clients_) {
      sent += SendSome(client);
      if (script_.reads_ && !client.closed_) {
        ReadSome(client);
      }
      done = done && IsDone(client);
    }
    const auto now = steady_clock::now();
    total += sent;
    lastProgress = sent > 0 ? now : lastProgress;
    done = done || now - begin >= aLimit || now - lastProgress >= kQuietTime;
    if (sent == 0) {
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  return total;
}

std::size_t Crowd::CountOpen() const
{
  std::size_t open = 0;
  for (const Client& client : clients_) {
    char byte = 0;
    const ssize_t size =
      ::recv(client.socket_.Number(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool isOpen = size > 0 || (size < 0 && WouldBlock(errno));
    open += !client.closed_ && isOpen ? 1 : 0;
  }
  return open;
}

void ResetPeakMemory(int aProcess)
{
  std::ofstream("/proc/" + std::to_string(aProcess) + "/clear_refs") << "5";
}

std::uint64_t PeakMemory(int aProcess)
{
  return StatusField(aProcess, "VmHWM:");
}

std::uint64_t UnreadBytes(std::uint16_t aPort)
{
  constexpr int kBase = 16;
  std::ifstream file("/proc/net/tcp");
  std::string line;
  std::getline(file, line); // the header
  std::uint64_t bytes = 0;
  while (std::getline(file, line)) {
    // slot, local address, remote address, state, queues
    std::istringstream words(line);
    std::string slot;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    words >> slot >> local >> remote >> state >> queues;
    const auto port =
      std::stoul(local.substr(local.find(':') + 1), nullptr, kBase);
    bytes +=
      port == aPort
        ? std::stoull(queues.substr(queues.find(':') + 1), nullptr, kBase)
        : 0;
  }
  return bytes;
}

std::size_t CountDescriptors(int aProcess)
{
  const std::filesystem::directory_iterator descriptors(
    "/proc/" + std::to_string(aProcess) + "/fd");
  return static_cast<std::size_t>(
    std::distance(begin(descriptors), end(descriptors)));
}

} // namespace gooseberrylift::test
