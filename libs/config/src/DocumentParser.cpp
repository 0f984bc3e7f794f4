#include <config/DocumentParser.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>

#include <nlohmann/json.hpp>

#include <config/Names.h>

#include "JsonObjectReader.h"
#include "SortFindings.h"

namespace papayaway {
namespace {

using Kind = JsonNode::Kind;
using Json = nlohmann::json;

// Limits on element counts and values. The planned scale is 150 services,
// 3 regions and 10 data centres.
constexpr std::size_t kMaxRegions = 32;
constexpr std::size_t kMaxDataCentres = 64;
constexpr std::size_t kMaxServices = 1024;
constexpr std::size_t kMaxVersions = 16;
constexpr std::size_t kMaxRoutes = 4096;
constexpr std::size_t kMaxPrefixLength = 256;
constexpr int kMaxSlots = 65536;
constexpr int kMaxConnections = 65536;
constexpr int kMaxRouteDeadlineMs = 600'000;
constexpr int kMaxMoveDeadlineSeconds = 86'400;
constexpr int kMaxAttempt = 1'000'000;

constexpr std::array<std::string_view, 7> kMethods = {
  "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"
};

bool
IsHeaderName(std::string_view aText)
{
  constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         std::all_of(aText.begin(), aText.end(), [&](char aCharacter) {
           return (aCharacter >= '0' && aCharacter <= '9') ||
                  (aCharacter >= 'a' && aCharacter <= 'z') ||
                  (aCharacter >= 'A' && aCharacter <= 'Z') ||
                  kPunctuation.find(aCharacter) != std::string_view::npos;
         });
}

// @return an error message for an invalid route prefix, or "".
std::string
PrefixError(std::string_view aPrefix)
{
  if (aPrefix.empty() || aPrefix.front() != '/') {
    return "the prefix must begin with '/'";
  }
  if (aPrefix.size() > kMaxPrefixLength) {
    return "the prefix is longer than " + std::to_string(kMaxPrefixLength);
  }
  const bool plain =
    std::all_of(aPrefix.begin(), aPrefix.end(), [](char aCharacter) {
      return aCharacter > ' ' && aCharacter <= '~' && aCharacter != '?' &&
             aCharacter != '#';
    });
  return plain ? ""
               : "the prefix must be printable ASCII without spaces, '?' "
                 "and '#'";
}

class DocumentReader
{
public:
  explicit DocumentReader(FindingList& aFindings)
    : mFindings(aFindings)
  {
  }

  Document Read(const JsonNode& aRoot)
  {
    if (aRoot.mKind != Kind::Object) {
      mFindings.Add(aRoot.mLine, "", "the document must be an object");
      return {};
    }
    const JsonObjectReader reader(
      aRoot,
      "",
      mFindings,
      { "customer_header", "regions", "services", "routes" });
    for (const std::string_view key : { "regions", "services", "routes" }) {
      if (aRoot.Find(key) == nullptr) {
        reader.Report(key, "the key is missing");
      }
    }
    if (const auto header = reader.String("customer_header", false)) {
      mDocument.mCustomerHeader = *header;
      if (!IsHeaderName(*header)) {
        reader.Report("customer_header", "must be the name of a header field");
      }
    }
    reader.ForEach("regions",
                   Kind::Object,
                   0,
                   kMaxRegions,
                   [this](const JsonNode& aNode, const std::string& aPointer) {
                     ReadRegion(aNode, aPointer);
                   });
    reader.ForEach("services",
                   Kind::Object,
                   0,
                   kMaxServices,
                   [this](const JsonNode& aNode, const std::string& aPointer) {
                     ReadService(aNode, aPointer);
                   });
    reader.ForEach("routes",
                   Kind::Object,
                   0,
                   kMaxRoutes,
                   [this](const JsonNode& aNode, const std::string& aPointer) {
                     ReadRoute(aNode, aPointer);
                   });
    return std::move(mDocument);
  }

private:
  void ReadRegion(const JsonNode& aNode, const std::string& aPointer)
  {
    const JsonObjectReader reader(
      aNode, aPointer, mFindings, { "name", "data_centres" });
    RegionLayout region{ .mName = reader.Name(mRegionNames) };
    reader.ForEach(
      "data_centres",
      Kind::String,
      1,
      kMaxDataCentres,
      [&](const JsonNode& aElement, const std::string& aElementPointer) {
        const auto name = ReadNameElement(aElement, aElementPointer, mFindings);
        if (!name) {
          return;
        }
        const auto [at, added] =
          mRegionByDataCentre.emplace(*name, region.mName);
        if (!added) {
          mFindings.Add(aElement.mLine,
                        aElementPointer,
                        "the data centre \"" + *name +
                          "\" is already in region \"" + at->second + "\"");
        }
        region.mDataCentres.push_back(*name);
      });
    mDocument.mRegions.push_back(std::move(region));
  }

  void ReadService(const JsonNode& aNode, const std::string& aPointer)
  {
    const JsonObjectReader reader(
      aNode,
      aPointer,
      mFindings,
      { "name", "versions", "move", "slots", "connections" });
    Service service{ .mName = reader.Name(mServiceNames) };
    ReadVersions(reader, service);
    if (const JsonNode* move = reader.Object("move")) {
      ReadMove(*move, AppendPointer(aPointer, "move"), service);
    }
    const auto slots = reader.Integer("slots", 1, kMaxSlots, true);
    const auto connections =
      reader.Integer("connections", 1, kMaxConnections, true);
    if (slots && connections && *slots > *connections) {
      reader.Report("slots",
                    "there are more slots (" + std::to_string(*slots) +
                      ") than connections (" + std::to_string(*connections) +
                      ")");
    }
    service.mSlots = slots.value_or(1);
    service.mConnections = connections.value_or(1);
    mDocument.mServices.push_back(std::move(service));
  }

  void ReadVersions(const JsonObjectReader& aReader, Service& aService)
  {
    std::set<std::string> names;
    int sum = 0;
    bool complete = true;
    bool any = false;
    aReader.ForEach("versions",
                    Kind::Object,
                    1,
                    kMaxVersions,
                    [&](const JsonNode& aNode, const std::string& aPointer) {
                      const JsonObjectReader reader(
                        aNode, aPointer, mFindings, { "name", "share" });
                      VersionShare version{ .mName = reader.Name(names) };
                      const auto share =
                        reader.Integer("share", 0, kTotalShare, true);
                      version.mShare = share.value_or(0);
                      sum += version.mShare;
                      complete = complete && share.has_value();
                      any = true;
                      aService.mVersions.push_back(std::move(version));
                    });
    if (any && complete && sum != kTotalShare) {
      aReader.Report("versions",
                     "the shares sum to " + std::to_string(sum) + ", not " +
                       std::to_string(kTotalShare));
    }
  }

  void ReadMove(const JsonNode& aNode,
                const std::string& aPointer,
                Service& aService)
  {
    const JsonObjectReader reader(
      aNode, aPointer, mFindings, { "to", "deadline_s", "attempt" });
    VersionMove move;
    if (const auto toVersion = reader.String("to", true)) {
      move.mTo = *toVersion;
      const bool listed = std::any_of(aService.mVersions.begin(),
                                      aService.mVersions.end(),
                                      [&](const VersionShare& aVersion) {
                                        return aVersion.mName == *toVersion;
                                      });
      if (!listed) {
        reader.Report("to", "the service does not list this version");
      }
    }
    if (const auto deadline =
          reader.Integer("deadline_s", 1, kMaxMoveDeadlineSeconds, false)) {
      move.mDeadline = Seconds(*deadline);
    }
    move.mAttempt =
      reader.Integer("attempt", 1, kMaxAttempt, false).value_or(1);
    aService.mMove = std::move(move);
  }

  void ReadRoute(const JsonNode& aNode, const std::string& aPointer)
  {
    const JsonObjectReader reader(
      aNode,
      aPointer,
      mFindings,
      { "prefix", "methods", "service", "idempotent", "deadline_ms" });
    Route route;
    const auto prefix = reader.String("prefix", true);
    if (prefix) {
      route.mPrefix = *prefix;
      std::string message = PrefixError(*prefix);
      if (!message.empty()) {
        reader.Report("prefix", std::move(message));
      }
    }
    reader.ForEach(
      "methods",
      Kind::String,
      0,
      kMethods.size(),
      [&](const JsonNode& aElement, const std::string& aElementPointer) {
        const std::string& method = aElement.mString;
        if (std::find(kMethods.begin(), kMethods.end(), method) ==
            kMethods.end()) {
          mFindings.Add(aElement.mLine, aElementPointer, "unknown method");
        } else if (std::find(route.mMethods.begin(),
                             route.mMethods.end(),
                             method) != route.mMethods.end()) {
          mFindings.Add(
            aElement.mLine, aElementPointer, "the method appears twice");
        } else {
          route.mMethods.push_back(method);
        }
      });
    if (prefix) {
      CheckOverlap(reader, route);
    }
    if (const auto service = reader.String("service", true)) {
      route.mService = *service;
      if (mServiceNames.count(*service) == 0) {
        reader.Report("service", "the document has no such service");
      }
    }
    route.mIdempotent = reader.Boolean("idempotent").value_or(false);
    if (const auto deadline =
          reader.Integer("deadline_ms", 1, kMaxRouteDeadlineMs, false)) {
      route.mDeadline = { static_cast<double>(*deadline) };
    }
    mDocument.mRoutes.push_back(std::move(route));
  }

  // Reports routes that match the same prefix and method, since the order of
  // the routes would decide between them. A route without methods matches all
  // methods, so it overlaps every other route with its prefix.
  void CheckOverlap(const JsonObjectReader& aReader, const Route& aRoute)
  {
    std::set<std::string>& usedMethods = mMethodsByPrefix[aRoute.mPrefix];
    if (aRoute.mMethods.empty()) {
      if (!usedMethods.empty()) {
        aReader.Report("prefix", "another route has this prefix");
      }
      usedMethods.insert("");
      return;
    }
    for (const std::string& method : aRoute.mMethods) {
      if (usedMethods.count("") != 0 || !usedMethods.insert(method).second) {
        aReader.Report("prefix",
                       "another route has this prefix and method " + method);
      }
    }
  }

  FindingList& mFindings;
  Document mDocument;
  std::set<std::string> mRegionNames;
  std::set<std::string> mServiceNames;
  std::map<std::string, std::string> mRegionByDataCentre;
  std::map<std::string, std::set<std::string>> mMethodsByPrefix;
};

tl::expected<Document, Findings>
ReadDocument(const std::optional<JsonNode>& aRoot,
             const std::string& aFile,
             Findings aFindings)
{
  Document document;
  if (aRoot) {
    FindingList list(aFile, aFindings);
    document = DocumentReader(list).Read(*aRoot);
  }
  if (!aFindings.empty()) {
    SortByLine(aFindings);
    return tl::unexpected(std::move(aFindings));
  }
  return document;
}

} // namespace

tl::expected<Document, Findings>
ParseDocument(std::string_view aText, const std::string& aFile)
{
  Findings findings;
  const auto root = ParseJsonNode(aText, aFile, findings);
  return ReadDocument(root, aFile, std::move(findings));
}

tl::expected<Document, Findings>
ParseDocument(const Json& aJson)
{
  Findings findings;
  const auto root = ToJsonNode(aJson, findings);
  return ReadDocument(root, "", std::move(findings));
}

} // namespace papayaway
