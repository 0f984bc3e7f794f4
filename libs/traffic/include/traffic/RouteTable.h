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

/** A ready endpoint of one version of a service. */
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
  /** Whether the path has a route, but not for the method. */
  bool mMethodNotAllowed = false;

  bool operator==(const RouteMatch&) const = default;
};

/**
 * An immutable snapshot of one document, the moves and the ready endpoints.
 *
 * It is built as a whole and swapped in by pointer. Concurrent queries are
 * safe. What queries return stays valid as long as the table.
 */
class RouteTable
{
  class Key
  {
    friend class RouteTable;
    explicit Key() = default;
  };

public:
  /**
   * Builds the snapshot of one document and the facts known with it.
   *
   * Endpoint facts of services or versions that the document does not name
   * are left out: a target may start before the document names it.
   *
   * @param aVersion the version of aDocument.
   * @return the snapshot, or every finding of the document: names that occur
   *   twice, references to unknown services or versions, shares that do not
   *   sum to kWholeShare, routes that overlap.
   */
  static tl::expected<std::shared_ptr<const RouteTable>, Findings> Build(
    const Document& aDocument,
    std::uint64_t aVersion,
    const std::vector<EndpointFact>& aEndpoints,
    const std::vector<MoveFact>& aMoves);

  RouteTable(Key aKey, const Document& aDocument, std::uint64_t aVersion);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;
  ~RouteTable() = default;

  /** @return the version of the document. */
  [[nodiscard]] std::uint64_t Version() const { return mVersion; }

  /** @return the document that the table was built from. */
  [[nodiscard]] const Document& SourceDocument() const { return mDocument; }

  /**
   * Finds the route with the longest prefix of aPath that ends at a segment
   * boundary, then by method. A route that names the method is preferred to
   * one for every method. A shorter prefix is not tried when the method does
   * not fit the longest one.
   *
   * @param aPath the path without the query.
   */
  [[nodiscard]] RouteMatch FindRoute(std::string_view aMethod,
                                     std::string_view aPath) const;

  /**
   * @return the shares of the versions that have a ready endpoint, after
   *   moves; empty if the service is unknown or has no ready endpoint.
   *
   * The shares sum to kWholeShare, except while a move runs and no other
   * version has a ready endpoint: the new version then keeps the share of its
   * stage, because an unproven version must not inherit all calls. The calls
   * of the rest are to be refused as not run.
   */
  [[nodiscard]] std::span<const VersionShare> Shares(
    std::string_view aService) const;

  /** @return the ready endpoints, sorted by node. */
  [[nodiscard]] std::span<const Endpoint> Endpoints(
    std::string_view aService,
    std::string_view aVersion) const;

  /** @return a version drawn by Shares(), or "" if the call is to be refused
   *    as not run. */
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
  /** The routes by prefix without its trailing slashes. */
  ByName<std::vector<const Route*>> mRoutes;
  std::size_t mLongestPrefix = 0;
};

} // namespace papayaway
