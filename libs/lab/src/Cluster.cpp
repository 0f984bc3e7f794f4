#include <lab/Cluster.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include <unistd.h>

#include <lab/LoopWait.h>

namespace papayaway {

namespace {

constexpr Millis kWaitPeriod{ 20 };
/** A line in a settings file holds at most 199 bytes, which is too short for 12
 *  addresses. */
constexpr int kMaxSeeds = 8;

ChildProcess
StartOrThrow(const ChildOptions& aOptions)
{
  Expected<ChildProcess> process = ChildProcess::Start(aOptions);
  if (!process) {
    throw std::runtime_error(process.error().mMessage);
  }
  return std::move(*process);
}

} // namespace

Cluster::Cluster(ClusterOptions aOptions)
  : mOptions(std::move(aOptions))
  , mClient(mLoop, { .mMaxConnectionsPerServer = 64 })
{
  std::signal(SIGPIPE, SIG_IGN);
  if (mOptions.mWorkFolder.empty()) {
    std::string folder = "/tmp/papayaway-lab-XXXXXX";
    if (mkdtemp(folder.data()) == nullptr) {
      throw std::runtime_error(
        "can't create a folder in /tmp for settings and logs");
    }
    mOptions.mWorkFolder = folder;
    mOwnsFolder = true;
  }
}

Cluster::~Cluster()
{
  mTargets.clear();
  mNodes.clear();
  mPlatform.reset();
  if (mOwnsFolder && std::getenv("PAPAYAWAY_KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(mOptions.mWorkFolder, ignored);
  }
}

void
Cluster::StartPlatform()
{
  mPlatform =
    StartOrThrow({ .mProgram = mOptions.mPrograms + "/papayaway-platform",
                   .mArguments = { "--listen", "127.0.0.1:0" },
                   .mLogFile = mOptions.mWorkFolder + "/platform.log" });
}

std::string
Cluster::WriteSettings(const NodePlan& aPlan)
{
  std::string path = mOptions.mWorkFolder + "/" + aPlan.mName + ".ini";
  std::ofstream file(path);
  file << "[node]\nname = " << aPlan.mName
       << "\ndata_centre = " << aPlan.mDataCentre
       << "\nregion = " << aPlan.mRegion
       << "\n[listen]\ncaller = 127.0.0.1:0\nadmin = 127.0.0.1:0"
          "\npeer = 127.0.0.1:0"
       << "\n[platform]\naddress = " << mPlatform->Address("http")
       << "\n[peers]\nkey = " << mOptions.mPeerKey;
  // With seeds a node can join while the platform is unavailable.
  std::string seeds;
  int count = 0;
  for (const auto& [name, node] : mNodes) {
    if (count < kMaxSeeds && mPlans.at(name).mDataCentre == aPlan.mDataCentre &&
        name != aPlan.mName) {
      ++count;
      seeds += (seeds.empty() ? "" : ", ") + node.Address("peer");
    }
  }
  if (!seeds.empty()) {
    file << "\nseeds = " << seeds;
  }
  file << "\n[operator]\ntoken = " << mOptions.mOperatorToken << "\n";
  return path;
}

void
Cluster::StartNode(const NodePlan& aPlan)
{
  const std::string settings = WriteSettings(aPlan);
  ChildProcess process = StartOrThrow(
    { .mProgram = mOptions.mPrograms + "/papayaway-node",
      .mArguments = { "--settings", settings },
      .mLogFile = mOptions.mWorkFolder + "/" + aPlan.mName + ".log" });
  mNodes.insert_or_assign(aPlan.mName, std::move(process));
  if (!mPlans.contains(aPlan.mName)) {
    mNames.push_back(aPlan.mName);
  }
  mPlans.insert_or_assign(aPlan.mName, aPlan);
}

void
Cluster::StartTarget(const NodePlan& aPlan)
{
  std::vector<std::string> arguments{
    "--listen",      "127.0.0.1:0",
    "--service",     aPlan.mService,
    "--version",     aPlan.mVersion,
    "--slots",       std::to_string(aPlan.mSlots),
    "--connections", std::to_string(aPlan.mConnections),
    "--node-admin",  NodeProcess(aPlan.mName).Address("admin")
  };
  arguments.insert(arguments.end(),
                   aPlan.mTargetArguments.begin(),
                   aPlan.mTargetArguments.end());
  mTargets.insert_or_assign(
    aPlan.mName,
    StartOrThrow({ .mProgram = mOptions.mPrograms + "/papayaway-target",
                   .mArguments = arguments,
                   .mLogFile = mOptions.mWorkFolder + "/" + aPlan.mName +
                               ".target.log" }));
  mPlans.insert_or_assign(aPlan.mName, aPlan);
}

void
Cluster::StartAll(const std::vector<NodePlan>& aPlans)
{
  for (const NodePlan& plan : aPlans) {
    StartNode(plan);
  }
  for (const NodePlan& plan : aPlans) {
    if (!plan.mService.empty()) {
      StartTarget(plan);
    }
  }
}

ChildProcess&
Cluster::NodeProcess(const std::string& aName)
{
  return mNodes.at(aName);
}

ChildProcess&
Cluster::TargetProcess(const std::string& aName)
{
  return mTargets.at(aName);
}

const NodePlan&
Cluster::Plan(const std::string& aName) const
{
  return mPlans.at(aName);
}

HttpResult
Cluster::Send(HttpCall aCall)
{
  std::optional<HttpResult> result;
  mClient.Send(std::move(aCall), [&](HttpResult aResult) {
    result = std::move(aResult);
    mLoop.Stop();
  });
  while (!result) {
    mLoop.Run();
  }
  return std::move(*result);
}

std::pair<int, nlohmann::json>
Cluster::Admin(const std::string& aNode,
               const std::string& aMethod,
               const std::string& aPath,
               const nlohmann::json& aBody)
{
  HttpCall call{ .mAddress = NodeProcess(aNode).Address("admin"),
                 .mTimeout = Seconds(10) };
  const std::size_t query = std::min(aPath.find('?'), aPath.size());
  call.mRequest.mMethod = aMethod;
  call.mRequest.mPath = aPath.substr(0, query);
  call.mRequest.mQuery = aPath.substr(query);
  call.mRequest.mHeaders.Add("Authorization",
                             "Bearer " + mOptions.mOperatorToken);
  if (!aBody.is_null()) {
    call.mRequest.mBody = aBody.dump();
  }
  const HttpResult result = Send(std::move(call));
  return { result.mResponse.mStatus,
           nlohmann::json::parse(result.mResponse.mBody, nullptr, false) };
}

HttpResult
Cluster::CallThrough(const std::string& aNode,
                     const HttpRequest& aRequest,
                     Millis aTimeout)
{
  return Send({ .mAddress = NodeProcess(aNode).Address("caller"),
                .mRequest = aRequest,
                .mTimeout = aTimeout });
}

void
Cluster::SetPlatformFaults(const nlohmann::json& aFaults)
{
  HttpCall call{ .mAddress = mPlatform->Address("http") };
  call.mRequest = { .mMethod = "POST",
                    .mPath = "/admin/faults",
                    .mBody = aFaults.dump() };
  Send(std::move(call));
}

std::optional<std::uint64_t>
Cluster::Promote(const std::string& aNode,
                 const nlohmann::json& aDocument,
                 std::uint64_t aParent)
{
  const auto [status, body] = Admin(aNode,
                                    "POST",
                                    "/v1/promote",
                                    { { "environment", "production" },
                                      { "parent", aParent },
                                      { "document", aDocument } });
  if (status != 200) {
    return std::nullopt;
  }
  return body["version"].get<std::uint64_t>();
}

std::map<std::string, std::uint64_t>
Cluster::DocumentVersions()
{
  std::map<std::string, std::uint64_t> versions;
  for (const std::string& name : mNames) {
    if (NodeProcess(name).IsRunning()) {
      const auto [status, body] = Admin(name, "GET", "/v1/status");
      if (status == 200) {
        versions[name] = body["document"]["version"].get<std::uint64_t>();
      }
    }
  }
  return versions;
}

double
Cluster::Metric(const std::string& aNode, const std::string& aName)
{
  const HttpResult result =
    Send({ .mAddress = NodeProcess(aNode).Address("admin"),
           .mRequest = { .mPath = "/metrics" } });
  std::istringstream lines(result.mResponse.mBody);
  double sum = 0;
  for (std::string line; std::getline(lines, line);) {
    const std::size_t end = line.find_first_of(" {");
    if (line.substr(0, end) == aName) {
      sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
  }
  return sum;
}

std::optional<Millis>
Cluster::WaitUntil(const std::function<bool()>& aCondition, Millis aTimeout)
{
  const Millis start = SteadyNow();
  while (!aCondition()) {
    if (SteadyNow() - start > aTimeout) {
      return std::nullopt;
    }
    RunFor(kWaitPeriod);
  }
  return SteadyNow() - start;
}

void
Cluster::RunFor(Millis aTime)
{
  papayaway::RunFor(mLoop, aTime);
}

} // namespace papayaway
