#pragma once

#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/eventfd.h>
#include <unistd.h>

#include <net/HttpServer.h>

namespace papayaway {

/** A server for the admin interface of a node with fixed responses. It runs on
 *  its own thread, because AdminClient blocks the thread of the test. */
class FakeNode
{
public:
  /** The responses to one method and path in order; the last one repeats. For
   *  std::nullopt the request gets no response. */
  using Responses = std::vector<std::optional<HttpResponse>>;

  /** @param aResponses the responses by "METHOD /path". */
  explicit FakeNode(std::map<std::string, Responses> aResponses)
    : mResponses(std::move(aResponses))
  {
    std::promise<std::string> address;
    mThread = std::thread([&] { Serve(address); });
    mAddress = address.get_future().get();
  }

  ~FakeNode()
  {
    eventfd_write(mStop, 1);
    mThread.join();
    close(mStop);
  }

  FakeNode(const FakeNode&) = delete;
  FakeNode& operator=(const FakeNode&) = delete;

  [[nodiscard]] const std::string& Address() const { return mAddress; }

  /** @return the requests received so far. */
  std::vector<HttpRequest> Requests()
  {
    const std::lock_guard lock(mMutex);
    return mRequests;
  }

private:
  void Serve(std::promise<std::string>& aAddress)
  {
    EventLoop loop;
    std::vector<std::shared_ptr<HttpExchange>> unanswered;
    auto server = HttpServer::Listen(
      loop, {}, [&](const std::shared_ptr<HttpExchange>& aExchange) {
        const HttpRequest& request = aExchange->Request();
        const std::lock_guard lock(mMutex);
        mRequests.push_back(request);
        const std::string call = request.mMethod + " " + request.mPath;
        const auto responses = mResponses.find(call);
        if (responses == mResponses.end()) {
          aExchange->Respond(JsonResponse(404, "{}"));
          return;
        }
        const std::size_t index =
          std::min(mCalls[call]++, responses->second.size() - 1);
        if (responses->second[index]) {
          aExchange->Respond(*responses->second[index]);
        } else {
          unanswered.push_back(aExchange);
        }
      });
    IoWatcher stop(loop, mStop, [&](bool, bool) { loop.Stop(); });
    stop.Watch(true, false);
    aAddress.set_value((*server)->Address());
    loop.Run();
    // libmicrohttpd aborts the process if a server stops with suspended
    // connections, so every request must get a response.
    for (const auto& exchange : unanswered) {
      exchange->Respond({ .mStatus = 500 });
    }
  }

  int mStop = eventfd(0, EFD_NONBLOCK);
  std::map<std::string, Responses> mResponses;
  std::map<std::string, std::size_t> mCalls;
  std::vector<HttpRequest> mRequests;
  std::mutex mMutex;
  std::string mAddress;
  std::thread mThread;
};

} // namespace papayaway
