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

/** The buckets into which a digest divides the facts. */
constexpr std::size_t kDigestBuckets = 64;

/** The first message on a link, in both directions. */
struct Hello
{
  std::string mNode;
  std::string mDataCentre;
  std::string mRegion;
  std::string mPeerAddress;
  std::uint64_t mIncarnation = 0;
  /** Whether this link carries calls only, and no facts. */
  bool mCallsOnly = false;
  bool operator==(const Hello&) const = default;
};

/** Shows that the sender of a link is alive. */
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

/** The difference between two versions of the document. */
struct DocumentDelta
{
  std::uint64_t mBaseVersion = 0;
  std::uint64_t mVersion = 0;
  /** Hash64() of the compact JSON text of the patched document. */
  std::uint64_t mHash = 0;
  /** The JSON patch (RFC 6902) as compact JSON text. */
  std::string mPatch;
  bool operator==(const DocumentDelta&) const = default;
};

/** One version of the document in full. */
struct FullDocument
{
  std::uint64_t mVersion = 0;
  /** The document as compact JSON text. */
  std::string mText;
  bool operator==(const FullDocument&) const = default;
};

/** Asks for the versions after mHaveVersion, the sender's version. The
 *  receiver answers with deltas or with the full document. */
struct DocumentRequest
{
  std::uint64_t mHaveVersion = 0;
  bool operator==(const DocumentRequest&) const = default;
};

/** A summary of the sender's facts and document version, which the receiver
 *  compares with its own to find differences. */
struct Digest
{
  std::uint64_t mDocumentVersion = 0;
  /** Per bucket, the sum of the hashes of its facts. */
  std::array<std::uint64_t, kDigestBuckets> mBuckets{};
  /** Whether the receiver should answer with its own digest. */
  bool mWantReply = false;
  bool operator==(const Digest&) const = default;
};

/** HTTP header fields as pairs of name and value. */
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/** A call that the receiver forwards to its target. */
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
  HeaderList mHeaders;
  std::string mBody;
  /** The idempotency key, or empty. */
  std::string mKey;
  /** The time left until the deadline of the call. */
  Millis mTimeLeft;
  /** 0 for a first attempt. */
  int mAttempt = 0;
  bool operator==(const Call&) const = default;
};

/** Whether a target ran a request, as far as is known. */
enum class Outcome
{
  Ran,
  NotRun,
  Unknown,
};

/** The response to a Call. */
struct Reply
{
  /** The id of the call. */
  std::uint64_t mId = 0;
  int mStatus = 0;
  HeaderList mHeaders;
  std::string mBody;
  Outcome mOutcome = Outcome::Unknown;
  /** Calls in flight at the serving node when the response was sent. */
  int mLoad = 0;
  bool operator==(const Reply&) const = default;
};

/** Cancels a Call. */
struct Cancel
{
  /** The id of the call. */
  std::uint64_t mId = 0;
  bool operator==(const Cancel&) const = default;
};

/** Tells the backup node that the request of an idempotency key is about to
 *  run. */
struct Intent
{
  std::uint64_t mId = 0;
  std::string mService;
  std::string mKey;
  bool operator==(const Intent&) const = default;
};

/** Acknowledges an Intent. */
struct IntentAck
{
  /** The id of the intent. */
  std::uint64_t mId = 0;
  bool operator==(const IntentAck&) const = default;
};

/** Sends the recorded response of an idempotency key to the backup node. */
struct KeyOutcome
{
  std::string mService;
  std::string mKey;
  int mStatus = 0;
  HeaderList mHeaders;
  std::string mBody;
  bool operator==(const KeyOutcome&) const = default;
};

/** The calls to one version on one route that one serving node ran in one
 *  period. */
struct Evidence
{
  std::string mNode;
  std::string mService;
  std::string mVersion;
  std::string mRoute;
  std::uint64_t mCalls = 0;
  std::uint64_t mFailures = 0;
  /** The sum of the latencies in milliseconds. */
  double mLatencySum = 0;
  /** The sum of the squared latencies, from which the variance is computed. */
  double mLatencySquareSum = 0;
  bool operator==(const Evidence&) const = default;
};

/** A copy of request records that are not in the object store yet. */
struct RecordCopy
{
  /** The node that made the records, and its incarnation. */
  std::string mOrigin;
  std::uint64_t mIncarnation = 0;
  /** The range of sequences of the records, both ends inclusive. */
  std::uint64_t mFirst = 0;
  std::uint64_t mLast = 0;
  std::string mCustomer;
  /** The records as lines of JSON; empty if mStored is set. */
  std::string mLines;
  /** Whether the records are in the object store, so that copies of them can
   *  be dropped. */
  bool mStored = false;
  bool operator==(const RecordCopy&) const = default;
};

/** Says why the sender is about to close the connection. */
struct ErrorMessage
{
  std::string mText;
  bool operator==(const ErrorMessage&) const = default;
};

/** The requests that were in flight when a target crashed. */
struct CrashReport
{
  /** Unique per crash, for example made of node, incarnation and a count. */
  std::string mId;
  std::string mService;
  std::vector<std::string> mFingerprints;
  bool operator==(const CrashReport&) const = default;
};

/** Reports that a target answered a request that had been in flight when a
 *  target crashed, which clears the request of suspicion. */
struct SuspectCompleted
{
  std::string mService;
  std::string mFingerprint;
  bool operator==(const SuspectCompleted&) const = default;
};

/** A message between nodes. The order of the alternatives gives their type
 *  numbers on the wire. */
using Message = std::variant<Hello,
                             Heartbeat,
                             Facts,
                             DocumentDelta,
                             FullDocument,
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
                             SuspectCompleted>;

/** @return the CBOR encoding of aMessage. */
std::string Encode(const Message& aMessage);

/** Checks and decodes one message.
 *  @return the message, or an error that describes the fault: malformed CBOR,
 *    an unknown type, a missing or mistyped field, or an exceeded bound. */
Expected<Message> Decode(std::string_view aBytes);

} // namespace papayaway
