#pragma once

#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include <base/Millis.h>
#include <net/HttpClient.h>

namespace papayaway {

/** The response of one node, or the error if there is none. */
struct AdminResponse
{
  std::string mAddress;
  HttpFailure mFailure = HttpFailure::None;
  /** Whether the node may have run the request although no response arrived. */
  bool mMayHaveRun = false;
  int mStatus = 0;
  /** The value of the header Papayaway-Outcome or, without that header, of the
   *  member "outcome" of the body. */
  std::string mOutcome;
  /** The parsed body; is_discarded() is true if it is not valid JSON. */
  nlohmann::json mBody;
  std::string mError;

  [[nodiscard]] bool Answered() const { return mFailure == HttpFailure::None; }
  /** @return whether the status is 200 and the body a JSON object. */
  [[nodiscard]] bool Succeeded() const
  {
    return Answered() && mStatus == 200 && mBody.is_object();
  }
  /** @return an error message with the address, for an unsuccessful call. */
  [[nodiscard]] std::string ErrorMessage() const;
};

/** A blocking client for the admin interface of nodes. */
class AdminClient
{
public:
  /** @param aToken the operator token, or "" to send none.
   *  @param aTimeout the timeout of one call. */
  AdminClient(std::string aToken, Millis aTimeout);

  AdminResponse Get(const std::string& aAddress, const std::string& aPath);

  AdminResponse Post(const std::string& aAddress,
                     const std::string& aPath,
                     const nlohmann::json& aBody);

  /** Calls the addresses in order until one responds with a status below 500.
   *  @return that response, or the last one if there is none. */
  AdminResponse GetFromFirst(const std::vector<std::string>& aAddresses,
                             const std::string& aPath);

  /** Calls all addresses concurrently, up to a limit on calls in flight.
   *  @return the responses in the order of aAddresses. */
  std::vector<AdminResponse> GetFromAll(
    const std::vector<std::string>& aAddresses,
    const std::string& aPath);

  void Wait(Millis aDelay);

private:
  HttpCall MakeCall(const std::string& aAddress,
                    const std::string& aMethod,
                    const std::string& aPath,
                    std::string aBody) const;
  AdminResponse Run(HttpCall aCall);
  /** Runs mLoop until it is stopped. */
  void RunLoop();

  EventLoop mLoop;
  HttpClient mClient;
  std::string mToken;
  Millis mTimeout;
};

} // namespace papayaway
