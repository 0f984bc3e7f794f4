#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>

#include <base/Millis.h>

namespace papayaway::gateway {

struct LeaveAcknowledgementOptions
{
  /** How many other nodes must have the record while the store doesn't; all of
   *  them if there are fewer. */
  std::size_t mCopies = 2;
  /** How long the store may take before copies at other nodes suffice. */
  Millis mStoreTime{ 600 };
  /** When an announcement is answered although nothing keeps it. The target
   *  waits 1 s. */
  Millis mLimit{ 900 };
};

/**
 * Decides when a target's announcement that it leaves may be acknowledged.
 *
 * The acknowledgement binds later processes of the node as well, so the record
 * with the announcement must be kept where it outlasts this process: in the
 * store or, while that doesn't answer, at other nodes.
 */
class LeaveAcknowledgements
{
public:
  /** Receives whether the announcement is kept. */
  using Answer = std::function<void(bool)>;

  explicit LeaveAcknowledgements(LeaveAcknowledgementOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  /** Answers when the record with this sequence number, or a later one, is
   *  kept.
   *  @param aOthers the number of other nodes that can be reached. */
  void Wait(std::uint64_t aSequence,
            std::size_t aOthers,
            Millis aNow,
            Answer aAnswer);

  /** Handles that the store has a record of this process. */
  void OnStored(std::uint64_t aSequence);
  /** Handles that a write of the record failed. */
  void OnStoreFailed();
  /** Handles that another node has a record of this process. */
  void OnCopied(const std::string& aNode, std::uint64_t aSequence);
  /** To be called several times a second. */
  void OnTick(Millis aNow);

private:
  struct Waiting
  {
    std::uint64_t mSequence = 0;
    std::size_t mOthers = 0;
    Millis mSince;
    bool mStoreFailed = false;
    Answer mAnswer;
  };

  [[nodiscard]] bool IsKept(const Waiting& aWaiting) const;
  /** Answers the announcements that are kept now, and those that have waited
   *  for mLimit. */
  void AnswerDue(Millis aNow);

  LeaveAcknowledgementOptions mOptions;
  std::uint64_t mStored = 0;
  std::map<std::string, std::uint64_t> mCopied;
  std::list<Waiting> mWaiting;
  Millis mNow;
};

} // namespace papayaway::gateway
