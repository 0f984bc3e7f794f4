#include <lab/LoopWait.h>

namespace papayaway {

namespace {

constexpr Millis kPollPeriod{ 2 };

} // namespace

bool
RunUntil(EventLoop& aLoop, const std::function<bool()>& aDone, Millis aLimit)
{
  bool done = false;
  Timer poll(aLoop, [&] {
    if (aDone()) {
      done = true;
      aLoop.Stop();
    }
  });
  Timer limit(aLoop, [&] { aLoop.Stop(); });
  poll.StartRepeating(kPollPeriod);
  limit.StartOnce(aLimit);
  aLoop.Run();
  return done;
}

void
RunFor(EventLoop& aLoop, Millis aTime)
{
  Timer end(aLoop, [&] { aLoop.Stop(); });
  end.StartOnce(aTime);
  aLoop.Run();
}

} // namespace papayaway
