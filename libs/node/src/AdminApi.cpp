#include "AdminApi.h"

#include <base/Hash.h>

namespace papayaway {

AdminApi::AdminApi(NodeContext& aContext)
  : mContext(aContext)
{
}

void
AdminApi::Add(const std::string& aMethod,
              const std::string& aPath,
              Access aAccess,
              Operation aOperation)
{
  mOperations.emplace(aMethod + " " + aPath,
                      Entry{ aAccess, std::move(aOperation) });
}

bool
AdminApi::HasToken(const HttpRequest& aRequest) const
{
  constexpr std::string_view kScheme = "Bearer ";
  std::string_view value = aRequest.mHeaders.Value("Authorization");
  if (!value.starts_with(kScheme)) {
    return false;
  }
  value.remove_prefix(kScheme.size());
  return EqualConstantTime(value, mContext.mSettings.mOperatorToken);
}

void
AdminApi::OnRequest(const Exchange& aExchange) const
{
  const HttpRequest& request = aExchange->Request();
  const auto found = mOperations.find(request.mMethod + " " + request.mPath);
  if (found == mOperations.end()) {
    aExchange->Respond(AdminError(404, "there is no such operation"));
    return;
  }
  if (found->second.mAccess == Access::Operator && !HasToken(request)) {
    aExchange->Respond(AdminError(401, "the operator token is missing"));
    return;
  }
  found->second.mOperation(aExchange);
}

HttpResponse
AdminError(int aStatus, const std::string& aText)
{
  return JsonResponse(aStatus, nlohmann::json{ { "error", aText } }.dump());
}

} // namespace papayaway
