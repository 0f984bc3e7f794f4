#pragma once

#include <optional>

#include <base/Millis.h>
#include <gateway/TargetChoice.h>

namespace papayaway::gateway {

struct LoadNewsOptions
{
  /** Below this part of its slots a target starts each request at once, so
   *  nobody chooses otherwise for a change. */
  double mBusyPart = 0.5;
  /** A busy target's requests, as a part of its slots, change by this much. */
  double mStep = 0.1;
  /** The part of good runs changes by this much... */
  double mSuccessStep = 0.1;
  /** ...or the mean run time by this factor, either way. */
  double mRunFactor = 1.25;
  /** Unchanged news are told again after this time. */
  Millis mLongest{ 1000 };

  bool operator==(const LoadNewsOptions&) const = default;
};

/**
 * Decides when a target's load has to be told again.
 *
 * Each node tells each neighbour, so the messages grow with the square of the
 * nodes. Most of them would change no choice.
 */
class LoadNews
{
public:
  LoadNews() = default;
  explicit LoadNews(LoadNewsOptions aOptions)
    : mOptions(aOptions)
  {
  }

  /** @return whether the load differs enough from what was told last, or that
   *    is too long ago. */
  [[nodiscard]] bool IsNews(const TargetLoad& aLoad, Millis aNow) const;

  void OnTold(const TargetLoad& aLoad, Millis aNow);

private:
  LoadNewsOptions mOptions;
  std::optional<TargetLoad> mTold;
  Millis mToldAt;
};

} // namespace papayaway::gateway
