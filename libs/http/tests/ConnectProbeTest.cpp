#include <http/ConnectProbe.h>

#include <optional>
#include <string>

#include "LoopFixture.h"

namespace papayaway {
namespace {

class ConnectProbeTest : public LoopFixture
{
protected:
  std::optional<ProbeResult> Probe(const std::string& aAddress)
  {
    std::optional<ProbeResult> result;
    const ConnectProbe probe(mLoop,
                             aAddress,
                             Seconds(1),
                             [&](ProbeResult aResult) { result = aResult; });
    EXPECT_TRUE(RunUntil([&] { return result.has_value(); }));
    return result;
  }
};

// Guards against taking a target that has ended for one that listens, and the
// other way round.
TEST_F(ConnectProbeTest, TellsWhetherAProcessListens)
{
  auto listener = std::move(*TcpListener::Listen(
    mLoop, "127.0.0.1:0", [](const std::shared_ptr<TcpStream>&) {}));
  const std::string address = listener->Address();
  EXPECT_EQ(Probe(address), ProbeResult::Accepted);
  listener.reset();
  EXPECT_EQ(Probe(address), ProbeResult::Refused);
}

// Guards against a callback that runs after the owner has ended the probe.
TEST_F(ConnectProbeTest, DestroyedProbeRunsNoCallback)
{
  bool ran = false;
  {
    const ConnectProbe probe(
      mLoop, "127.0.0.1:1", Millis{ 10 }, [&](ProbeResult) { ran = true; });
  }
  RunFor(Millis{ 30 });
  EXPECT_FALSE(ran);
}

} // namespace
} // namespace papayaway
