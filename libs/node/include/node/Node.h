#pragma once

#include <functional>
#include <memory>
#include <string>

#include <base/Error.h>
#include <config/NodeSettings.h>
#include <net/EventLoop.h>

namespace papayaway {

/** The daemon of one target host. It proxies calls, is a member of the mesh
 *  and, when elected, acts as the relay of its data centre and as the conductor
 *  of version moves. */
class Node
{
public:
  Node(EventLoop& aLoop, const NodeSettings& aSettings);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /** Binds the listeners and starts to join the mesh.
   *  @return nothing, or the error of a listener that could not be bound. */
  Expected<void> Start();

  /** @return the bound addresses: "ready caller=… admin=… peer=…". */
  [[nodiscard]] std::string ReadyLine() const;

  /** Stops accepting calls, waits for the calls in flight up to the drain
   *  timeout and leaves the mesh.
   *  @param aDone runs when the node has left the mesh. */
  void Stop(std::function<void()> aDone);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace papayaway
