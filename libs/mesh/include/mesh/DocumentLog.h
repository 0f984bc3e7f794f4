#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

#include <base/Error.h>
#include <base/Finding.h>
#include <wire/Messages.h>

namespace papayaway {

/** A check of a whole document, for example by ParseDocument(). */
template<typename T>
concept DocumentCheck = requires(T aCheck, const nlohmann::json& aJson)
{
  {
    aCheck(aJson)
    } -> std::convertible_to<Findings>;
};

enum class ApplyResult
{
  /** The document is now the new version. */
  Applied,
  /** The version is not newer than the current one. */
  AlreadyKnown,
  /** The delta does not fit what is here; the whole document is needed. */
  BaseMissing,
  /** The document has findings; the current version stays. */
  Refused,
};

struct ApplyReport
{
  ApplyResult mResult = ApplyResult::Applied;
  Findings mFindings;

  bool operator==(const ApplyReport&) const = default;
};

struct DocumentLogOptions
{
  std::size_t mMaxDeltas = 64;
  /** Bytes of all patches in the history. */
  std::size_t mMaxHistoryBytes = std::size_t{ 256 } << 10;
};

/** What brings another node to the current version; empty if it is there. */
using DocumentUpdate =
  std::variant<std::monostate, std::vector<DocumentDelta>, DocumentWhole>;

/** The document of an environment and the deltas that led to it. The version
 *  never goes down. */
class DocumentLog
{
public:
  explicit DocumentLog(DocumentLogOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  /** @return the current version, 0 before the first document. */
  [[nodiscard]] std::uint64_t Version() const { return mVersion; }

  /** @return the document as compact JSON with sorted keys, or "". */
  [[nodiscard]] const std::string& Text() const { return mText; }

  /** @return the Hash64 of Text(). */
  [[nodiscard]] std::uint64_t Hash() const;

  /** @return the highest version that was refused for its findings, or 0.
   *    There is no point in requesting it again. */
  [[nodiscard]] std::uint64_t RefusedVersion() const { return mRefusedVersion; }

  /** Applies aUpdate if it is newer, fits and aCheck finds no fault. */
  template<typename Update, DocumentCheck Check>
  requires std::same_as<Update, DocumentDelta> ||
    std::same_as<Update, DocumentWhole>
      ApplyReport Apply(const Update& aUpdate, Check&& aCheck)
  {
    Candidate candidate = Prepare(aUpdate);
    if (!candidate.mJson) {
      return std::move(candidate.mReport);
    }
    Findings findings = std::forward<Check>(aCheck)(*candidate.mJson);
    if (!findings.empty()) {
      return Refuse(aUpdate.mVersion, std::move(findings));
    }
    Commit(aUpdate, std::move(candidate.mText));
    return {};
  }

  /** @return what a node with aVersion lacks, in the smaller of both forms. */
  [[nodiscard]] DocumentUpdate Since(std::uint64_t aVersion) const;

  /**
   * Makes the delta from the current document to a new one.
   *
   * @param aVersion the version that the platform assigned to aText.
   * @return the delta, which is applied here like one from a peer; or an
   *   error if aText is not JSON or aVersion is not newer.
   */
  [[nodiscard]] Expected<DocumentDelta> MakeDelta(
    std::uint64_t aVersion,
    const std::string& aText) const;

private:
  /** A new document, or the report that says why there is none. */
  struct Candidate
  {
    std::optional<nlohmann::json> mJson;
    std::string mText;
    ApplyReport mReport;
  };

  Candidate Prepare(const DocumentDelta& aDelta);
  Candidate Prepare(const DocumentWhole& aWhole);
  ApplyReport Refuse(std::uint64_t aVersion, Findings aFindings);
  void Commit(const DocumentDelta& aDelta, std::string aText);
  void Commit(const DocumentWhole& aWhole, std::string aText);
  [[nodiscard]] nlohmann::json Current() const;

  DocumentLogOptions mOptions;
  std::uint64_t mVersion = 0;
  std::uint64_t mRefusedVersion = 0;
  std::string mText;
  /** Each delta has the version of the one before as its base. */
  std::deque<DocumentDelta> mHistory;
  std::size_t mHistoryBytes = 0;
};

} // namespace papayaway
