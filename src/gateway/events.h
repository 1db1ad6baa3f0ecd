#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hibiscushold {

/// Splits an event stream into whole events and checks the order of their
/// ids.
class EventSplitter
{
public:
  /// @param aLastId id of the last event that was passed on before
  explicit EventSplitter(uint64_t aLastId)
    : mLastId(aLastId)
  {
  }

  /// Takes in bytes as they arrive.
  void Add(std::string_view aBytes) { mBuffer.append(aBytes); }

  /// @return the whole events that have arrived and were not taken before
  std::string Take();

  /// @return bytes of an event that is not yet whole
  size_t Rest() const { return mBuffer.size(); }

  /// @return the id of the last event that was taken
  uint64_t LastId() const { return mLastId; }

  /// @return whether an id did not follow the one before it
  bool IsOutOfOrder() const { return mOutOfOrder; }

private:
  void NoteIds(std::string_view aEvents);

  std::string mBuffer;
  uint64_t mLastId;
  bool mOutOfOrder = false;
};

} // namespace hibiscushold
