#include <ctl/Commands.h>

#include <functional>
#include <ostream>

#include "Output.h"

namespace papayaway {
namespace {

using Json = nlohmann::json;
using Rows = std::vector<std::vector<std::string>>;

// Fetches aPath and prints the response as JSON, or by aPrint without --json.
ExitCode
Report(CtlContext& aContext,
       const std::string& aPath,
       const std::function<void(const Json&)>& aPrint)
{
  const AdminResponse response =
    aContext.mClient.GetFromFirst(aContext.mOptions.mNodes, aPath);
  if (!response.Succeeded()) {
    aContext.mErr << Printable(response.ErrorMessage()) << "\n";
    return ExitCode::Failed;
  }
  if (aContext.mOptions.mJson) {
    PrintJson(aContext.mOut, response.mBody);
  } else {
    aPrint(response.mBody);
  }
  return ExitCode::Done;
}

// @return a header row with aColumns, then one row per object in the array aKey
//   with the values of these members.
Rows
ToRows(const Json& aBody,
       std::string_view aKey,
       const std::vector<std::string>& aColumns)
{
  Rows rows = { aColumns };
  for (const Json& object : ObjectsMember(aBody, aKey)) {
    auto& row = rows.emplace_back();
    for (const std::string& column : aColumns) {
      row.push_back(TextMember(object, column));
    }
  }
  return rows;
}

} // namespace

ExitCode
RunStatus(CtlContext& aContext)
{
  return Report(aContext, "/v1/status", [&](const Json& aBody) {
    Rows rows;
    for (const char* key : { "node",
                             "data_centre",
                             "region",
                             "environment",
                             "incarnation",
                             "links",
                             "recovered_from",
                             "leaving" }) {
      rows.push_back({ key, TextMember(aBody, key) });
    }
    const Json document = aBody.value("document", Json());
    rows.push_back({ "document",
                     TextMember(document, "version") + " (" +
                       TextMember(document, "hash") + ")" });
    const auto relays = aBody.find("relay");
    if (relays != aBody.end() && relays->is_object()) {
      for (const auto& item : relays->items()) {
        rows.push_back({ "relay of " + Printable(item.key()),
                         TextMember(*relays, item.key()) });
      }
    }
    PrintTable(aContext.mOut, rows);
    aContext.mOut << "\n";
    PrintTable(
      aContext.mOut,
      ToRows(
        aBody,
        "members",
        { "node", "data_centre", "region", "state", "incarnation", "admin" }));
  });
}

ExitCode
RunMoves(CtlContext& aContext)
{
  return Report(aContext, "/v1/moves", [&](const Json& aBody) {
    Rows rows = { { "service",
                    "to",
                    "attempt",
                    "state",
                    "stage",
                    "share",
                    "started",
                    "reason" } };
    for (const Json& move : ObjectsMember(aBody, "moves")) {
      const std::int64_t started = NumberMember(move, "started_ms");
      rows.push_back({ TextMember(move, "service"),
                       TextMember(move, "to"),
                       TextMember(move, "attempt"),
                       TextMember(move, "state"),
                       TextMember(move, "stage"),
                       TextMember(move, "share"),
                       started == 0 ? "" : FormatTime(started),
                       TextMember(move, "reason") });
    }
    PrintTable(aContext.mOut, rows);
  });
}

ExitCode
RunEndpoints(CtlContext& aContext)
{
  return Report(aContext, "/v1/endpoints", [&](const Json& aBody) {
    PrintTable(
      aContext.mOut,
      ToRows(
        aBody,
        "endpoints",
        { "node", "data_centre", "service", "version", "state", "slots" }));
  });
}

ExitCode
RunDocument(CtlContext& aContext)
{
  const std::string environment = aContext.mOptions.mEnvironment.empty()
                                    ? "production"
                                    : aContext.mOptions.mEnvironment;
  return Report(aContext,
                "/v1/document?environment=" + environment,
                [&](const Json& aBody) {
                  // The version goes to mErr, so that mOut contains only the
                  // document and can be saved and edited.
                  PrintJson(aContext.mOut, aBody.value("document", Json()));
                  aContext.mErr << environment << " has version "
                                << TextMember(aBody, "version") << "\n";
                });
}

} // namespace papayaway
