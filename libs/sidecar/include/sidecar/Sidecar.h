#pragma once

#include <functional>
#include <memory>
#include <string>

#include <base/Error.h>
#include <config/SidecarSettings.h>
#include <net/EventLoop.h>
#include <sidecar/PlatformPort.h>
#include <sidecar/RowStore.h>

namespace papayaway::sidecar {

/** The process beside one target: proxy, member and, by turns, the one that
 *  takes a rollout's next step. */
class Sidecar
{
public:
  /** @param aLogDescriptor where the log lines go; standard output. */
  Sidecar(EventLoop& aLoop,
          const SidecarSettings& aSettings,
          const PlatformPort& aPort,
          RowStore& aStore,
          int aLogDescriptor = 1);
  ~Sidecar();
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  /** Binds all listeners. */
  Expected<void> Start();

  /** Takes over what may change while running. */
  void Reload(const SidecarSettings& aSettings);

  /** Finishes what was taken and then calls aStopped. */
  void Stop(std::function<void()> aStopped);

  struct Impl;

private:
  std::unique_ptr<Impl> mImpl;
};

} // namespace papayaway::sidecar
