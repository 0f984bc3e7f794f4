#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <base/Millis.h>
#include <net/EventLoop.h>

namespace papayaway {

/** What a server sends in response to one request. It need not be HTTP. */
struct ScriptedResponse
{
  enum class Ending
  {
    /** The connection stays open for further requests. */
    KeepOpen,
    /** The end of the stream is signalled; the connection stays open until the
     *  client closes it. */
    Close,
    /** The connection is reset once the client has received all bytes. */
    Reset,
    /** The end of the stream is signalled, then the connection is reset. */
    CloseThenReset,
  };

  std::string mBytes;
  Ending mEnding = Ending::KeepOpen;
  /** Time between the bytes and the ending. */
  Millis mTimeToEnding;
  /** Whether the whole request is read first. If not, the response is sent once
   *  the header of the request has arrived, and nothing more is read. */
  bool mReadsBody = true;

  bool operator==(const ScriptedResponse&) const = default;
};

/** An HTTP server for tests that sends arbitrary bytes and ends its connections
 *  in different ways. */
class ScriptedServer
{
public:
  /** Receives the header of a request, up to the empty line.
   *  @return the response to it. */
  using Script = std::function<ScriptedResponse(const std::string& aHeader)>;

  /** Listens at an "IPv4:port"; throws std::runtime_error if it can't.
   *  @param aReceiveBuffer the size of the receive buffer of each connection in
   *    bytes; that of the kernel if 0. */
  ScriptedServer(EventLoop& aLoop,
                 Script aScript,
                 const std::string& aAddress = "127.0.0.1:0",
                 int aReceiveBuffer = 0);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  [[nodiscard]] const std::string& Address() const { return mAddress; }

  /** @return the number of requests received. */
  [[nodiscard]] int Requests() const { return mRequests; }

  /** @return the number of requests received with this value of X-Request-Id.
   */
  [[nodiscard]] int Requests(const std::string& aId) const;

  /** @return how often each value of X-Request-Id was received. */
  [[nodiscard]] const std::map<std::string, int>& RequestsById() const
  {
    return mRequestsById;
  }

  /** @return the greatest number of requests received on one connection. */
  [[nodiscard]] int MostRequestsOnAConnection() const
  {
    return mMostRequestsOnAConnection;
  }

private:
  struct Connection;

  void Accept();
  void OnReadable(Connection& aConnection);
  void Respond(Connection& aConnection);
  void End(Connection& aConnection);
  static void Reset(Connection& aConnection);

  EventLoop& mLoop;
  Script mScript;
  int mListener = -1;
  std::string mAddress;
  std::unique_ptr<IoWatcher> mAcceptor;
  std::map<int, std::unique_ptr<Connection>> mConnections;
  int mNextConnection = 0;
  int mRequests = 0;
  int mMostRequestsOnAConnection = 0;
  std::map<std::string, int> mRequestsById;
};

/** @return the value of a field in the text of a header, or "". */
std::string HeaderField(const std::string& aHeader, const std::string& aName);

} // namespace papayaway
