#pragma once

#include "cluster/member.h"
#include "config/head.h"
#include "core/clock.h"
#include "groups/domain.h"
#include "store/platform.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace hibiscushold {

/// A value with the store version it was read at.
template<class T>
struct Versioned
{
  uint64_t mVersion = 0;
  T mValue;
};

/// All objects under kStatePrefix as of one store revision, parsed once
/// for all readers.
struct ClusterView
{
  uint64_t mRevision = 0;
  TimePoint mRequestedAt; ///< when the underlying store read was sent
  Versioned<ConfigHead> mHead;
  std::map<std::string, Versioned<Member>> mMembers;
  std::map<std::string, Versioned<Domain>> mDomains;
  std::map<std::string, std::string> mDrains; ///< incarnation by VM id
};

/// Prefix of the objects that every node watches. Objects that change often,
/// such as leases, lie elsewhere, so that they do not end every node's watch.
inline constexpr std::string_view kStatePrefix = "state/";

/// Adds or replaces one object in the view. Keys of other kinds are ignored.
/// @return ReplyInvalid when its value cannot be parsed
Result<void>
ApplyObject(ClusterView& aView, const Object& aObject);

/// Removes a deleted object from the view.
void
RemoveObject(ClusterView& aView, std::string_view aKey);

/// Keeps the latest view of the cluster up to date and notifies listeners of
/// each new view. Views are immutable. View may be called on any thread, Poll
/// on one.
class ViewWatcher
{
public:
  using ViewPtr = std::shared_ptr<const ClusterView>;
  using Listener = std::function<void(const ViewPtr&)>;

  ViewWatcher(Platform& aPlatform, const Clock& aClock);

  /// Adds a listener, which Poll calls with each new view. To be called before
  /// the first Poll.
  void AddListener(Listener aListener);

  /// Makes one list or watch call and publishes the resulting view. Blocks
  /// while the watch waits for changes.
  /// @return the failure of the call, or ReplyInvalid when an object cannot be
  ///         parsed
  Result<void> Poll();

  /// @return the latest view, never null
  ViewPtr View() const;

private:
  Result<ClusterView> ListAll();
  Result<ClusterView> WatchOnce(const ClusterView& aCurrent);
  void Publish(ClusterView aView);

  Platform& mPlatform;
  const Clock& mClock;
  std::vector<Listener> mListeners;
  bool mLoaded = false;
  mutable std::mutex mLock;
  ViewPtr mView;
};

} // namespace hibiscushold
