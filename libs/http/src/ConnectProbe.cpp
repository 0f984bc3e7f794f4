#include <http/ConnectProbe.h>

#include <utility>

namespace papayaway {

ConnectProbe::ConnectProbe(EventLoop& aLoop,
                           const std::string& aAddress,
                           Millis aTimeout,
                           Callback aCallback)
  : mCallback(std::move(aCallback))
  , mStream(TcpStream::Connect(aLoop, aAddress))
  , mTimer(aLoop, [this] { End(ProbeResult::TimedOut); })
{
  mTimer.StartOnce(aTimeout);
  mStream->Start({ .mConnected = [this] { End(ProbeResult::Accepted); },
                   .mEnded = [this](bool) { End(ProbeResult::Refused); } });
}

ConnectProbe::~ConnectProbe()
{
  mStream->Close();
}

void
ConnectProbe::End(ProbeResult aResult)
{
  mTimer.Stop();
  mStream->Close();
  mCallback(aResult);
}

} // namespace papayaway
