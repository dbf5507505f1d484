// The clients, engines and the platform's store of the scripts in review/4 to
// review/8, and the steps of each script. Starts the project's host as a
// process of its own.
//
//   stand-ins-2 CASE RECORD
//
// Returns 0 if the rule held, 1 if it was broken, 2 if the script could not
// run.

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <initializer_list>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr const char* kHostProgram = "target/gooseberrylift";
constexpr const char* kRouteHost = "ficu95.example";
constexpr const char* kKey = "n2ctnfzs989anu6wsjnb";
constexpr const char* kTenant = "hule930";
constexpr const char* kWeightVersion = "1"; // of all engines
// Of a request for a long answer.
constexpr const char* kLongStreamFields =
  "\r\nGooseberrylift-Model: m\r\nGooseberrylift-Token-Usage: 1000,9000"
  "\r\nContent-Length: 6\r\n\r\n";
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;
constexpr unsigned kLimitS = 100; // a script ends after this time in any case

// Thrown if a script can't run.
struct Failure
{
  std::string text_;
};

// ---------------------------------------------------------------- the record

// Writes what was sent, answered and run, with the time in milliseconds.
class Record
{
public:
  void Open(const std::string& aPath) { file_.open(aPath, std::ios::trunc); }

  void Write(const std::string& aLine)
  {
    const std::lock_guard lock(mutex_);
    const auto now =
      std::chrono::duration_cast<milliseconds>(Clock::now() - start_);
    file_ << now.count() << " " << Printable(aLine) << std::endl;
  }

  static std::string Printable(const std::string& aText)
  {
    std::string text;
    for (const char character : aText) {
      const auto byte = static_cast<unsigned char>(character);
      if (byte >= ' ' && byte < 0x7f) {
        text += character;
        continue;
      }
      std::array<char, 5> code{};
      std::snprintf(code.data(), code.size(), "\\x%02x", byte);
      text += code.data();
    }
    return text;
  }

private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_ = Clock::now();
};

Record& TheRecord()
{
  static Record sRecord;
  return sRecord;
}

void Note(const std::string& aLine)
{
  TheRecord().Write(aLine);
}

// ------------------------------------------------------------------ messages

using Fields = std::vector<std::pair<std::string, std::string>>;

std::string ToLower(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char aCharacter) {
      return static_cast<char>(std::tolower(aCharacter));
    });
  return aText;
}

// Returns texts one after the other.
std::string Join(std::initializer_list<std::string_view> aTexts)
{
  std::string all;
  for (const std::string_view text : aTexts) {
    all += text;
  }
  return all;
}

struct Message
{
  std::string start_;
  Fields fields_;
  std::string body_;

  // Returns the first field of a name, as most servers do.
  std::string Field(const std::string& aName) const
  {
    for (const auto& [name, value] : fields_) {
      if (ToLower(name) == ToLower(aName)) {
        return value;
      }
    }
    return {};
  }

  std::string Word(int aNumber) const
  {
    std::size_t begin = 0;
    for (int word = 0; word < aNumber; ++word) {
      begin = start_.find(' ', begin) + 1;
    }
    return start_.substr(begin, start_.find(' ', begin) - begin);
  }
};

// A connection with blocking calls.
class Wire
{
public:
  explicit Wire(int aDescriptor)
    : descriptor_(aDescriptor)
  {
    const int on = 1;
    ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Wire() { Close(); }
  Wire(const Wire&) = delete;
  Wire& operator=(const Wire&) = delete;

  void Close()
  {
    if (descriptor_ >= 0) {
      ::close(std::exchange(descriptor_, -1));
    }
  }

  void SetTimeout(milliseconds aTimeout) const
  {
    const timeval time{ .tv_sec = aTimeout.count() / 1000,
                        .tv_usec = (aTimeout.count() % 1000) * 1000 };
    ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
  }

  bool Write(const std::string& aText) const
  {
    std::size_t done = 0;
    while (done < aText.size()) {
      const ssize_t sent = ::send(
        descriptor_, aText.data() + done, aText.size() - done, MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      done += static_cast<std::size_t>(sent);
    }
    return true;
  }

  // Returns a line without its end; nothing if the connection ends first.
  std::optional<std::string> ReadLine()
  {
    while (buffer_.find('\n') == std::string::npos) {
      if (!Fill()) {
        return std::nullopt;
      }
    }
    std::string line = buffer_.substr(0, buffer_.find('\n'));
    buffer_.erase(0, line.size() + 1);
    if (line.ends_with('\r')) {
      line.pop_back();
    }
    return line;
  }

  bool Read(std::size_t aSize, std::string& aText)
  {
    while (buffer_.size() < aSize) {
      if (!Fill()) {
        return false;
      }
    }
    aText += buffer_.substr(0, aSize);
    buffer_.erase(0, aSize);
    return true;
  }

  // Returns what arrives until the connection ends or is silent.
  std::string ReadAll()
  {
    while (Fill()) {
    }
    return std::exchange(buffer_, {});
  }

  // How the connection ended, as far as it is known.
  const std::string& End() const { return end_; }

private:
  bool Fill()
  {
    std::array<char, 16384> bytes{};
    const ssize_t size = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
    if (size <= 0) {
      end_ = size == 0 ? "closed" : std::strerror(errno);
      return false;
    }
    buffer_.append(bytes.data(), static_cast<std::size_t>(size));
    return true;
  }

  int descriptor_;
  std::string buffer_;
  std::string end_;
};

std::optional<Message> ReadHead(Wire& aWire)
{
  Message message;
  auto line = aWire.ReadLine();
  if (!line) {
    return std::nullopt;
  }
  message.start_ = *line;
  while (true) {
    line = aWire.ReadLine();
    if (!line) {
      return std::nullopt;
    }
    if (line->empty()) {
      return message;
    }
    const std::size_t colon = line->find(':');
    if (colon == std::string::npos) {
      return std::nullopt;
    }
    std::size_t begin = colon + 1;
    while (begin < line->size() && line->at(begin) == ' ') {
      ++begin;
    }
    message.fields_.emplace_back(line->substr(0, colon), line->substr(begin));
  }
}

bool ReadChunks(Wire& aWire, std::string& aBody)
{
  while (true) {
    const auto line = aWire.ReadLine();
    if (!line) {
      return false;
    }
    const std::size_t size = std::strtoul(line->c_str(), nullptr, 16);
    if (size == 0) {
      return aWire.ReadLine().has_value();
    }
    if (!aWire.Read(size, aBody) || !aWire.ReadLine()) {
      return false;
    }
  }
}

// Reads a body that has a length or chunks.
bool ReadBody(Wire& aWire, Message& aMessage)
{
  if (ToLower(aMessage.Field("Transfer-Encoding")) == "chunked") {
    return ReadChunks(aWire, aMessage.body_);
  }
  const std::string length = aMessage.Field("Content-Length");
  return length.empty() ||
         aWire.Read(std::strtoul(length.c_str(), nullptr, 10), aMessage.body_);
}

std::optional<Message> ReadMessage(Wire& aWire)
{
  auto message = ReadHead(aWire);
  if (message && !ReadBody(aWire, *message)) {
    return std::nullopt;
  }
  return message;
}

// -------------------------------------------------------------------- sockets

sockaddr_in Loopback(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Returns a listening socket and its port.
std::pair<int, int> Listen(int aPort)
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Loopback(aPort);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (::bind(descriptor, generic, size) != 0 ||
      ::listen(descriptor, SOMAXCONN) != 0 ||
      ::getsockname(descriptor, generic, &size) != 0) {
    throw Failure{ "can't listen" };
  }
  return { descriptor, ntohs(address.sin_port) };
}

int FreePort()
{
  const auto [descriptor, port] = Listen(0);
  ::close(descriptor);
  return port;
}

std::unique_ptr<Wire> Connect(int aPort)
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(aPort);
  if (::connect(descriptor,
                reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) != 0) {
    ::close(descriptor);
    return nullptr;
  }
  return std::make_unique<Wire>(descriptor);
}

using Handler = std::function<bool(Wire& aWire, const Message& aRequest)>;

void ServeConnection(int aDescriptor, const Handler& aHandler)
{
  Wire wire(aDescriptor);
  bool open = true;
  while (open) {
    const auto request = ReadMessage(wire);
    open = request && aHandler(wire, *request);
  }
}

// Serves each connection in a thread of its own until the process ends.
void Serve(int aDescriptor, Handler aHandler)
{
  std::thread([aDescriptor, handler = std::move(aHandler)] {
    while (true) {
      const int accepted =
        ::accept4(aDescriptor, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted >= 0) {
        std::thread(ServeConnection, accepted, handler).detach();
      }
    }
  }).detach();
}

// --------------------------------------------------------- the platform's
// store

// Keeps objects as PROTOCOL.md says, as far as hosts and these scripts use
// them: lists, reads, creation, replacement and removal.
class Store
{
public:
  Store()
  {
    const auto [descriptor, port] = Listen(0);
    port_ = port;
    Serve(descriptor, [this](Wire& aWire, const Message& aRequest) {
      return Handle(aWire, aRequest);
    });
  }

  int Port() const { return port_; }

  void Put(const std::string& aKind, const std::string& aName, json aSpec)
  {
    const std::lock_guard lock(mutex_);
    Write(aKind, aName, std::move(aSpec));
  }

  // Writes the entries of all engines again, as their heartbeats do.
  void Beat()
  {
    const std::lock_guard lock(mutex_);
    for (auto& [name, object] : objects_["servers"]) {
      object["metadata"]["revision"] = ++revision_;
      object["spec"]["sequence"] = object["spec"]["sequence"].get<int>() + 1;
    }
  }

private:
  json& Write(const std::string& aKind, const std::string& aName, json aSpec)
  {
    json& object = objects_[aKind][aName];
    object = { { "metadata",
                 { { "name", aName },
                   { "revision", ++revision_ },
                   { "created", 1 },
                   { "finalizers", json::array() },
                   { "deletionPending", false } } },
               { "spec", std::move(aSpec) },
               { "status", json::object() } };
    return object;
  }

  static bool Answer(const Wire& aWire, int aStatus, const json& aBody)
  {
    const std::string body = aBody.dump();
    return aWire.Write("HTTP/1.1 " + std::to_string(aStatus) +
                       " -\r\nContent-Type: application/json\r\n"
                       "Content-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  bool Handle(const Wire& aWire, const Message& aRequest)
  {
    const std::string method = aRequest.Word(0);
    std::string path = aRequest.Word(1);
    path = path.substr(0, path.find('?'));
    const std::string prefix = "/-/objects/";
    if (!path.starts_with(prefix)) {
      return Answer(aWire, 404, json::object());
    }
    path.erase(0, prefix.size());
    const std::size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    std::string name =
      slash == std::string::npos ? std::string() : path.substr(slash + 1);
    const std::lock_guard lock(mutex_);
    auto& objects = objects_[kind];
    if (method == "GET" && name.empty()) {
      json items = json::array();
      for (const auto& [key, object] : objects) {
        items.push_back(object);
      }
      return Answer(
        aWire,
        200,
        { { "items", items }, { "hasMore", false }, { "asOf", revision_ } });
    }
    const json body = json::parse(aRequest.body_, nullptr, false);
    if (method == "POST") {
      name = body.at("metadata").at("name");
    }
    const auto found = objects.find(name);
    const bool exists = found != objects.end();
    if (method == "POST" && !exists) {
      return Answer(aWire, 201, Write(kind, name, body.at("spec")));
    }
    if (!exists) {
      return Answer(aWire, 404, json::object());
    }
    if (method == "GET") {
      return Answer(aWire, 200, found->second);
    }
    if (method == "DELETE") {
      objects.erase(found);
      ++revision_;
      return Answer(aWire, 200, json::object());
    }
    const json& current = found->second.at("metadata").at("revision");
    if (method == "POST" ||
        body.at("metadata").value("revision", current) != current) {
      return Answer(aWire, 409, found->second);
    }
    return Answer(aWire, 200, Write(kind, name, body.at("spec")));
  }

  std::mutex mutex_;
  std::map<std::string, std::map<std::string, json>> objects_;
  std::uint64_t revision_ = 10;
  int port_ = 0;
};

// -------------------------------------------------------------------- engines

// What an engine has run.
struct Run
{
  std::string engine_;
  Message request_;
};

class Runs
{
public:
  void Add(const std::string& aEngine, const Message& aRequest)
  {
    Note("ran at " + aEngine + ": " + aRequest.start_ + ", id " +
         aRequest.Field("Gooseberrylift-Attempt-Id") + ", tenant '" +
         aRequest.Field("Gooseberrylift-Tenant") + "', body of " +
         std::to_string(aRequest.body_.size()) + " bytes");
    const std::lock_guard lock(mutex_);
    runs_.push_back({ aEngine, aRequest });
  }

  std::vector<Run> All()
  {
    const std::lock_guard lock(mutex_);
    return runs_;
  }

  bool Has(const std::string& aId)
  {
    const auto runs = All();
    return std::any_of(runs.begin(), runs.end(), [&aId](const Run& aRun) {
      return aRun.request_.Field("Gooseberrylift-Attempt-Id") == aId;
    });
  }

private:
  std::mutex mutex_;
  std::vector<Run> runs_;
};

std::string AnswerHead(const std::string& aEngine,
                       const Message& aRequest,
                       const std::string& aFields)
{
  return "HTTP/1.1 200 OK\r\nGooseberrylift-Attempt-Id: " +
         aRequest.Field("Gooseberrylift-Attempt-Id") +
         "\r\nGooseberrylift-Response-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
         "Gooseberrylift-Instance-Id: " +
         aEngine + "\r\n" + aFields + "\r\n";
}

std::string WithLength(const std::string& aBody)
{
  return "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
}

// Answers what concerns the engine itself: reports, orders and requests that
// are meant for another one. Returns nothing for a request to run.
std::optional<std::string> AnswerOfItsOwn(const std::string& aEngine,
                                          int aPort,
                                          const Message& aRequest)
{
  const auto simple = [](const std::string& aStatus, const std::string& aBody) {
    return "HTTP/1.1 " + aStatus + "\r\nContent-Type: application/json\r\n" +
           WithLength(aBody) + "\r\n" + aBody;
  };
  const std::string path = aRequest.Word(1);
  if (path == "/-/report") {
    return simple("200 OK",
                  R"({"phase":"mixed","models":[],"busy":false,"sequence":1,)"
                  R"("waiting":0,"running":0,"kvUsed":0,"kvTotal":450000,)"
                  R"("handles":0,"tickets":[]})");
  }
  if (path == "/-/order") {
    return simple("200 OK", R"({"free":400000})");
  }
  if (path == "/healthz") {
    return "HTTP/1.1 200 OK\r\nGooseberrylift-Instance-Id: " + aEngine +
           "\r\nContent-Length: 0\r\n\r\n";
  }
  const std::string instance = aRequest.Field("Gooseberrylift-Expect-Instance");
  const std::string version = aRequest.Field("Gooseberrylift-Expect-Version");
  const bool isOther = (!instance.empty() && instance != aEngine) ||
                       (!version.empty() && version != kWeightVersion);
  if (isOther) {
    return "HTTP/1.1 421 -\r\nGooseberrylift-Attempt-Id: " +
           aRequest.Field("Gooseberrylift-Attempt-Id") +
           "\r\nGooseberrylift-Not-Executed: 1\r\nAt-Server: 127.0.0.1:" +
           std::to_string(aPort) +
           "\r\nGooseberrylift-Instance-Id: " + aEngine +
           "\r\nContent-Length: 0\r\n\r\n";
  }
  return std::nullopt;
}

std::string BodyOf(const std::string& aId)
{
  std::string body = "answer to " + aId + " ";
  while (body.size() < 800) {
    body += body.size() % 64 == 0 ? '\n' : '.';
  }
  return body;
}

// Writes a stream of 25 s, an event each 200 ms, that stops at the deadline
// that the engine was given.
bool WriteLongStream(const Wire& aWire,
                     const std::string& aEngine,
                     const Message& aRequest)
{
  constexpr int kEvents = 125;
  const auto begin = Clock::now();
  const std::string given = aRequest.Field("Gooseberrylift-Deadline-Ms");
  const milliseconds deadline(std::strtoll(given.c_str(), nullptr, 10));
  Note("deadline that " + aEngine + " was given for " +
       aRequest.Field("Gooseberrylift-Attempt-Id") + ": " + given + " ms");
  bool open = aWire.Write(AnswerHead(
    aEngine,
    aRequest,
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
  for (int number = 1;
       open && number <= kEvents && Clock::now() - begin < deadline;
       ++number) {
    const std::string event =
      "id: " + std::to_string(number) + "\ndata: piece\n\n";
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
    open = aWire.Write(size.data() + event + "\r\n");
    std::this_thread::sleep_for(milliseconds(200));
  }
  return open && Clock::now() - begin < deadline && aWire.Write("0\r\n\r\n");
}

// A sound engine of this process. It answers streams with three events and
// other requests with 800 bytes, both after the given time.
// @param aNotice header fields of all its answers
void StartEngine(Store& aStore,
                 Runs& aRuns,
                 const std::string& aId,
                 const std::string& aService,
                 milliseconds aWork,
                 const std::string& aNotice = {})
{
  const auto [descriptor, port] = Listen(0);
  Serve(descriptor,
        [&aRuns, aId, aWork, aNotice, port = port](Wire& aWire,
                                                   const Message& aRequest) {
          if (const auto own = AnswerOfItsOwn(aId, port, aRequest)) {
            return aWire.Write(*own);
          }
          aRuns.Add(aId, aRequest);
          if (aRequest.Word(1).starts_with("/note/long")) {
            return WriteLongStream(aWire, aId, aRequest);
          }
          std::this_thread::sleep_for(aWork);
          const bool isStream = aRequest.Word(1).starts_with("/note/");
          const std::string body =
            isStream ? "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
                     : BodyOf(aRequest.Field("Gooseberrylift-Attempt-Id"));
          return aWire.Write(
            AnswerHead(aId, aRequest, aNotice + WithLength(body)) + body);
        });
  aStore.Put("servers",
             aId,
             { { "service", aService },
               { "address", "127.0.0.1:" + std::to_string(port) },
               { "zone", "vantaa-a" },
               { "version", "1" },
               { "slots", 16 },
               { "state", "ready" },
               { "coldRemainingMs", 0 },
               { "sequence", 1 },
               { "born", 1796000000000 } });
}

// ------------------------------------------------------------------- processes

std::vector<pid_t>& Children()
{
  static std::vector<pid_t> sChildren;
  return sChildren;
}

void EndChildren()
{
  for (const pid_t child : Children()) {
    ::kill(child, SIGKILL);
    ::waitpid(child, nullptr, 0);
  }
  Children().clear();
}

pid_t Start(std::vector<std::string> aCommand,
            std::vector<std::string> aEnvironment,
            int aOutput)
{
  std::vector<char*> command;
  command.reserve(aCommand.size() + 1);
  for (std::string& word : aCommand) {
    command.push_back(word.data());
  }
  command.push_back(nullptr);
  std::vector<char*> environment;
  environment.reserve(aEnvironment.size() + 1);
  for (std::string& variable : aEnvironment) {
    environment.push_back(variable.data());
  }
  environment.push_back(nullptr);
  const pid_t child = ::fork();
  if (child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(aOutput, STDOUT_FILENO);
    ::dup2(aOutput, STDERR_FILENO);
    ::execve(command[0], command.data(), environment.data());
    ::_exit(127);
  }
  if (child < 0) {
    throw Failure{ "can't start a process" };
  }
  Children().push_back(child);
  return child;
}

// A folder of this run that is removed at its end.
class TemporaryFolder
{
public:
  TemporaryFolder()
  {
    std::string name = "/tmp/gooseberrylift-review-XXXXXX";
    if (::mkdtemp(name.data()) == nullptr) {
      throw Failure{ "can't make a temporary folder" };
    }
    path_ = name;
  }
  ~TemporaryFolder()
  {
    for (const char* file : { "settings.json", "host.log" }) {
      ::unlink((path_ + "/" + file).c_str());
    }
    ::rmdir(path_.c_str());
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& Path() const { return path_; }

private:
  std::string path_;
};

// A host of a small deployment, started as deploy/system.toml does. Its
// settings are those that deploy/settings.template.json makes of the fields in
// DEPLOY.md.
class Host
{
public:
  /// @param aSeeds the control ports of all hosts
  /// @param aNumber which of these hosts it is
  explicit Host(const Store& aStore,
                const std::vector<int>& aSeeds = { FreePort() },
                std::size_t aNumber = 0)
    : callerPort_(FreePort())
    , readyPort_(FreePort())
  {
    const std::string loopback = "127.0.0.1:";
    const std::string control = loopback + std::to_string(aSeeds.at(aNumber));
    json seeds = json::array();
    for (const int seed : aSeeds) {
      seeds.push_back(loopback + std::to_string(seed));
    }
    const std::string inner = std::to_string(FreePort());
    const json settings = {
      { "host",
        { { "name", "edge-vantaa-a-" + std::to_string(aNumber + 1) },
          { "zone", "vantaa-a" },
          { "region", "uusimaa" },
          { "memory_mb", "260" } } },
      { "caller",
        { { "listen", loopback + std::to_string(callerPort_) },
          { "max_connections", 2500 } } },
      { "ready", { { "listen", loopback + std::to_string(readyPort_) } } },
      { "admin", { { "listen", control } } },
      { "peer",
        { { "address", "127.0.0.1" },
          { "ports", { inner, inner } },
          { "seeds", seeds } } },
      { "store",
        { { "addresses", { loopback + std::to_string(aStore.Port()) } } } },
      { "drain", { { "grace_s", "8" } } },
      { "gateway",
        { { "cold_overshoot", "" },
          { "cold_slack", "" },
          { "zone_regions", { { "vantaa-a", "uusimaa" } } },
          { "strict_revocation", "true" },
          { "revoke_ms", "5000" },
          { "retry_ratio", "0.2" },
          { "retry_window_s", "10" },
          { "retry_allowance", "100" },
          { "hold_max_ms", "20000" } } }
    };
    const std::string file = folder_.Path() + "/settings.json";
    std::ofstream(file) << settings.dump();
    const std::string log = folder_.Path() + "/host.log";
    std::FILE* output = std::fopen(log.c_str(), "w");
    if (output == nullptr) {
      throw Failure{ "can't write " + log };
    }
    process_ = Start({ kHostProgram, "serve" },
                     { "PATH=/usr/bin:/bin",
                       "LANG=C.UTF-8",
                       "GOOSEBERRYLIFT_SETTINGS=" + file },
                     ::fileno(output));
    std::fclose(output);
    AwaitReady();
  }

  int Port() const { return callerPort_; }

  void Signal(int aSignal) const { ::kill(process_, aSignal); }

  // Returns how the process ended; empty if it runs.
  std::string End() const
  {
    siginfo_t ended{};
    const int options = WEXITED | WNOHANG | WNOWAIT;
    if (::waitid(P_PID, static_cast<id_t>(process_), &ended, options) != 0 ||
        ended.si_pid == 0) {
      return {};
    }
    return (ended.si_code == CLD_EXITED ? "ended with status "
                                        : "ended by signal ") +
           std::to_string(ended.si_status);
  }

  // Copies the last lines of what the host printed into the record.
  void NoteLastLines() const
  {
    std::ifstream file(folder_.Path() + "/host.log");
    std::vector<std::string> lines;
    for (std::string line; std::getline(file, line);) {
      lines.push_back(line);
    }
    const std::size_t first = lines.size() < 3 ? 0 : lines.size() - 3;
    for (std::size_t index = first; index < lines.size(); ++index) {
      Note("host printed: " + lines[index].substr(0, 400));
    }
  }

private:
  void AwaitReady() const
  {
    const auto limit = Clock::now() + std::chrono::seconds(20);
    while (Clock::now() < limit) {
      if (const auto wire = Connect(readyPort_)) {
        wire->SetTimeout(milliseconds(1000));
        wire->Write("GET /-/readyz HTTP/1.1\r\nHost: host\r\n\r\n");
        const auto answer = ReadMessage(*wire);
        if (answer && answer->Word(1) == "200") {
          return;
        }
      }
      std::this_thread::sleep_for(milliseconds(50));
    }
    throw Failure{ "the host is not ready" };
  }

  TemporaryFolder folder_;
  int callerPort_;
  int readyPort_;
  pid_t process_ = 0;
};

// ------------------------------------------------------------- the deployment

json RouteOf(const char* aName,
             const char* aType,
             const char* aService,
             int aTimeoutMs,
             int aObjectiveMs,
             int aAttempts)
{
  return { { "name", aName },
           { "host", kRouteHost },
           { "pathPrefix", std::string("/") + aName + "/" },
           { "type", aType },
           { "service", aService },
           { "timeoutMs", aTimeoutMs },
           { "targetLatencyMs", aObjectiveMs },
           { "maxAttempts", aAttempts },
           { "priority", 1 } };
}

// The routes and services of a small deployment (sites/huonetila-lift.toml).
json Configuration()
{
  json note = RouteOf("note", "streaming", "lift-pool", 15000, 3000, 2);
  note["resumable"] = true;
  note["targetGapMs"] = 800;
  note["sticky"] = true;
  return {
    { "version", 7 },
    { "routes",
      { note,
        RouteOf("flag", "unsafe", "board-api", 5000, 1500, 1),
        RouteOf("state", "safe", "board-api", 5000, 1500, 2) } },
    { "services",
      { { { "name", "lift-pool" },
          { "healthPath", "/healthz" },
          { "maxConnections", 354 },
          { "engine",
            { { "slots", 16 },
              { "kvCapacity", 450'000 },
              { "step_ms", 0.925 },
              { "per_seq_ms", 0.00483 },
              { "context_per_k", 0.00254 },
              { "read_per_s", 256'000.0 },
              { "pairs_per_m", 0.0917 },
              { "chunk", 2048 },
              { "stride", 46 },
              { "hopMs", 0.1 },
              { "usual", { { "prompt", 9000 }, { "answer", 1500 } } } } } },
        { { "name", "board-api" },
          { "healthPath", "/healthz" },
          { "maxConnections", 96 } } } },
    { "limits",
      { { "maxHeaderBytes", 16384 },
        { "maxBodyBytes", 4194304 },
        { "headerTimeoutMs", 5000 },
        { "idleTimeoutMs", 30000 } } },
    { "tenants", { { { "name", kTenant }, { "apiKeys", { kKey } } } } }
  };
}

// The head of a client's request up to the fields that tell of its body.
std::string RequestHead(const std::string& aMethod,
                        const std::string& aPath,
                        const std::string& aId,
                        const std::string& aFields = {})
{
  return aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + kRouteHost +
         "\r\nGooseberrylift-Attempt-Id: " + aId +
         "\r\nGooseberrylift-Deadline-Ms: 5000\r\nAuthorization: Bearer " +
         kKey + "\r\n" + aFields;
}

std::string RequestOf(const std::string& aMethod,
                      const std::string& aPath,
                      const std::string& aId,
                      const std::string& aBody,
                      const std::string& aFields = {})
{
  return RequestHead(aMethod, aPath, aId, aFields) + WithLength(aBody) +
         "\r\n" + aBody;
}

std::unique_ptr<Wire> ConnectTo(const Host& aHost)
{
  auto wire = Connect(aHost.Port());
  if (wire) {
    wire->SetTimeout(milliseconds(8000));
  }
  return wire;
}

// Sends a request and reads its answer; notes both.
std::optional<Message> Ask(Wire& aWire,
                           const std::string& aId,
                           const std::string& aRequest)
{
  Note("sent " + aId + ": " + aRequest.substr(0, aRequest.find('\r')));
  aWire.Write(aRequest);
  auto answer = ReadMessage(aWire);
  Note("answer to " + aId + ": " +
       (answer ? answer->start_ + ", body of " +
                   std::to_string(answer->body_.size()) + " bytes"
               : "none, connection " + aWire.End()));
  return answer;
}

// Checks that the deployment answers in calm.
void CheckServes(const Host& aHost)
{
  const auto wire = ConnectTo(aHost);
  const auto answer =
    wire ? Ask(*wire, "calm", RequestOf("POST", "/flag/0", "calm", "x"))
         : std::nullopt;
  if (!answer || answer->Word(1) != "200") {
    throw Failure{ "the host does not serve in calm" };
  }
}

// --------------------------------------- case 4: a host that hears no other
// one

// What happened to the requests of clients that keep their connections.
struct Losses
{
  std::mutex mutex_;
  std::vector<std::string> unanswered_;
};

// Sends one request after the other on a kept connection until it ends or the
// time has come.
void KeepAsking(const Host& aHost,
                int aClient,
                const std::atomic<bool>& aStops,
                Losses& aLosses)
{
  const auto wire = ConnectTo(aHost);
  for (int number = 0; wire && !aStops; ++number) {
    const std::string id =
      Join({ "flag", std::to_string(aClient), "x", std::to_string(number) });
    if (!Ask(*wire, id, RequestOf("POST", "/flag/1", id, "checkout"))) {
      const std::lock_guard lock(aLosses.mutex_);
      aLosses.unanswered_.push_back(id);
      return;
    }
  }
}

// Sends short prompts, each on a new connection.
void KeepPrompting(const Host& aHost,
                   int aClient,
                   const std::atomic<bool>& aStops)
{
  for (int number = 0; !aStops; ++number) {
    const std::string id =
      Join({ "note", std::to_string(aClient), "x", std::to_string(number) });
    if (const auto wire = ConnectTo(aHost)) {
      Ask(*wire,
          id,
          RequestOf("POST",
                    "/note/1",
                    id,
                    "prompt",
                    "Gooseberrylift-Model: m\r\n"
                    "Gooseberrylift-Token-Usage: 4960,35\r\n"));
    }
    std::this_thread::sleep_for(milliseconds(40));
  }
}

int PlayBlind(bool aTrouble)
{
  constexpr int kPoolEngines = 12;
  constexpr int kBoardEngines = 3;
  constexpr int kClients = 10;
  constexpr int kPrompters = 3;
  constexpr std::size_t kMaxLost = 3; // LOST: "more than three times"
  Store store;
  Runs runs;
  store.Put("config", "main", Configuration());
  for (int engine = 0; engine < kPoolEngines; ++engine) {
    StartEngine(store,
                runs,
                "i-pool" + std::to_string(engine),
                "lift-pool",
                milliseconds(40),
                "Server-Limit: 20\r\n");
  }
  for (int engine = 0; engine < kBoardEngines; ++engine) {
    StartEngine(store,
                runs,
                "i-board" + std::to_string(engine),
                "board-api",
                milliseconds(700));
  }
  const std::vector<int> seeds = { FreePort(), FreePort() };
  const Host first(store, seeds, 0);
  const Host second(store, seeds, 1);
  CheckServes(first);
  std::this_thread::sleep_for(milliseconds(4000)); // calm
  store.Beat();
  std::atomic<bool> stops = false;
  Losses losses;
  std::vector<std::thread> threads;
  threads.reserve(kClients + kPrompters);
  for (int client = 0; client < kClients; ++client) {
    threads.emplace_back(
      [&, client] { KeepAsking(first, client, stops, losses); });
  }
  for (int client = 0; client < kPrompters; ++client) {
    threads.emplace_back([&, client] { KeepPrompting(first, client, stops); });
  }
  std::this_thread::sleep_for(milliseconds(3000));
  if (aTrouble) {
    Note("the second host is lost for good (SIGKILL)");
    second.Signal(SIGKILL);
  }
  const auto limit = Clock::now() + std::chrono::seconds(12);
  while (Clock::now() < limit && first.End().empty()) {
    std::this_thread::sleep_for(milliseconds(100));
  }
  stops = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::string end = first.End();
  Note("first host: " + (end.empty() ? "runs" : end));
  first.NoteLastLines();
  std::size_t lost = 0;
  for (const std::string& id : losses.unanswered_) {
    lost += runs.Has(id) ? 1 : 0;
  }
  Note("requests that a sound engine had and whose connection was closed "
       "without an answer: " +
       std::to_string(lost) + ", allowed: " + std::to_string(kMaxLost));
  return lost > kMaxLost || !end.empty() ? kBroken : kHeld;
}

// ------------------------------------- case 5: a host that one request ends

// A client of an ordinary kind on a kept connection: one request that is
// answered, then one that is at work when the other client comes.
struct OrdinaryClient
{
  std::unique_ptr<Wire> wire_;
  std::string id_;
  bool isAnswered_ = false;
};

int PlayCrash(bool aTrouble)
{
  constexpr int kPoolEngines = 10;
  constexpr int kBoardEngines = 3;
  constexpr int kClients = 8;
  constexpr int kMaxLost = 3; // LOST: "more than three times"
  Store store;
  Runs runs;
  store.Put("config", "main", Configuration());
  for (int engine = 0; engine < kPoolEngines; ++engine) {
    StartEngine(store,
                runs,
                "i-pool" + std::to_string(engine),
                "lift-pool",
                milliseconds(20));
  }
  for (int engine = 0; engine < kBoardEngines; ++engine) {
    StartEngine(store,
                runs,
                "i-board" + std::to_string(engine),
                "board-api",
                milliseconds(700));
  }
  const Host host(store);
  CheckServes(host);
  std::this_thread::sleep_for(milliseconds(4000)); // calm
  store.Beat();
  std::vector<OrdinaryClient> clients(kClients);
  std::vector<std::thread> threads;
  threads.reserve(kClients);
  for (int number = 0; number < kClients; ++number) {
    OrdinaryClient& client = clients.at(static_cast<std::size_t>(number));
    client.id_ = "flag" + std::to_string(number);
    client.wire_ = ConnectTo(host);
    if (!client.wire_) {
      throw Failure{ "can't connect" };
    }
    threads.emplace_back([&client] {
      Ask(*client.wire_,
          client.id_ + "a",
          RequestOf("POST", "/flag/1", client.id_ + "a", "first"));
      const auto answer =
        Ask(*client.wire_,
            client.id_,
            RequestOf("POST", "/flag/2", client.id_, "second"));
      client.isAnswered_ = answer.has_value();
    });
  }
  const auto allRun = [&] {
    return std::all_of(
      clients.begin(), clients.end(), [&](const OrdinaryClient& aClient) {
        return runs.Has(aClient.id_);
      });
  };
  const auto limit = Clock::now() + std::chrono::seconds(8);
  while (!allRun() && Clock::now() < limit) {
    std::this_thread::sleep_for(milliseconds(20));
  }
  // The client that isn't controlled: one request for a long prompt.
  const std::string id = aTrouble ? "9c41\xff\xfe" : "9c41d07b";
  if (const auto wire = ConnectTo(host)) {
    Ask(*wire,
        "long prompt " + id,
        RequestOf("POST",
                  "/note/3",
                  id,
                  "prompt",
                  "Gooseberrylift-Model: m\r\n"
                  "Gooseberrylift-Token-Usage: 480000,80\r\n"
                  "Gooseberrylift-Prefix-Hash: 5c1e07a2:480000\r\n"));
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::string end = host.End();
  Note("host: " + (end.empty() ? "runs" : end));
  host.NoteLastLines();
  const auto lost =
    std::count_if(clients.begin(), clients.end(), [&](const auto& aClient) {
      return runs.Has(aClient.id_) && !aClient.isAnswered_;
    });
  Note("requests that a sound engine had and whose connection was closed "
       "without an answer: " +
       std::to_string(lost) + ", allowed: " + std::to_string(kMaxLost));
  return lost > kMaxLost || !end.empty() ? kBroken : kHeld;
}

// ---------------------------- case 6: engines that one client makes unusable

// How often the requests of a span of time were served.
struct Served
{
  int read_ = 0;
  int served_ = 0;

  double Share() const
  {
    return read_ == 0 ? 1 : static_cast<double>(served_) / read_;
  }
};

// Sends a request of an ordinary client on a new connection.
void SendOrdinary(const Host& aHost, const std::string& aId, Served& aServed)
{
  const auto wire = ConnectTo(aHost);
  if (!wire) {
    return; // a connection that is refused doesn't count
  }
  wire->Write(RequestOf("POST",
                        "/note/1",
                        aId,
                        "prompt",
                        "Gooseberrylift-Model: m\r\n"
                        "Gooseberrylift-Token-Usage: 4960,35\r\n"));
  const auto answer = ReadMessage(*wire);
  Note("sent " + aId + ", answer: " + (answer ? answer->start_ : "none"));
  ++aServed.read_;
  aServed.served_ += answer && answer->Word(1) == "200" ? 1 : 0;
}

int PlayOutage(bool aTrouble)
{
  constexpr int kPoolEngines = 23;
  constexpr int kBefore = 60;  // requests of 6 s, to both hosts by turns
  constexpr int kFunnel = 100; // requests of 10 s, most to the first host
  constexpr int kOthers = 20;  // requests of the client that isn't controlled
  constexpr double kLeast = 0.75; // RECOVER: "three quarters"
  constexpr milliseconds kPace{ 100 };
  constexpr milliseconds kStableWindow{ 3000 };
  Store store;
  Runs runs;
  store.Put("config", "main", Configuration());
  for (int engine = 0; engine < kPoolEngines; ++engine) {
    StartEngine(store,
                runs,
                "i-pool" + std::to_string(engine),
                "lift-pool",
                milliseconds(20));
  }
  StartEngine(store, runs, "i-board0", "board-api", milliseconds(15));
  const std::vector<int> seeds = { FreePort(), FreePort() };
  const Host first(store, seeds, 0);
  const Host second(store, seeds, 1);
  CheckServes(first);
  CheckServes(second);
  std::this_thread::sleep_for(kStableWindow);
  Served before;
  for (int number = 0; number < kBefore; ++number) {
    SendOrdinary(number % 2 == 0 ? first : second,
                 "before" + std::to_string(number),
                 before);
    std::this_thread::sleep_for(kPace);
  }
  store.Beat();
  Note("from now on nine of ten new connections go to the first host");
  const auto begin = Clock::now();
  for (int number = 0; number < kOthers; ++number) {
    const std::string id = "other" + std::to_string(number);
    if (const auto wire = ConnectTo(first)) {
      Ask(
        *wire,
        id,
        RequestOf("POST",
                  "/note/2",
                  id,
                  "prompt",
                  std::string("Gooseberrylift-Model: m\r\n"
                              "Gooseberrylift-Token-Usage: 4960,35\r\n") +
                    (aTrouble ? "Gooseberrylift-Expect-Version: 2\r\n" : "")));
    }
  }
  Served after;
  for (int number = 0; number < kFunnel; ++number) {
    Served ignored;
    const bool counts = Clock::now() - begin >= kStableWindow;
    SendOrdinary(number % 10 == 9 ? second : first,
                 "funnel" + std::to_string(number),
                 counts ? after : ignored);
    std::this_thread::sleep_for(kPace);
  }
  Note("served before: " + std::to_string(before.served_) + " of " +
       std::to_string(before.read_) + "; from 3 s on, while most connections " +
       "go to one host: " + std::to_string(after.served_) + " of " +
       std::to_string(after.read_));
  if (before.Share() < kLeast) {
    throw Failure{ "not served in calm" };
  }
  return after.Share() < kLeast * before.Share() ? kBroken : kHeld;
}

// ------------------------------------ case 7: a request that another one holds

int PlaySmuggled(bool aTrouble)
{
  Store store;
  Runs runs;
  store.Put("config", "main", Configuration());
  for (int engine = 0; engine < 3; ++engine) {
    StartEngine(store,
                runs,
                "i-board" + std::to_string(engine),
                "board-api",
                milliseconds(15));
  }
  const Host host(store);
  CheckServes(host);
  // The body of one request. It reads like a request that nobody sends.
  const std::string body = RequestOf("POST", "/flag/9", "inner", "checkout");
  const std::string framing =
    aTrouble ? "Transfer-Encoding: identity\r\n" : WithLength(body);
  const auto wire = ConnectTo(host);
  if (!wire) {
    throw Failure{ "can't connect" };
  }
  wire->SetTimeout(milliseconds(2000));
  Note("sent outer: one request, body of " + std::to_string(body.size()) +
       " bytes, framed by '" + framing + "'");
  wire->Write(RequestHead("POST", "/flag/1", "outer", framing) + "\r\n" + body);
  Note("answered: " + wire->ReadAll());
  CheckServes(host);
  bool broken = false;
  for (const Run& run : runs.All()) {
    const std::string id = run.request_.Field("Gooseberrylift-Attempt-Id");
    if (id == "inner") {
      Note("broken: the engine ran 'inner', which no client sent");
      broken = true;
    }
    if (id == "outer" && run.request_.body_ != body) {
      Note("broken: the engine ran 'outer' with another body");
      broken = true;
    }
  }
  return broken ? kBroken : kHeld;
}

// --------------------------------------------- case 8: answers without an end

int PlayDeadline(bool aTrouble)
{
  constexpr int kRequests = 10;
  constexpr int kMost = 7;                  // CONFIG: "eight or more of them"
  constexpr milliseconds kTimeout{ 15000 }; // timeoutMs of the route
  constexpr milliseconds kSlack{ 500 };     // "0.5 s after it"
  Store store;
  Runs runs;
  store.Put("config", "main", Configuration());
  for (int engine = 0; engine < 3; ++engine) {
    const std::string number = std::to_string(engine);
    StartEngine(store, runs, "i-pool" + number, "lift-pool", milliseconds(20));
    StartEngine(store, runs, "i-board" + number, "board-api", milliseconds(15));
  }
  const Host host(store);
  CheckServes(host);
  std::this_thread::sleep_for(milliseconds(3000)); // calm
  const std::string given = aTrouble ? "9223372037854775808" : "60000";
  std::atomic<int> unanswered = 0;
  std::vector<std::thread> threads;
  threads.reserve(kRequests);
  for (int number = 0; number < kRequests; ++number) {
    threads.emplace_back([&, number] {
      const std::string id = "long" + std::to_string(number);
      const auto wire = ConnectTo(host);
      if (!wire) {
        return;
      }
      const std::string request = Join({ "POST /note/long HTTP/1.1\r\nHost: ",
                                         kRouteHost,
                                         "\r\nGooseberrylift-Attempt-Id: ",
                                         id,
                                         "\r\nGooseberrylift-Deadline-Ms: ",
                                         given,
                                         "\r\nAuthorization: Bearer ",
                                         kKey,
                                         kLongStreamFields,
                                         "prompt" });
      const auto sent = Clock::now();
      Note(Join({ "sent ", id, " with a deadline of ", given, " ms" }));
      wire->Write(request);
      const auto answer = ReadHead(*wire);
      bool open = answer.has_value();
      while (open && Clock::now() - sent <= kTimeout + kSlack) {
        open = wire->ReadLine().has_value();
      }
      const auto lasted =
        std::chrono::duration_cast<milliseconds>(Clock::now() - sent);
      Note(id + (open ? " has no final answer after " : " ended after ") +
           std::to_string(lasted.count()) +
           " ms, answer: " + (answer ? answer->start_ : "none"));
      unanswered += open ? 1 : 0;
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  Note("no final answer 0.5 s after the route's timeoutMs of 15,000: " +
       std::to_string(unanswered) + " of " + std::to_string(kRequests));
  return unanswered > kMost ? kBroken : kHeld;
}

int Play(int aCase, bool aTrouble)
{
  switch (aCase) {
    case 4:
      return PlayBlind(aTrouble);
    case 5:
      return PlayCrash(aTrouble);
    case 6:
      return PlayOutage(aTrouble);
    case 7:
      return PlaySmuggled(aTrouble);
    case 8:
      return PlayDeadline(aTrouble);
    default:
      throw Failure{ "no such case" };
  }
}

void OnLimit(int /*aSignal*/)
{
  // Children end with this process (PR_SET_PDEATHSIG).
  ::_exit(kCouldNotRun);
}

int PlayRecorded(int aCase, const std::string& aRecord)
{
  TheRecord().Open(aRecord);
  ::signal(SIGALRM, OnLimit);
  ::alarm(kLimitS);
  const char* variable = std::getenv("TROUBLE");
  const bool trouble = variable == nullptr || std::string(variable) != "0";
  Note(std::string("case ") + std::to_string(aCase) +
       (trouble ? "" : ", without the disruption"));
  int result = kCouldNotRun;
  try {
    result = Play(aCase, trouble);
  } catch (const Failure& failure) {
    Note("can't run: " + failure.text_);
  } catch (const std::exception& error) {
    Note(std::string("can't run: ") + error.what());
  }
  constexpr std::array kResults = { "held", "broken", "could not run" };
  Note(std::string("result: ") + kResults.at(static_cast<std::size_t>(result)));
  EndChildren();
  return result;
}

} // namespace

int main(int aCount, char** aArguments)
{
  const std::vector<std::string> arguments(aArguments + 1, aArguments + aCount);
  ::signal(SIGPIPE, SIG_IGN);
  if (arguments.size() != 2) {
    std::fprintf(stderr, "usage: stand-ins-2 CASE RECORD\n");
    return kCouldNotRun;
  }
  // Threads of the stand-ins may still run.
  std::_Exit(PlayRecorded(std::atoi(arguments[0].c_str()), arguments[1]));
}
