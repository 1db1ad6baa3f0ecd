#pragma once

#include "emulator/lines.h"

#include <string>
#include <vector>

namespace hibiscushold::emulator {

/// The services between which the versions of a configuration move a route: it
/// is at service N % kMovedServices in version N.
inline constexpr uint64_t kMovedServices = 4;

/// Bounds of the platform's rules.
struct JudgeBounds
{
  int64_t mTouchMillis = 3000;
  int64_t mConfigMillis = 2000;
  int64_t mRollbackMillis = 250;
  int64_t mRevokeMillis = 5000;
  int64_t mDrainMillis = 2000;
  int64_t mZoneOutMillis = 5000;
  double mColdFactor = 1.5;
  double mColdExtraRequests = 5;
};

/// A request that breaks a rule.
struct Breach
{
  std::string mRule;
  RequestLine mRequest;
  std::string mDetail;
};

/// A change is in force at every node in touch within a bound after its
/// acknowledgement; it never reverts at a node that keeps running; and a key
/// that was taken away is not accepted later than its own bound, at any node.
std::vector<Breach>
JudgeConfig(const Lines& aLines, const JudgeBounds& aBounds);

/// No request reaches a target that leaves later than a bound after the store
/// has acknowledged it, from a node in touch; nor after a node has passed on an
/// answer that announces it, from that node.
std::vector<Breach>
JudgeDrain(const Lines& aLines, const JudgeBounds& aBounds);

/// A success is the whole answer of a target to this request, and what reaches
/// a caller is an answer (MIXED); a stream that ends as complete has each of
/// its events once and in order (ORDER); a request that may run once doesn't
/// run twice (TWICE), nor at all if its answer says that it didn't run
/// (REFUSED); and a node that runs on, or was asked to stop, answers each
/// request that it has passed on (LOST).
std::vector<Breach>
JudgeAnswers(const Lines& aLines);

/// What a target runs is a request of a caller, with its method, path and
/// fields as they were sent, and no part of a malformed one (UNASKED); and no
/// sound request is refused as malformed (DENIED).
std::vector<Breach>
JudgeRequests(const Lines& aLines);

/// No node's process ends by itself (FAULT).
std::vector<Breach>
JudgeEnds(const Lines& aLines);

/// Once a request has ended three targets, no more than three repeats of it
/// reach targets from nodes in touch after a bound (BUDGET).
std::vector<Breach>
JudgeBudget(const Lines& aLines, const JudgeBounds& aBounds);

/// No request reaches a target of a zone out of service later than a bound
/// after the store has acknowledged it, from a node that reaches the store,
/// also one that has just started (EVAC).
std::vector<Breach>
JudgeZonesOut(const Lines& aLines, const JudgeBounds& aBounds);

/// No cold target gets more requests of all nodes in any second than it
/// tolerates (FAILBACK).
/// @param aColdPerSecond rate of cold targets, 0 for none
std::vector<Breach>
JudgeCold(const Lines& aLines,
          double aColdPerSecond,
          const JudgeBounds& aBounds);

} // namespace hibiscushold::emulator
