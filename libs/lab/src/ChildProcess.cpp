#include <lab/ChildProcess.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace papayaway {

namespace {

constexpr Millis kExitPollPeriod{ 10 };

/** Runs the program in the forked process, with aOutput as standard output. */
[[noreturn]] void
ExecuteProgram(const ChildOptions& aOptions, int aOutput)
{
  // The kernel kills this process when its parent ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (aOptions.mPrintsReadyLine) {
    dup2(aOutput, STDOUT_FILENO);
  }
  const int log =
    open(aOptions.mLogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (log >= 0) {
    dup2(log, STDERR_FILENO);
    if (!aOptions.mPrintsReadyLine) {
      dup2(log, STDOUT_FILENO);
    }
  }
  std::vector<char*> arguments;
  arguments.push_back(const_cast<char*>(aOptions.mProgram.c_str()));
  for (const std::string& argument : aOptions.mArguments) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  execv(aOptions.mProgram.c_str(), arguments.data());
  _exit(127);
}

/** @return the first line from aPipe, or what was read before the timeout or
 *    the end of the stream. */
std::string
ReadLine(int aPipe, Millis aTimeout)
{
  std::string line;
  const Millis deadline = SteadyNow() + aTimeout;
  while (SteadyNow() < deadline) {
    pollfd waiting{ aPipe, POLLIN, 0 };
    const Millis left = deadline - SteadyNow();
    if (poll(&waiting, 1, static_cast<int>(left.WholeMillis()) + 1) <= 0) {
      continue;
    }
    char letter = 0;
    if (read(aPipe, &letter, 1) != 1) {
      break;
    }
    if (letter == '\n') {
      return line;
    }
    line += letter;
  }
  return line;
}

/** Waits until the other end of a pipe is closed. It is closed when the child
 *  executes its program, and with it the child's copies of the descriptors of
 *  this process, such as listening sockets. */
void
WaitForEnd(int aPipe)
{
  char byte = 0;
  while (read(aPipe, &byte, 1) < 0 && errno == EINTR) {
  }
}

} // namespace

Expected<ChildProcess>
ChildProcess::Start(const ChildOptions& aOptions, Millis aTimeout)
{
  std::array<int, 2> pipe{};
  if (pipe2(pipe.data(), O_CLOEXEC) != 0) {
    return Fail(ErrorCode::Internal,
                "can't create a pipe for the output of a process");
  }
  ChildProcess process;
  process.mId = fork();
  if (process.mId == 0) {
    ExecuteProgram(aOptions, pipe[1]);
  }
  close(pipe[1]);
  if (!aOptions.mPrintsReadyLine) {
    WaitForEnd(pipe[0]);
    close(pipe[0]);
    return process;
  }
  std::istringstream words(ReadLine(pipe[0], aTimeout));
  close(pipe[0]);
  std::string word;
  words >> word;
  if (word != "ready") {
    process.Kill();
    return Fail(ErrorCode::Unavailable,
                aOptions.mProgram + " did not become ready, see " +
                  aOptions.mLogFile);
  }
  while (words >> word) {
    const std::size_t equals = word.find('=');
    if (equals != std::string::npos) {
      process.mAddresses[word.substr(0, equals)] = word.substr(equals + 1);
    }
  }
  return process;
}

ChildProcess::ChildProcess(ChildProcess&& aOther) noexcept
  : mId(std::exchange(aOther.mId, -1))
  , mExitCode(aOther.mExitCode)
  , mAddresses(std::move(aOther.mAddresses))
{
}

ChildProcess&
ChildProcess::operator=(ChildProcess&& aOther) noexcept
{
  if (this != &aOther) {
    Kill();
    mId = std::exchange(aOther.mId, -1);
    mExitCode = aOther.mExitCode;
    mAddresses = std::move(aOther.mAddresses);
  }
  return *this;
}

ChildProcess::~ChildProcess()
{
  Kill();
}

std::string
ChildProcess::Address(const std::string& aName) const
{
  const auto found = mAddresses.find(aName);
  return found == mAddresses.end() ? std::string() : found->second;
}

void
ChildProcess::Signal(int aSignal) const
{
  if (mId > 0) {
    kill(mId, aSignal);
  }
}

bool
ChildProcess::Reap(bool aWait)
{
  if (mId <= 0) {
    return true;
  }
  int status = 0;
  if (waitpid(mId, &status, aWait ? 0 : WNOHANG) != mId) {
    return false;
  }
  mExitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  mId = -1;
  return true;
}

void
ChildProcess::Kill()
{
  if (mId > 0) {
    kill(mId, SIGKILL);
    Reap(true);
  }
}

int
ChildProcess::Terminate(Millis aTimeout)
{
  Signal(SIGCONT);
  Signal(SIGTERM);
  const Millis deadline = SteadyNow() + aTimeout;
  while (!Reap(false)) {
    if (SteadyNow() > deadline) {
      Kill();
      return -1;
    }
    std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(kExitPollPeriod.mCount));
  }
  return mExitCode;
}

bool
ChildProcess::IsRunning()
{
  return !Reap(false);
}

ProcessUsage
UsageOf(pid_t aProcess)
{
  const std::string directory = "/proc/" + std::to_string(aProcess);
  std::ifstream stat(directory + "/stat");
  std::string text(std::istreambuf_iterator<char>(stat), {});
  // The name of the program is in parentheses and may contain spaces and
  // parentheses, so the fields are counted from the last closing one.
  const std::size_t end = text.rfind(')');
  if (end == std::string::npos) {
    return {};
  }
  std::istringstream fields(text.substr(end + 1));
  std::vector<std::string> values;
  for (std::string value; fields >> value;) {
    values.push_back(value);
  }
  constexpr std::size_t kUserTime = 11;
  constexpr std::size_t kSystemTime = 12;
  constexpr std::size_t kResidentPages = 21;
  if (values.size() <= kResidentPages) {
    return {};
  }
  const auto ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
  const double used =
    std::stod(values[kUserTime]) + std::stod(values[kSystemTime]);
  return { .mCpu = Seconds(used / ticks),
           .mResidentBytes = std::stoull(values[kResidentPages]) *
                             static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) };
}

} // namespace papayaway
