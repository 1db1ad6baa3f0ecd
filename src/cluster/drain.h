#pragma once

#include "core/errors.h"
#include "store/platform.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscushold {

/// An operator's request to take a VM out of service. It applies to one
/// incarnation of the VM, so that a replacement with the same id is not
/// drained.
struct Drain
{
  std::string mVm;
  std::string mIncarnation;

  bool operator==(const Drain&) const = default;
};

inline constexpr std::string_view kDrainPrefix = "state/drains/";

std::string
SerializeDrain(const Drain& aDrain);

/// @return the drain, or ReplyInvalid
Result<Drain>
ParseDrain(std::string_view aText);

/// Sets the state of the drained VMs in a list to VmState::Leaving.
/// @param aVms the VMs
/// @param aDrains the incarnations to drain, by VM id
void
MarkDrained(std::vector<Vm>& aVms,
            const std::map<std::string, std::string>& aDrains);

/// Stores a drain. It replaces one for another incarnation of the same VM.
Result<void>
StoreDrain(Platform& aPlatform, const Drain& aDrain);

/// Deletes the drain of a VM. Succeeds without effect when there is none.
Result<void>
RemoveDrain(Platform& aPlatform, std::string_view aVm);

} // namespace hibiscushold
