#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hibiscushold {

/// Splits a server-sent event stream into complete events and checks that their
/// ids are consecutive. Once an event had an id, all need one.
class EventSplitter
{
public:
  /// @param aLastId id of the last event forwarded by earlier attempts, 0 if
  ///                none
  explicit EventSplitter(uint64_t aLastId)
    : mLastId(aLastId)
  {
  }

  /// Appends received bytes.
  void Add(std::string_view aBytes) { mBuffer.append(aBytes); }

  /// Removes and returns the complete events received so far.
  /// @return the events, empty if none is complete
  std::string TakeCompleteEvents();

  /// @return number of buffered bytes of events that are not complete yet
  size_t PendingBytes() const { return mBuffer.size(); }

  /// @return id of the last event that was taken
  uint64_t LastId() const { return mLastId; }

  /// @return whether the id of a taken event did not follow its predecessor, or
  ///         was missing
  bool IsOutOfOrder() const { return mOutOfOrder; }

private:
  void CheckIds(std::string_view aEvents);

  std::string mBuffer;
  size_t mSearchedBytes = 0; ///< of mBuffer, without the end of an event
  uint64_t mLastId;
  bool mOutOfOrder = false;
};

} // namespace hibiscushold
