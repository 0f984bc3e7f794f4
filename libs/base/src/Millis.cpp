#include <base/Millis.h>

#include <chrono>
#include <ctime>

namespace papayaway {

namespace {

template<typename Clock>
Millis
Now()
{
  using FractionalMillis = std::chrono::duration<double, std::milli>;
  return { std::chrono::duration_cast<FractionalMillis>(
             Clock::now().time_since_epoch())
             .count() };
}

} // namespace

Millis
SteadyNow()
{
  return Now<std::chrono::steady_clock>();
}

Millis
BootNow()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return Seconds(static_cast<double>(time.tv_sec)) +
         Millis{ static_cast<double>(time.tv_nsec) / 1e6 };
}

Millis
WallNow()
{
  return Now<std::chrono::system_clock>();
}

} // namespace papayaway
