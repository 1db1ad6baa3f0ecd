#pragma once

#include "core/clock.h"

#include <cstdint>

namespace hibiscushold {

/// A sound VM may respond to nothing for about a second. One that is silent for
/// longer than this counts as unresponsive.
inline constexpr auto kSilenceTolerance = milliseconds(1500);

/// When a call to a VM, which is a probe or an order, was sent and ended.
struct CallTimes
{
  TimePoint mSentAt;
  TimePoint mEndedAt;
};

/// The silence of a VM, as shown by the calls that it did not respond to.
struct VmSilence
{
  TimePoint mLastResponseAt; ///< end of the latest call with a response
  TimePoint mSince;          ///< when the first call without response was sent
  TimePoint mLastMissAt;     ///< end of the latest call without response
  uint32_t mMisses = 0;      ///< calls without response since mSince
};

/// Updates the silence with a call that the VM responded to, which ends it.
void
RecordResponse(VmSilence& aSilence, const CallTimes& aCall);

/// Updates the silence with a call that ended without response. Calls that say
/// nothing about the VM are ignored: those sent before its latest response, and
/// those that this node was too late to end. After a time without calls the
/// silence is measured anew, as nothing is known about that time.
void
RecordMiss(VmSilence& aSilence, const CallTimes& aCall);

/// @return whether the VM has been silent for longer than kSilenceTolerance and
///         has not responded since
bool
ExceedsTolerance(const VmSilence& aSilence);

/// @return whether the VM counts as unresponsive: its silence exceeds the
///         tolerance, and its latest call is not long ago
bool
IsUnresponsive(const VmSilence& aSilence, TimePoint aNow);

/// @return whether recent calls to the VM had no response, for a time that the
///         tolerance still covers; more calls decide whether it is unresponsive
bool
IsInDoubt(const VmSilence& aSilence, TimePoint aNow);

/// @return whether a VM whose entry has lapsed counts as lost. Its reports are
///         missing as well, so fewer calls without response are enough than
///         for others; one more than SuggestsCut looks at, so that a cut of
///         this node is noticed first.
bool
IsLostAfterLapse(const VmSilence& aSilence, TimePoint aNow);

/// How the VMs of a service, or some of them, respond to this node's calls.
struct CallSummary
{
  size_t mMissing = 0;    ///< VMs that did not respond lately
  size_t mResponding = 0; ///< VMs that did
};

/// VMs that are missing together before others are called as well, to tell a
/// loss of VMs from a cut of this node.
inline constexpr size_t kManyMissing = 6;
/// Number of those others.
inline constexpr size_t kControlCalls = 12;

/// Adds the latest call to a VM to the summary.
void
Summarize(const VmSilence& aSilence, TimePoint aNow, CallSummary& aInto);

/// @return whether it is rather this node that is cut off than its VMs
bool
SuggestsCut(const CallSummary& aSummary);

} // namespace hibiscushold
