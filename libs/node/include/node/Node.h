#pragma once

#include <functional>
#include <memory>
#include <string>

#include <base/Error.h>
#include <config/NodeSettings.h>
#include <net/EventLoop.h>

namespace papayaway {

/** The daemon of one target host: proxy, member of the mesh, and relay or
 *  conductor when it is its turn. */
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

  /** Takes no more calls, waits for those in flight and leaves the mesh.
   *  @param aDone runs when nothing is left to do. */
  void Stop(std::function<void()> aDone);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace papayaway
