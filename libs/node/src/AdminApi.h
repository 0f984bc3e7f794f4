#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include <net/HttpServer.h>

#include "NodeContext.h"

namespace papayaway {

/** The HTTP interface for operators, for metrics and for the local target. */
class AdminApi
{
public:
  using Exchange = std::shared_ptr<HttpExchange>;
  /** Handles a request; may respond after the handler has returned. */
  using Operation = std::function<void(const Exchange&)>;

  enum class Access
  {
    /** Any client that can reach the listener, such as the target of this
     *  host. */
    Open,
    /** Clients with the operator token. */
    Operator,
  };

  explicit AdminApi(NodeContext& aContext);

  /** Adds an operation for a method and a path. */
  void Add(const std::string& aMethod,
           const std::string& aPath,
           Access aAccess,
           Operation aOperation);

  void OnRequest(const Exchange& aExchange) const;

private:
  struct Entry
  {
    Access mAccess;
    Operation mOperation;
  };

  [[nodiscard]] bool HasToken(const HttpRequest& aRequest) const;

  NodeContext& mContext;
  std::map<std::string, Entry> mOperations;
};

/** @return a response with a JSON error text. */
HttpResponse AdminError(int aStatus, const std::string& aText);

} // namespace papayaway
