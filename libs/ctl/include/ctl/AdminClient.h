#pragma once

#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include <base/Millis.h>
#include <net/HttpClient.h>

namespace papayaway {

/** The answer of one node, or why there is none. */
struct AdminReply
{
  std::string mAddress;
  HttpFailure mFailure = HttpFailure::None;
  /** Whether the request may have taken effect without an answer. */
  bool mMayHaveRun = false;
  int mStatus = 0;
  /** The header Papayaway-Outcome or the member "outcome" of the body. */
  std::string mOutcome;
  /** The body, or a discarded value if it is not JSON. */
  nlohmann::json mBody;
  std::string mError;

  [[nodiscard]] bool Answered() const { return mFailure == HttpFailure::None; }
  /** Whether the call succeeded with a JSON object as its body. */
  [[nodiscard]] bool Succeeded() const
  {
    return Answered() && mStatus == 200 && mBody.is_object();
  }
  /** @return a sentence on an unsuccessful call. */
  [[nodiscard]] std::string Problem() const;
};

/** Calls the admin interface of nodes and waits for the answers. */
class AdminClient
{
public:
  /** @param aTimeout the time for one call. */
  AdminClient(std::string aToken, Millis aTimeout);

  AdminReply Get(const std::string& aAddress, const std::string& aPath);

  AdminReply Post(const std::string& aAddress,
                  const std::string& aPath,
                  const nlohmann::json& aBody);

  /** Asks the addresses in order until one answers with less than 500.
   *  @return that answer, or the last one. */
  AdminReply GetFromFirst(const std::vector<std::string>& aAddresses,
                          const std::string& aPath);

  /** Asks all addresses at a time, within a bound on open calls.
   *  @return the answers in the order of aAddresses. */
  std::vector<AdminReply> GetFromAll(const std::vector<std::string>& aAddresses,
                                     const std::string& aPath);

  /** Waits for aDelay. */
  void Wait(Millis aDelay);

private:
  HttpCall MakeCall(const std::string& aAddress,
                    const std::string& aMethod,
                    const std::string& aPath,
                    std::string aBody) const;
  AdminReply Run(HttpCall aCall);
  /** Runs until Stop(). */
  void RunLoop();

  EventLoop mLoop;
  HttpClient mClient;
  std::string mToken;
  Millis mTimeout;
};

} // namespace papayaway
