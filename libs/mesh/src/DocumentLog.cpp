#include <mesh/DocumentLog.h>

#include <algorithm>
#include <string_view>

#include <base/Hash.h>

namespace papayaway {

namespace {

using nlohmann::json;

/** The limit of nesting levels, which exceeds that of any valid document. The
 *  JSON library serialises by recursion, so deeper input could overflow the
 *  stack. */
constexpr std::size_t kMaxLevels = 64;

/** @return the JSON value, or none if aText is malformed or has too many
 *    nesting levels. */
std::optional<json>
ParseBounded(const std::string& aText)
{
  std::size_t level = 0;
  bool inString = false;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const char letter = aText[i];
    if (inString) {
      i += letter == '\\' ? 1 : 0;
      inString = letter != '"';
    } else if (letter == '"') {
      inString = true;
    } else if (letter == '[' || letter == '{') {
      if (++level > kMaxLevels) {
        return std::nullopt;
      }
    } else if ((letter == ']' || letter == '}') && level > 0) {
      --level;
    }
  }
  json value = json::parse(aText, nullptr, false);
  if (value.is_discarded()) {
    return std::nullopt;
  }
  return value;
}

/** @return whether aPatch consists of the operations that MakeDelta() uses.
 *    Other operations are refused because each repetition of "copy" could
 *    double the size of the document. */
bool
HasOnlyBasicOperations(const json& aPatch)
{
  if (!aPatch.is_array()) {
    return false;
  }
  return std::all_of(aPatch.begin(), aPatch.end(), [](const json& aStep) {
    if (!aStep.is_object()) {
      return false;
    }
    const auto operation = aStep.find("op");
    const auto path = aStep.find("path");
    if (operation == aStep.end() || path == aStep.end() || !path->is_string()) {
      return false;
    }
    const auto& pointer = path->get_ref<const std::string&>();
    return (*operation == "add" || *operation == "remove" ||
            *operation == "replace") &&
           std::count(pointer.begin(), pointer.end(), '/') <=
             static_cast<std::ptrdiff_t>(kMaxLevels);
  });
}

/** @return whether a value can be added at aPointer. If the parent is a string
 *    or a number, the JSON library asserts instead of throwing. */
bool
ParentIsContainer(const json& aDocument, const json::json_pointer& aPointer)
{
  return aPointer.empty() ||
         aDocument.at(aPointer.parent_pointer()).is_structured();
}

/** @return the patched document, or none if aPatch can't be applied to
 *    aDocument. */
std::optional<json>
ApplyPatch(json aDocument, const json& aPatch)
{
  try {
    for (const json& step : aPatch) {
      const json::json_pointer pointer(step.at("path").get<std::string>());
      if (!ParentIsContainer(aDocument, pointer)) {
        return std::nullopt;
      }
      aDocument.patch_inplace(json::array({ step }));
    }
    return aDocument;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

Findings
OneFinding(std::string aMessage)
{
  return { Finding{ .mMessage = std::move(aMessage) } };
}

} // namespace

std::uint64_t
DocumentLog::Hash() const
{
  return Hash64(mText);
}

json
DocumentLog::Current() const
{
  return mVersion == 0 ? json() : json::parse(mText);
}

ApplyReport
DocumentLog::Refuse(std::uint64_t aVersion, Findings aFindings)
{
  mRefusedVersion = std::max(mRefusedVersion, aVersion);
  return { ApplyResult::Refused, std::move(aFindings) };
}

DocumentLog::Candidate
DocumentLog::Prepare(const DocumentDelta& aDelta)
{
  const auto failed = [](ApplyResult aResult) {
    return Candidate{ .mReport = { .mResult = aResult } };
  };
  if (aDelta.mVersion <= mVersion) {
    return failed(ApplyResult::AlreadyKnown);
  }
  if (aDelta.mBaseVersion != mVersion) {
    return failed(ApplyResult::FullDocumentNeeded);
  }
  const std::optional<json> patch = ParseBounded(aDelta.mPatch);
  if (!patch || !HasOnlyBasicOperations(*patch)) {
    return failed(ApplyResult::FullDocumentNeeded);
  }
  std::optional<json> result = ApplyPatch(Current(), *patch);
  if (!result) {
    return failed(ApplyResult::FullDocumentNeeded);
  }
  std::string text = result->dump();
  if (Hash64(text) != aDelta.mHash) {
    return failed(ApplyResult::FullDocumentNeeded);
  }
  return { .mJson = std::move(result), .mText = std::move(text) };
}

DocumentLog::Candidate
DocumentLog::Prepare(const FullDocument& aFullDocument)
{
  if (aFullDocument.mVersion <= mVersion) {
    return { .mReport = { .mResult = ApplyResult::AlreadyKnown } };
  }
  std::optional<json> value = ParseBounded(aFullDocument.mText);
  if (!value) {
    return { .mReport =
               Refuse(aFullDocument.mVersion,
                      OneFinding("not valid JSON, or too many levels")) };
  }
  std::string text = value->dump();
  return { .mJson = std::move(value), .mText = std::move(text) };
}

void
DocumentLog::Commit(const DocumentDelta& aDelta, std::string aText)
{
  mText = std::move(aText);
  mVersion = aDelta.mVersion;
  mHistory.push_back(aDelta);
  mHistoryBytes += aDelta.mPatch.size();
  while (mHistory.size() > mOptions.mMaxDeltas ||
         mHistoryBytes > mOptions.mMaxHistoryBytes) {
    mHistoryBytes -= mHistory.front().mPatch.size();
    mHistory.pop_front();
  }
}

void
DocumentLog::Commit(const FullDocument& aFullDocument, std::string aText)
{
  mText = std::move(aText);
  mVersion = aFullDocument.mVersion;
  // The deltas of the history no longer lead to the current version.
  mHistory.clear();
  mHistoryBytes = 0;
}

DocumentUpdate
DocumentLog::UpdateFrom(std::uint64_t aVersion) const
{
  if (aVersion >= mVersion) {
    return std::monostate{};
  }
  const auto first = std::find_if(
    mHistory.begin(), mHistory.end(), [aVersion](const DocumentDelta& aDelta) {
      return aDelta.mBaseVersion == aVersion;
    });
  std::size_t bytes = 0;
  for (auto delta = first; delta != mHistory.end(); ++delta) {
    bytes += delta->mPatch.size();
  }
  if (first == mHistory.end() || bytes >= mText.size()) {
    return FullDocument{ .mVersion = mVersion, .mText = mText };
  }
  return std::vector<DocumentDelta>(first, mHistory.end());
}

Expected<DocumentDelta>
DocumentLog::MakeDelta(std::uint64_t aVersion, const std::string& aText) const
{
  if (aVersion <= mVersion) {
    return Fail(ErrorCode::Conflict, "the version is not newer");
  }
  const std::optional<json> value = ParseBounded(aText);
  if (!value) {
    return Fail(ErrorCode::Invalid, "not valid JSON, or too many levels");
  }
  const std::string text = value->dump();
  std::string patch = json::diff(Current(), *value).dump();
  // An insertion near the start of a list changes all later entries, which can
  // make the patch larger than the document.
  if (patch.size() > text.size()) {
    const json step = { { "op", "replace" },
                        { "path", "" },
                        { "value", *value } };
    std::string replacement = json::array({ step }).dump();
    patch =
      std::min(patch, replacement, [](const auto& aLeft, const auto& aRight) {
        return aLeft.size() < aRight.size();
      });
  }
  return DocumentDelta{ .mBaseVersion = mVersion,
                        .mVersion = aVersion,
                        .mHash = Hash64(text),
                        .mPatch = std::move(patch) };
}

} // namespace papayaway
