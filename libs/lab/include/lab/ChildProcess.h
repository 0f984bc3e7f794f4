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
  /** Receives what the process writes on standard error. */
  std::string mLogFile;
  /** Whether the process prints a "ready" line. If not, Start() does not wait,
   *  and standard output goes to the log file too. */
  bool mAnnounces = true;
};

/** A process that was started here and ends with this object at the latest. */
class ChildProcess
{
public:
  /** Starts a process and waits for its "ready" line, if it prints one.
   *  @return the process, or an error if it ended or said nothing in time. */
  static Expected<ChildProcess> Start(const ChildOptions& aOptions,
                                      Millis aTimeout = Seconds(20));

  ChildProcess(ChildProcess&& aOther) noexcept;
  ChildProcess& operator=(ChildProcess&& aOther) noexcept;
  ~ChildProcess();

  /** @return the value of aName in the ready line, or "". */
  [[nodiscard]] std::string Address(const std::string& aName) const;

  /** Sends a signal to the process if it runs. */
  void Signal(int aSignal) const;

  /** Sends SIGKILL and waits for the end. */
  void Kill();

  /** Sends SIGTERM and waits for the end.
   *  @return the exit code, or -1 if it did not end in time and was killed. */
  int Terminate(Millis aTimeout = Seconds(20));

  /** @return whether the process has not ended. */
  [[nodiscard]] bool IsRunning();

  [[nodiscard]] pid_t Id() const { return mId; }

private:
  ChildProcess() = default;
  bool Reap(bool aWait);

  pid_t mId = -1;
  int mExitCode = -1;
  std::map<std::string, std::string> mAddresses;
};

/** What a process has used so far. */
struct ProcessUsage
{
  /** Processor time of the process. */
  Millis mCpu;
  std::size_t mResidentBytes = 0;

  bool operator==(const ProcessUsage&) const = default;
};

/** @return the usage of a running process, zero if it can't be read. */
ProcessUsage UsageOf(pid_t aProcess);

} // namespace papayaway
