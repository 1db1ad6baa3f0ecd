#pragma once

#include "gateway/exchange.h"

namespace hibiscushold {

/// Records in the target's load what it announces about itself in the head of
/// any response: that it leaves, or for how long it wants no requests. A time
/// that cannot be read is logged once per target and ignored.
void
RecordAnnouncements(const ExchangeDependencies& aDependencies,
                    const FleetTarget& aTarget,
                    const ResponseHead& aHead);

} // namespace hibiscushold
