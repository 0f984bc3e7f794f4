#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include <base/Finding.h>
#include <base/Millis.h>

namespace papayaway {

/** The validated settings of a node. Addresses are "IPv4:port". */
struct NodeSettings
{
  // [node]
  std::string mName;
  std::string mDataCentre;
  std::string mRegion;
  std::string mEnvironment = "production";

  // [listen]
  std::string mCallerAddress;
  std::string mAdminAddress;
  std::string mPeerAddress;

  // [platform]
  std::string mPlatformAddress;

  // [peers]
  /** Peer addresses to connect to in addition to those that the platform
   *  returns. */
  std::vector<std::string> mSeeds;
  /** The shared key by which nodes authenticate each other. */
  std::string mPeerKey;

  // [operator]
  std::string mOperatorToken;

  // [limits]
  /** The maximum size of a request or response body in bytes. */
  std::size_t mMaxBodyBytes = std::size_t{ 1 } << 20;
  /** The maximum time that a planned stop waits for calls in flight. */
  Millis mDrainTimeout = Seconds(30);
  /** The maximum size of request records that are not yet stored, in bytes. */
  std::size_t mMaxRecordBytes = std::size_t{ 4 } << 20;

  bool operator==(const NodeSettings&) const = default;
};

/**
 * Parses and validates settings in INI format.
 *
 * @return the settings, or all findings with file, line and "[section] key".
 */
tl::expected<NodeSettings, Findings> ParseNodeSettings(
  std::string_view aText,
  const std::string& aFile);

} // namespace papayaway
