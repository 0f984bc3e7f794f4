#pragma once

#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

#include <base/Error.h>
#include <base/Millis.h>

namespace papayaway {

struct ChildOptions
{
  std::string mProgram;
  std::vector<std::string> mArguments;
  /** The file to which the standard error of the process is appended. */
  std::string mLogFile;
  /** Whether the process prints a "ready" line to standard output. If not,
   *  Start() does not wait, and standard output goes to the log file too. */
  bool mPrintsReadyLine = true;
};

/** A child process. It is killed when this object is destroyed. */
class ChildProcess
{
public:
  /** Starts a process and waits for its "ready" line, if it prints one.
   *  @return the process, or an error if it did not print the line within
   *    aTimeout. */
  static Expected<ChildProcess> Start(const ChildOptions& aOptions,
                                      Millis aTimeout = Seconds(20));

  ChildProcess(ChildProcess&& aOther) noexcept;
  ChildProcess& operator=(ChildProcess&& aOther) noexcept;
  ~ChildProcess();

  /** @return the value of aName in the "ready" line, or "". */
  [[nodiscard]] std::string Address(const std::string& aName) const;

  /** Sends a signal to the process if it has not been reaped. */
  void Signal(int aSignal) const;

  /** Sends SIGKILL and waits for the process to end. */
  void Kill();

  /** Sends SIGTERM and waits for the process to end.
   *  @return the exit code, or -1 if a signal ended the process, which includes
   *    SIGKILL after aTimeout. */
  int Terminate(Millis aTimeout = Seconds(20));

  /** @return whether the process has not ended. */
  [[nodiscard]] bool IsRunning();

  [[nodiscard]] pid_t Id() const { return mId; }

private:
  ChildProcess() = default;
  /** Collects the exit status if the process has ended; if aWait is set, waits
   *  for that. @return whether the process has ended. */
  bool Reap(bool aWait);

  pid_t mId = -1;
  int mExitCode = -1;
  std::map<std::string, std::string> mAddresses;
};

/** The resource usage of a process. */
struct ProcessUsage
{
  /** User and system processor time since the start of the process. */
  Millis mCpu;
  std::size_t mResidentBytes = 0;

  bool operator==(const ProcessUsage&) const = default;
};

/** @return the usage of a running process, or zeros if it can't be read. */
ProcessUsage UsageOf(pid_t aProcess);

} // namespace papayaway
