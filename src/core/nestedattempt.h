#pragma once

#include <functional>

namespace hibiscushold {

/// A transfer that waits for its target while another attempt of the same
/// request runs.
class WaitingTransfer
{
public:
  virtual ~WaitingTransfer() = default;

  /// @return whether unread bytes have arrived that can serve the caller
  virtual bool HasProgress() const = 0;

  /// Closes the connection to the target.
  virtual void Close() = 0;
};

/// An attempt of a request as one of several that run within each other. An
/// attempt that is started because the target of another one is silent runs
/// within that one. The outer attempt ends once a response to the inner one has
/// begun, and goes on if the inner one fails.
class NestedAttempt
{
public:
  /// @param aOuter the attempt with the silent target, or null
  explicit NestedAttempt(NestedAttempt* aOuter);
  virtual ~NestedAttempt() = default;
  NestedAttempt(const NestedAttempt&) = delete;
  NestedAttempt& operator=(const NestedAttempt&) = delete;

  /// @return whether one of the attempts that this one was to replace has made
  ///         progress
  bool HasOuterProgress() const;

  /// Closes the transfers of the attempts that this one replaces.
  void ReplaceOuter();

  /// @return whether another attempt has closed the transfer of this one
  bool IsReplaced() const { return mReplaced; }

protected:
  /// Runs an inner attempt while this one waits.
  /// @return the result of aRun
  bool RunInner(WaitingTransfer& aTransfer, const std::function<bool()>& aRun);

private:
  /// Called once another attempt has closed the transfer of this one.
  virtual void OnReplaced() {}

  NestedAttempt* const mOuter;
  WaitingTransfer* mWaiting = nullptr; ///< set while an inner attempt runs
  bool mReplaced = false;
};

} // namespace hibiscushold
