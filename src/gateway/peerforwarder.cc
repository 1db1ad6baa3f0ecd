#include "gateway/peerforwarder.h"

#include "core/number.h"
#include "core/random.h"
#include "gateway/attemptrecord.h"

#include <Poco/String.h>

#include <algorithm>
#include <sstream>

namespace hibiscushold {

namespace {

/// Nodes that a request is offered to before it is refused.
constexpr size_t kMaxOffers = 8;
constexpr auto kConnectTimeout = milliseconds(150);
/// How long a node is not used that can't take requests, or can't be reached.
constexpr auto kBusyAvoidance = milliseconds(500);
constexpr auto kUnreachableAvoidance = milliseconds(3000);

/// @return the value of the field, which is taken from the fields
std::optional<std::string>
Take(std::vector<HttpField>& aFields, std::string_view aName)
{
  const auto found =
    std::find_if(aFields.begin(), aFields.end(), [&](const HttpField& it) {
      return it.mName == aName;
    });
  if (found == aFields.end()) {
    return std::nullopt;
  }
  const std::string value = found->mValue;
  aFields.erase(found);
  return value;
}

/// @return whether the other node has refused the request before it tried a
///         target
bool
IsRefusedUntried(const ExchangeReport& aReport)
{
  const std::vector<HttpField>& fields = aReport.mResponse.mFields;
  return aReport.mOutcome == ExchangeOutcome::Answered &&
         aReport.mResponse.mStatus == 503 &&
         std::any_of(fields.begin(), fields.end(), [](const HttpField& it) {
           return it.mName == kElsewhereField;
         });
}

/// One request that is passed on.
class PeerForwarder final : public StreamSink
{
public:
  PeerForwarder(const GatewayDependencies& aDependencies,
                const GatewayRequest& aRequest,
                ResponseWriter& aWriter)
    : mDependencies(aDependencies)
    , mRequest(aRequest)
    , mWriter(aWriter)
    , mLastEvent(aRequest.mLastEvent)
  {
  }

  std::optional<ResultOrRefusal<void>> Run()
  {
    Peers& peers = mDependencies.mPeers;
    while (mTried.size() < kMaxOffers) {
      const TimePoint now = mDependencies.mClock.Now();
      const std::optional<RosterEntry> peer =
        peers.Choose(mTried, now, NextFraction());
      if (!peer || now >= mRequest.mDeadline) {
        return std::nullopt;
      }
      mTried.insert(peer->mId);
      ExchangeReport report = Offer(*peer);
      if (!WasSent(report)) {
        peers.AvoidUntil(peer->mId, now + kUnreachableAvoidance);
      } else if (IsRefusedUntried(report)) {
        peers.AvoidUntil(peer->mId, now + kBusyAvoidance);
      } else {
        if (report.mOutcome != ExchangeOutcome::Answered &&
            report.mOutcome != ExchangeOutcome::CallerDisconnected) {
          peers.AvoidUntil(peer->mId, now + kUnreachableAvoidance);
        }
        return End(report);
      }
    }
    return std::nullopt;
  }

  bool OnHead(int aStatus, const std::vector<HttpField>& aFields) override
  {
    std::vector<HttpField> fields = aFields;
    TakeAnnouncement(fields);
    return mWriter.StartStream(aStatus, fields);
  }

  bool OnEvents(std::string_view aEvents, uint64_t aLastId) override
  {
    mLastEvent = aLastId;
    return mWriter.SendChunk(aEvents);
  }

  bool IsCallerDisconnected() override
  {
    return mWriter.IsCallerDisconnected();
  }

  // The other node looks after the target.
  bool OnStall(WaitingTransfer&) override { return false; }
  bool IsSuperseded() override { return false; }
  bool IsQuarantined() override { return false; }
  bool IsNodeExiting() override
  {
    return HasEnded(mDependencies.mStopWindow, mDependencies.mClock.Now());
  }

private:
  ExchangeReport Offer(const RosterEntry& aPeer)
  {
    FleetTarget target;
    target.mVmId = aPeer.mId;
    target.mAddress = aPeer.mCallers;
    target.mZone = aPeer.mZone;
    ExchangeReport report = RunExchange({ mDependencies.mSessions,
                                          mDependencies.mPeers.Loads(),
                                          mDependencies.mBuffers,
                                          mDependencies.mPeers.Reach(),
                                          mDependencies.mProtocol,
                                          mDependencies.mClock },
                                        MakeExchange(target, aPeer),
                                        *this);
    mDependencies.mMetrics.CountRelayEvent("request_passed_on");
    LogAttempt(mDependencies, mRequest, target, report, {});
    return report;
  }

  ExchangeRequest MakeExchange(const FleetTarget& aTarget,
                               const RosterEntry& aPeer) const
  {
    ExchangeRequest exchange{
      aTarget,         mRequest.mMethod,   mRequest.mUri,      mRequest.mFields,
      mRequest.mBody,  mRequest.mId,       mRequest.mDeadline, TimePoint::max(),
      kConnectTimeout, mRequest.mLastEvent
    };
    // A pooled connection may have been closed by the other node.
    exchange.mNewConnection = true;
    exchange.mStream = mRequest.mRoute->mRetryPolicy == RetryPolicy::Stream;
    // Nodes mark the end of each response, so the end of a connection alone is
    // that of the other node's process.
    exchange.mNeedsMarkedEnd = true;
    std::vector<HttpField>& fields = exchange.mFields;
    if (!mRequest.mAuthorization.empty()) {
      fields.push_back({ "Authorization", mRequest.mAuthorization });
    }
    if (mRequest.mLastEvent > 0) {
      fields.push_back({ mDependencies.mProtocol.mLastEvent,
                         std::to_string(mRequest.mLastEvent) });
    }
    fields.push_back(
      { kPeerField, TokenSet(aPeer.mToken).AuthorizationValue() });
    fields.push_back(
      { kPeerVersionField, std::to_string(mRequest.mConfig->mVersion) });
    return exchange;
  }

  /// Records that the target of the response has announced its leaving, as this
  /// node passes the announcement on.
  /// @param aFields loses the name of the target
  void TakeAnnouncement(std::vector<HttpField>& aFields)
  {
    const std::optional<std::string> target = Take(aFields, kTargetField);
    const std::string& leaving = mDependencies.mProtocol.mLeaving;
    const bool leaves =
      std::any_of(aFields.begin(), aFields.end(), [&](const HttpField& it) {
        return Poco::icompare(it.mName, leaving) == 0 && it.mValue == "1";
      });
    std::istringstream text(target.value_or(""));
    std::string vm;
    uint64_t startedMillis = 0;
    if (leaves && text >> vm >> startedMillis) {
      mDependencies.mLoads.RecordLeaving(vm, startedMillis);
    }
  }

  ResultOrRefusal<void> End(ExchangeReport& aReport)
  {
    switch (aReport.mOutcome) {
      case ExchangeOutcome::CallerDisconnected:
        LogCutAs("caller_disconnected");
        mWriter.Abort();
        return boost::outcome_v2::success();
      case ExchangeOutcome::Answered:
        mDependencies.mMetrics.CountAnswer(aReport.mResponse.mStatus);
        if (aReport.mStreamed) {
          mWriter.EndStream();
        } else {
          TakeAnnouncement(aReport.mResponse.mFields);
          mWriter.SendComplete(aReport.mResponse.mStatus,
                               aReport.mResponse.mFields,
                               aReport.mResponse.mBody);
        }
        return boost::outcome_v2::success();
      default:
        break;
    }
    if (mWriter.HasStarted()) {
      LogCutAs(NameOf(aReport.mOutcome));
    }
    const RefusalKind kind = aReport.mOutcome == ExchangeOutcome::Deadline
                               ? RefusalKind::DeadlinePassed
                               : RefusalKind::TargetFailed;
    return Refusal{ kind, "the other node did not answer", Ran::Unknown, 0 };
  }

  void LogCutAs(std::string_view aReason) const
  {
    LogCut(mDependencies,
           mRequest,
           { aReason,
             mWriter.HasStarted(),
             static_cast<uint32_t>(mTried.size()),
             mLastEvent });
  }

  const GatewayDependencies& mDependencies;
  const GatewayRequest& mRequest;
  ResponseWriter& mWriter;
  std::set<std::string> mTried; ///< ids of the nodes it was offered to
  uint64_t mLastEvent;          ///< id of the last event sent to the caller
};

} // namespace

std::optional<ResultOrRefusal<void>>
PassOnRequest(const GatewayDependencies& aDependencies,
              const GatewayRequest& aRequest,
              ResponseWriter& aWriter)
{
  return PeerForwarder(aDependencies, aRequest, aWriter).Run();
}

ResultOrRefusal<bool>
CheckPeer(const RequestHead& aRequest, const Peers& aPeers, uint64_t aVersion)
{
  if (!HasField(aRequest, kPeerField)) {
    return false;
  }
  uint64_t version = 0;
  if (!aPeers.Accepts(FieldOf(aRequest, kPeerField)) ||
      !ParseNumber(FieldOf(aRequest, kPeerVersionField), version)) {
    return Refusal{ RefusalKind::PeerRefused,
                    "the request is not from a node with this one's token" };
  }
  if (version > aVersion) {
    return Refusal{ RefusalKind::ConfigNotFresh,
                    "the other node knows a newer configuration" };
  }
  return true;
}

} // namespace hibiscushold
