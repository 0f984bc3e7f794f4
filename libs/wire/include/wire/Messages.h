#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <base/Error.h>
#include <base/Millis.h>
#include <wire/Facts.h>

namespace papayaway {

/** The largest encoded message in bytes. */
constexpr std::size_t kMaxMessage = std::size_t{ 4 } << 20;

constexpr std::size_t kDigestBuckets = 64;

/** The first message on a link, in both directions. */
struct Hello
{
  std::string mNode;
  std::string mDataCentre;
  std::string mRegion;
  std::string mPeerAddress;
  std::uint64_t mIncarnation = 0;
  /** Whether this link is for calls only and carries no facts. */
  bool mCallsOnly = false;
  bool operator==(const Hello&) const = default;
};

struct Heartbeat
{
  std::uint64_t mCount = 0;
  bool operator==(const Heartbeat&) const = default;
};

struct Facts
{
  std::vector<Fact> mFacts;
  bool operator==(const Facts&) const = default;
};

/** A change of the document as a JSON patch. */
struct DocumentDelta
{
  std::uint64_t mBaseVersion = 0;
  std::uint64_t mVersion = 0;
  /** Hash64 of the compact JSON text of the result. */
  std::uint64_t mHash = 0;
  /** The JSON patch (RFC 6902) as compact JSON text. */
  std::string mPatch;
  bool operator==(const DocumentDelta&) const = default;
};

struct DocumentWhole
{
  std::uint64_t mVersion = 0;
  /** The document as compact JSON text. */
  std::string mText;
  bool operator==(const DocumentWhole&) const = default;
};

/** Asks for what follows mHaveVersion: deltas or the whole document. */
struct DocumentRequest
{
  std::uint64_t mHaveVersion = 0;
  bool operator==(const DocumentRequest&) const = default;
};

/** A summary of the sender's facts and document. */
struct Digest
{
  std::uint64_t mDocumentVersion = 0;
  std::array<std::uint64_t, kDigestBuckets> mBuckets{};
  /** Whether the receiver is asked to answer with its own digest. */
  bool mWantReply = false;
  bool operator==(const Digest&) const = default;
};

using Fields = std::vector<std::pair<std::string, std::string>>;

/** A proxied call to the target beside the receiver. */
struct Call
{
  std::uint64_t mId = 0;
  std::string mService;
  std::string mVersion;
  /** The prefix of the route that matched. */
  std::string mRoute;
  bool mIdempotent = false;
  std::string mMethod;
  std::string mPath;
  std::string mQuery;
  Fields mHeaders;
  std::string mBody;
  /** The idempotency key, or empty. */
  std::string mKey;
  /** The time left for the call. */
  Millis mTimeLeft;
  /** 0 for a first attempt. */
  int mAttempt = 0;
  bool operator==(const Call&) const = default;
};

/** What is known of whether a request ran. */
enum class Outcome
{
  Ran,
  NotRun,
  Unknown,
};

struct Reply
{
  std::uint64_t mId = 0;
  int mStatus = 0;
  Fields mHeaders;
  std::string mBody;
  Outcome mOutcome = Outcome::Unknown;
  /** Calls in flight at the serving node when the reply was sent. */
  int mLoad = 0;
  bool operator==(const Reply&) const = default;
};

struct Cancel
{
  std::uint64_t mId = 0;
  bool operator==(const Cancel&) const = default;
};

/** Tells the backup node that a key is about to run. */
struct Intent
{
  std::uint64_t mId = 0;
  std::string mService;
  std::string mKey;
  bool operator==(const Intent&) const = default;
};

struct IntentAck
{
  std::uint64_t mId = 0;
  bool operator==(const IntentAck&) const = default;
};

/** Tells the backup node the recorded response of a key. */
struct KeyOutcome
{
  std::string mService;
  std::string mKey;
  int mStatus = 0;
  Fields mHeaders;
  std::string mBody;
  bool operator==(const KeyOutcome&) const = default;
};

/** What one serving node saw of one version on one route in one period. */
struct Evidence
{
  std::string mNode;
  std::string mService;
  std::string mVersion;
  std::string mRoute;
  std::uint64_t mCalls = 0;
  std::uint64_t mFailures = 0;
  /** Sums for the mean and the spread of the latency in milliseconds. */
  double mLatencySum = 0;
  double mLatencySquareSum = 0;
  bool operator==(const Evidence&) const = default;
};

/** A copy of request records that are not in the object store yet. */
struct RecordCopy
{
  std::string mOrigin;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mFirst = 0;
  std::uint64_t mLast = 0;
  std::string mCustomer;
  std::string mLines;
  /** Whether the range is stored and the copy can be dropped. */
  bool mStored = false;
  bool operator==(const RecordCopy&) const = default;
};

/** Says why the connection is about to be closed. */
struct ErrorMessage
{
  std::string mText;
  bool operator==(const ErrorMessage&) const = default;
};

/** The requests that were in flight when a target crashed. */
struct CrashReport
{
  /** Unique per crash, for example node, incarnation and count. */
  std::string mId;
  std::string mService;
  std::vector<std::string> mFingerprints;
  bool operator==(const CrashReport&) const = default;
};

/** Tells that a target answered a request that was in flight at a crash. */
struct SuspectRan
{
  std::string mService;
  std::string mFingerprint;
  bool operator==(const SuspectRan&) const = default;
};

using Message = std::variant<Hello,
                             Heartbeat,
                             Facts,
                             DocumentDelta,
                             DocumentWhole,
                             DocumentRequest,
                             Digest,
                             Call,
                             Reply,
                             Cancel,
                             Intent,
                             IntentAck,
                             KeyOutcome,
                             Evidence,
                             RecordCopy,
                             ErrorMessage,
                             CrashReport,
                             SuspectRan>;

/** @return the CBOR form of aMessage. */
std::string Encode(const Message& aMessage);

/** Checks and decodes one message.
 *  @return the message, or an error that names the fault: malformed CBOR, an
 *    unknown type, a missing or mistyped field, or a bound exceeded. */
Expected<Message> Decode(std::string_view aBytes);

} // namespace papayaway
