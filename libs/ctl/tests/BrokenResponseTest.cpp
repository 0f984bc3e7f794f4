#include <atomic>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include <ctl/AdminClient.h>
#include <lab/ScriptedServer.h>

namespace papayaway {
namespace {

using Ending = ScriptedResponse::Ending;

constexpr Millis kStopCheckPeriod{ 10 };

/** A node with a scripted response. It runs on its own thread, because
 *  AdminClient blocks the thread of the test. */
class BrokenNode
{
public:
  explicit BrokenNode(const ScriptedResponse& aResponse)
  {
    std::promise<std::string> address;
    mThread = std::thread([&] {
      EventLoop loop;
      ScriptedServer server(loop,
                            [&](const std::string&) { return aResponse; });
      Timer stopCheck(loop, [&] {
        if (mStopped) {
          loop.Stop();
        }
      });
      stopCheck.StartRepeating(kStopCheckPeriod);
      address.set_value(server.Address());
      loop.Run();
    });
    mAddress = address.get_future().get();
  }

  ~BrokenNode()
  {
    mStopped = true;
    mThread.join();
  }

  BrokenNode(const BrokenNode&) = delete;
  BrokenNode& operator=(const BrokenNode&) = delete;

  [[nodiscard]] const std::string& Address() const { return mAddress; }

private:
  std::atomic<bool> mStopped = false;
  std::string mAddress;
  std::thread mThread;
};

// Guards against reporting to the operator what a broken response says.
TEST(AdminClient, BrokenResponseIsNoResponse)
{
  const std::string body = R"({"version":5})";
  const std::string fields = "Papayaway-Outcome: done\r\n";
  const std::string length =
    "Content-Length: " + std::to_string(body.size()) + "\r\n";
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  for (const ScriptedResponse& response :
       { ScriptedResponse{ ok + fields + "\r\n" + body, Ending::Reset },
         ScriptedResponse{ "HTTP/1.1 000 None\r\n" + fields + length + "\r\n" +
                           body },
         ScriptedResponse{ ok + fields + "X Bad: v\r\n" + length + "\r\n" +
                           body },
         ScriptedResponse{ ok + fields +
                           "X\x01"
                           "Bad: v\r\n" +
                           length + "\r\n" + body },
         ScriptedResponse{ ok + fields + "Content-Length : 4\r\n\r\n" + body,
                           Ending::Close } }) {
    const BrokenNode node(response);
    AdminClient client("token", Seconds(3));
    const AdminResponse read = client.Get(node.Address(), "/v1/document");
    EXPECT_FALSE(read.Answered()) << response.mBytes;
    const AdminResponse written =
      client.Post(node.Address(), "/v1/promote", {});
    EXPECT_FALSE(written.Answered()) << response.mBytes;
    EXPECT_TRUE(written.mMayHaveRun) << response.mBytes;
    EXPECT_EQ(written.mOutcome, "") << response.mBytes;
  }
}

} // namespace
} // namespace papayaway
