// Tests of hosts whose log isn't read and that get signals at any moment.

#include "harness-process.h"
#include "harness.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <string>
#include <thread>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include "gooseberrylift/gooseberrylift-result.h"
#include "gooseberrylift/internal/gooseberrylift-process-signals.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds kTimeout{ 10 };
constexpr const char* kUnwritten = "gooseberrylift_log_lines_unwritten_total ";

std::string TemporaryPath(const std::string& aName)
{
  return "/tmp/signals-test-" + std::to_string(::getpid()) + "-" + aName;
}

// Opens a FIFO for writing once another process opens it for reading.
Descriptor OpenForReader(const std::string& aPath)
{
  int writer = -1;
  WaitUntil(kTimeout, [&] {
    writer = ::open(aPath.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
    return writer >= 0;
  });
  return Descriptor(writer);
}

// A host that serves routes, without a store.
class BareHost
{
public:
  /// @param aPath its settings file; empty: one of its own
  explicit BareHost(BareProcess::Options aOptions,
                    const std::string& aPath = {})
    : adminPort_(FreePort())
    , process_(WithArguments(std::move(aOptions), aPath))
  {
  }

  ~BareHost() { ::unlink(ownPath_.c_str()); }
  BareHost(const BareHost&) = delete;
  BareHost& operator=(const BareHost&) = delete;

  BareProcess& Handle() { return process_; }

  bool Answers() const
  {
    return WaitUntil(kTimeout, [this] {
      return Send(adminPort_, MakeRequest("/status"), 1s).has_value();
    });
  }

  // SIGHUP makes the host read its settings again and write a line.
  void WriteLines(int aCount) const
  {
    for (int line = 0; line < aCount; ++line) {
      process_.Signal(SIGHUP);
      std::this_thread::sleep_for(20ms);
    }
  }

  // Returns the number of lines that the host could not write.
  int Unwritten() const
  {
    const auto answer = Send(adminPort_, MakeRequest("/metrics"), 5s);
    const std::string text = answer ? answer.value().body_ : std::string();
    const std::size_t at = text.find(std::string("\n") + kUnwritten);
    return at == std::string::npos
             ? -1
             : std::atoi(text.c_str() + at + 1 + std::strlen(kUnwritten));
  }

  int Stop()
  {
    process_.Signal(SIGTERM);
    return process_.WaitForExit(kTimeout);
  }

protected:
  std::string Settings() const
  {
    const json settings = {
      { "host", { { "name", "a" }, { "zone", "zone-a" } } },
      { "caller", { { "port", 0 } } },
      { "admin", { { "port", adminPort_ } } },
      { "store", { { "addresses", { "127.0.0.1:1" } } } },
      { "drain", { { "lag_ms", 50 }, { "limit_ms", 200 } } },
      { "gateway", { { "revoke_ms", 5000 } } }
    };
    return settings.dump();
  }

private:
  BareProcess::Options WithArguments(BareProcess::Options aOptions,
                                     const std::string& aPath) const
  {
    if (aPath.empty()) {
      std::ofstream(ownPath_) << Settings();
    }
    aOptions.arguments_ = { "serve",
                            "--settings",
                            aPath.empty() ? ownPath_ : aPath };
    return aOptions;
  }

  std::uint16_t adminPort_;
  std::string ownPath_ = TemporaryPath("host-" + std::to_string(adminPort_));
  BareProcess process_;
};

// A host that waits for its settings, since their file is a FIFO.
class StartingHost : public BareHost
{
public:
  explicit StartingHost(BareProcess::Options aOptions)
    : BareHost(std::move(aOptions), MakeFifo())
    , writer_(OpenForReader(path_))
  {
  }

  ~StartingHost() { ::unlink(path_.c_str()); }

  // Lets the host go on. It reads the same text when it reads the file again.
  void GiveSettings(const std::string& aText)
  {
    const std::string file = path_ + ".new";
    std::ofstream(file) << aText;
    ::rename(file.c_str(), path_.c_str());
    (void)!::write(writer_.Number(), aText.data(), aText.size());
    writer_.Close();
  }

  void GiveSettings() { GiveSettings(Settings()); }

private:
  static std::string MakeFifo()
  {
    std::string path = TemporaryPath("settings");
    ::mkfifo(path.c_str(), 0600);
    return path;
  }

  std::string path_ = TemporaryPath("settings");
  Descriptor writer_;
};

} // namespace

TEST_GROUP(LogReaderTest){
  // Checks that a host goes on, stops on request and counts lines whose reader
  // ended or reads nothing.
  void CheckGoesOn(Channel aChannel, bool aEnds, bool aErrors){
    const int writer = aChannel.writer_.Number();
BareHost host({ .output_ = writer,
                .errors_ = aErrors ? writer : STDERR_FILENO });
CHECK_TRUE(host.Answers());
if (aEnds) {
  aChannel.reader_.Close();
} else {
  aChannel.Fill();
}
aChannel.writer_.Close();
host.WriteLines(3);
CHECK_TRUE(host.Answers());
CHECK_TRUE(host.Unwritten() > 0);
LONGS_EQUAL(0, host.Stop());
}
}
;

// Guards against hosts that end by SIGPIPE with the reader of their log.
TEST(LogReaderTest, GoesOnWhenTheReaderOfAPipeEnds)
{
  CheckGoesOn(Channel::Pipe(), true, false);
}

TEST(LogReaderTest, GoesOnWhenTheReaderOfASocketEnds)
{
  CheckGoesOn(Channel::Sockets(), true, true);
}

TEST(LogReaderTest, GoesOnWhenTheReaderOfAPipeStalls)
{
  CheckGoesOn(Channel::Pipe(), false, true);
}

TEST(LogReaderTest, GoesOnWhenTheReaderOfASocketStalls)
{
  CheckGoesOn(Channel::Sockets(), false, false);
}

// Guards against log lines that are sent to a caller, because the first socket
// of the host got the number of a closed standard output.
TEST(LogReaderTest, GoesOnWithoutStandardDescriptors)
{
  BareHost host({});
  CHECK_TRUE(host.Answers());
  host.WriteLines(2);
  for (const char* number : { "1", "2" }) {
    std::array<char, 64> target{};
    const std::string link =
      "/proc/" + std::to_string(host.Handle().Pid()) + "/fd/" + number;
    (void)::readlink(link.c_str(), target.data(), target.size() - 1);
    STRCMP_EQUAL("/dev/null", target.data());
  }
  LONGS_EQUAL(0, host.Stop());
}

// Guards against hosts that end by SIGXFSZ.
TEST(LogReaderTest, GoesOnWhenItsLogFileMayNotGrow)
{
  const std::string path = TemporaryPath("log");
  Descriptor file(::open(path.c_str(), O_CREAT | O_WRONLY | O_CLOEXEC, 0600));
  BareHost host({ .output_ = file.Number(), .fileSizeLimit_ = 100 });
  CHECK_TRUE(host.Answers());
  host.WriteLines(3);
  CHECK_TRUE(host.Answers());
  CHECK_TRUE(host.Unwritten() > 0);
  LONGS_EQUAL(0, host.Stop());
  ::unlink(path.c_str());
}

TEST(LogReaderTest, WritesAgainWhenAReaderOfAFifoReturns)
{
  const std::string path = TemporaryPath("fifo");
  CHECK_EQUAL(0, ::mkfifo(path.c_str(), 0600));
  Descriptor first(::open(path.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC));
  Descriptor writer(::open(path.c_str(), O_WRONLY | O_CLOEXEC));
  BareHost host({ .output_ = writer.Number() });
  writer.Close();
  CHECK_TRUE(host.Answers());
  first.Close();
  host.WriteLines(2);
  Channel channel{ .reader_ = Descriptor(
                     ::open(path.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC)),
                   .writer_ = Descriptor() };
  host.WriteLines(1);
  std::string text;
  WaitUntil(kTimeout, [&] {
    text += channel.Drain();
    return text.find("\"unwritten\":") != std::string::npos;
  });
  const std::size_t at = text.find("\"unwritten\":");
  CHECK_TRUE(at != std::string::npos);
  LONGS_EQUAL(host.Unwritten(),
              std::atoi(text.c_str() + at + std::strlen("\"unwritten\":")));
  LONGS_EQUAL(0, host.Stop());
  ::unlink(path.c_str());
}

// Guards against an error at the start that is never over, since its text can't
// be written.
TEST(LogReaderTest, EndsWithAnErrorWhoseTextIsNotRead)
{
  const Channel channel = Channel::Pipe();
  channel.Fill();
  BareProcess process({ .arguments_ = { "serve", "--settings", "{}" },
                        .output_ = channel.writer_.Number(),
                        .errors_ = channel.writer_.Number() });
  LONGS_EQUAL(static_cast<int>(ResultCode::kSettingsInvalid),
              process.WaitForExit(3s));
}

// The host waits for a file first, and tells so where it isn't read either.
TEST(LogReaderTest, EndsWithoutAFileWhoseWaitIsNotRead)
{
  const Channel channel = Channel::Pipe();
  channel.Fill();
  BareProcess process({ .arguments_ = { "serve", "--settings", "/nowhere" },
                        .output_ = channel.writer_.Number(),
                        .errors_ = channel.writer_.Number() });
  LONGS_EQUAL(static_cast<int>(ResultCode::kSettingsUnreadable),
              process.WaitForExit(kTimeout));
}

TEST_GROUP(SignalsTest){};

// Guards against hosts that are ended or stopped by signals without a meaning.
TEST(SignalsTest, GoesOnAfterSignalsWithoutAMeaning)
{
  BareHost host({ .output_ = STDERR_FILENO, .errors_ = STDERR_FILENO });
  CHECK_TRUE(host.Answers());
  for (const int signal : { SIGPIPE,
                            SIGXFSZ,
                            SIGXCPU,
                            SIGUSR1,
                            SIGUSR2,
                            SIGALRM,
                            SIGPROF,
                            SIGIO,
                            SIGVTALRM,
                            SIGPWR,
                            SIGSTKFLT,
                            SIGTTIN,
                            SIGTTOU }) {
    host.Handle().Signal(signal);
    std::this_thread::sleep_for(5ms);
    CHECK_TRUE(host.Handle().Runs());
  }
  CHECK_TRUE(host.Answers());
  LONGS_EQUAL(0, host.Stop());
}

TEST(SignalsTest, StopsOnEachStopSignal)
{
  for (const int signal : kStopSignals) {
    BareHost host({ .output_ = STDERR_FILENO, .errors_ = STDERR_FILENO });
    CHECK_TRUE(host.Answers());
    host.Handle().Signal(signal);
    LONGS_EQUAL(0, host.Handle().WaitForExit(kTimeout));
  }
}

// Guards against hosts without routes that end by SIGHUP.
TEST(SignalsTest, GoesOnAfterAHangupOfAHostWithoutRoutes)
{
  Deployment deployment({ .engines_ = 1, .services_ = 0 });
  Host& host = deployment.At(0);
  host.Handle().Signal(SIGHUP);
  std::this_thread::sleep_for(20ms);
  CHECK_TRUE(host.WaitReady());
  host.Handle().Signal(SIGTERM);
  LONGS_EQUAL(0, host.Handle().WaitForExit(kTimeout));
}

// Guards against hosts that end by a signal that comes before its handler is
// installed: the host still reads its settings.
TEST(SignalsTest, ReadsItsSettingsAgainAfterAHangupAtItsStart)
{
  const Channel channel = Channel::Pipe();
  StartingHost host({ .output_ = channel.writer_.Number() });
  host.Handle().Signal(SIGHUP);
  host.GiveSettings();
  CHECK_TRUE(host.Answers());
  std::string text;
  CHECK_TRUE(WaitUntil(kTimeout, [&] {
    text += channel.Drain();
    return text.find("settings-reloaded") != std::string::npos;
  }));
  LONGS_EQUAL(0, host.Stop());
}

TEST(SignalsTest, StopsCleanlyWhenItIsToldToAtItsStart)
{
  for (const int signal : kStopSignals) {
    StartingHost host({ .output_ = STDERR_FILENO, .errors_ = STDERR_FILENO });
    host.Handle().Signal(signal);
    host.GiveSettings();
    LONGS_EQUAL(0, host.Handle().WaitForExit(kTimeout));
  }
}

TEST(SignalsTest, EndsWithItsErrorWhenItIsToldToStopAtAStartThatFails)
{
  StartingHost host({ .output_ = STDERR_FILENO, .errors_ = STDERR_FILENO });
  host.Handle().Signal(SIGTERM);
  host.GiveSettings("{}");
  LONGS_EQUAL(static_cast<int>(ResultCode::kSettingsInvalid),
              host.Handle().WaitForExit(kTimeout));
}

// Guards against other subcommands that can't be ended by signals.
TEST(SignalsTest, EndsOtherSubcommandsByTheirSignals)
{
  const std::string path = TemporaryPath("settings");
  CHECK_EQUAL(0, ::mkfifo(path.c_str(), 0600));
  for (const int signal : { SIGHUP, SIGTERM, SIGPIPE }) {
    BareProcess process({ .arguments_ = { "check", "--settings", path },
                          .output_ = STDERR_FILENO,
                          .errors_ = STDERR_FILENO });
    const Descriptor writer = OpenForReader(path);
    process.Signal(signal);
    LONGS_EQUAL(128 + signal, process.WaitForExit(kTimeout));
  }
  ::unlink(path.c_str());
}

// Guards against a clean stop that ends by a signal, because the handlers are
// removed before the process ends.
TEST(SignalsTest, StopsCleanlyUnderSignalsUntilItsEnd)
{
  for (int round = 0; round < 10; ++round) {
    BareHost host({ .output_ = STDERR_FILENO, .errors_ = STDERR_FILENO });
    CHECK_TRUE(host.Answers());
    for (bool ended = false; !ended;) {
      for (const int signal : { SIGTERM, SIGHUP, SIGINT, SIGQUIT }) {
        host.Handle().Signal(signal);
      }
      // Without a pause, the host would run nothing but signal handlers.
      std::this_thread::sleep_for(200us);
      ended = host.Handle().WaitForExit(0ms) != -1;
    }
    LONGS_EQUAL(0, host.Handle().WaitForExit(0ms));
  }
}
