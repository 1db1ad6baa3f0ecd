#pragma once

#include "cluster/member.h"
#include "cluster/peerclient.h"
#include "cluster/rpcserver.h"
#include "cluster/view.h"
#include "groups/probetable.h"
#include "store/platform.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace hibiscushold {

/// Up to this number of members, each member requests reports from all others;
/// in larger clusters, from kSourcesPerMember of them.
inline constexpr size_t kMaxFullMeshMembers = 8;
inline constexpr size_t kSourcesPerMember = 3;

/// A member that takes part in the exchange of reports.
struct ExchangeMember
{
  std::string mId;
  std::string mZone;
};

/// @return the two members that probe a slice, by rendezvous hashing; they are
///         in different zones if the members are; fewer than two if fewer
///         members are alive
std::vector<std::string>
ChooseProbers(std::span<const ExchangeMember> aAlive,
              const std::string& aGroup,
              uint32_t aSlice);

/// @return the members from which aSelf requests reports: the next member on a
///         ring in hash order, so that every report reaches all members, and
///         others up to the limit that kMaxFullMeshMembers and
///         kSourcesPerMember set
std::vector<std::string>
ChooseSources(std::span<const ExchangeMember> aAlive, const std::string& aSelf);

/// @param aSlot number of the requesting thread
/// @param aFailures failed requests in a row; above zero, other members are
///        chosen in turn
/// @return the member from which one thread requests reports; empty when there
///         is none for this thread
std::string
ChooseSource(std::span<const ExchangeMember> aAlive,
             const std::string& aSelf,
             size_t aSlot,
             uint32_t aFailures);

/// Input of the choice of VMs to probe.
struct ProbeInput
{
  std::string mSelf;
  std::vector<ExchangeMember> mAlive;
  /// Domains whose lease the node holds or may acquire.
  std::set<std::string> mManagedDomains;
};

/// @return ids of the VMs that the node probes now: the slices assigned to it,
///         and the VMs of the domains in mManagedDomains except for those of
///         serving groups that a report younger than half of aMaxAge covers
std::set<std::string>
ChooseVmsToProbe(const ProbeInput& aInput,
                 const ClusterView& aView,
                 std::span<const Vm> aVms,
                 const ProbeTable& aTable,
                 TimePoint aNow,
                 Duration aMaxAge);

/// Records a report for each slice whose members are all ready according to
/// the node's own probes.
void
RecordSliceReports(const ClusterView& aView,
                   ProbeTable& aTable,
                   TimePoint aNow,
                   Duration aMaxAge);

/// Computes the local time of a received report's probe.
/// @param aSentAt when the request was sent
/// @param aNow when the reply arrived
/// @param aHeld how long the sender states that it held the request
/// @param aAge age of the report that the sender states
/// @return a lower bound of the time at which the probe was sent, so that the
///         report never seems younger than it is
TimePoint
EstimateProbeTime(TimePoint aSentAt,
                  TimePoint aNow,
                  Duration aHeld,
                  Duration aAge);

/// Requests reports from other members by long polling and serves their
/// requests.
class SliceReportExchange
{
public:
  SliceReportExchange(std::string aSelf,
                      const ViewWatcher& aViews,
                      PeerClient& aPeers,
                      ProbeTable& aTable,
                      const Clock& aClock);

  /// Registers the RPC method that the other members call.
  void AddMethod(RpcServer& aServer);

  /// The state of one thread's requests to a member.
  struct Source
  {
    std::string mMember;
    std::string mTableId;   ///< identifies the process that mSerial belongs to
    uint64_t mSerial = 0;   ///< serial up to which reports were received
    uint32_t mFailures = 0; ///< failed requests in a row
  };

  /// Requests reports from the member assigned to one of the node's threads and
  /// waits for the reply. After a failure the next call uses another member.
  /// @param aSlot number of the thread, below kMaxFullMeshMembers - 1
  /// @param aSource the thread's state, to be passed to each of its calls
  void Step(std::span<const ExchangeMember> aAlive,
            size_t aSlot,
            Source& aSource);

private:
  bool FetchFrom(const std::string& aMember, Source& aSource);
  Json::Value HandleRequest(const Json::Value& aParams) const;

  const std::string mSelf;
  /// Random id, so that serials of a previous process are not mistaken for
  /// those of this one.
  const std::string mTableId;
  const ViewWatcher& mViews;
  PeerClient& mPeers;
  ProbeTable& mTable;
  const Clock& mClock;
};

} // namespace hibiscushold
