#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include <http/TcpStream.h>
#include <lab/LoopWait.h>

namespace papayaway {

/** Base class of tests that run an event loop. */
class LoopFixture : public ::testing::Test
{
protected:
  /** Runs the loop until aDone returns true or two seconds have passed.
   *  @return whether aDone returned true. */
  [[nodiscard]] bool RunUntil(const std::function<bool()>& aDone)
  {
    return papayaway::RunUntil(mLoop, aDone, Seconds(2));
  }

  void RunFor(Millis aTime) { papayaway::RunFor(mLoop, aTime); }

  EventLoop mLoop;
};

/** One end of a TCP connection; stores all bytes that it receives. */
class RawPeer
{
public:
  static std::unique_ptr<RawPeer> Connect(EventLoop& aLoop,
                                          const std::string& aAddress)
  {
    return std::make_unique<RawPeer>(TcpStream::Connect(aLoop, aAddress));
  }

  explicit RawPeer(std::shared_ptr<TcpStream> aStream)
    : mStream(std::move(aStream))
  {
    mStream->Start(
      { .mReceived = [this](std::string_view aBytes) { mRead += aBytes; },
        .mEnded = [this](bool) { mEnded = true; } });
  }
  RawPeer(const RawPeer&) = delete;
  RawPeer& operator=(const RawPeer&) = delete;
  ~RawPeer() { mStream->Close(); }

  void Write(std::string_view aBytes) { mStream->Write(aBytes); }
  void Close() { mStream->Close(); }
  [[nodiscard]] const std::string& Read() const { return mRead; }
  [[nodiscard]] bool Ended() const { return mEnded; }

private:
  std::shared_ptr<TcpStream> mStream;
  std::string mRead;
  bool mEnded = false;
};

} // namespace papayaway
