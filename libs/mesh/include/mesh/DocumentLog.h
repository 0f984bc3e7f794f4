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

/** A function that checks a full document and returns its errors, for example
 *  by ParseDocument(). */
template<typename T>
concept DocumentCheck = requires(T aCheck, const nlohmann::json& aJson)
{
  {
    aCheck(aJson)
    } -> std::convertible_to<Findings>;
};

enum class ApplyResult
{
  /** The new version is now the current one. */
  Applied,
  /** The version is not newer than the current one. */
  AlreadyKnown,
  /** The delta can't be applied: its base is not the current version, its patch
   *  is invalid or the result has another hash. The full document is needed.
   */
  FullDocumentNeeded,
  /** The document has findings; the current version is kept. */
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
  /** The limits of the history, as a number of deltas and as the total size of
   *  their patches. */
  std::size_t mMaxDeltas = 64;
  std::size_t mMaxHistoryBytes = std::size_t{ 256 } << 10;
};

/** What another node needs to reach the current version: nothing, deltas or
 *  the full document. */
using DocumentUpdate =
  std::variant<std::monostate, std::vector<DocumentDelta>, FullDocument>;

/** The current document of an environment and a limited history of the deltas
 *  that led to it. The version never decreases. */
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
   *    Requesting it again would only lead to the same refusal. */
  [[nodiscard]] std::uint64_t RefusedVersion() const { return mRefusedVersion; }

  /** Applies aUpdate if its version is newer, it fits the current document and
   *  aCheck returns no findings. */
  template<typename Update, DocumentCheck Check>
  requires std::same_as<Update, DocumentDelta> ||
    std::same_as<Update, FullDocument>
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

  /** @return what a node with aVersion needs: the deltas from the history if
   *    they are smaller than the full document, else the full document. */
  [[nodiscard]] DocumentUpdate UpdateFrom(std::uint64_t aVersion) const;

  /**
   * Makes the delta from the current document to a new one, without applying
   * it.
   *
   * @param aVersion the version that the platform assigned to aText.
   * @return the delta, which the caller passes to Apply() like one from a peer;
   *   or an error if aText is not valid JSON or aVersion is not newer.
   */
  [[nodiscard]] Expected<DocumentDelta> MakeDelta(
    std::uint64_t aVersion,
    const std::string& aText) const;

private:
  /** A new document that is not yet checked, or the report on why there is
   *  none. */
  struct Candidate
  {
    std::optional<nlohmann::json> mJson;
    std::string mText;
    ApplyReport mReport;
  };

  Candidate Prepare(const DocumentDelta& aDelta);
  Candidate Prepare(const FullDocument& aFullDocument);
  ApplyReport Refuse(std::uint64_t aVersion, Findings aFindings);
  void Commit(const DocumentDelta& aDelta, std::string aText);
  void Commit(const FullDocument& aFullDocument, std::string aText);
  [[nodiscard]] nlohmann::json Current() const;

  DocumentLogOptions mOptions;
  std::uint64_t mVersion = 0;
  std::uint64_t mRefusedVersion = 0;
  std::string mText;
  /** The base of each delta is the version of the delta before it. */
  std::deque<DocumentDelta> mHistory;
  std::size_t mHistoryBytes = 0;
};

} // namespace papayaway
