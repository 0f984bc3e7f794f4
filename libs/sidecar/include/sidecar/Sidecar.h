#pragma once

#include <functional>
#include <memory>
#include <string>

#include <base/Error.h>
#include <config/SidecarSettings.h>
#include <net/EventLoop.h>
#include <sidecar/PlatformProtocol.h>
#include <sidecar/RowStore.h>

namespace papayaway::sidecar {

/** The main object of the process that runs beside one target. It proxies the
 *  requests of callers, exchanges state with other nodes and takes part in
 *  advancing rollouts. */
class Sidecar
{
public:
  /** @param aLogDescriptor the file descriptor for the log; standard output by
   *    default. */
  Sidecar(EventLoop& aLoop,
          const SidecarSettings& aSettings,
          const PlatformProtocol& aProtocol,
          RowStore& aStore,
          int aLogDescriptor = 1);
  ~Sidecar();
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  /** Binds all listeners and starts the exchange with nodes and store. */
  Expected<void> Start();

  /** Applies the settings that can change at run time and ignores the rest. */
  void Reload(const SidecarSettings& aSettings);

  /** Starts a graceful stop. Calls aStopped once the accepted requests have
   *  finished or the grace period is almost over. */
  void Stop(std::function<void()> aStopped);

  struct Impl;

private:
  std::unique_ptr<Impl> mImpl;
};

} // namespace papayaway::sidecar
