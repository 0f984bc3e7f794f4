#pragma once

#include <functional>
#include <memory>
#include <string>

#include <base/Millis.h>
#include <http/TcpStream.h>
#include <net/EventLoop.h>

namespace papayaway {

enum class ProbeResult
{
  /** The connection was established. */
  Accepted,
  /** The attempt failed at once: nothing listens at the address. */
  Refused,
  /** There was no response within the timeout. */
  TimedOut,
};

/** Checks whether a process listens at an address by opening a connection,
 *  which is closed at once. Nothing is sent on it. */
class ConnectProbe
{
public:
  using Callback = std::function<void(ProbeResult)>;

  /** @param aAddress "IPv4:port".
   *  @param aTimeout the longest time to wait for the connection.
   *  @param aCallback runs once, unless this object is destroyed before. It
   *    must not destroy this object. */
  ConnectProbe(EventLoop& aLoop,
               const std::string& aAddress,
               Millis aTimeout,
               Callback aCallback);
  ~ConnectProbe();
  ConnectProbe(const ConnectProbe&) = delete;
  ConnectProbe& operator=(const ConnectProbe&) = delete;

private:
  void End(ProbeResult aResult);

  Callback mCallback;
  std::shared_ptr<TcpStream> mStream;
  Timer mTimer;
};

} // namespace papayaway
