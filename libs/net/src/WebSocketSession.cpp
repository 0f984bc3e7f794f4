#include "WebSocketSession.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace papayaway {

namespace {

// Limit of 4 MiB for an encoded message, plus room for its frame header.
constexpr std::size_t kMaxMessageSize = (std::size_t{ 4 } << 20) + 1024;

struct ServerConfig : websocketpp::config::core
{
  // The library logs nothing; the owner of the session does.
  static const websocketpp::log::level elog_level = 0;
  static const websocketpp::log::level alog_level = 0;
  static const std::size_t max_message_size = kMaxMessageSize;
  static const bool drop_on_protocol_error = true;
  static const bool silent_close = true;
};

struct ClientConfig : websocketpp::config::core_client
{
  static const websocketpp::log::level elog_level = 0;
  static const websocketpp::log::level alog_level = 0;
  static const std::size_t max_message_size = kMaxMessageSize;
  static const bool drop_on_protocol_error = true;
  static const bool silent_close = true;
};

template<typename Endpoint>
class Session : public WebSocketSession
{
public:
  explicit Session(WebSocketHandlers aHandlers)
    : mHandlers(std::move(aHandlers))
  {
    using websocketpp::connection_hdl;
    mEndpoint.clear_access_channels(websocketpp::log::alevel::all);
    mEndpoint.clear_error_channels(websocketpp::log::elevel::all);
    mEndpoint.set_write_handler(
      [this](const connection_hdl&, const char* aData, std::size_t aSize) {
        mHandlers.mWrite(aData, aSize);
        return std::error_code();
      });
    mEndpoint.set_shutdown_handler([this](const connection_hdl&) {
      Close("protocol error: " + mConnection->get_ec().message());
      return std::error_code();
    });
    mEndpoint.set_open_handler([this](const connection_hdl&) {
      mOpen = true;
      mHandlers.mOpened();
    });
    mEndpoint.set_message_handler(
      [this](const connection_hdl&,
             const typename Endpoint::message_ptr& aMessage) {
        mHandlers.mMessage(std::move(aMessage->get_raw_payload()));
      });
    mEndpoint.set_close_handler(
      [this](const connection_hdl&) { Close("the peer closed the session"); });
    mEndpoint.set_fail_handler([this](const connection_hdl&) {
      Close(mConnection ? "handshake failed: " + mConnection->get_ec().message()
                        : "handshake failed");
    });
  }

  ~Session() override
  {
    // The pending read of the connection keeps it alive until fatal_error()
    // reports that the transport has ended.
    mClosed = true;
    mHandlers.mWrite = [](const char*, std::size_t) {};
    if (mConnection) {
      mConnection->fatal_error();
    }
  }

  void Receive(const char* aData, std::size_t aSize) override
  {
    if (mConnection) {
      mConnection->read_all(aData, aSize);
    }
  }

  void Send(const std::string& aMessage) override
  {
    if (mOpen) {
      mConnection->send(aMessage, websocketpp::frame::opcode::binary);
    }
  }

protected:
  void Close(const std::string& aReason)
  {
    mOpen = false;
    if (!mClosed) {
      mClosed = true;
      mHandlers.mClosed(aReason);
    }
  }

  WebSocketHandlers mHandlers;
  Endpoint mEndpoint;
  typename Endpoint::connection_ptr mConnection;
  bool mOpen = false;
  bool mClosed = false;
};

class ServerSession : public Session<websocketpp::server<ServerConfig>>
{
public:
  explicit ServerSession(WebSocketHandlers aHandlers)
    : Session(std::move(aHandlers))
  {
    mEndpoint.set_validate_handler([this](const websocketpp::connection_hdl&) {
      if (mHandlers.mAuthorize(
            mConnection->get_request_header("Authorization"))) {
        return true;
      }
      mConnection->set_status(websocketpp::http::status_code::unauthorized);
      return false;
    });
    mConnection = mEndpoint.get_connection();
    mConnection->start();
  }
};

class ClientSession : public Session<websocketpp::client<ClientConfig>>
{
public:
  ClientSession(const std::string& aAddress,
                const std::string& aAuthorization,
                WebSocketHandlers aHandlers)
    : Session(std::move(aHandlers))
  {
    std::error_code error;
    mConnection = mEndpoint.get_connection("ws://" + aAddress + "/", error);
    if (error) {
      mConnection.reset();
      Close(error.message());
      return;
    }
    mConnection->replace_header("Authorization", aAuthorization);
    mEndpoint.connect(mConnection);
  }
};

} // namespace

std::unique_ptr<WebSocketSession>
WebSocketSession::Accept(WebSocketHandlers aHandlers)
{
  return std::make_unique<ServerSession>(std::move(aHandlers));
}

std::unique_ptr<WebSocketSession>
WebSocketSession::Connect(const std::string& aAddress,
                          const std::string& aAuthorization,
                          WebSocketHandlers aHandlers)
{
  return std::make_unique<ClientSession>(
    aAddress, aAuthorization, std::move(aHandlers));
}

} // namespace papayaway
