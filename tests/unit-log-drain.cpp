#include "vanillahill/observe/log.hpp"

#include <gtest/gtest.h>

#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <stdexcept>

namespace vanillahill::observe {
namespace {

constexpr std::chrono::milliseconds DrainLimit(500);

/// A child process whose standard output is a pipe to this one. A process of its own is needed
/// since the log is opened once.
class LoggingChild {
public:
  /// Runs the function in the child; its return value is the exit status.
  explicit LoggingChild(int (*Run)()) {
    std::array<int, 2> Ends{};
    if (::pipe(Ends.data()) != 0) {
      throw std::runtime_error("no pipe");
    }
    m_Id = ::fork();
    if (m_Id == 0) {
      ::dup2(Ends[1], STDOUT_FILENO);
      ::close(Ends[0]);
      ::close(Ends[1]);
      useStandardOutput();
      ::_exit(Run());
    }
    ::close(Ends[1]);
    m_ReadEnd = Ends[0];
  }
  ~LoggingChild() { ::close(m_ReadEnd); }
  LoggingChild(const LoggingChild &) = delete;
  LoggingChild &operator=(const LoggingChild &) = delete;

  /// Reads what the child writes until it ends.
  std::string readAll() const {
    std::string Text;
    std::array<char, 4096> Part{};
    for (ssize_t Count = 0; (Count = ::read(m_ReadEnd, Part.data(), Part.size())) > 0;) {
      Text.append(Part.data(), static_cast<std::size_t>(Count));
    }
    return Text;
  }

  int awaitExit() const {
    int Status = 0;
    ::waitpid(m_Id, &Status, 0);
    return WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
  }

private:
  pid_t m_Id = 0;
  int m_ReadEnd = -1;
};

/// More than a pipe holds.
void logMoreThanAPipeHolds() {
  constexpr int Lines = 1500;
  for (int Line = 0; Line < Lines; ++Line) {
    log(LogLevel::Info, "filler", {{"text", std::string(60, 'x')}});
  }
}

TEST(LogDrain, TheLastLineIsWrittenAtOnceAfterAnother) {
  const LoggingChild Child([] {
    log(LogLevel::Info, "first");
    log(LogLevel::Info, "last");
    return drainLog(DrainLimit) ? 0 : 1;
  });
  const std::string Text = Child.readAll();
  EXPECT_EQ(Child.awaitExit(), 0);
  EXPECT_NE(Text.find("\"first\""), std::string::npos);
  EXPECT_NE(Text.find("\"last\""), std::string::npos);
}

TEST(LogDrain, AllLinesAreWrittenForAReaderThatReadsLate) {
  const LoggingChild Child([] {
    logMoreThanAPipeHolds();
    log(LogLevel::Info, "last");
    return drainLog(std::chrono::seconds(60)) ? 0 : 1;
  });
  constexpr useconds_t Late = 200000;
  ::usleep(Late);
  const std::string Text = Child.readAll();
  EXPECT_EQ(Child.awaitExit(), 0);
  EXPECT_NE(Text.find("\"last\""), std::string::npos);
  EXPECT_EQ(std::count(Text.begin(), Text.end(), '\n'), 1501);
}

TEST(LogDrain, AReaderThatNeverReadsHoldsUpTheEndOnlyForTheLimit) {
  const LoggingChild Child([] {
    logMoreThanAPipeHolds();
    const auto Begin = SystemClock().now();
    const bool AllWritten = drainLog(DrainLimit);
    const auto Took = SystemClock().now() - Begin;
    return AllWritten ? 1 : Took < DrainLimit ? 2 : Took > 4 * DrainLimit ? 3 : 0;
  });
  EXPECT_EQ(Child.awaitExit(), 0);
}

TEST(LogDrain, AReaderThatIsGoneDoesNotHoldUpTheEnd) {
  const LoggingChild Child([] {
    ::signal(SIGPIPE, SIG_IGN);
    logMoreThanAPipeHolds();
    ::close(STDOUT_FILENO);
    const auto Begin = SystemClock().now();
    const bool AllWritten = drainLog(std::chrono::seconds(60));
    return AllWritten ? 1 : SystemClock().now() - Begin > std::chrono::seconds(30) ? 2 : 0;
  });
  EXPECT_EQ(Child.awaitExit(), 0);
}

TEST(LogDrain, LostLinesAreCountedAtTheEnd) {
  const LoggingChild Child([] {
    for (int Round = 0; Round < 4; ++Round) {
      logMoreThanAPipeHolds();
    }
    return drainLog(std::chrono::seconds(60)) ? 0 : 1;
  });
  constexpr useconds_t Late = 300000;
  ::usleep(Late);
  const std::string Text = Child.readAll();
  EXPECT_EQ(Child.awaitExit(), 0);
  EXPECT_NE(Text.find("lines_lost"), std::string::npos);
}

} // namespace
} // namespace vanillahill::observe
