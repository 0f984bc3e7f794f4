#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <tl/expected.hpp>

#include <base/Finding.h>
#include <base/Random.h>
#include <config/Document.h>
#include <wire/Facts.h>

namespace papayaway {

/** The target at one node, ready to run calls of one version of a service. */
struct Endpoint
{
  std::string mNode;
  std::string mDataCentre;
  std::string mRegion;
  /** Calls that the endpoint runs at a time, at least 1. */
  int mSlots = 1;

  bool operator==(const Endpoint&) const = default;
};

/** The result of a route lookup. */
struct RouteMatch
{
  /** The route, or nullptr. Valid as long as the table. */
  const Route* mRoute = nullptr;
  /** Whether the path has a route, but none for the method. */
  bool mMethodNotAllowed = false;

  bool operator==(const RouteMatch&) const = default;
};

/**
 * An immutable snapshot of the routes and version shares of one document, the
 * progress of its moves (gradual shifts of a service's calls to a new version)
 * and the ready endpoints.
 *
 * A change is applied by building a new table and replacing the pointer to the
 * old one. Concurrent queries are safe. Pointers, spans and views that queries
 * return are valid as long as the table.
 */
class RouteTable
{
  /** Restricts the public constructor to Build() (passkey idiom). */
  class Passkey
  {
    friend class RouteTable;
    explicit Passkey() = default;
  };

public:
  /**
   * Builds the snapshot of one document and the given facts.
   *
   * Facts about endpoints whose service or version the document does not name
   * are ignored, because a target may start before the document names it.
   *
   * @param aVersion the version of aDocument.
   * @return the snapshot, or all faults found in the document: names that
   *   occur twice, references to unknown services or versions, shares that do
   *   not sum to kTotalShare, and overlapping routes.
   */
  static tl::expected<std::shared_ptr<const RouteTable>, Findings> Build(
    const Document& aDocument,
    std::uint64_t aVersion,
    const std::vector<EndpointFact>& aEndpoints,
    const std::vector<MoveFact>& aMoves);

  RouteTable(Passkey aPasskey,
             const Document& aDocument,
             std::uint64_t aVersion);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;
  ~RouteTable() = default;

  /** @return the version of the document. */
  [[nodiscard]] std::uint64_t Version() const { return mVersion; }

  /** @return the document that the table was built from. */
  [[nodiscard]] const Document& SourceDocument() const { return mDocument; }

  /**
   * Finds the routes with the longest prefix of aPath that ends at a segment
   * boundary, and among them the one for the method. A route that names the
   * method takes precedence over one for all methods. If none of them allows
   * the method, shorter prefixes are not tried.
   *
   * @param aPath the path without the query.
   */
  [[nodiscard]] RouteMatch FindRoute(std::string_view aMethod,
                                     std::string_view aPath) const;

  /**
   * @return the shares of the versions that have a ready endpoint, with moves
   *   applied. Empty if the service is unknown or has no ready endpoint.
   *
   * The shares sum to kTotalShare, except while a move is running and no other
   * version has a ready endpoint. The new version then keeps the share of the
   * current stage, because a version whose move is not finished must not get
   * all calls. The caller refuses the remaining calls with Outcome::NotRun.
   */
  [[nodiscard]] std::span<const VersionShare> Shares(
    std::string_view aService) const;

  /** @return the ready endpoints, sorted by node. */
  [[nodiscard]] std::span<const Endpoint> Endpoints(
    std::string_view aService,
    std::string_view aVersion) const;

  /** @return a version drawn at random in proportion to Shares(), or "" if the
   *    call is to be refused with Outcome::NotRun. */
  [[nodiscard]] std::string_view DrawVersion(std::string_view aService,
                                             Random& aRandom) const;

private:
  struct StringHash
  {
    using is_transparent = void;
    std::size_t operator()(std::string_view aText) const;
  };

  template<typename Value>
  using ByName =
    std::unordered_map<std::string_view, Value, StringHash, std::equal_to<>>;

  struct ServiceEntry
  {
    std::vector<VersionShare> mShares;
    /** By index of Service::mVersions. */
    std::vector<std::vector<Endpoint>> mEndpoints;
    const Service* mService = nullptr;
  };

  void AddServices(Findings& aFindings);
  void AddRoutes(Findings& aFindings);
  void AddEndpoints(const std::vector<EndpointFact>& aFacts);
  void ApplyMoves(const std::vector<MoveFact>& aMoves);

  Document mDocument;
  std::uint64_t mVersion;
  ByName<ServiceEntry> mServices;
  /** The routes by prefix, without trailing slashes. */
  ByName<std::vector<const Route*>> mRoutes;
  std::size_t mLongestPrefix = 0;
};

} // namespace papayaway
