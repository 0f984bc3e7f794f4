#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <base/Millis.h>

namespace papayaway {

/** The leases of the platform stand-in with their fencing tokens. */
class Leases
{
public:
  using Token = std::uint64_t;

  struct Lease
  {
    std::string mHolder;
    std::string mValue;
    /** Increases with each grant that is not a renewal and is kept after the
     *  end of the lease, so that a token is never reused. */
    Token mToken = 0;
    Millis mExpiry;
  };

  struct Claim
  {
    std::string mHolder;
    std::string mValue;
    Millis mDuration;
    /** The token of the lease to renew; nothing for a new lease. */
    std::optional<Token> mToken;
  };

  /** Acquires or renews a lease at aNow. A renewal keeps the token if no other
   *  claim has been granted since. The same holder without a token, as after a
   *  restart, gets a new token, which fences off its previous process.
   *  @return the token, or nothing if another claim holds the lease. */
  std::optional<Token> Acquire(const std::string& aName,
                               const Claim& aClaim,
                               Millis aNow);

  /** Ends the lease if it was granted to aHolder with aToken.
   *  @return whether the lease was ended. */
  bool Release(std::string_view aName, std::string_view aHolder, Token aToken);

  /** @return the lease if it is held at aNow, or nullptr. */
  [[nodiscard]] const Lease* Read(std::string_view aName, Millis aNow) const;

  /** @return whether the lease is held with aToken at aNow. */
  [[nodiscard]] bool Holds(std::string_view aName,
                           Token aToken,
                           Millis aNow) const;

  [[nodiscard]] std::size_t Size() const { return mLeases.size(); }

  [[nodiscard]] bool Contains(std::string_view aName) const
  {
    return mLeases.contains(aName);
  }

private:
  std::map<std::string, Lease, std::less<>> mLeases;
};

} // namespace papayaway
