#pragma once

#include "emulator/lines.h"
#include "emulator/scenario.h"

#include <string>

namespace hibiscushold::emulator {

/// Plays a scenario: starts the nodes, sends them requests and causes the
/// faults. The nodes' logs and the lines are written to a folder.
/// @param aProgram path of the hibiscushold binary
/// @param aFolder an existing folder
/// @return what was recorded
Lines
Play(const Scenario& aScenario,
     const std::string& aProgram,
     const std::string& aFolder);

} // namespace hibiscushold::emulator
